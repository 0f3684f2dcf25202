package lab

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewring/internal/rig/standin"
)

// Up to maxLocalIdleConns idle connections are held, and used for requests, by this process. More need helper
// processes, since a process may have 20,000 descriptors here. Connections of helpers only request /ready.
const (
	maxLocalIdleConns  = 15000
	maxHelperIdleConns = 19500
	quietPeriod        = 3 * time.Second // over which CPU use without requests is measured
)

// idlePolicy lets idle connections stay open.
const idlePolicy = "[[idle]]\nfor = \"6h\"\n"

// IdleRow reports what the idle connections cost the nodes in front of the first tier.
type IdleRow struct {
	Held         int     `json:"held"`
	HeldAtEnd    int     `json:"still_held_at_the_end"`
	BytesPerConn float64 `json:"resident_bytes_a_connection"`
	BeforeMB     float64 `json:"resident_mb_before"`
	AfterMB      float64 `json:"resident_mb_after"`
	QuietCores   float64 `json:"cores_when_quiet"`
	Requests     int64   `json:"asked"`
	Served       int64   `json:"served"`
	Lost         int64   `json:"lost"`
}

// applyIdleOptions adjusts the options for idle connections: the nodes' socket limit must allow for them, and
// the operators' file must let them stay open.
func (o *Options) applyIdleOptions(dir string) error {
	if o.IdleConns == 0 {
		return nil
	}
	// Client connections get half of the descriptors, and the traffic needs some of these.
	o.Sockets = max(o.Sockets, 2*(o.IdleConns/o.Nodes+2048)+100)
	if o.Operator != "" {
		return nil
	}
	o.Operator = filepath.Join(dir, "idle.toml")
	return os.WriteFile(o.Operator, []byte(idlePolicy), 0o600)
}

// idleConns holds the idle connections of a lab.
type idleConns struct {
	local   *standin.IdleClients
	helpers []*exec.Cmd
	count   int
	row     IdleRow
}

// openIdleConns opens the idle connections and measures what they cost.
func (l *Lab) openIdleConns(ctx context.Context) (err error) {
	resident := func() (sum int64) {
		for _, p := range l.frontNodes {
			sum += p.residentBytes()
		}
		return sum
	}
	conns := &idleConns{count: l.options.IdleConns}
	l.idle = conns
	// Open a few connections first, so that one-time allocations of each node are not counted.
	warm := standin.NewIdleClients(&l.Fleet.Plan, 64, l.clients)
	err = warm.Connect(ctx)
	warm.Close()
	if err != nil {
		return err
	}
	before := resident()
	if l.options.IdleConns <= maxLocalIdleConns {
		conns.local = standin.NewIdleClients(&l.Fleet.Plan, l.options.IdleConns, l.clients)
		if err := conns.local.Connect(ctx); err != nil {
			return err
		}
	} else if err := conns.startHelpers(ctx, l); err != nil {
		return err
	}
	cpu, start := l.CPUTime(), time.Now()
	select {
	case <-time.After(quietPeriod):
	case <-ctx.Done():
		return ctx.Err()
	}
	conns.row.QuietCores = (l.CPUTime() - cpu).Seconds() / time.Since(start).Seconds()
	after := resident()
	conns.row.Held = conns.count
	conns.row.BeforeMB, conns.row.AfterMB = float64(before)/(1<<20), float64(after)/(1<<20)
	conns.row.BytesPerConn = float64(after-before) / float64(conns.count)
	return nil
}

// startHelpers starts a process per node that holds its share of the connections.
func (i *idleConns) startHelpers(ctx context.Context, l *Lab) error {
	tool := l.options.ToolBinary
	if tool == "" {
		return fmt.Errorf("%d idle connections need helper processes, but Options.ToolBinary is not set", i.count)
	}
	var started sync.WaitGroup
	errs := make([]error, len(l.frontNodes))
	for n, p := range l.frontNodes {
		count := i.count / len(l.frontNodes)
		if n < i.count%len(l.frontNodes) {
			count++
		}
		if count > maxHelperIdleConns {
			return fmt.Errorf("%d idle connections on one node, at most %d", count, maxHelperIdleConns)
		}
		cmd := exec.Command(tool, "idlers", p.address, strconv.Itoa(count))
		out, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		// the helper exits at the end of its standard input, at the latest when this process exits
		if _, err := cmd.StdinPipe(); err != nil {
			return err
		}
		if err := cmd.Start(); err != nil {
			return fmt.Errorf("starting a helper that holds idle connections: %w", err)
		}
		i.helpers = append(i.helpers, cmd)
		started.Go(func() {
			line, err := bufio.NewReader(out).ReadString('\n')
			if held, _ := strconv.Atoi(strings.TrimSpace(line)); held != count {
				errs[n] = fmt.Errorf("%s: the helper holds %q of %d idle connections: %v", p.name, strings.TrimSpace(line), count, err)
			}
		})
	}
	started.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// close closes the connections and completes the report row.
func (i *idleConns) close() {
	if i == nil {
		return
	}
	if i.local != nil {
		i.row.Requests, i.row.Served, i.row.Lost = i.local.Counts()
		i.local.Close()
	}
	for _, cmd := range i.helpers {
		cmd.Process.Kill()
		cmd.Wait()
	}
	i.helpers = nil
}
