// Package leaseexec runs a command under a lease of the fleet: it asks the node beside it for the
// lease, starts the command once that is held, and ends it before the lease can pass on,
// whether the node says so, falls silent or is gone.
//
// Run owns the command and its process group. The lease's end is told in the machine's own
// clock (clock.Boot), so nothing that the node can't say any more has to arrive in time.
// What it can't do: end a command while this process itself stands still.
package leaseexec

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/leases"
)

// Options say what to run.
type Options struct {
	StateDir  string // of the node's state
	Lease     string
	TTL       time.Duration
	KillGrace time.Duration // between SIGTERM and SIGKILL; 0: a quarter of TTL
	MaxWait   time.Duration // how long to wait for the lease; 0: not in line at all
	Command   []string
	Logf      func(format string, args ...any) // what an operator may want to know
}

// Errors of Run.
var (
	ErrNotHeld   = errors.New("the lease is not to be had")
	ErrLeaseLost = errors.New("the lease could not be kept, and the command was ended")
)

const (
	pollInterval   = 10 * time.Millisecond
	releaseTimeout = 500 * time.Millisecond // for the node's word that the lease is free
	silenceTimeout = 5 * time.Second        // a node that says nothing for so long, while nobody waits in line
)

// Run runs the command, and returns its exit code. An error says that it did not start, or had to be ended.
func Run(ctx context.Context, o Options) (code int, err error) {
	h, err := leases.Acquire(ctx, o.StateDir, o.Lease, o.TTL)
	if err != nil {
		return 0, err
	}
	defer h.Close()
	token, until, err := waitForLease(ctx, h, &o)
	if err != nil {
		return 0, err
	}
	return runCommand(ctx, h, &o, token, until)
}

// held waits until the lease is held.
func waitForLease(ctx context.Context, h *leases.ClientLease, o *Options) (token uint64, until time.Duration, err error) {
	begun := clock.Boot()
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for {
		select {
		case e, ok := <-h.Events:
			switch {
			case !ok:
				return 0, 0, fmt.Errorf("%w: the node has ended", ErrNotHeld)
			case e.Kind == lease.Unreachable:
				if o.MaxWait == 0 {
					return 0, 0, fmt.Errorf("%w: no majority of the voters answers", ErrNotHeld)
				}
				o.Logf("no majority of the voters answers; waiting")
			case e.Kind != lease.PhaseChanged:
			case e.Phase == lease.Holding:
				return e.Token, e.Until, nil
			case e.Phase == lease.Queued && o.MaxWait == 0:
				h.RequestRelease()
				return 0, 0, fmt.Errorf("%w: another holds it", ErrNotHeld)
			case e.Phase == lease.Queued:
				o.Logf("in line for %q, place %d", o.Lease, e.Place)
			case e.Phase == lease.Over:
				return 0, 0, fmt.Errorf("%w: %s", ErrNotHeld, e.Why)
			}
		case <-look.C:
			if waited := clock.Boot() - begun; o.MaxWait > 0 && waited > o.MaxWait || o.MaxWait == 0 && waited > silenceTimeout {
				h.RequestRelease()
				return 0, 0, fmt.Errorf("%w: not within %v", ErrNotHeld, waited.Round(time.Millisecond))
			}
		case <-ctx.Done():
			h.RequestRelease()
			return 0, 0, ctx.Err()
		}
	}
}

// act runs the command while the lease lasts.
func runCommand(ctx context.Context, h *leases.ClientLease, o *Options, token uint64, until time.Duration) (int, error) {
	w := lease.NewWatchdog(o.TTL, o.KillGrace, until)
	if w.NextSignal(clock.Boot()) != lease.None {
		return 0, fmt.Errorf("%w: it was over before the command could start", ErrNotHeld)
	}
	cmd := exec.Command(o.Command[0], o.Command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), "CURLEWRING_LEASE="+o.Lease, "CURLEWRING_TOKEN="+strconv.FormatUint(token, 10))
	group(cmd)
	ended := make(chan error, 1)
	started := make(chan error, 1)
	go func() { // the kernel ends the child with the thread that started it
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			ended <- cmd.Wait()
		}
	}()
	if err := <-started; err != nil {
		h.ConfirmStopped()
		return 0, err
	}
	kill := func(s syscall.Signal) { syscall.Kill(-cmd.Process.Pid, s) }
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	events, done := h.Events, ctx.Done()
	var wrong error
	gone := false // the lease, before the command was
	for running := true; running; {
		select {
		case e, ok := <-events:
			switch {
			case !ok:
				o.Logf("the node has ended; the command may go on for %v", (until - clock.Boot()).Round(time.Millisecond))
				events = nil
			case e.Kind == lease.Extended:
				until = e.Until
				w.Extend(until)
			case e.Kind == lease.Unreachable:
				o.Logf("no majority of the voters answers; the command may go on for %v", (until - clock.Boot()).Round(time.Millisecond))
			case e.Kind == lease.PhaseChanged && e.Phase >= lease.Stopping:
				o.Logf("the lease goes: %s", e.Why)
				w.Stop(clock.Boot())
				gone = true
			}
		case <-look.C:
		case <-done:
			done = nil
			w.Stop(clock.Boot())
		case wrong = <-ended:
			running = false
		}
		if !running {
			break
		}
		switch w.NextSignal(clock.Boot()) {
		case lease.Term:
			kill(syscall.SIGTERM)
		case lease.Kill:
			kill(syscall.SIGKILL)
		}
	}
	kill(syscall.SIGKILL) // what the command has left behind in its group acts no longer than it
	h.ConfirmStopped()
	waitForRelease(h)
	if w.Lost() || gone {
		return 0, ErrLeaseLost
	}
	var exit *exec.ExitError
	if errors.As(wrong, &exit) {
		if s, ok := exit.Sys().(syscall.WaitStatus); ok && s.Signaled() {
			return 128 + int(s.Signal()), nil
		}
		return exit.ExitCode(), nil
	}
	return 0, wrong
}

// free waits a moment for the word that the lease is free.
func waitForRelease(h *leases.ClientLease) {
	late := time.After(releaseTimeout)
	for {
		select {
		case e, ok := <-h.Events:
			if !ok || e.Phase == lease.Over {
				return
			}
		case <-late:
			return
		}
	}
}
