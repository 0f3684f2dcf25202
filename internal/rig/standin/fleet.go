package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"curlewring/internal/rig/standin/judge"
)

// Fleet is a set of servers with a discovery service for each tier and a judge that checks the rules.
type Fleet struct {
	Plan         Plan
	Clock        Clock
	Judge        *judge.Judge
	Servers      []*Server // of the first tier
	LowerServers []*Server // of the lower tiers, in tier order
	successors   []*Server // at addresses of servers that have crashed
	// Discovery serves the first tier.
	Discovery        *Discovery
	lowerDiscoveries []*Discovery

	hosts        hostAllocator
	delayMonitor *delayMonitor
	callGraph    *callGraph
}

// Start starts a fleet. Servers of a tier that calls another one need a node from Attach first.
func Start(plan Plan) (*Fleet, error) {
	if err := plan.validateRegistry(); err != nil {
		return nil, err
	}
	clock := NewClock()
	f := &Fleet{Plan: plan, Clock: clock, Judge: judge.New(plan.Rules())}
	f.delayMonitor, f.callGraph = startDelayMonitor(clock, f.Judge), newCallGraph()
	f.Discovery = newDiscovery(clock, f.Judge, &plan)
	keyStores := map[judge.Location]*keyStore{}
	for tier := range max(1, plan.Tiers) {
		if tier > 0 {
			f.lowerDiscoveries = append(f.lowerDiscoveries, newDiscovery(clock, f.Judge, &plan))
		}
		for i := range plan.Servers {
			site := plan.Sites[i%len(plan.Sites)]
			// Rack numbers are unique in the whole fleet, because the list identifies a cell by its number
			// alone.
			column := i / len(plan.Sites) / max(1, plan.RackSize)
			location := judge.Location{Site: site, Rack: (tier*len(plan.Sites)+i%len(plan.Sites))*1000 + column}
			if keyStores[location] == nil {
				keyStores[location] = &keyStore{ranAt: map[string]time.Duration{}}
			}
			s := &Server{
				ID: fmt.Sprintf("box-%d%02d", tier, i), Site: site, Rack: location.Rack, Tier: tier,
				speed: plan.Speeds[i%len(plan.Speeds)], plan: &f.Plan, clock: clock, judge: f.Judge, keys: keyStores[location],
				cores: make(chan struct{}, max(1, plan.Cores)), slots: make(chan struct{}, max(1, plan.Slots)),
				slowdown: 1, rng: plan.newRand("box", tier*1000+i), callGraph: f.callGraph,
			}
			f.Judge.AddServer(s.ID, location)
			if err := f.listen(s); err != nil {
				f.Close()
				return nil, err
			}
			if tier == 0 {
				f.Servers = append(f.Servers, s)
			} else {
				f.LowerServers = append(f.LowerServers, s)
			}
			f.publishState(s, "SERVING", true)
		}
	}
	return f, nil
}

// listen opens a new server's socket at an address of its own.
func (f *Fleet) listen(s *Server) error {
	host, err := f.NewHost()
	if err != nil {
		return fmt.Errorf("server %s: %w", s.ID, err)
	}
	return s.listen(host)
}

// NewHost returns a loopback address that no other fleet on this machine has until this one is closed, whether of
// this process or of another. Outgoing connections use 127.0.0.1 only, so a listener that was closed can bind the
// same port again.
func (f *Fleet) NewHost() (string, error) { return f.hosts.next() }

// Attach sets the node through which a server calls the next tier.
func (f *Fleet) Attach(s *Server, node, address string) {
	s.nextTier = NewClient(node, address, &f.Plan, f.Clock, f.Judge)
}

// MaxAttemptTimeout returns the longest time limit that attempts of a class carried, and the number of
// attempts, at servers of the first tier since the previous call.
func (f *Fleet) MaxAttemptTimeout(class int) (time.Duration, int) {
	longest, count := time.Duration(0), 0
	for _, s := range f.Servers {
		s.mu.Lock()
		if s.attemptTimeouts != nil {
			longest, count = max(longest, s.attemptTimeouts[class].longest), count+s.attemptTimeouts[class].count
			s.attemptTimeouts[class] = timeoutStats{}
		}
		s.mu.Unlock()
	}
	return longest, count
}

