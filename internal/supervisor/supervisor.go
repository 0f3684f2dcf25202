package supervisor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Config says what to run.
type Config struct {
	Command           []string
	Env               []string      // beside the sidecar's own
	InitialBackoff    time.Duration // wait before the first new start
	MaxBackoff        time.Duration // ... doubled up to this
	BackoffResetAfter time.Duration // an application that ran for so long begins anew with First
	StopTimeout       time.Duration // from the word to end until it is killed
	Log               *slog.Logger
}

// Default are the waits of a sidecar.
func DefaultConfig(command []string, log *slog.Logger) Config {
	return Config{
		Command: command, InitialBackoff: 200 * time.Millisecond, MaxBackoff: 5 * time.Second, BackoffResetAfter: 10 * time.Second, StopTimeout: 10 * time.Second, Log: log,
	}
}

// errStart says that the command cannot be run at all.
var errStartFailed = errors.New("the application cannot be started")

// Run runs the application until it ends by itself with code 0, or the context
// ends: then it gets SIGTERM, and SIGKILL if it does not go. An application that
// dies is started again. Run returns nil in both cases; an error says that the
// command could not be started in the first place.
func Run(ctx context.Context, c Config) error {
	wait := c.InitialBackoff
	for starts := 0; ; starts++ {
		began := time.Now()
		cmd := exec.Command(c.Command[0], c.Command[1:]...)
		cmd.Env = append(os.Environ(), c.Env...)
		cmd.Stdin, cmd.Stdout, cmd.Stderr = nil, os.Stdout, os.Stderr
		// A group of its own: a signal to the sidecar's comes to the application by
		// the sidecar alone, and in order.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			if starts == 0 {
				return fmt.Errorf("%w: %w", errStartFailed, err)
			}
			c.Log.Error("the application cannot be started again", "err", err)
		} else {
			c.Log.Info("the application has started", "pid", cmd.Process.Pid, "starts", starts+1)
			err, over := c.waitForExit(ctx, cmd)
			if over {
				return nil
			}
			c.Log.Warn("the application died", "err", err, "after", time.Since(began).Round(time.Millisecond))
		}
		if time.Since(began) >= c.BackoffResetAfter {
			wait = c.InitialBackoff
		}
		alarm := time.NewTimer(wait)
		select {
		case <-alarm.C:
		case <-ctx.Done():
			alarm.Stop()
			return nil
		}
		wait = min(2*wait, c.MaxBackoff)
	}
}

// follow waits for a child. over says that it is not to be started again.
func (c *Config) waitForExit(ctx context.Context, cmd *exec.Cmd) (err error, over bool) {
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }() // ends with the child
	select {
	case err := <-ended:
		if err == nil {
			c.Log.Info("the application has ended")
		}
		return err, err == nil
	case <-ctx.Done():
	}
	syscall.Kill(-cmd.Process.Pid, syscall.SIGTERM)
	alarm := time.NewTimer(c.StopTimeout)
	defer alarm.Stop()
	select {
	case <-ended:
	case <-alarm.C:
		c.Log.Warn("the application did not end in time, and is killed")
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-ended
	}
	return nil, true
}
