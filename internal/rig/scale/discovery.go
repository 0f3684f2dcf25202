package scale

import (
	"container/heap"
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/servers/endpoints"
)

// DiscoverySettings is a registry whose capacity does not grow with the fleet.
type DiscoverySettings struct {
	CallsPerSecond float64
	QueueTimeout   time.Duration
	Overbook       float64
}

// TodaysDiscovery works through a call of each of today's 330 processes in 2 s.
func TodaysDiscovery() DiscoverySettings {
	return DiscoverySettings{CallsPerSecond: 165, QueueTimeout: 2 * time.Second, Overbook: 2}
}

// nextCall is the time of a node's next call.
type nextCall struct {
	at   time.Duration
	node int
}

type callQueue []nextCall

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)        { *q = append(*q, x.(nextCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// MeasureWatchersBack returns how long it takes after one change of a list, which ends the long poll of every node that
// watches it, until the last of them has a long poll open again: until then it may miss the next change.
func MeasureWatchersBack(nodes int, set DiscoverySettings) time.Duration {
	const callLines = 1
	service := registry.New(registry.Settings{
		LinesPerSecond: set.CallsPerSecond, CallLines: callLines, QueueTimeout: set.QueueTimeout, Overbook: set.Overbook,
	})
	paces := make([]*endpoints.Pace, nodes)
	calls := make(callQueue, nodes)
	for i := range nodes {
		paces[i] = endpoints.NewPace(endpoints.Place{Node: i, Nodes: nodes, Seed: uint64(i)})
		calls[i] = nextCall{0, i}
	}
	last := time.Duration(0)
	for calls.Len() > 0 {
		call := heap.Pop(&calls).(nextCall)
		admission := service.Call(call.at, 0)
		if admission.Outcome == registry.Answered {
			last = max(last, admission.At)
			continue
		}
		failed := endpoints.Overload{Took: admission.At - call.at, Heard: true}
		call.at = admission.At + paces[call.node].Overloaded(admission.At, failed)
		heap.Push(&calls, call)
	}
	return last
}
