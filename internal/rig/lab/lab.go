package lab

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewring/internal/rig/standin"
	"curlewring/internal/rig/standin/judge"
)

// Options say what to run.
type Options struct {
	Plan          standin.Plan
	Nodes         int // before the first tier
	Traffic       standin.Traffic
	Faults        []standin.Fault
	Binary        string // the node's program; "": it is built
	Operator      string // the operators' file; "": none
	MemoryMB      int
	Sockets       int
	ShareBudgets  bool          // nodes share budgets of attempts
	AllowHedging  bool          // the platform lets attempts of a request overlap
	Debug         bool          // nodes log every request, attempt and call to discovery
	MaxRetryAfter time.Duration // the platform's longest Retry-After; 0: none
	IdleConns     int           // connections that are held beside the traffic, over all nodes
	IdleInterval  time.Duration // each of them asks again so often, while the traffic runs; 0: never
	ToolBinary    string        // curlewctl, which holds them where they are many
	// Sidecars makes each node before the first tier one beside an application of
	// its own, started from what the operators' tool writes.
	Sidecars          bool
	OldList           *OldList                        // what nodes remember at their start; nil: nothing
	Routes            string                          // the [[route]] tables of their descriptions; "": a usual one
	editConfig        func(i int, text []byte) []byte // of a sidecar's written configuration, for tests
	Membership        bool                            // nodes before the first tier know each other; between each two a relay for each direction
	NoRelays          bool                            // with Members: no relays stand between the nodes, and there may be many
	Seeds             []netip.AddrPort                // with Unlinked: of a larger fleet that the nodes join
	NoPooling         bool                            // with Members: each goes by its own part of a cold box's budget
	ReplaceVoterAfter time.Duration                   // with Members: they keep leases, and a voter that is gone for so long is replaced; 0: none
	ListFromPeers     bool                            // with Leases: nodes without a list of boxes get one from each other
	// Forward, if set, runs in the place of each node: a control that does not
	// balance. It gets its name, address and the boxes' addresses behind its own
	// arguments.
	ForwardCommand []string
}

// Lab is a fleet with its nodes.
type Lab struct {
	Fleet         *standin.Fleet
	LoadGenerator *standin.LoadGenerator

	options            Options
	dir                string
	frontNodes         []*process // before the first tier
	innerNodes         []*process // between tiers
	specs              map[string]standin.NodeSpec
	clients            []*standin.Client
	idle               *idleConns               // nil: none
	staleEndpoints     staleEndpoints           // what stands at the addresses of boxes that are no more
	discoveryAddresses map[string]string        // discovery, by node
	links              *nodeLinks               // relays; nil: nodes do not talk
	pausedAt           map[string]time.Duration // when a node began to stand still
	onStart            func(p *process)         // called for each node that has been started again; nil: nobody asks
	mu                 sync.Mutex               // guards the configuration files
}

