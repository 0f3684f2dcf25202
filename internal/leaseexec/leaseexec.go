// Package leaseexec runs a command under a lease of the fleet: it requests the lease from the local
// node, starts the command once the lease is held, and ends the command before the lease can pass
// on, whether the node reports the lease's end, stops responding or is gone.
//
// Run owns the command and its process group. The lease's end is a time of the machine's own clock
// (clock.Boot), so the command is ended in time without any further message from the node. The
// package cannot end a command while its own process is paused.
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

// Options configure Run.
type Options struct {
	StateDir  string // of the node's state
	Lease     string
	TTL       time.Duration
	KillGrace time.Duration // between SIGTERM and SIGKILL; 0: a quarter of TTL
	MaxWait   time.Duration // how long to wait for the lease; 0: do not queue for it
	Command   []string
	Logf      func(format string, args ...any) // messages for the operator
}

// Errors returned by Run.
var (
	ErrNotHeld   = errors.New("the lease could not be acquired")
	ErrLeaseLost = errors.New("the lease was lost, and the command was ended")
)

const (
	pollInterval   = 10 * time.Millisecond
	releaseTimeout = 500 * time.Millisecond // for the node to report that the lease is released
	silenceTimeout = 5 * time.Second        // without MaxWait, for the node's first answer on the lease
)

// Run runs the command and returns its exit code. An error means that the command did not start or
// had to be ended.
func Run(ctx context.Context, options Options) (code int, err error) {
	held, err := leases.Acquire(ctx, options.StateDir, options.Lease, options.TTL)
	if err != nil {
		return 0, err
	}
	defer held.Close()
	token, until, err := waitForLease(ctx, held, &options)
	if err != nil {
		return 0, err
	}
	return runCommand(ctx, held, &options, token, until)
}

// waitForLease waits until the lease is held.
func waitForLease(ctx context.Context, held *leases.ClientLease, options *Options) (token uint64, until time.Duration, err error) {
	startedAt := clock.Boot()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case event, ok := <-held.Events:
			switch {
			case !ok:
				return 0, 0, fmt.Errorf("%w: the node has ended", ErrNotHeld)
			case event.Kind == lease.Unreachable:
				if options.MaxWait == 0 {
					return 0, 0, fmt.Errorf("%w: no majority of the voters answers", ErrNotHeld)
				}
				options.Logf("no majority of the voters answers; waiting")
			case event.Kind != lease.PhaseChanged:
			case event.Phase == lease.Holding:
				return event.Token, event.Until, nil
			case event.Phase == lease.Queued && options.MaxWait == 0:
				held.RequestRelease()
				return 0, 0, fmt.Errorf("%w: another client holds it or is queued for it", ErrNotHeld)
			case event.Phase == lease.Queued:
				options.Logf("queued for lease %q, place %d", options.Lease, event.Place)
			case event.Phase == lease.Over:
				return 0, 0, fmt.Errorf("%w: %s", ErrNotHeld, event.Why)
			}
		case <-poll.C:
			if waited := clock.Boot() - startedAt; options.MaxWait > 0 && waited > options.MaxWait || options.MaxWait == 0 && waited > silenceTimeout {
				held.RequestRelease()
				return 0, 0, fmt.Errorf("%w: not held after %v", ErrNotHeld, waited.Round(time.Millisecond))
			}
		case <-ctx.Done():
			held.RequestRelease()
			return 0, 0, ctx.Err()
		}
	}
}

// runCommand runs the command while the lease lasts.
func runCommand(ctx context.Context, held *leases.ClientLease, options *Options, token uint64, until time.Duration) (int, error) {
	watchdog := lease.NewWatchdog(options.TTL, options.KillGrace, until)
	if watchdog.NextSignal(clock.Boot()) != lease.None {
		return 0, fmt.Errorf("%w: it ended before the command could start", ErrNotHeld)
	}
	cmd := exec.Command(options.Command[0], options.Command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), "CURLEWRING_LEASE="+options.Lease, "CURLEWRING_TOKEN="+strconv.FormatUint(token, 10))
	setProcessGroup(cmd)
	ended := make(chan error, 1)
	started := make(chan error, 1)
	go func() { // the kernel kills the child when the thread that started it ends
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			ended <- cmd.Wait()
		}
	}()
	if err := <-started; err != nil {
		held.ConfirmStopped()
		return 0, err
	}
	signalGroup := func(signal syscall.Signal) { syscall.Kill(-cmd.Process.Pid, signal) }
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	events, cancelled := held.Events, ctx.Done()
	var waitErr error
	leaseEnded := false // the lease ended before the command did
	for running := true; running; {
		select {
		case event, ok := <-events:
			switch {
			case !ok:
				options.Logf("the node has ended; the command may go on for %v", (until - clock.Boot()).Round(time.Millisecond))
				events = nil
			case event.Kind == lease.Extended:
				until = event.Until
				watchdog.Extend(until)
			case event.Kind == lease.Unreachable:
				options.Logf("no majority of the voters answers; the command may go on for %v", (until - clock.Boot()).Round(time.Millisecond))
			case event.Kind == lease.PhaseChanged && event.Phase >= lease.Stopping:
				options.Logf("the lease is ending: %s", event.Why)
				watchdog.Stop(clock.Boot())
				leaseEnded = true
			}
		case <-poll.C:
		case <-cancelled:
			cancelled = nil
			watchdog.Stop(clock.Boot())
		case waitErr = <-ended:
			running = false
		}
		if !running {
			break
		}
		switch watchdog.NextSignal(clock.Boot()) {
		case lease.Term:
			signalGroup(syscall.SIGTERM)
		case lease.Kill:
			signalGroup(syscall.SIGKILL)
		}
	}
	signalGroup(syscall.SIGKILL) // background processes of the command must not outlive it
	held.ConfirmStopped()
	waitForRelease(held)
	if watchdog.Lost() || leaseEnded {
		return 0, ErrLeaseLost
	}
	var exitErr *exec.ExitError
	if errors.As(waitErr, &exitErr) {
		if status, ok := exitErr.Sys().(syscall.WaitStatus); ok && status.Signaled() {
			return 128 + int(status.Signal()), nil
		}
		return exitErr.ExitCode(), nil
	}
	return 0, waitErr
}

// waitForRelease waits a moment for the node to report that the lease is released.
func waitForRelease(held *leases.ClientLease) {
	timeout := time.After(releaseTimeout)
	for {
		select {
		case event, ok := <-held.Events:
			if !ok || event.Phase == lease.Over {
				return
			}
		case <-timeout:
			return
		}
	}
}
