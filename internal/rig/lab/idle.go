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

// Idle connections: up to mostOwn the lab's process holds, and asks on, itself. More
// takes processes of their own, since a process may hold 20,000 descriptors here; they
// only ask whether the node is ready.
const (
	maxLocalIdleConns  = 15000
	maxHelperIdleConns = 19500
	quietPeriod        = 3 * time.Second
)

// idleRules let idle connections stay.
const idlePolicy = "[[idle]]\nfor = \"6h\"\n"

// IdleRow is what the idle connections cost the nodes before the first tier.
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

// idleOptions are Options as idle connections need them: what is told to the nodes
// must have room for them, and the operators' file let them stay.
func (o *Options) applyIdleOptions(dir string) error {
	if o.IdleConns == 0 {
		return nil
	}
	// Clients have half of the descriptors, and the traffic needs some.
	o.Sockets = max(o.Sockets, 2*(o.IdleConns/o.Nodes+2048)+100)
	if o.Operator != "" {
		return nil
	}
	o.Operator = filepath.Join(dir, "idle.toml")
	return os.WriteFile(o.Operator, []byte(idlePolicy), 0o600)
}

// idlers hold the idle connections of a lab.
type idleConns struct {
	local   *standin.IdleClients
	helpers []*exec.Cmd
	count   int
	row     IdleRow
}

// hold opens the idle connections and measures what they cost.
func (l *Lab) openIdleConns(ctx context.Context) (err error) {
	resident := func() (sum int64) {
		for _, p := range l.frontNodes {
			sum += p.residentBytes()
		}
		return sum
	}
	i := &idleConns{count: l.options.IdleConns}
	l.idle = i
	// A few at first: what each node needs once is not theirs.
	warm := standin.NewIdleClients(&l.Fleet.Plan, 64, l.clients)
	err = warm.Connect(ctx)
	warm.Close()
	if err != nil {
		return err
	}
	before := resident()
	if l.options.IdleConns <= maxLocalIdleConns {
		i.local = standin.NewIdleClients(&l.Fleet.Plan, l.options.IdleConns, l.clients)
		if err := i.local.Connect(ctx); err != nil {
			return err
		}
	} else if err := i.startHelpers(ctx, l); err != nil {
		return err
	}
	cpu, begun := l.CPUTime(), time.Now()
	select {
	case <-time.After(quietPeriod):
	case <-ctx.Done():
		return ctx.Err()
	}
	i.row.QuietCores = (l.CPUTime() - cpu).Seconds() / time.Since(begun).Seconds()
	after := resident()
	i.row.Held = i.count
	i.row.BeforeMB, i.row.AfterMB = float64(before)/(1<<20), float64(after)/(1<<20)
	i.row.BytesPerConn = float64(after-before) / float64(i.count)
	return nil
}

// help has other processes hold the connections.
func (i *idleConns) startHelpers(ctx context.Context, l *Lab) error {
	tool := l.options.ToolBinary
	if tool == "" {
		return fmt.Errorf("%d idle connections take more than one process, and the tool that holds them is not known", i.count)
	}
	var all sync.WaitGroup
	wrong := make([]error, len(l.frontNodes))
	for n, p := range l.frontNodes {
		count := i.count / len(l.frontNodes)
		if n < i.count%len(l.frontNodes) {
			count++
		}
		if count > maxHelperIdleConns {
			return fmt.Errorf("%d idle connections at one node, at most %d", count, maxHelperIdleConns)
		}
		cmd := exec.Command(tool, "idlers", p.address, strconv.Itoa(count))
		out, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if _, err := cmd.StdinPipe(); err != nil { // its end, at the latest with this process, ends the helper
			return err
		}
		if err := cmd.Start(); err != nil {
			return fmt.Errorf("holding idle connections: %w", err)
		}
		i.helpers = append(i.helpers, cmd)
		all.Go(func() {
			line, err := bufio.NewReader(out).ReadString('\n')
			if got, _ := strconv.Atoi(strings.TrimSpace(line)); got != count {
				wrong[n] = fmt.Errorf("%s holds %q of %d idle connections: %v", p.name, strings.TrimSpace(line), count, err)
			}
		})
	}
	all.Wait()
	for _, err := range wrong {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// end closes the connections, and fills the row in.
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
