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

func (x *leaseLab) startCommand(node, name string, flags []string, command ...string) *runningCommand {
	x.t.Helper()
	s := &runningCommand{Cmd: x.leaseRunCommand(node, name, flags, command...), ended: make(chan error, 1)}
	s.Stdout, s.Stderr = &s.out, &s.out
	if err := s.Start(); err != nil {
		x.t.Fatal(err)
	}
	go func() { s.ended <- s.Wait() }()
	return s
}

// waitExitCode waits for the command's exit; it kills a command that exceeds the limit.
func (x *leaseLab) waitExitCode(s *runningCommand, within time.Duration) int {
	x.t.Helper()
	select {
	case err := <-s.ended:
		if err == nil {
			return 0
		}
		return exitCode(err)
	case <-time.After(within):
		s.Process.Kill()
		x.t.Errorf("%v still runs after %v: %s", s.Args, within, s.out.String())
		return -1
	}
}

// waitForAccesses waits until the given number of accesses have begun, and returns how many of them are in
// progress.
func (x *leaseLab) waitForAccesses(begun int, within time.Duration) (open int) {
	x.t.Helper()
	x.waitFor(fmt.Sprint(begun, " accesses"), within, func() bool { return len(x.resource.History()) >= begun })
	for _, a := range x.resource.History() {
		if a.To.IsZero() {
			open++
		}
	}
	return open
}

// The operators' lease commands on real processes: exit codes, waiting queue, transfer to another node, and
// all ways in which a lease ends.
func TestLeaseRunCommand(t *testing.T) {
	t.Parallel()
	x := startLeaseLab(t, 5, 3, 51, false)
	defer x.finish()
	x.waitFor("a leader", 10*time.Second, func() bool { return x.leader() != "" })
	others := x.namesExcept(x.voters...)
	a, b := others[0], others[1]
	act := func(length string, more ...string) []string {
		return append([]string{toolBinary, "act", x.resource.Address, "--for", length}, more...)
	}
	// Exit code of the command, and its environment.
	s := x.startCommand(a, "echo", nil, "sh", "-c", "echo $CURLEWRING_LEASE under $CURLEWRING_TOKEN; exit 7")
	if code := x.waitExitCode(s, 10*time.Second); code != 7 || !regexp.MustCompile(`echo under \d+\n`).MatchString(s.out.String()) {
		t.Errorf("code %d, %q", code, s.out.String())
	}
	s = x.startCommand(a, "echo", nil, "nobody-has-such-a-command")
	if code := x.waitExitCode(s, 10*time.Second); code != 125 {
		t.Errorf("a command that cannot be started: code %d, %q", code, s.out.String())
	}
	if err := exec.Command(toolBinary, "lease", "run", "--folder", t.TempDir(), "l", "--", "true").Run(); exitCode(err) != 125 {
		t.Errorf("no node at this folder: %v", err)
	}
	// A lease that another node holds: refused at once, or waited for.
	first := x.startCommand(a, "l", nil, act("2s")...)
	x.waitForAccesses(1, 5*time.Second)
	if code := x.waitExitCode(x.startCommand(b, "l", nil, act("1s")...), 5*time.Second); code != 75 {
		t.Errorf("lease held by another node: code %d", code)
	}
	if code := x.waitExitCode(x.startCommand(b, "l", []string{"--wait", "1s"}, act("1s")...), 5*time.Second); code != 75 {
		t.Errorf("lease not free within the wait: code %d", code)
	}
	if code := x.waitExitCode(x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...), 20*time.Second); code != 0 {
		t.Errorf("lease free within the wait: code %d", code)
	}
	if code := x.waitExitCode(first, time.Second); code != 0 {
		t.Errorf("first holder: code %d", code)
	}
	// The tool is killed: its command is killed with it, and the next command gets the lease after it has
	// expired.
	first = x.startCommand(a, "l", nil, act("30s")...)
	x.waitForAccesses(3, 5*time.Second)
	second := x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...)
	begun := time.Now()
	first.Process.Kill()
	x.waitFor("the end of the command's access", time.Second, func() bool { return x.waitForAccesses(3, 0) == 0 })
	if code := x.waitExitCode(second, 15*time.Second); code != 0 || time.Since(begun) < leaseTTL/2 {
		t.Errorf("next command after the tool was killed: code %d after %v", code, time.Since(begun))
	}
	<-first.ended
	// The node is killed or paused: a command that ignores its termination is killed before the next one
	// begins.
	for name, fault := range map[string]func() func(){
		"killed": func() func() {
			x.noError(x.Kill(a))
			return func() {
				x.noError(x.Start(a))
				x.waitFor("the node's return", 10*time.Second, func() bool { _, ok := x.leaseStatus(a); return ok })
			}
		},
		"stopped": func() func() { x.noError(x.Pause(a)); return func() { x.noError(x.Resume(a)) } },
	} {
		n := len(x.resource.History())
		first := x.startCommand(a, "l", []string{"--wait", "20s"}, act("30s", "--deaf")...)
		x.waitForAccesses(n+1, 20*time.Second)
		second := x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...)
		begun := time.Now()
		end := fault()
		if code := x.waitExitCode(first, 5*time.Second); code != 124 || time.Since(begun) > leaseTTL+2*time.Second {
			t.Errorf("node %s: code %d after %v: %s", name, code, time.Since(begun), first.out.String())
		}
		if code := x.waitExitCode(second, 20*time.Second); code != 0 {
			t.Errorf("node %s: the next command exits with %d: %s", name, code, second.out.String())
		}
		end()
	}
	x.waitFor("agreement of all nodes", 30*time.Second, func() bool { n, _ := x.currentView(x.names); return n > 0 })
	// Transfer to a waiting node that is not the first in the queue.
	n := len(x.resource.History())
	first = x.startCommand(a, "l", []string{"--wait", "20s"}, act("30s")...)
	x.waitForAccesses(n+1, 20*time.Second)
	line := x.startCommand(x.voters[0], "l", []string{"--wait", "30s"}, act("1s")...)
	x.waitFor("one waiting command", 5*time.Second, func() bool { return strings.Contains(line.out.String(), "place 1") })
	last := x.startCommand(b, "l", []string{"--wait", "30s"}, act("1s")...)
	x.waitFor("two waiting commands", 5*time.Second, func() bool { return strings.Contains(last.out.String(), "place 2") })
	if out, err := exec.Command(toolBinary, "lease", "hand", "--folder", x.StateFolder(a), "l", "--to", b).CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if code := x.waitExitCode(first, 5*time.Second); code != 124 {
		t.Errorf("holder after the transfer: code %d", code)
	}
	if code := x.waitExitCode(last, 5*time.Second); code != 0 {
		t.Errorf("target of the transfer: code %d", code)
	}
	if code := x.waitExitCode(line, 10*time.Second); code != 0 {
		t.Errorf("first in the queue: code %d", code)
	}
	// A node that terminates also terminates its command, and releases the lease at once.
	n = len(x.resource.History())
	first = x.startCommand(a, "l", []string{"--wait", "20s"}, act("30s")...)
	x.waitForAccesses(n+1, 20*time.Second)
	second = x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...)
	x.waitFor("one waiting command", 5*time.Second, func() bool { return strings.Contains(second.out.String(), "place 1") })
	begun = time.Now()
	p, err := x.findNode(a)
	x.noError(err)
	go p.stop(10 * time.Second)
	if code := x.waitExitCode(second, 10*time.Second); code != 0 || time.Since(begun) > leaseTTL {
		t.Errorf("next command after the node was terminated: code %d after %v", code, time.Since(begun))
	}
	t.Logf("node terminated: the next command exited after %v", time.Since(begun))
	if code := x.waitExitCode(first, 5*time.Second); code != 124 {
		t.Errorf("the terminated node's own command: code %d", code)
	}
	// Listing, forced release and status.
	s = x.startCommand(b, "seen", nil, "sleep", "5")
	x.waitFor("the lease in the list", 5*time.Second, func() bool {
		out, err := exec.Command(toolBinary, "lease", "list", "--folder", x.StateFolder(b)).CombinedOutput()
		return err == nil && regexp.MustCompile(`(?m)^seen +`+b+` `).Match(out)
	})
	if out, err := exec.Command(toolBinary, "lease", "release", "--force", "--folder", x.StateFolder(x.voters[1]), "seen").CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if code := x.waitExitCode(s, leaseTTL); code != 124 {
		t.Errorf("after a forced release: code %d", code)
	}
	if out, err := exec.Command(toolBinary, "lease", "status", "--folder", x.StateFolder(x.leader())).CombinedOutput(); !strings.Contains(string(out), "leads in term") {
		t.Errorf("%v: %s", err, out)
	}
	if _, err := leases.Call(context.Background(), x.StateFolder(b), leases.Request{Do: "nothing"}); err == nil {
		t.Error("an unknown request was accepted")
	}
}

