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

// Options configures a run.
type Options struct {
	Plan          standin.Plan
	Nodes         int // in front of the first tier
	Traffic       standin.Traffic
	Faults        []standin.Fault
	Binary        string // path of the node binary; "" builds it
	Operator      string // path of the operators' file; "" for none
	MemoryMB      int
	Sockets       int
	ShareBudgets  bool          // the attempt budget of a request holds across tiers
	AllowHedging  bool          // the platform allows overlapping attempts of a request
	Debug         bool          // nodes log every request, attempt and call to discovery
	MaxRetryAfter time.Duration // longest Retry-After that the platform sends; 0 for none
	IdleConns     int           // idle connections held besides the traffic, summed over all nodes
	IdleInterval  time.Duration // interval between requests on each idle connection while traffic runs; 0 for none
	ToolBinary    string        // path of curlewctl, which holds the idle connections if there are many
	// Sidecars runs each node in front of the first tier as the sidecar of its own application, with the
	// configuration that the operators' tool generates.
	Sidecars  bool
	StaleList *StaleList // list that nodes have stored when they start; nil for none
	// Routes holds the [[route]] tables of the sidecars' descriptions; "" for defaultRoute.
	Routes     string
	editConfig func(i int, text []byte) []byte // edits a sidecar's generated configuration; used by tests
	// Membership makes the nodes in front of the first tier members of a fleet, with a relay for each direction
	// of each pair.
	Membership bool
	// NoRelays, with Membership, leaves out the relays, so that the number of nodes is not limited.
	NoRelays bool
	Seeds    []netip.AddrPort // with NoRelays: seeds of the larger fleet that the nodes join
	// DisableBudgetPooling, with Membership, makes each node use its own share of a cold server's budget.
	DisableBudgetPooling bool
	// ReplaceVoterAfter, with Membership, makes nodes keep leases and replace a voter that is gone for this long;
	// 0 for no leases.
	ReplaceVoterAfter time.Duration
	// ShareLists, with ReplaceVoterAfter, lets nodes without a server list get one from each other.
	ShareLists bool
	// ForwardCommand, if set, runs in place of each node, as a control that does not balance. The node's name
	// and address and the servers' addresses are appended to its arguments.
	ForwardCommand []string
}

// Lab is a stand-in fleet with its node processes.
type Lab struct {
	Fleet         *standin.Fleet
	LoadGenerator *standin.LoadGenerator

	options            Options
	dir                string
	frontNodes         []*process // in front of the first tier
	innerNodes         []*process // between tiers
	ports              portPicker // for the nodes
	specs              map[string]standin.NodeSpec
	clients            []*standin.Client
	idle               *idleConns               // nil if there are no idle connections
	staleEndpoints     staleEndpoints           // listeners at addresses of removed servers
	discoveryAddresses map[string]string        // address of discovery by node name
	links              *nodeLinks               // relays between nodes; nil without Membership
	pausedAt           map[string]time.Duration // when a node was paused, by node name
	clientGroups       clientGroups             // that disturb nodes
	onStart            func(p *process)         // called for each node that was restarted; may be nil
	restarts           *restarts                // nodes that are not ready yet after a restart
	mu                 sync.Mutex               // guards the configuration files, links, pausedAt and clientGroups
}

