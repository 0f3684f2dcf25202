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

// started is a command that runs.
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

// code waits for the end.
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
		x.t.Errorf("%v runs on after %v: %s", s.Args, within, s.out.String())
		return -1
	}
}

// acting waits until so many acts have begun, and returns how many of them go on.
func (x *leaseLab) waitForAccesses(begun int, within time.Duration) (open int) {
	x.t.Helper()
	x.waitFor(fmt.Sprint(begun, " acts"), within, func() bool { return len(x.resource.History()) >= begun })
	for _, a := range x.resource.History() {
		if a.To.IsZero() {
			open++
		}
	}
	return open
}

// What operators do with leases, over real processes: commands with their codes, lines, handing on, and ends of all kinds.
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
	// The command's code and the token.
	s := x.startCommand(a, "echo", nil, "sh", "-c", "echo $CURLEWRING_LEASE under $CURLEWRING_TOKEN; exit 7")
	if code := x.waitExitCode(s, 10*time.Second); code != 7 || !regexp.MustCompile(`echo under \d+\n`).MatchString(s.out.String()) {
		t.Errorf("code %d, %q", code, s.out.String())
	}
	s = x.startCommand(a, "echo", nil, "nobody-has-such-a-command")
	if code := x.waitExitCode(s, 10*time.Second); code != 125 {
		t.Errorf("a command that does not start: code %d, %q", code, s.out.String())
	}
	if err := exec.Command(toolBinary, "lease", "run", "--folder", t.TempDir(), "l", "--", "true").Run(); exitCode(err) != 125 {
		t.Errorf("no node there: %v", err)
	}
	// Another holds it: told at once, or waited for.
	first := x.startCommand(a, "l", nil, act("2s")...)
	x.waitForAccesses(1, 5*time.Second)
	if code := x.waitExitCode(x.startCommand(b, "l", nil, act("1s")...), 5*time.Second); code != 75 {
		t.Errorf("held by another: code %d", code)
	}
	if code := x.waitExitCode(x.startCommand(b, "l", []string{"--wait", "1s"}, act("1s")...), 5*time.Second); code != 75 {
		t.Errorf("not within its wait: code %d", code)
	}
	if code := x.waitExitCode(x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...), 20*time.Second); code != 0 {
		t.Errorf("waited for: code %d", code)
	}
	if code := x.waitExitCode(first, time.Second); code != 0 {
		t.Errorf("code %d", code)
	}
	// The tool is killed: its command ends with it, and the lease passes on when it has run out.
	first = x.startCommand(a, "l", nil, act("30s")...)
	x.waitForAccesses(3, 5*time.Second)
	second := x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...)
	begun := time.Now()
	first.Process.Kill()
	x.waitFor("the command's end", time.Second, func() bool { return x.waitForAccesses(3, 0) == 0 })
	if code := x.waitExitCode(second, 15*time.Second); code != 0 || time.Since(begun) < leaseTTL/2 {
		t.Errorf("after a killed tool: code %d after %v", code, time.Since(begun))
	}
	<-first.ended
	// The node is killed, and stands still: a command that will not end is ended, before the next one begins.
	for name, fault := range map[string]func() func(){
		"killed": func() func() {
			x.noError(x.Kill(a))
			return func() {
				x.noError(x.Start(a))
				x.waitFor("it is back", 10*time.Second, func() bool { _, ok := x.leaseStatus(a); return ok })
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
			t.Errorf("node %s: the next one ends with %d: %s", name, code, second.out.String())
		}
		end()
	}
	x.waitFor("the nodes are one again", 30*time.Second, func() bool { n, _ := x.currentView(x.names); return n > 0 })
	// Handed on to one who is not first in line.
	n := len(x.resource.History())
	first = x.startCommand(a, "l", []string{"--wait", "20s"}, act("30s")...)
	x.waitForAccesses(n+1, 20*time.Second)
	line := x.startCommand(x.voters[0], "l", []string{"--wait", "30s"}, act("1s")...)
	x.waitFor("one in line", 5*time.Second, func() bool { return strings.Contains(line.out.String(), "place 1") })
	last := x.startCommand(b, "l", []string{"--wait", "30s"}, act("1s")...)
	x.waitFor("two in line", 5*time.Second, func() bool { return strings.Contains(last.out.String(), "place 2") })
	if out, err := exec.Command(toolBinary, "lease", "hand", "--folder", x.StateFolder(a), "l", "--to", b).CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if code := x.waitExitCode(first, 5*time.Second); code != 124 {
		t.Errorf("handed on: code %d", code)
	}
	if code := x.waitExitCode(last, 5*time.Second); code != 0 {
		t.Errorf("the one it was handed to: code %d", code)
	}
	if code := x.waitExitCode(line, 10*time.Second); code != 0 {
		t.Errorf("the one in line: code %d", code)
	}
	// A node that is told to end has its command end, and the lease passes on at once.
	n = len(x.resource.History())
	first = x.startCommand(a, "l", []string{"--wait", "20s"}, act("30s")...)
	x.waitForAccesses(n+1, 20*time.Second)
	second = x.startCommand(b, "l", []string{"--wait", "20s"}, act("100ms")...)
	x.waitFor("one in line", 5*time.Second, func() bool { return strings.Contains(second.out.String(), "place 1") })
	begun = time.Now()
	p, err := x.findNode(a)
	x.noError(err)
	go p.stop(10 * time.Second)
	if code := x.waitExitCode(second, 10*time.Second); code != 0 || time.Since(begun) > leaseTTL {
		t.Errorf("after a node that was told to end: code %d after %v", code, time.Since(begun))
	}
	t.Logf("a node is told to end: the next command has ended after %v", time.Since(begun))
	if code := x.waitExitCode(first, 5*time.Second); code != 124 {
		t.Errorf("its own command: code %d", code)
	}
	// Seen by operators.
	s = x.startCommand(b, "seen", nil, "sleep", "5")
	x.waitFor("it is listed", 5*time.Second, func() bool {
		out, err := exec.Command(toolBinary, "lease", "list", "--folder", x.StateFolder(b)).CombinedOutput()
		return err == nil && regexp.MustCompile(`(?m)^seen +`+b+` `).Match(out)
	})
	if out, err := exec.Command(toolBinary, "lease", "release", "--force", "--folder", x.StateFolder(x.voters[1]), "seen").CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if code := x.waitExitCode(s, leaseTTL); code != 124 {
		t.Errorf("a lease that was taken away: code %d", code)
	}
	if out, err := exec.Command(toolBinary, "lease", "status", "--folder", x.StateFolder(x.leader())).CombinedOutput(); !strings.Contains(string(out), "leads in term") {
		t.Errorf("%v: %s", err, out)
	}
	if _, err := leases.Call(context.Background(), x.StateFolder(b), leases.Request{Do: "nothing"}); err == nil {
		t.Error("nothing was done")
	}
}

