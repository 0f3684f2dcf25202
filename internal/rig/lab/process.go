package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Build builds the node binary from this module into a folder.
func Build(ctx context.Context, dir string) (string, error) { return build(ctx, dir, "curlewring") }

// BuildTool builds the operators' tool, curlewctl, into a folder.
func BuildTool(ctx context.Context, dir string) (string, error) { return build(ctx, dir, "curlewctl") }

func build(ctx context.Context, dir, program string) (string, error) {
	path := filepath.Join(dir, program)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "curlewring/cmd/"+program)
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w\n%s", program, err, out)
	}
	return path, nil
}

// process is one child process. It can be started again after its exit.
type process struct {
	name    string
	command []string
	env     []string
	address string // serves /ready

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{} // closed when the current child has exited
	log         logTail
	pastCPUTime time.Duration // of children that have exited
	peakBytes   int64         // of children that have exited
	// observedPeak is the peak memory of the current child, read from /proc before it was signalled to exit;
	// 0 if unknown.
	observedPeak int64
	failure      error // set if the child exited unexpectedly or with an error
	stopping     bool  // the exit of the current child is expected
}

// logTail keeps the end of a child's output.
type logTail struct {
	mu   sync.Mutex
	text bytes.Buffer
}

const maxLogBytes = 256 << 10

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.text.Len()+len(p) > maxLogBytes {
		t.text.Next(t.text.Len()/2 + len(p))
	}
	return t.text.Write(p)
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.String()
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is already running", p.name)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.stopping = cmd, make(chan struct{}), false
	exited := p.exited
	go func() { // ends when the child exits
		defer close(exited)
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pastCPUTime += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			unit := int64(1024)
			if runtime.GOOS == "darwin" {
				unit = 1
			}
			// Fallback without /proc: Maxrss includes the memory of the forked copy of this process before
			// exec, so it is at least as large as this process.
			if p.observedPeak == 0 {
				p.peakBytes = max(p.peakBytes, usage.Maxrss*unit)
			}
			p.peakBytes, p.observedPeak = max(p.peakBytes, p.observedPeak), 0
		}
		if !p.stopping {
			p.failure = fmt.Errorf("%s exited unexpectedly: %v", p.name, err)
		} else if err != nil && cmd.ProcessState.Exited() {
			p.failure = fmt.Errorf("%s: %w", p.name, err)
		}
		p.cmd = nil
	}()
	return nil
}

// fail records a failure of the node, unless there is an earlier one.
func (p *process) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure == nil {
		p.failure = err
	}
}

// signal sends a signal to the running child. If final, the child is expected to exit.
func (p *process) signal(sig os.Signal, final bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s is not running", p.name)
	}
	p.stopping = p.stopping || final
	if final {
		p.observedPeak = max(p.observedPeak, procMemory(p.cmd.Process.Pid, "VmHWM:"))
	}
	return p.cmd.Process.Signal(sig)
}

// procMemory reads a memory figure of a process, in bytes, from /proc/PID/status (proc(5)). It returns 0 if
// the figure is not available.
func procMemory(pid int, key string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, key); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// stop sends SIGTERM, and SIGKILL if the child has not exited after the timeout.
func (p *process) stop(timeout time.Duration) {
	p.mu.Lock()
	exited := p.exited
	running := p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL, true)
		<-exited
	}
}

// cpuUsed returns the CPU time of all children so far. That of a running child is included only where /proc
// exists.
func (p *process) cpuUsed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.pastCPUTime
	}
	return p.pastCPUTime + procCPUTime(p.cmd.Process.Pid)
}

// residentBytes returns the resident memory of the running child; 0 if it is not running or /proc does not
// exist.
func (p *process) residentBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return procMemory(p.cmd.Process.Pid, "VmRSS:")
}

// procCPUTime reads a process's CPU time from /proc/PID/stat: fields 14 and 15, in ticks of 10 ms (proc(5)).
// It returns 0 where /proc does not exist.
func procCPUTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) < 13 {
		return 0
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	if err1 != nil || err2 != nil {
		return 0
	}
	return time.Duration(user+system) * 10 * time.Millisecond
}

// waitReady waits until the child's /ready answers 200.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		p.mu.Lock()
		failure := p.failure
		p.mu.Unlock()
		if failure != nil {
			return fmt.Errorf("%w\n%s", failure, p.log.String())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w\n%s", p.name, ctx.Err(), p.log.String())
		}
	}
}