// Open starts the fleet and the nodes, and returns once all are ready. The caller must call Close.
func Open(ctx context.Context, o Options) (_ *Lab, err error) {
	dir, err := os.MkdirTemp("", "curlewring-lab-")
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	l := &Lab{restarts: newRestarts(), options: o, dir: dir, specs: map[string]standin.NodeSpec{}, pausedAt: map[string]time.Duration{}, clientGroups: clientGroups{}, discoveryAddresses: map[string]string{}}
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
		host, err := l.Fleet.NewHost()
		if err != nil {
			return nil, err
		}
		if l.links, err = newNodeLinks(o.Nodes, host, &l.ports, o.Plan.Seed, !o.NoRelays); err != nil {
			return nil, err
		}
	}
	for _, f := range o.Faults { // after the links exist, since a link fault names two nodes
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
	upperServers := l.Fleet.Servers
	for tier := 1; tier < o.Plan.Tiers; tier++ {
		for i, server := range upperServers {
			p, err := l.prepareNode(standin.NodeSpec{
				Name: fmt.Sprintf("n-%s", server.ID), Tier: tier, Index: i, TierNodes: len(upperServers), Site: server.Site,
			})
			if err != nil {
				return nil, err
			}
			l.innerNodes = append(l.innerNodes, p)
			l.Fleet.Attach(server, p.name, p.address)
		}
		upperServers = l.Fleet.LowerServers[(tier-1)*o.Plan.Servers : tier*o.Plan.Servers]
	}
	if o.Sidecars {
		if err := l.writeSidecarConfigs(o.Routes); err != nil {
			return nil, err
		}
	}
	if o.StaleList != nil {
		l.Fleet.Discovery.SetDown(true)
		if o.StaleList.ColdServers {
			l.Fleet.MakeCold()
		}
	}
	for _, p := range l.processes() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range l.processes() {
		if o.StaleList != nil {
			break // the time before the nodes are ready is part of the measurement
		}
		if err := p.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	l.LoadGenerator = standin.NewLoadGenerator(&l.Fleet.Plan, l.clients)
	return l, nil
}

// Clients returns the clients of the nodes in front of the first tier.
func (l *Lab) Clients() []*standin.Client { return slices.Clone(l.clients) }

func (l *Lab) processes() []*process { return append(slices.Clone(l.frontNodes), l.innerNodes...) }

// pickListenAddress returns a loopback address of its own for a node that is started later.
func (l *Lab) pickListenAddress() (string, error) {
	host, err := l.Fleet.NewHost()
	if err != nil {
		return "", err
	}
	address, err := l.ports.pick(host)
	return address.String(), err
}

// prepareNode creates a node's files and its process without starting it.
func (l *Lab) prepareNode(s standin.NodeSpec) (*process, error) {
	var err error
	if s.Listen, err = l.pickListenAddress(); err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	if len(l.options.ForwardCommand) > 0 {
		command := append(slices.Clone(l.options.ForwardCommand), s.Listen)
		for _, server := range l.Fleet.Servers {
			command = append(command, server.Address)
		}
		return &process{name: s.Name, command: command, address: s.Listen}, nil
	}
	s.MemoryMB, s.Sockets = max(32, l.options.MemoryMB), max(64, l.options.Sockets)
	s.AllowHedging, s.MaxRetryAfter, s.ShareBudgets = l.options.AllowHedging, l.options.MaxRetryAfter, l.options.ShareBudgets
	if l.discoveryAddresses[s.Name], err = l.Fleet.OpenEndpoint(s.Name, s.Tier); err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	if l.options.StaleList != nil {
		if s.KnownList, err = l.writeStaleList(s); err != nil {
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
	if l.options.StaleList != nil && l.options.StaleList.Mode == VerifyList || l.links != nil && s.Tier == 0 {
		command = append(command, "--settings", l.settingsPath(s.Name))
	}
	return &process{
		name: s.Name, command: command, env: []string{"LB_CONFIG=" + l.ConfigPath(s.Name), "CURLEWRING_TRIAL=yes"}, address: s.Listen,
	}, nil
}

// ConfigPath returns the path of a node's configuration file.
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

// replaceFile writes a temporary file and renames it, so that no reader sees a partial file.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// findNode returns a node by its name or number.
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
			return fmt.Errorf("fault %s: link faults need Options.Membership", f.Kind)
		}
		if _, err := l.links.index(name); err != nil {
			return err
		}
	}
	if f.Kind == "move" && l.options.Sidecars {
		return fmt.Errorf("fault %s: discovery cannot move: the sidecars' files are written once", f.Kind)
	}
	if f.Node == "" {
		return l.Fleet.ValidateFault(f)
	}
	if n, err := strconv.Atoi(strings.TrimPrefix(f.Node, "n")); err != nil || n < 0 || n >= l.options.Nodes {
		return fmt.Errorf("no node %q; there are 0 to %d", f.Node, l.options.Nodes-1)
	}
	return nil
}

// Kill kills a node with SIGKILL and waits for its exit.
func (l *Lab) Kill(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	l.restarts.stop(p)
	l.Fleet.Judge.NodeKilled(l.Fleet.Clock.Now(), p.name)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if err := p.signal(syscall.SIGKILL, true); err != nil {
		return err
	}
	<-exited
	l.Fleet.Judge.NodeKilled(l.Fleet.Clock.Now(), p.name)
	return nil
}

// Terminate sends SIGTERM to a node, as a planned restart does. The node drains for a while; Start waits for
// its exit.
func (l *Lab) Terminate(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	l.restarts.stop(p)
	return p.signal(syscall.SIGTERM, true)
}

// Start starts a killed node with the server list that it had last.
func (l *Lab) Start(name string) error { return l.start(name, true) }

// StartWithoutList starts a killed node without a server list, as on a new machine. Its other state is kept.
func (l *Lab) StartWithoutList(name string) error {
	files, err := filepath.Glob(filepath.Join(l.StateFolder(name), "*-*")) // files of the stored server list
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := os.Remove(file); err != nil {
			return err
		}
	}
	return l.start(name, false)
}