// Close stops the servers, the discovery services and the delay monitor, and gives up the fleet's addresses.
func (f *Fleet) Close() {
	for _, s := range slices.Concat(f.Servers, f.LowerServers, f.successors) {
		s.setFailure(healthy, 1)
		s.close()
		if s.nextTier != nil {
			s.nextTier.Close()
		}
	}
	f.Discovery.Close()
	for _, d := range f.lowerDiscoveries {
		d.Close()
	}
	f.delayMonitor.stop()
	f.hosts.close()
}

// discoveryOf returns the discovery service of a tier.
func (f *Fleet) discoveryOf(tier int) *Discovery {
	if tier == 0 {
		return f.Discovery
	}
	return f.lowerDiscoveries[tier-1]
}

// ReportDeliveries reports to the judge, at the end of a run, from when each change counts as delivered even
// if it was not written.
func (f *Fleet) ReportDeliveries() {
	f.Discovery.ReportDeliveries()
	for _, d := range f.lowerDiscoveries {
		d.ReportDeliveries()
	}
}

// publishState publishes a server's state on the list of its tier.
func (f *Fleet) publishState(s *Server, lifecycle string, atOnce bool) {
	f.discoveryOf(s.Tier).Publish(f.entryOf(s, lifecycle), atOnce)
}

// publishCrash publishes that a server's process ended without an announcement.
func (f *Fleet) publishCrash(s *Server) {
	f.discoveryOf(s.Tier).PublishAfter(f.entryOf(s, "DELETED"), cmp.Or(f.Plan.CrashPublishDelay, f.Plan.PublishDelay))
}

// entryOf returns a server's entry in the list of its tier.
func (f *Fleet) entryOf(s *Server, lifecycle string) entry {
	started := int64(0)
	if s.startedAt > 0 {
		started = f.Clock.UnixMilli(s.startedAt)
	}
	return entry{
		ID: s.ID, HostPort: s.Address, Zone: s.Site, Kind: "stand-in", Cell: s.Rack, Lifecycle: lifecycle, Weight: 1,
		StartedMs: started,
	}
}

// MakeCold marks all servers of the first tier as just started, as after a power failure.
func (f *Fleet) MakeCold() {
	now := f.Clock.Now()
	for _, s := range f.Servers {
		s.mu.Lock()
		s.startedAt = now
		s.mu.Unlock()
		f.publishState(s, "SERVING", true)
	}
}

// PublishFakeServers publishes entries from (inclusive) to to (exclusive) on the first tier's list, all
// serving or all deleted. Nothing listens at their addresses, so they measure the cost of a long list and
// must not be used in a fleet with traffic.
func (f *Fleet) PublishFakeServers(from, to int, serving bool) {
	lifecycle := "SERVING"
	if !serving {
		lifecycle = "DELETED"
	}
	for i := from; i < to; i++ {
		f.Discovery.Publish(entry{
			ID: fmt.Sprintf("paper-%06d", i), HostPort: fmt.Sprintf("127.%d.%d.%d:9", 200+i>>16&15, i>>8&255, i&255),
			Zone: f.Plan.Sites[i%len(f.Plan.Sites)], Kind: "paper", Cell: 1000000 + i/4, Lifecycle: lifecycle, Weight: 1,
		}, true)
	}
}

// NodeSpec describes the node that a configuration is for.
type NodeSpec struct {
	Name          string
	Listen        string
	Tier          int // tier of servers that the node sends to
	Index         int // among the nodes of its tier
	TierNodes     int // number of nodes in this tier
	Site          string
	MemoryMB      int
	Sockets       int
	RestoreList   bool // the configuration contains the node's last list, as after a restart
	AllowHedging  bool // attempts of one request may overlap
	ShareBudgets  bool // requests share a budget of attempts with other tiers
	MaxRetryAfter time.Duration
	KnownList     json.RawMessage // list in the configuration, overriding RestoreList; nil: none
}