// The resource must detect programs that violate exclusion: one whose tool and node are paused beyond the end
// of its lease while the program goes on, and one that uses an old token. A resource that checks tokens
// refuses the latter.
func TestMisbehavingLeaseHolders(t *testing.T) {
	t.Parallel()
	x := startLeaseLab(t, 3, 3, 52, false)
	x.waitFor("a leader", 10*time.Second, func() bool { return x.leader() != "" })
	checks, err := resource.Start(true)
	if err != nil {
		t.Fatal(err)
	}
	first := x.startCommand("n0", "l", nil, toolBinary, "act", x.resource.Address, "--for", "30s", "--deaf")
	x.waitForAccesses(1, 5*time.Second)
	begin := func(token uint64) bool {
		a, err := resource.Begin(checks.Address, "x", token)
		if err == nil {
			a.End()
		}
		return err == nil
	}
	if !begin(1) {
		t.Error("token 1 is refused")
	}
	first.Process.Signal(syscall.SIGSTOP)
	x.noError(x.Pause("n0")) // otherwise its node renews the lease, and nothing is violated
	second := x.startCommand("n1", "l", []string{"--wait", "20s"}, toolBinary, "act", x.resource.Address, "--for", "100ms")
	if code := x.waitExitCode(second, 20*time.Second); code != 0 {
		t.Errorf("next holder: code %d", code)
	}
	if len(x.resource.Violations()) == 0 {
		t.Error("the resource did not detect overlapping accesses")
	}
	if !begin(2) || begin(1) {
		t.Error("the resource accepts the old token or refuses the new one")
	}
	x.noError(x.Resume("n0"))
	first.Process.Signal(syscall.SIGCONT)
	if code := x.waitExitCode(first, 5*time.Second); code != 124 {
		t.Errorf("the paused holder: code %d", code)
	}
	had := len(x.resource.Violations())
	if a, err := resource.Begin(x.resource.Address, "old", 1); err == nil {
		a.End()
	}
	if len(x.resource.Violations()) == had {
		t.Error("the resource did not detect an old token")
	}
	checks.Close()
	x.cancel()
	x.resource.Close()
	x.finishTraffic()
}