// Open starts fleet and nodes, and returns once all are ready. The caller must Close.
func Open(ctx context.Context, o Options) (_ *Lab, err error) {
	dir, err := os.MkdirTemp("", "curlewring-lab-")
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	l := &Lab{options: o, dir: dir, specs: map[string]standin.NodeSpec{}, pausedAt: map[string]time.Duration{}, discoveryAddresses: map[string]string{}}
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if l.options.Binary == "" && len(o.ForwardCommand) == 0 {
		if l.options.Binary, err = Build(ctx, dir); err != nil {
			return nil, err
		}
	}
	if err := l.options.applyIdleOptions(dir); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if l.Fleet, err = standin.Start(o.Plan); err != nil {
		return nil, err
	}
	if o.Membership {
		if l.links, err = newNodeLinks(o.Nodes, l.Fleet.NewHost(), o.Plan.Seed, !o.NoRelays); err != nil {
			return nil, err
		}
	}
	for _, f := range o.Faults { // a link is between nodes that there are
		if err := l.checkFault(f); err != nil {
			return nil, err
		}
	}
	for i := range o.Nodes {
		p, err := l.prepareNode(standin.NodeSpec{
			Name: fmt.Sprintf("n%d", i), Index: i, TierNodes: o.Nodes, Site: o.Plan.Sites[i%len(o.Plan.Sites)],
		})
		if err != nil {
			return nil, err
		}
		l.frontNodes = append(l.frontNodes, p)
		l.clients = append(l.clients, standin.NewClient(p.name, p.address, &l.Fleet.Plan, l.Fleet.Clock, l.Fleet.Judge))
	}
	uppers := l.Fleet.Servers
	for tier := 1; tier < o.Plan.Tiers; tier++ {
		for i, b := range uppers {
			p, err := l.prepareNode(standin.NodeSpec{
				Name: fmt.Sprintf("n-%s", b.ID), Tier: tier, Index: i, TierNodes: len(uppers), Site: b.Site,
			})
			if err != nil {
				return nil, err
			}
			l.innerNodes = append(l.innerNodes, p)
			l.Fleet.Attach(b, p.name, p.address)
		}
		uppers = l.Fleet.LowerServers[(tier-1)*o.Plan.Servers : tier*o.Plan.Servers]
	}
	if o.Sidecars {
		if err := l.writeSidecarConfigs(o.Routes); err != nil {
			return nil, err
		}
	}
	if o.OldList != nil {
		l.Fleet.Discovery.SetDown(true)
		if o.OldList.ColdServers {
			l.Fleet.MakeCold()
		}
	}
	for _, p := range l.processes() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range l.processes() {
		if o.OldList != nil {
			break // its first seconds are what is looked at
		}
		if err := p.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	l.LoadGenerator = standin.NewLoadGenerator(&l.Fleet.Plan, l.clients)
	return l, nil
}

// Clients are those of the nodes before the first tier.
func (l *Lab) Clients() []*standin.Client { return slices.Clone(l.clients) }

func (l *Lab) processes() []*process { return append(slices.Clone(l.frontNodes), l.innerNodes...) }

// node prepares a node; it does not start it.
func (l *Lab) prepareNode(s standin.NodeSpec) (*process, error) {
	var err error
	if s.Listen, err = freeAddress(l.Fleet.NewHost()); err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	if len(l.options.ForwardCommand) > 0 {
		command := append(slices.Clone(l.options.ForwardCommand), s.Listen)
		for _, b := range l.Fleet.Servers {
			command = append(command, b.Address)
		}
		return &process{name: s.Name, command: command, address: s.Listen}, nil
	}
	s.MemoryMB, s.Sockets = max(32, l.options.MemoryMB), max(64, l.options.Sockets)
	s.AllowHedging, s.MaxRetryAfter, s.ShareBudgets = l.options.AllowHedging, l.options.MaxRetryAfter, l.options.ShareBudgets
	if l.discoveryAddresses[s.Name], err = l.Fleet.OpenEndpoint(s.Name, s.Tier); err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	if l.options.OldList != nil {
		if s.KnownList, err = l.writeOldList(s); err != nil {
			return nil, fmt.Errorf("node %s: %w", s.Name, err)
		}
	}
	l.specs[s.Name] = s
	if l.options.Sidecars && s.Tier == 0 {
		return &process{
			name: s.Name, command: []string{l.options.Binary, "--operator", l.sidecarPath(s.Name, "operator.toml")},
			env: []string{"LB_CONFIG=" + l.sidecarPath(s.Name, "node.json")}, address: s.Listen,
		}, nil
	}
	if err := l.writeConfig(s); err != nil {
		return nil, err
	}
	if l.links != nil && s.Tier == 0 {
		if err := l.links.writeSettings(s.Index, l.settingsPath(s.Name), l.StateFolder(s.Name), &l.options); err != nil {
			return nil, err
		}
	}
	command := []string{l.options.Binary}
	if l.options.Operator != "" {
		command = append(command, "--operator", l.options.Operator)
	}
	if l.options.Debug {
		command = append(command, "--log", "debug")
	}
	if l.options.OldList != nil && l.options.OldList.Mode == VerifyList || l.links != nil && s.Tier == 0 {
		command = append(command, "--settings", l.settingsPath(s.Name))
	}
	return &process{
		name: s.Name, command: command, env: []string{"LB_CONFIG=" + l.ConfigPath(s.Name), "CURLEWRING_TRIAL=yes"}, address: s.Listen,
	}, nil
}

// ConfigPath is where a node's configuration stands.
func (l *Lab) ConfigPath(node string) string { return filepath.Join(l.dir, node+".json") }

func (l *Lab) writeConfig(s standin.NodeSpec) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, err := l.Fleet.NodeConfig(s, l.discoveryAddresses[s.Name])
	if err != nil {
		return err
	}
	return replaceFile(l.ConfigPath(s.Name), text)
}

