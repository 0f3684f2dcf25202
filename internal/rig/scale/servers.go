package scale

import (
	"fmt"
	"runtime"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// ServersCost is what a list of servers of one length costs a node.
type ServersCost struct {
	Servers   int
	ListBytes float64       // of a whole answer of discovery
	Heap      float64       // of the view and the module
	Parse     time.Duration // of a whole answer
	Change    time.Duration // one server that begins to drain, from the answer to the module
	Decision  time.Duration // one request with its attempt and its outcome
}

// serverList is a whole list of discovery.
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

// asNode is a front node among others before a list of servers.
func asNode(list *endpoints.List) (*endpoints.View, *decide.Balancer) {
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

// MeasureServers takes a whole list of one length in, changes it and decides by it. Times are of this machine.
func MeasureServers(servers int) (ServersCost, error) {
	list := serverList(servers)
	text, err := list.Encode()
	if err != nil {
		return ServersCost{}, fmt.Errorf("a list of %d servers: %w", servers, err)
	}
	cost := ServersCost{Servers: servers, ListBytes: float64(len(text))}

	begun := time.Now()
	parsed, err := endpoints.Parse(text)
	if err != nil {
		return ServersCost{}, fmt.Errorf("a list of %d servers: %w", servers, err)
	}
	cost.Parse = time.Since(begun)

	before := heapInUse()
	view, balancer := asNode(parsed)
	cost.Heap = max(0, float64(heapInUse())-float64(before))
	cost.Change = timeChanges(view, balancer, list)
	cost.Decision = timeDecisions(balancer)
	runtime.KeepAlive(parsed)
	return cost, nil
}

// timeChanges has servers drain one after another, and come back.
func timeChanges(view *endpoints.View, balancer *decide.Balancer, list *endpoints.List) time.Duration {
	const changes = 200
	generation := list.Generation
	begun := time.Now()
	for i := range changes {
		entry := list.Entries[i/2%len(list.Entries)]
		entry.Health = decide.Draining
		if i%2 == 1 {
			entry.Health = decide.Healthy
		}
		generation++
		now := time.Second + time.Duration(i)*time.Millisecond
		update := view.Apply(now, &endpoints.List{Generation: generation, Entries: []endpoints.Entry{entry}})
		changed := endpoints.List{Entries: update.Changes}
		balancer.HandleList(now, decide.ListUpdate{Kind: decide.ListDiff, Servers: changed.Servers()}, nil)
	}
	return time.Since(begun) / changes
}

// timeDecisions answers requests one after another.
func timeDecisions(balancer *decide.Balancer) time.Duration {
	const requests = 20_000
	var actions []decide.Action
	begun := time.Now()
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
	return time.Since(begun) / requests
}
