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
	Plan  Plan
	Clock Clock
	Judge *judge.Judge
	Boxes []*Box // of the first tier
	Lower []*Box // of the tiers below, in their order
	// Discovery is that of the first tier.
	Discovery *Discovery
	below     []*Discovery

	host  atomic.Int64 // the next loopback address
	beat  *beat
	trees *trees
}

// Start opens a fleet. Boxes of a tier that calls another wait for Attach.
func Start(plan Plan) (*Fleet, error) {
	if err := plan.validateRegistry(); err != nil {
		return nil, err
	}
	clock := NewClock()
	f := &Fleet{Plan: plan, Clock: clock, Judge: judge.New(plan.Rules())}
	f.beat, f.trees = startBeat(clock, f.Judge), newTrees()
	f.Discovery = newDiscovery(clock, f.Judge, &plan)
	racks := map[judge.Place]*rack{}
	for tier := range max(1, plan.Tiers) {
		if tier > 0 {
			f.below = append(f.below, newDiscovery(clock, f.Judge, &plan))
		}
		for i := range plan.Boxes {
			site := plan.Sites[i%len(plan.Sites)]
			// A rack's number is its own in the whole fleet: a cell of the list is a number alone.
			column := i / len(plan.Sites) / max(1, plan.RackSize)
			place := judge.Place{Site: site, Rack: (tier*len(plan.Sites)+i%len(plan.Sites))*1000 + column}
			if racks[place] == nil {
				racks[place] = &rack{seen: map[string]time.Duration{}}
			}
			b := &Box{
				ID: fmt.Sprintf("box-%d%02d", tier, i), Site: site, Rack: place.Rack, Tier: tier,
				speed: plan.Speeds[i%len(plan.Speeds)], plan: &f.Plan, clock: clock, judge: f.Judge, rack: racks[place],
				cores: make(chan struct{}, max(1, plan.Cores)), slots: make(chan struct{}, max(1, plan.Slots)),
				slower: 1, rng: plan.draw("box", tier*1000+i), trees: f.trees,
			}
			f.Judge.Box(b.ID, place)
			if err := b.listen(f.Host()); err != nil {
				f.Close()
				return nil, err
			}
			if tier == 0 {
				f.Boxes = append(f.Boxes, b)
			} else {
				f.Lower = append(f.Lower, b)
			}
			f.publish(b, "SERVING", true)
		}
	}
	return f, nil
}

// Host is a loopback address that nothing else here has, so that what goes can
// come back on the same port: connections go out from 127.0.0.1 alone.
func (f *Fleet) Host() string {
	n := f.host.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, n/250%250, 1+n%250)
}

// Attach gives a box the node that it calls the tier below through.
func (f *Fleet) Attach(b *Box, node, address string) {
	b.below = NewClient(node, address, &f.Plan, f.Clock, f.Judge)
}

// Longest tells the longest that attempts of a class were said to last, and how
// many there were, at boxes of the first tier since the last call.
func (f *Fleet) Longest(class int) (time.Duration, int) {
	most, count := time.Duration(0), 0
	for _, b := range f.Boxes {
		b.mu.Lock()
		if b.longest != nil {
			most, count = max(most, b.longest[class].most), count+b.longest[class].count
			b.longest[class] = longest{}
		}
		b.mu.Unlock()
	}
	return most, count
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, b := range append(append([]*Box{}, f.Boxes...), f.Lower...) {
		b.set(healthy, 1)
		b.close()
		if b.below != nil {
			b.below.Close()
		}
	}
	f.Discovery.Close()
	for _, d := range f.below {
		d.Close()
	}
	f.beat.stop()
}

// discoveryOf is the discovery service of a tier.
func (f *Fleet) discoveryOf(tier int) *Discovery {
	if tier == 0 {
		return f.Discovery
	}
	return f.below[tier-1]
}

// Settle reports to the judge, at the end of a run, what counts as delivered whether or not it was.
func (f *Fleet) Settle() {
	f.Discovery.Settle()
	for _, d := range f.below {
		d.Settle()
	}
}

// publish puts a box's state on the list of its tier.
func (f *Fleet) publish(b *Box, lifecycle string, atOnce bool) {
	f.discoveryOf(b.Tier).Put(f.entryOf(b, lifecycle), atOnce)
}

// lost publishes that a box's process has ended without a word.
func (f *Fleet) lost(b *Box) {
	f.discoveryOf(b.Tier).PutAfter(f.entryOf(b, "DELETED"), cmp.Or(f.Plan.LossNotice, f.Plan.Notice))
}

// entryOf is a box as its tier's list has it.
func (f *Fleet) entryOf(b *Box, lifecycle string) entry {
	started := int64(0)
	if b.started > 0 {
		started = f.Clock.Unix(b.started)
	}
	return entry{
		ID: b.ID, HostPort: b.Address, Zone: b.Site, Kind: "stand-in", Cell: b.Rack, Lifecycle: lifecycle, Weight: 1,
		StartedMs: started,
	}
}

// Chill makes all boxes of the first tier cold, as after a power cut.
func (f *Fleet) Chill() {
	now := f.Clock.Now()
	for _, b := range f.Boxes {
		b.mu.Lock()
		b.started = now
		b.mu.Unlock()
		f.publish(b, "SERVING", true)
	}
}

