package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

// Build builds the node's program from this module into a folder.
func Build(ctx context.Context, dir string) (string, error) { return build(ctx, dir, "curlewring") }

// BuildTool builds the operators' tool.
func BuildTool(ctx context.Context, dir string) (string, error) { return build(ctx, dir, "curlewctl") }

func build(ctx context.Context, dir, program string) (string, error) {
	path := filepath.Join(dir, program)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "curlewring/cmd/"+program)
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w\n%s", program, err, out)
	}
	return path, nil
}

// process is one child.
type process struct {
	name    string
	command []string
	env     []string
	address string // where it answers /ready

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // the present child has ended
	log          logTail
	pastCPUTime  time.Duration // of children that have ended
	peakBytes    int64         // bytes, of children that have ended
	observedPeak int64         // the same of the present child, as the system told before its end; 0: it did not
	failure      error         // it ended by itself
	stopping     bool          // its end is wanted
}

// tail keeps the last of what a child writes.
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
		return fmt.Errorf("%s runs already", p.name)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.stopping = cmd, make(chan struct{}), false
	ended := p.exited
	go func() { // ends with the child
		defer close(ended)
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pastCPUTime += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			unit := int64(1024)
			if runtime.GOOS == "darwin" {
				unit = 1
			}
			// Without /proc this has to do: it counts what the child was before it
			// became the node, which is as much as this process has.
			if p.observedPeak == 0 {
				p.peakBytes = max(p.peakBytes, u.Maxrss*unit)
			}
			p.peakBytes, p.observedPeak = max(p.peakBytes, p.observedPeak), 0
		}
		if !p.stopping {
			p.failure = fmt.Errorf("%s ended by itself: %v", p.name, err)
		} else if err != nil && cmd.ProcessState.Exited() {
			p.failure = fmt.Errorf("%s: %w", p.name, err)
		}
		p.cmd = nil
	}()
	return nil
}

// signal sends one, if the child runs.
func (p *process) signal(s os.Signal, final bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.name)
	}
	p.stopping = p.stopping || final
	if final {
		p.observedPeak = max(p.observedPeak, procMemory(p.cmd.Process.Pid, "VmHWM:"))
	}
	return p.cmd.Process.Signal(s)
}

// statusOf reads a figure of a process's memory from /proc, where there is one
// (proc(5): status, in kB). 0: not told.
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

// stop ends the child in order, or after a while by force.
func (p *process) stop(patience time.Duration) {
	p.mu.Lock()
	ended := p.exited
	running := p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(patience):
		p.signal(syscall.SIGKILL, true)
		<-ended
	}
}

// used is the CPU time of all its children, as far as the system tells that of
// one that runs.
func (p *process) cpuUsed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.pastCPUTime
	}
	return p.pastCPUTime + procCPUTime(p.cmd.Process.Pid)
}

// resident is the memory that the child has now, as far as the system tells.
func (p *process) residentBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return procMemory(p.cmd.Process.Pid, "VmRSS:")
}

// cpuOf reads a process's CPU time from /proc, where there is one (proc(5):
// fields 14 and 15 of stat, in ticks of 10 ms).
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

// waitReady waits until the child says that it serves.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
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
		wrong := p.failure
		p.mu.Unlock()
		if wrong != nil {
			return fmt.Errorf("%w\n%s", wrong, p.log.String())
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w\n%s", p.name, ctx.Err(), p.log.String())
		}
	}
}

// freeAddress finds a port on a loopback address that nothing else here has.
func freeAddress(host string) (string, error) {
	// A child that is forked meanwhile would hold a copy of the listener until it runs its program, and the port with it.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	return address, errors.Join(l.Close())
}
