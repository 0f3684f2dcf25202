package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"curlewring/internal/rig/standin/judge"
)

// Fleet is boxes and a discovery service for each tier, with a judge.
type Fleet struct {
	Plan         Plan
	Clock        Clock
	Judge        *judge.Judge
	Servers      []*Server // of the first tier
	LowerServers []*Server // of the tiers below, in their order
	// Discovery is that of the first tier.
	Discovery        *Discovery
	lowerDiscoveries []*Discovery

	hostCount    atomic.Int64 // the next loopback address
	delayMonitor *delayMonitor
	callGraph    *callGraph
}

// Start opens a fleet. Boxes of a tier that calls another wait for Attach.
func Start(plan Plan) (*Fleet, error) {
	if err := plan.validateRegistry(); err != nil {
		return nil, err
	}
	clock := NewClock()
	f := &Fleet{Plan: plan, Clock: clock, Judge: judge.New(plan.Rules())}
	f.delayMonitor, f.callGraph = startDelayMonitor(clock, f.Judge), newCallGraph()
	f.Discovery = newDiscovery(clock, f.Judge, &plan)
	racks := map[judge.Location]*keyStore{}
	for tier := range max(1, plan.Tiers) {
		if tier > 0 {
			f.lowerDiscoveries = append(f.lowerDiscoveries, newDiscovery(clock, f.Judge, &plan))
		}
		for i := range plan.Servers {
			site := plan.Sites[i%len(plan.Sites)]
			// A rack's number is its own in the whole fleet: a cell of the list is a number alone.
			column := i / len(plan.Sites) / max(1, plan.RackSize)
			place := judge.Location{Site: site, Rack: (tier*len(plan.Sites)+i%len(plan.Sites))*1000 + column}
			if racks[place] == nil {
				racks[place] = &keyStore{ranAt: map[string]time.Duration{}}
			}
			b := &Server{
				ID: fmt.Sprintf("box-%d%02d", tier, i), Site: site, Rack: place.Rack, Tier: tier,
				speed: plan.Speeds[i%len(plan.Speeds)], plan: &f.Plan, clock: clock, judge: f.Judge, keys: racks[place],
				cores: make(chan struct{}, max(1, plan.Cores)), slots: make(chan struct{}, max(1, plan.Slots)),
				slowdown: 1, rng: plan.newRand("box", tier*1000+i), callGraph: f.callGraph,
			}
			f.Judge.AddServer(b.ID, place)
			if err := b.listen(f.NewHost()); err != nil {
				f.Close()
				return nil, err
			}
			if tier == 0 {
				f.Servers = append(f.Servers, b)
			} else {
				f.LowerServers = append(f.LowerServers, b)
			}
			f.publishState(b, "SERVING", true)
		}
	}
	return f, nil
}

// Host is a loopback address that nothing else here has, so that what goes can
// come back on the same port: connections go out from 127.0.0.1 alone.
func (f *Fleet) NewHost() string {
	n := f.hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, n/250%250, 1+n%250)
}

// Attach gives a box the node that it calls the tier below through.
func (f *Fleet) Attach(b *Server, node, address string) {
	b.nextTier = NewClient(node, address, &f.Plan, f.Clock, f.Judge)
}

// Longest tells the longest that attempts of a class were said to last, and how
// many there were, at boxes of the first tier since the last call.
func (f *Fleet) MaxAttemptTimeout(class int) (time.Duration, int) {
	most, count := time.Duration(0), 0
	for _, b := range f.Servers {
		b.mu.Lock()
		if b.attemptTimeouts != nil {
			most, count = max(most, b.attemptTimeouts[class].longest), count+b.attemptTimeouts[class].count
			b.attemptTimeouts[class] = timeoutStats{}
		}
		b.mu.Unlock()
	}
	return most, count
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, b := range append(append([]*Server{}, f.Servers...), f.LowerServers...) {
		b.setFailure(healthy, 1)
		b.close()
		if b.nextTier != nil {
			b.nextTier.Close()
		}
	}
	f.Discovery.Close()
	for _, d := range f.lowerDiscoveries {
		d.Close()
	}
	f.delayMonitor.stop()
}