// OpenEndpoint opens an address of a tier's discovery service for a node.
func (f *Fleet) OpenEndpoint(node string, tier int) (string, error) {
	host, err := f.NewHost()
	if err != nil {
		return "", fmt.Errorf("discovery of %s: %w", node, err)
	}
	return f.discoveryOf(tier).OpenEndpoint(node, host)
}

// NodeConfig returns the configuration of a node in the platform's format.
func (f *Fleet) NodeConfig(s NodeSpec, discovery string) ([]byte, error) {
	type object = map[string]any
	effects := map[judge.Idempotency]string{judge.Idempotent: "repeatable", judge.Keyed: "by_key", judge.AtMostOnce: "once"}
	groups := map[judge.Group]string{judge.GroupAll: "all", judge.GroupSite: "zone", judge.GroupRack: "cell"}
	var classes []object
	for _, c := range f.Plan.Classes {
		classes = append(classes, object{
			"name": c.Name, "aim_ns": c.LatencyTarget, "deadline_ns": c.Deadline, "worth": c.Worth, "late_worth": 0,
			"semantics": effects[c.Idempotency], "group": groups[c.Group], "key_ttl_ns": c.KeyTTL,
		})
	}
	tiers := make([]string, max(1, f.Plan.Tiers))
	for i := range tiers {
		tiers[i] = fmt.Sprintf("tier-%d", i)
	}
	config := object{
		"name": s.Name, "listen": s.Listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", f.Plan.newRand("node/"+s.Name, s.Index).Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"settings": object{
			"categories": classes,
			"limits": object{
				"cancel": true, "conn_idle_ns": 10 * time.Second, "connect_timeout_ns": 250 * time.Millisecond,
				"may_probe": false, "second_copies": s.AllowHedging, "retry_after": s.MaxRetryAfter > 0, "max_retry_after_ns": s.MaxRetryAfter,
				"most_held": 0, "most_tries": 4, "streams_per_conn": 1,
			},
			"obligations": object{
				"ask_within_ns": 10 * time.Second, "cold_from": f.Plan.ColdCapacity, "cold_ns": f.Plan.WarmupTime,
				"drain_grace_ns": f.Plan.DrainGrace, "fall_multiple": f.Plan.CollapseMultiple, "fall_ns": f.Plan.CollapseWindow,
				"grace_to_answer_ns": 10 * time.Millisecond,
			},
			"callers": object{"marks_retry": true}, "family_info": object{"passes_deadline": true},
			"areas": f.Plan.Sites, "me": s.Index, "n_instances": s.TierNodes,
			"registry_mode": map[bool]string{false: "subscribe", true: "automatic"}[f.Plan.PushedLists],
			"tier":          s.Tier, "tiers": tiers, "weight_source": "none", "zone": s.Site,
		},
	}
	if s.ShareBudgets {
		config["budgets"] = true
	}
	if s.KnownList != nil {
		config["known"] = s.KnownList
	} else if s.RestoreList {
		config["known"] = f.discoveryOf(s.Tier).knownList(s.Name)
	}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", s.Name, err)
	}
	return text, nil
}

// delayMonitor measures how late this machine runs timers.
type delayMonitor struct {
	quit chan struct{}
	done chan struct{}
}

const (
	delayCheckInterval = 5 * time.Millisecond
	minReportedDelay   = 10 * time.Millisecond // shorter delays are not reported
)

func startDelayMonitor(clock Clock, j *judge.Judge) *delayMonitor {
	m := &delayMonitor{make(chan struct{}), make(chan struct{})}
	go func() { // ends with stop
		defer close(m.done)
		tick := time.NewTicker(delayCheckInterval)
		defer tick.Stop()
		last := clock.Now()
		for {
			select {
			case <-tick.C:
			case <-m.quit:
				return
			}
			now := clock.Now()
			if delay := now - last - delayCheckInterval; delay > minReportedDelay {
				j.MachineDelayed(last+delayCheckInterval, delay)
			}
			last = now
		}
	}()
	return m
}

func (m *delayMonitor) stop() {
	close(m.quit)
	<-m.done
}