func (l *Lab) start(name string, restoreList bool) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	if s, ok := l.specs[p.name]; ok && !(l.options.Sidecars && s.Tier == 0) {
		s.RestoreList = restoreList
		if err := l.writeConfig(s); err != nil {
			return err
		}
	}
	p.mu.Lock()
	exited, terminating := p.exited, p.cmd != nil && p.stopping
	p.mu.Unlock()
	if terminating {
		<-exited
	}
	if i := slices.Index(l.frontNodes, p); i >= 0 { // before the node accepts connections
		l.restarts.add(p, l.clients[i])
	}
	if err := p.start(); err != nil {
		return err
	}
	if l.onStart != nil {
		l.onStart(p)
	}
	return nil
}

// Reload makes all nodes reload their files.
func (l *Lab) Reload() error {
	var errs []error
	for _, p := range l.processes() {
		errs = append(errs, p.signal(syscall.SIGHUP, false))
	}
	return errors.Join(errs...)
}

// MoveDiscovery opens a new discovery address for each node and makes all nodes reload their files. Answers
// that arrive from the old address in the meantime still count.
func (l *Lab) MoveDiscovery() error {
	for _, p := range l.processes() {
		s, ok := l.specs[p.name]
		if !ok {
			continue // a ForwardCommand has no discovery
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

// Log returns the end of what a node has logged.
func (l *Lab) Log(name string) string {
	p, err := l.findNode(name)
	if err != nil {
		return err.Error()
	}
	return p.log.String()
}

// Run sends the traffic and injects the faults, then stops the nodes gracefully and returns the report. If
// watch is not nil, it is called every second during the run.
func (l *Lab) Run(ctx context.Context, watch func(Progress)) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if l.options.IdleConns > 0 {
		if err := l.openIdleConns(ctx); err != nil {
			return nil, err
		}
	}
	before := l.CPUTime()
	start := time.Now()
	var background sync.WaitGroup
	var faultErrs []error
	if l.options.StaleList != nil {
		background.Go(func() {
			select {
			case <-time.After(l.options.StaleList.Outage):
			case <-ctx.Done():
			}
			l.Fleet.Discovery.SetDown(false)
		})
	}
	background.Go(func() { faultErrs = l.Fleet.RunFaults(ctx, l.options.Faults, l) })
	if l.idle != nil && l.idle.local != nil && l.options.IdleInterval > 0 {
		background.Go(func() { l.idle.local.SendPeriodically(ctx, l.options.IdleInterval) })
	}
	finished := make(chan struct{})
	if watch != nil {
		background.Go(func() { l.reportProgress(finished, start, watch) })
	}
	l.LoadGenerator.Run(ctx, l.options.Traffic)
	elapsed := time.Since(start)
	cpu := l.CPUTime() - before
	close(finished)
	cancel()
	background.Wait()
	if err := errors.Join(faultErrs...); err != nil {
		return nil, err
	}
	if l.idle != nil && l.idle.local != nil {
		l.idle.row.HeldAtEnd = l.idle.local.OpenConns()
	}
	l.restarts.finish(maxReadyTime)
	// Graceful stop: late responses and abandoned work on the servers still complete.
	l.stopNodes(10 * time.Second)
	l.idle.close()
	return l.report(elapsed, cpu), nil
}

// CPUTime returns the CPU time that the nodes in front of the first tier have used.
func (l *Lab) CPUTime() time.Duration {
	sum := time.Duration(0)
	for _, p := range l.frontNodes {
		sum += p.cpuUsed()
	}
	return sum
}

// Progress is a snapshot of a run in progress.
type Progress struct {
	At       time.Duration
	Requests int64
	Pending  int64
	Tries    map[judge.RequestOutcome]int64
}

func (l *Lab) reportProgress(finished chan struct{}, start time.Time, watch func(Progress)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			requests, pending, tries := l.LoadGenerator.Progress()
			watch(Progress{time.Since(start), requests, pending, tries})
		case <-finished:
			return
		}
	}
}

// stopNodes stops all nodes gracefully and concurrently.
func (l *Lab) stopNodes(timeout time.Duration) {
	var stopping sync.WaitGroup
	for _, p := range l.processes() {
		stopping.Go(func() { p.stop(timeout) })
	}
	stopping.Wait()
}

// Close stops everything that still runs and removes the lab's files.
func (l *Lab) Close() {
	l.restarts.close()
	l.stopNodes(5 * time.Second)
	l.idle.close()
	l.clientGroups.stopAll()
	for _, c := range l.clients {
		c.Close()
	}
	l.staleEndpoints.close()
	l.links.close()
	if l.Fleet != nil {
		l.Fleet.Close()
	}
	os.RemoveAll(l.dir)
}