// discoveryOf is the discovery service of a tier.
func (f *Fleet) discoveryOf(tier int) *Discovery {
	if tier == 0 {
		return f.Discovery
	}
	return f.lowerDiscoveries[tier-1]
}

// Settle reports to the judge, at the end of a run, what counts as delivered whether or not it was.
func (f *Fleet) ReportDeliveries() {
	f.Discovery.ReportDeliveries()
	for _, d := range f.lowerDiscoveries {
		d.ReportDeliveries()
	}
}

// publish puts a box's state on the list of its tier.
func (f *Fleet) publishState(b *Server, lifecycle string, atOnce bool) {
	f.discoveryOf(b.Tier).Publish(f.entryOf(b, lifecycle), atOnce)
}

// lost publishes that a box's process has ended without a word.
func (f *Fleet) publishCrash(b *Server) {
	f.discoveryOf(b.Tier).PublishAfter(f.entryOf(b, "DELETED"), cmp.Or(f.Plan.CrashPublishDelay, f.Plan.PublishDelay))
}

// entryOf is a box as its tier's list has it.
func (f *Fleet) entryOf(b *Server, lifecycle string) entry {
	started := int64(0)
	if b.startedAt > 0 {
		started = f.Clock.UnixMilli(b.startedAt)
	}
	return entry{
		ID: b.ID, HostPort: b.Address, Zone: b.Site, Kind: "stand-in", Cell: b.Rack, Lifecycle: lifecycle, Weight: 1,
		StartedMs: started,
	}
}

// Chill makes all boxes of the first tier cold, as after a power cut.
func (f *Fleet) MakeCold() {
	now := f.Clock.Now()
	for _, b := range f.Servers {
		b.mu.Lock()
		b.startedAt = now
		b.mu.Unlock()
		f.publishState(b, "SERVING", true)
	}
}

// Paper puts boxes on the first tier's list that are on paper only: number
// from up to to, all gone or all serving. Nobody listens at their addresses, so a
// fleet with traffic is no place for them: they show what a long list costs.
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

// NodeSpec says which node a configuration is for.
type NodeSpec struct {
	Name          string
	Listen        string
	Tier          int // it sends to boxes of this tier
	Index         int // among the nodes of its tier
	TierNodes     int // how many these are
	Site          string
	MemoryMB      int
	Sockets       int
	RestoreList   bool // it knows the list that it last had, as after a restart
	AllowHedging  bool // attempts of a request may overlap
	ShareBudgets  bool // requests share a budget of attempts with other tiers
	MaxRetryAfter time.Duration
	KnownList     json.RawMessage // the list that it knows, in the place of that of now; nil: Known says
}

// Endpoint opens an address of a tier's discovery service for a node.
func (f *Fleet) OpenEndpoint(node string, tier int) (string, error) {
	return f.discoveryOf(tier).OpenEndpoint(node, f.NewHost())
}

// Config writes the configuration of a node, as the platform would.
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
			"areas": f.Plan.Sites, "me": s.Index, "n_instances": s.TierNodes, "registry_mode": map[bool]string{false: "subscribe", true: "automatic"}[f.Plan.PushedLists],
			"tier": s.Tier, "tiers": tiers, "weight_source": "none", "zone": s.Site,
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

// beat finds out how late this machine runs what is due.
type delayMonitor struct {
	quit chan struct{}
	done chan struct{}
}

const (
	delayCheckInterval = 5 * time.Millisecond
	minReportedDelay   = 10 * time.Millisecond // less is not told
)

func startDelayMonitor(clock Clock, j *judge.Judge) *delayMonitor {
	b := &delayMonitor{make(chan struct{}), make(chan struct{})}
	go func() { // ends with stop
		defer close(b.done)
		tick := time.NewTicker(delayCheckInterval)
		defer tick.Stop()
		last := clock.Now()
		for {
			select {
			case <-tick.C:
			case <-b.quit:
				return
			}
			now := clock.Now()
			if late := now - last - delayCheckInterval; late > minReportedDelay {
				j.MachineDelayed(last+delayCheckInterval, late)
			}
			last = now
		}
	}()
	return b
}

func (b *delayMonitor) stop() {
	close(b.quit)
	<-b.done
}