// replace writes a file beside and renames it, so that no reader sees a half.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// find returns a node by name or number.
func (l *Lab) findNode(name string) (*process, error) {
	for i, p := range l.processes() {
		if p.name == name || strconv.Itoa(i) == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no node %q; there are 0 to %d", name, len(l.processes())-1)
}

func (l *Lab) checkFault(f standin.Fault) error {
	for _, name := range []string{f.From, f.To} {
		if name == "" {
			continue
		}
		if l.links == nil {
			return fmt.Errorf("fault %s: nodes have links between them with members alone", f.Kind)
		}
		if _, err := l.links.index(name); err != nil {
			return err
		}
	}
	if f.Kind == "move" && l.options.Sidecars {
		return fmt.Errorf("fault %s: sidecars have discovery's address from files that are written once", f.Kind)
	}
	if f.Node == "" {
		return l.Fleet.ValidateFault(f)
	}
	if n, err := strconv.Atoi(strings.TrimPrefix(f.Node, "n")); err != nil || n < 0 || n >= l.options.Nodes {
		return fmt.Errorf("no node %q; there are 0 to %d", f.Node, l.options.Nodes-1)
	}
	return nil
}

// Kill ends a node at once.
func (l *Lab) Kill(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	l.Fleet.Judge.NodeKilled(l.Fleet.Clock.Now(), p.name)
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if err := p.signal(syscall.SIGKILL, true); err != nil {
		return err
	}
	<-ended
	l.Fleet.Judge.NodeKilled(l.Fleet.Clock.Now(), p.name)
	return nil
}

// Term tells a node to end, as at a planned restart. It goes on serving for a while; Start waits for its end.
func (l *Lab) Terminate(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	return p.signal(syscall.SIGTERM, true)
}

// Start starts a killed node with the list that it last had.
func (l *Lab) Start(name string) error { return l.start(name, true) }

// StartBare starts a killed node without any list, as on a new machine. What else it keeps is as it was.
func (l *Lab) StartWithoutList(name string) error {
	files, err := filepath.Glob(filepath.Join(l.StateFolder(name), "*-*")) // of its memory of servers
	if err != nil {
		return err
	}
	for _, f := range files {
		if err := os.Remove(f); err != nil {
			return err
		}
	}
	return l.start(name, false)
}

func (l *Lab) start(name string, known bool) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	if s, ok := l.specs[p.name]; ok && !(l.options.Sidecars && s.Tier == 0) {
		s.RestoreList = known
		if err := l.writeConfig(s); err != nil {
			return err
		}
	}
	p.mu.Lock()
	ended, runs := p.exited, p.cmd != nil && p.stopping
	p.mu.Unlock()
	if runs { // told to end, and still at it
		<-ended
	}
	if err := p.start(); err != nil {
		return err
	}
	l.Fleet.Judge.NodeStarted(l.Fleet.Clock.Now(), p.name)
	if l.onStart != nil {
		l.onStart(p)
	}
	return nil
}