// Programs that break the promise are told by the resource: one whose tool and node stand still beyond its lease while it acts
// on, and one that acts under an old token. A resource that checks tokens turns the second one away.
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
	x.noError(x.Pause("n0")) // else its node renews for it, and it is no rogue
	second := x.startCommand("n1", "l", []string{"--wait", "20s"}, toolBinary, "act", x.resource.Address, "--for", "100ms")
	if code := x.waitExitCode(second, 20*time.Second); code != 0 {
		t.Errorf("code %d", code)
	}
	if len(x.resource.Violations()) == 0 {
		t.Error("the resource has not seen two act at once")
	}
	if !begin(2) || begin(1) {
		t.Error("a resource that checks tokens takes an old one, or not the new one")
	}
	x.noError(x.Resume("n0"))
	first.Process.Signal(syscall.SIGCONT)
	if code := x.waitExitCode(first, 5*time.Second); code != 124 {
		t.Errorf("the one that stood still: code %d", code)
	}
	had := len(x.resource.Violations())
	if a, err := resource.Begin(x.resource.Address, "old", 1); err == nil {
		a.End()
	}
	if len(x.resource.Violations()) == had {
		t.Error("an old token is not told")
	}
	checks.Close()
	x.cancel()
	x.resource.Close()
	x.finishTraffic()
}
