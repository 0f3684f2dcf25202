package scale

import (
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/timeline"
	"curlewring/internal/servers/endpoints"
)

// DiscoverySettings is a registry whose capacity does not grow with the fleet.
type DiscoverySettings struct {
	CallsPerSecond float64
	QueueTimeout   time.Duration
	BacklogFactor  float64
}

// TodaysDiscovery works through a call of each of today's 330 processes in 2 s.
func CurrentDiscovery() DiscoverySettings {
	return DiscoverySettings{CallsPerSecond: 165, QueueTimeout: 2 * time.Second, BacklogFactor: 2}
}

// MeasureWatchersBack returns how long it takes after one change of a list, which ends the long poll of every node that
// watches it, until the last of them has a long poll open again: until then it may miss the next change.
func MeasureWatcherReconnect(nodes int, set DiscoverySettings) time.Duration {
	const callLines = 1
	service := registry.New(registry.Settings{
		LinesPerSecond: set.CallsPerSecond, LinesPerCall: callLines, QueueTimeout: set.QueueTimeout, BacklogFactor: set.BacklogFactor,
	})
	var events timeline.Events
	var now, last time.Duration
	for i := range nodes {
		pace := endpoints.NewCallPacer(endpoints.FleetPosition{NodeIndex: i, NodeCount: nodes, Seed: uint64(i)})
		var call func()
		call = func() {
			admission := service.EnqueueCall(now, 0)
			if admission.Outcome == registry.Answered {
				last = max(last, admission.DoneAt)
				return
			}
			failed := endpoints.OverloadedCall{Took: admission.DoneAt - now, AnsweredBefore: true}
			events.At(admission.DoneAt+pace.RecordOverload(admission.DoneAt, failed), call)
		}
		events.At(0, call)
	}
	for _, ok := events.Next(); ok; _, ok = events.Next() {
		at, do := events.Pop()
		now = at
		do()
	}
	return last
}
