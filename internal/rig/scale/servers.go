package scale

import (
	"fmt"
	"runtime"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// ServersCost is what a server list of a given length costs a node.
type ServersCost struct {
	Servers   int
	ListBytes float64       // of a full answer of discovery
	Heap      float64       // of the server view and the balancer
	Parse     time.Duration // of a full answer
	Change    time.Duration // of one server's health, from the parsed answer to the balancer
	Decision  time.Duration // one request with its attempt and outcome
}

// serverList returns a full server list of discovery.
func serverList(servers int) *endpoints.List {
	list := &endpoints.List{Generation: 1, Whole: true}
	for i := range servers {
		list.Entries = append(list.Entries, endpoints.Entry{
			Server:  decide.Server{ID: fmt.Sprintf("s-%08x", i), Zone: fmt.Sprintf("z%d", i%17), Cell: i / 8, Weight: 1},
			Address: fmt.Sprintf("10.%d.%d.%d:8081", i>>16&255, i>>8&255, i&255),
		})
	}
	return list
}

// newNodeState returns the server view and the balancer of a front node that has received a server list.
func newNodeState(list *endpoints.List) (*endpoints.View, *decide.Balancer) {
	view := endpoints.New(endpoints.Settings{})
	update := view.Apply(0, list)
	balancer := decide.New(decide.Settings{
		Node: 7, Nodes: max(8, len(list.Entries)/4), Zone: "z0", Zones: 17, MaxAttempts: 4,
		AnswerGrace: 10 * time.Millisecond, DrainGrace: 500 * time.Millisecond, MustSubscribe: true, ResubscribeWithin: 10 * time.Second,
		ColdCapacity: 0.3, WarmupTime: 8 * time.Second, CollapseMultiple: 2.5, CollapseWindow: time.Second,
		Classes: []decide.Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	changes := endpoints.List{Entries: update.Changes}
	balancer.HandleList(time.Second, decide.ListUpdate{Kind: decide.ListFull, Servers: changes.Servers()}, nil)
	return view, balancer
}

// MeasureServers measures parsing, applying and changing a server list of a given length, and decisions with it. The
// times depend on this machine.
func MeasureServers(servers int) (ServersCost, error) {
	list := serverList(servers)
	encoded, err := list.Encode()
	if err != nil {
		return ServersCost{}, fmt.Errorf("server list of length %d: %w", servers, err)
	}
	cost := ServersCost{Servers: servers, ListBytes: float64(len(encoded))}

	start := time.Now()
	parsed, err := endpoints.Parse(encoded)
	if err != nil {
		return ServersCost{}, fmt.Errorf("server list of length %d: %w", servers, err)
	}
	cost.Parse = time.Since(start)

	heapBefore := heapInUse()
	view, balancer := newNodeState(parsed)
	cost.Heap = max(0, float64(heapInUse())-float64(heapBefore))
	cost.Change = timeChanges(view, balancer, list)
	cost.Decision = timeDecisions(balancer)
	runtime.KeepAlive(parsed)
	return cost, nil
}

// timeChanges returns the mean time of a change: servers begin to drain one after another and become healthy again.
func timeChanges(view *endpoints.View, balancer *decide.Balancer, list *endpoints.List) time.Duration {
	const changes = 200
	generation := list.Generation
	start := time.Now()
	for i := range changes {
		entry := list.Entries[i/2%len(list.Entries)]
		entry.Health = decide.Draining
		if i%2 == 1 {
			entry.Health = decide.Healthy
		}
		generation++
		now := time.Second + time.Duration(i)*time.Millisecond
		update := view.Apply(now, &endpoints.List{Generation: generation, Entries: []endpoints.Entry{entry}})
		changedEntries := endpoints.List{Entries: update.Changes}
		balancer.HandleList(now, decide.ListUpdate{Kind: decide.ListDiff, Servers: changedEntries.Servers()}, nil)
	}
	return time.Since(start) / changes
}

// timeDecisions returns the mean time of a decision: requests that are sent and answered one after another.
func timeDecisions(balancer *decide.Balancer) time.Duration {
	const requests = 20_000
	var actions []decide.Action
	start := time.Now()
	for i := range requests {
		now := 2*time.Second + time.Duration(i)*time.Millisecond
		actions = balancer.HandleRequest(now, decide.Request{ID: uint64(i + 1), Tenant: -1, TTL: 2 * time.Second}, actions[:0])
		for _, action := range actions {
			if action.Kind == decide.Send {
				outcome := decide.Outcome{Request: action.Request, Server: action.Server, Elapsed: 4 * time.Millisecond, Final: true}
				balancer.HandleOutcome(now+4*time.Millisecond, outcome, nil)
				break
			}
		}
	}
	return time.Since(start) / requests
}
