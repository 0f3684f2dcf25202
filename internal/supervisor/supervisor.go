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

// Config says what to run, and how to restart and stop it.
type Config struct {
	Command           []string
	Env               []string      // added to the sidecar's environment
	InitialBackoff    time.Duration // wait before the first restart
	MaxBackoff        time.Duration // the wait doubles with each restart, up to this
	BackoffResetAfter time.Duration // the wait returns to InitialBackoff after an application ran this long
	StopTimeout       time.Duration // time between SIGTERM and SIGKILL
	Log               *slog.Logger
}

// DefaultConfig returns the configuration that sidecars use.
func DefaultConfig(command []string, log *slog.Logger) Config {
	return Config{
		Command: command, InitialBackoff: 200 * time.Millisecond, MaxBackoff: 5 * time.Second, BackoffResetAfter: 10 * time.Second, StopTimeout: 10 * time.Second, Log: log,
	}
}

// errStartFailed means that the command could not be started at all.
var errStartFailed = errors.New("starting the application failed")

// Run runs the application until it exits with code 0 or the context ends, and returns nil in both
// cases. When the context ends, the application gets SIGTERM, and SIGKILL if it does not exit in
// time. An application that dies is restarted. An error means that the first start failed.
func Run(ctx context.Context, config Config) error {
	backoff := config.InitialBackoff
	for starts := 0; ; starts++ {
		startedAt := time.Now()
		cmd := exec.Command(config.Command[0], config.Command[1:]...)
		cmd.Env = append(os.Environ(), config.Env...)
		cmd.Stdin, cmd.Stdout, cmd.Stderr = nil, os.Stdout, os.Stderr
		// A process group of its own: signals to the sidecar's group reach the application only
		// through the sidecar, and in order.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			if starts == 0 {
				return fmt.Errorf("%w: %w", errStartFailed, err)
			}
			config.Log.Error("restarting the application failed", "err", err)
		} else {
			config.Log.Info("the application has started", "pid", cmd.Process.Pid, "starts", starts+1)
			err, final := config.waitForExit(ctx, cmd)
			if final {
				return nil
			}
			config.Log.Warn("the application died", "err", err, "after", time.Since(startedAt).Round(time.Millisecond))
		}
		if time.Since(startedAt) >= config.BackoffResetAfter {
			backoff = config.InitialBackoff
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		backoff = min(2*backoff, config.MaxBackoff)
	}
}

// waitForExit waits for a child, and ends it when the context ends. final means that the
// application must not be restarted.
func (c *Config) waitForExit(ctx context.Context, cmd *exec.Cmd) (err error, final bool) {
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
	timer := time.NewTimer(c.StopTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		c.Log.Warn("the application did not exit in time; killing it")
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-ended
	}
	return nil, true
}