// Paper puts boxes on the first tier's list that are on paper only: number
// from up to to, all gone or all serving. Nobody listens at their addresses, so a
// fleet with traffic is no place for them: they show what a long list costs.
func (f *Fleet) Paper(from, to int, serving bool) {
	lifecycle := "SERVING"
	if !serving {
		lifecycle = "DELETED"
	}
	for i := from; i < to; i++ {
		f.Discovery.Put(entry{
			ID: fmt.Sprintf("paper-%06d", i), HostPort: fmt.Sprintf("127.%d.%d.%d:9", 200+i>>16&15, i>>8&255, i&255),
			Zone: f.Plan.Sites[i%len(f.Plan.Sites)], Kind: "paper", Cell: 1000000 + i/4, Lifecycle: lifecycle, Weight: 1,
		}, true)
	}
}

// NodeSpec says which node a configuration is for.
type NodeSpec struct {
	Name     string
	Listen   string
	Tier     int // it sends to boxes of this tier
	Number   int // among the nodes of its tier
	Nodes    int // how many these are
	Site     string
	MemoryMB int
	Sockets  int
	Known    bool // it knows the list that it last had, as after a restart
	Copies   bool // attempts of a request may overlap
	Budgets  bool // requests share a budget of attempts with other tiers
	Advice   time.Duration
	List     json.RawMessage // the list that it knows, in the place of that of now; nil: Known says
}

// Endpoint opens an address of a tier's discovery service for a node.
func (f *Fleet) Endpoint(node string, tier int) (string, error) {
	return f.discoveryOf(tier).Endpoint(node, f.Host())
}

// Config writes the configuration of a node, as the platform would.
func (f *Fleet) Config(s NodeSpec, discovery string) ([]byte, error) {
	type object = map[string]any
	effects := map[judge.Effect]string{judge.Safe: "repeatable", judge.Keyed: "by_key", judge.Unsafe: "once"}
	groups := map[judge.Group]string{judge.All: "all", judge.Site: "zone", judge.Rack: "cell"}
	var classes []object
	for _, c := range f.Plan.Classes {
		classes = append(classes, object{
			"name": c.Name, "aim_ns": c.Aim, "deadline_ns": c.Deadline, "worth": c.Worth, "late_worth": 0,
			"semantics": effects[c.Effect], "group": groups[c.Group], "key_ttl_ns": c.Window,
		})
	}
	tiers := make([]string, max(1, f.Plan.Tiers))
	for i := range tiers {
		tiers[i] = fmt.Sprintf("tier-%d", i)
	}
	config := object{
		"name": s.Name, "listen": s.Listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", f.Plan.draw("node/"+s.Name, s.Number).Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"settings": object{
			"categories": classes,
			"limits": object{
				"cancel": true, "conn_idle_ns": 10 * time.Second, "connect_timeout_ns": 250 * time.Millisecond,
				"may_probe": false, "second_copies": s.Copies, "retry_after": s.Advice > 0, "max_retry_after_ns": s.Advice,
				"most_held": 0, "most_tries": 4, "streams_per_conn": 1,
			},
			"obligations": object{
				"ask_within_ns": 10 * time.Second, "cold_from": f.Plan.ColdFrom, "cold_ns": f.Plan.ColdFor,
				"drain_grace_ns": f.Plan.DrainGrace, "fall_multiple": f.Plan.FallMultiple, "fall_ns": f.Plan.FallFor,
				"grace_to_answer_ns": 10 * time.Millisecond,
			},
			"callers": object{"marks_retry": true}, "family_info": object{"passes_deadline": true},
			"areas": f.Plan.Sites, "me": s.Number, "n_instances": s.Nodes, "registry_mode": map[bool]string{false: "subscribe", true: "automatic"}[f.Plan.Pushed],
			"tier": s.Tier, "tiers": tiers, "weight_source": "none", "zone": s.Site,
		},
	}
	if s.Budgets {
		config["budgets"] = true
	}
	if s.List != nil {
		config["known"] = s.List
	} else if s.Known {
		config["known"] = f.discoveryOf(s.Tier).known(s.Name)
	}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", s.Name, err)
	}
	return text, nil
}

// beat finds out how late this machine runs what is due.
type beat struct {
	end  chan struct{}
	done chan struct{}
}

const (
	beatEvery = 5 * time.Millisecond
	beatLate  = 10 * time.Millisecond // less is not told
)

func startBeat(clock Clock, j *judge.Judge) *beat {
	b := &beat{make(chan struct{}), make(chan struct{})}
	go func() { // ends with stop
		defer close(b.done)
		tick := time.NewTicker(beatEvery)
		defer tick.Stop()
		last := clock.Now()
		for {
			select {
			case <-tick.C:
			case <-b.end:
				return
			}
			now := clock.Now()
			if late := now - last - beatEvery; late > beatLate {
				j.Lag(last+beatEvery, late)
			}
			last = now
		}
	}()
	return b
}

func (b *beat) stop() {
	close(b.end)
	<-b.done
}