// Reload makes all nodes read their files again.
func (l *Lab) Reload() error {
	var errs []error
	for _, p := range l.processes() {
		errs = append(errs, p.signal(syscall.SIGHUP, false))
	}
	return errors.Join(errs...)
}

// Move opens another address of discovery for each node, and has all nodes read their files again. What they hear from the
// old address meanwhile still counts.
func (l *Lab) MoveDiscovery() error {
	for _, p := range l.processes() {
		s, ok := l.specs[p.name]
		if !ok {
			continue // it does not balance
		}
		address, err := l.Fleet.OpenEndpoint(s.Name, s.Tier)
		if err != nil {
			return err
		}
		l.discoveryAddresses[s.Name] = address
		if err := l.writeConfig(s); err != nil {
			return err
		}
	}
	return l.Reload()
}

// Log is what a node has written last.
func (l *Lab) Log(name string) string {
	p, err := l.findNode(name)
	if err != nil {
		return err.Error()
	}
	return p.log.String()
}

// Run sends the traffic and plays the faults, then ends the nodes in order, and
// reports. Watch, if not nil, is called every second while it runs.
func (l *Lab) Run(ctx context.Context, watch func(Progress)) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if l.options.IdleConns > 0 {
		if err := l.openIdleConns(ctx); err != nil {
			return nil, err
		}
	}
	before := l.CPUTime()
	begun := time.Now()
	var parts sync.WaitGroup
	var faultErrs []error
	if l.options.OldList != nil {
		parts.Go(func() {
			select {
			case <-time.After(l.options.OldList.Outage):
			case <-ctx.Done():
			}
			l.Fleet.Discovery.SetDown(false)
		})
	}
	parts.Go(func() { faultErrs = l.Fleet.RunFaults(ctx, l.options.Faults, l) })
	if l.idle != nil && l.idle.local != nil && l.options.IdleInterval > 0 {
		parts.Go(func() { l.idle.local.SendPeriodically(ctx, l.options.IdleInterval) })
	}
	over := make(chan struct{})
	if watch != nil {
		parts.Go(func() { l.reportProgress(over, begun, watch) })
	}
	l.LoadGenerator.Run(ctx, l.options.Traffic)
	took := time.Since(begun)
	cpu := l.CPUTime() - before
	close(over)
	cancel()
	parts.Wait()
	if err := errors.Join(faultErrs...); err != nil {
		return nil, err
	}
	if l.idle != nil && l.idle.local != nil {
		l.idle.row.HeldAtEnd = l.idle.local.OpenConns()
	}
	// Late answers, and what boxes still do for nobody, come to their end.
	l.stopNodes(10 * time.Second)
	l.idle.close()
	return l.report(took, cpu), nil
}

// CPU is what the nodes before the first tier have used.
func (l *Lab) CPUTime() time.Duration {
	sum := time.Duration(0)
	for _, p := range l.frontNodes {
		sum += p.cpuUsed()
	}
	return sum
}

// Progress is how far a run is.
type Progress struct {
	At       time.Duration
	Requests int64
	Pending  int64
	Tries    map[judge.RequestOutcome]int64
}

func (l *Lab) reportProgress(over chan struct{}, begun time.Time, watch func(Progress)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			asked, out, tries := l.LoadGenerator.Progress()
			watch(Progress{time.Since(begun), asked, out, tries})
		case <-over:
			return
		}
	}
}

// stop ends all nodes in order, side by side: each takes its time.
func (l *Lab) stopNodes(patience time.Duration) {
	var all sync.WaitGroup
	for _, p := range l.processes() {
		all.Go(func() { p.stop(patience) })
	}
	all.Wait()
}

// Close ends everything that is left and removes the lab's files.
func (l *Lab) Close() {
	l.stopNodes(5 * time.Second)
	l.idle.close()
	for _, c := range l.clients {
		c.Close()
	}
	if l.Fleet != nil {
		l.Fleet.Close()
	}
	l.staleEndpoints.close()
	l.links.close()
	os.RemoveAll(l.dir)
}
