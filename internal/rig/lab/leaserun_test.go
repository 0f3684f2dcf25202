package lab

import (
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"curlewring/internal/node/leases"
	"curlewring/internal/rig/resource"
)

// runningCommand is a command that was started, with its output.
type runningCommand struct {
	*exec.Cmd
	out   logTail
	ended chan error
}

func (lab *leaseLab) startCommand(node, name string, flags []string, command ...string) *runningCommand {
	lab.t.Helper()
	started := &runningCommand{Cmd: lab.leaseRunCommand(node, name, flags, command...), ended: make(chan error, 1)}
	started.Stdout, started.Stderr = &started.out, &started.out
	if err := started.Start(); err != nil {
		lab.t.Fatal(err)
	}
	go func() { started.ended <- started.Wait() }()
	return started
}

// waitExitCode waits for the command's exit; it kills a command that exceeds the limit.
func (lab *leaseLab) waitExitCode(command *runningCommand, within time.Duration) int {
	lab.t.Helper()
	select {
	case err := <-command.ended:
		if err == nil {
			return 0
		}
		return exitCode(err)
	case <-time.After(within):
		command.Process.Kill()
		lab.t.Errorf("%v still runs after %v: %s", command.Args, within, command.out.String())
		return -1
	}
}

// waitForAccesses waits until the given number of accesses have begun, and returns how many of them are in
// progress.
func (lab *leaseLab) waitForAccesses(count int, within time.Duration) (inProgress int) {
	lab.t.Helper()
	lab.waitFor(fmt.Sprint(count, " accesses"), within, func() bool { return len(lab.resource.History()) >= count })
	for _, a := range lab.resource.History() {
		if a.To.IsZero() {
			inProgress++
		}
	}
	return inProgress
}

