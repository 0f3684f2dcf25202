package lab

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// cutLeaseJournal cuts a stopped node's newest lease journal, and returns the file's name.
func (lab *leaseLab) cutLeaseJournal(node string, sizeAfter func(size int64) int64) string {
	lab.t.Helper()
	files, err := filepath.Glob(filepath.Join(lab.StateFolder(node), "leases", "journal-*"))
	if err != nil || len(files) == 0 {
		lab.t.Fatalf("%s has no lease journal: %v", node, err)
	}
	newest := slices.MaxFunc(files, func(a, b string) int { return len(a) - len(b) + strings.Compare(a, b) }) // by their numbers
	info, err := os.Stat(newest)
	if err != nil {
		lab.t.Fatal(err)
	}
	lab.noError(os.Truncate(newest, sizeAfter(info.Size())))
	return filepath.Base(newest)
}

// A voter whose journal has lost its last commit must go on with the other copy, under its number and with all that it
// had. One whose journal has lost many must say so, and be admitted again under another number. Meanwhile leases are
// granted, and no two accesses overlap.
func TestLeaseVoterWithCutJournal(t *testing.T) {
	t.Parallel()
	lab := startLeaseLab(t, 5, 3, 33, false)
	defer lab.finish()
	lab.waitFor("a leader", 10*time.Second, func() bool { return lab.leader() != "" })
	for i, node := range lab.namesExcept(lab.voters...) {
		lab.addContender(i, node, "l", 3)
	}
	waitForGrants := func(what string) {
		t.Helper()
		before := lab.grantCount()
		lab.waitFor("two grants "+what, 60*time.Second, func() bool { return lab.grantCount() >= before+2 })
	}
	waitForGrants("after the start")

	voter := lab.voters[0]
	before, ok := lab.leaseStatus(voter)
	if !ok || before.ID == 0 {
		t.Fatalf("%s is no voter", voter)
	}
	const lastBytes = 5 // of the last commit
	lab.noError(lab.Kill(voter))
	lab.cutLeaseJournal(voter, func(size int64) int64 { return size - lastBytes })
	lab.noError(lab.Start(voter))
	lab.waitFor("the voter with the short cut to have what it had", 30*time.Second, func() bool {
		s, ok := lab.leaseStatus(voter)
		return ok && s.ID == before.ID && s.Applied >= before.Applied
	})
	if log := lab.Log(voter); strings.Contains(log, "cannot be trusted") {
		t.Errorf("the voter with the short cut gave up its number: %.2000s", log)
	}
	waitForGrants("after the short cut")

	voter = lab.voters[1]
	before, _ = lab.leaseStatus(voter)
	lab.noError(lab.Kill(voter))
	name := lab.cutLeaseJournal(voter, func(size int64) int64 { return size / 2 })
	lab.noError(lab.Start(voter))
	elapsed := lab.waitFor("the voter with the long cut to have another number", 40*time.Second, func() bool {
		s, ok := lab.leaseStatus(voter)
		return ok && s.ID != 0 && s.ID != before.ID && lab.voterReplaced(voter, voter, s.ID) && lab.voterReplaced(lab.voters[2], voter, s.ID)
	})
	t.Logf("journal cut to half: admitted again after %v", elapsed)
	if log := lab.Log(voter); !strings.Contains(log, name+" damaged or cut at byte ") {
		t.Errorf("the log of %s does not name %s and the byte: %.2000s", voter, name, log)
	}
	lab.noError(lab.Kill(lab.voters[2])) // the two that were cut are a majority
	waitForGrants("by the voters that were cut")
	lab.noError(lab.Start(lab.voters[2]))
}