// The operators' lease commands on real processes: exit codes, waiting queue, transfer to another node, and
// all ways in which a lease ends.
func TestLeaseRunCommand(t *testing.T) {
	t.Parallel()
	lab := startLeaseLab(t, 5, 3, 51, false)
	defer lab.finish()
	lab.waitFor("a leader", 10*time.Second, func() bool { return lab.leader() != "" })
	others := lab.namesExcept(lab.voters...)
	a, b := others[0], others[1]
	accessCommand := func(length string, more ...string) []string {
		return append([]string{toolBinary, "act", lab.resource.Address, "--for", length}, more...)
	}
	// Exit code of the command, and its environment.
	started := lab.startCommand(a, "echo", nil, "sh", "-c", "echo $CURLEWRING_LEASE under $CURLEWRING_TOKEN; exit 7")
	if code := lab.waitExitCode(started, 10*time.Second); code != 7 || !regexp.MustCompile(`echo under \d+\n`).MatchString(started.out.String()) {
		t.Errorf("code %d, %q", code, started.out.String())
	}
	started = lab.startCommand(a, "echo", nil, "nobody-has-such-a-command")
	if code := lab.waitExitCode(started, 10*time.Second); code != 125 {
		t.Errorf("a command that cannot be started: code %d, %q", code, started.out.String())
	}
	if err := exec.Command(toolBinary, "lease", "run", "--folder", t.TempDir(), "l", "--", "true").Run(); exitCode(err) != 125 {
		t.Errorf("no node at this folder: %v", err)
	}
	// A lease that another node holds: refused at once, or waited for.
	holder := lab.startCommand(a, "l", nil, accessCommand("2s")...)
	lab.waitForAccesses(1, 5*time.Second)
	if code := lab.waitExitCode(lab.startCommand(b, "l", nil, accessCommand("1s")...), 5*time.Second); code != 75 {
		t.Errorf("lease held by another node: code %d", code)
	}
	if code := lab.waitExitCode(lab.startCommand(b, "l", []string{"--wait", "1s"}, accessCommand("1s")...), 5*time.Second); code != 75 {
		t.Errorf("lease not free within the wait: code %d", code)
	}
	if code := lab.waitExitCode(lab.startCommand(b, "l", []string{"--wait", "20s"}, accessCommand("100ms")...), 20*time.Second); code != 0 {
		t.Errorf("lease free within the wait: code %d", code)
	}
	if code := lab.waitExitCode(holder, time.Second); code != 0 {
		t.Errorf("first holder: code %d", code)
	}
	// The tool is killed: its command is killed with it, and the next command gets the lease after it has
	// expired.
	holder = lab.startCommand(a, "l", nil, accessCommand("30s")...)
	lab.waitForAccesses(3, 5*time.Second)
	nextHolder := lab.startCommand(b, "l", []string{"--wait", "20s"}, accessCommand("100ms")...)
	start := time.Now()
	holder.Process.Kill()
	lab.waitFor("the end of the command's access", time.Second, func() bool { return lab.waitForAccesses(3, 0) == 0 })
	if code := lab.waitExitCode(nextHolder, 15*time.Second); code != 0 || time.Since(start) < leaseTTL/2 {
		t.Errorf("next command after the tool was killed: code %d after %v", code, time.Since(start))
	}
	<-holder.ended
	// The node is killed or paused: a command that ignores its termination is killed before the next one
	// begins.
	for name, fault := range map[string]func() func(){
		"killed": func() func() {
			lab.noError(lab.Kill(a))
			return func() {
				lab.noError(lab.Start(a))
				lab.waitFor("the node's return", 10*time.Second, func() bool { _, ok := lab.leaseStatus(a); return ok })
			}
		},
		"stopped": func() func() { lab.noError(lab.Pause(a)); return func() { lab.noError(lab.Resume(a)) } },
	} {
		n := len(lab.resource.History())
		holder := lab.startCommand(a, "l", []string{"--wait", "20s"}, accessCommand("30s", "--deaf")...)
		lab.waitForAccesses(n+1, 20*time.Second)
		nextHolder := lab.startCommand(b, "l", []string{"--wait", "20s"}, accessCommand("100ms")...)
		start := time.Now()
		end := fault()
		if code := lab.waitExitCode(holder, 5*time.Second); code != 124 || time.Since(start) > leaseTTL+2*time.Second {
			t.Errorf("node %s: code %d after %v: %s", name, code, time.Since(start), holder.out.String())
		}
		if code := lab.waitExitCode(nextHolder, 20*time.Second); code != 0 {
			t.Errorf("node %s: the next command exits with %d: %s", name, code, nextHolder.out.String())
		}
		end()
	}
	lab.waitFor("agreement of all nodes", 30*time.Second, func() bool { n, _ := lab.currentView(lab.names); return n > 0 })
	// Transfer to a waiting node that is not the first in the queue.
	n := len(lab.resource.History())
	holder = lab.startCommand(a, "l", []string{"--wait", "20s"}, accessCommand("30s")...)
	lab.waitForAccesses(n+1, 20*time.Second)
	queued := lab.startCommand(lab.voters[0], "l", []string{"--wait", "30s"}, accessCommand("1s")...)
	lab.waitFor("one waiting command", 5*time.Second, func() bool { return strings.Contains(queued.out.String(), "place 1") })
	last := lab.startCommand(b, "l", []string{"--wait", "30s"}, accessCommand("1s")...)
	lab.waitFor("two waiting commands", 5*time.Second, func() bool { return strings.Contains(last.out.String(), "place 2") })
	if out, err := exec.Command(toolBinary, "lease", "hand", "--folder", lab.StateFolder(a), "l", "--to", b).CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if code := lab.waitExitCode(holder, 5*time.Second); code != 124 {
		t.Errorf("holder after the transfer: code %d", code)
	}
	if code := lab.waitExitCode(last, 5*time.Second); code != 0 {
		t.Errorf("target of the transfer: code %d", code)
	}
	if code := lab.waitExitCode(queued, 10*time.Second); code != 0 {
		t.Errorf("first in the queue: code %d", code)
	}
	// A node that terminates also terminates its command, and releases the lease at once.
	n = len(lab.resource.History())
	holder = lab.startCommand(a, "l", []string{"--wait", "20s"}, accessCommand("30s")...)
	lab.waitForAccesses(n+1, 20*time.Second)
	nextHolder = lab.startCommand(b, "l", []string{"--wait", "20s"}, accessCommand("100ms")...)
	lab.waitFor("one waiting command", 5*time.Second, func() bool { return strings.Contains(nextHolder.out.String(), "place 1") })
	start = time.Now()
	p, err := lab.findNode(a)
	lab.noError(err)
	go p.stop(10 * time.Second)
	if code := lab.waitExitCode(nextHolder, 10*time.Second); code != 0 || time.Since(start) > leaseTTL {
		t.Errorf("next command after the node was terminated: code %d after %v", code, time.Since(start))
	}
	t.Logf("node terminated: the next command exited after %v", time.Since(start))
	if code := lab.waitExitCode(holder, 5*time.Second); code != 124 {
		t.Errorf("the terminated node's own command: code %d", code)
	}
	// Listing, forced release and status.
	started = lab.startCommand(b, "seen", nil, "sleep", "5")
	lab.waitFor("the lease in the list", 5*time.Second, func() bool {
		out, err := exec.Command(toolBinary, "lease", "list", "--folder", lab.StateFolder(b)).CombinedOutput()
		return err == nil && regexp.MustCompile(`(?m)^seen +`+b+` `).Match(out)
	})
	if out, err := exec.Command(toolBinary, "lease", "release", "--force", "--folder", lab.StateFolder(lab.voters[1]), "seen").CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if code := lab.waitExitCode(started, leaseTTL); code != 124 {
		t.Errorf("after a forced release: code %d", code)
	}
	if out, err := exec.Command(toolBinary, "lease", "status", "--folder", lab.StateFolder(lab.leader())).CombinedOutput(); !strings.Contains(string(out), "leads in term") {
		t.Errorf("%v: %s", err, out)
	}
	if _, err := leases.Call(context.Background(), lab.StateFolder(b), leases.Request{Do: "nothing"}); err == nil {
		t.Error("an unknown request was accepted")
	}
}

// The resource must detect programs that violate exclusion: one whose tool and node are paused beyond the end
// of its lease while the program goes on, and one that uses an old token. A resource that checks tokens
// refuses the latter.
func TestMisbehavingLeaseHolders(t *testing.T) {
	t.Parallel()
	lab := startLeaseLab(t, 3, 3, 52, false)
	lab.waitFor("a leader", 10*time.Second, func() bool { return lab.leader() != "" })
	checkingResource, err := resource.Start(true)
	if err != nil {
		t.Fatal(err)
	}
	holder := lab.startCommand("n0", "l", nil, toolBinary, "act", lab.resource.Address, "--for", "30s", "--deaf")
	lab.waitForAccesses(1, 5*time.Second)
	begin := func(token uint64) bool {
		a, err := resource.Begin(checkingResource.Address, "x", token)
		if err == nil {
			a.End()
		}
		return err == nil
	}
	if !begin(1) {
		t.Error("token 1 is refused")
	}
	holder.Process.Signal(syscall.SIGSTOP)
	lab.noError(lab.Pause("n0")) // otherwise its node renews the lease, and nothing is violated
	nextHolder := lab.startCommand("n1", "l", []string{"--wait", "20s"}, toolBinary, "act", lab.resource.Address, "--for", "100ms")
	if code := lab.waitExitCode(nextHolder, 20*time.Second); code != 0 {
		t.Errorf("next holder: code %d", code)
	}
	if len(lab.resource.Violations()) == 0 {
		t.Error("the resource did not detect overlapping accesses")
	}
	if !begin(2) || begin(1) {
		t.Error("the resource that checks tokens accepts the old token or refuses the new one")
	}
	lab.noError(lab.Resume("n0"))
	holder.Process.Signal(syscall.SIGCONT)
	if code := lab.waitExitCode(holder, 5*time.Second); code != 124 {
		t.Errorf("the paused holder: code %d", code)
	}
	before := len(lab.resource.Violations())
	if a, err := resource.Begin(lab.resource.Address, "old", 1); err == nil {
		a.End()
	}
	if len(lab.resource.Violations()) == before {
		t.Error("the resource did not detect an old token")
	}
	checkingResource.Close()
	lab.cancel()
	lab.resource.Close()
	lab.finishTraffic()
}
