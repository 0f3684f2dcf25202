package scale

import (
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/timeline"
	"curlewring/internal/servers/endpoints"
)

// DiscoverySettings describes a discovery service whose capacity does not grow with the fleet.
type DiscoverySettings struct {
	CallsPerSecond float64
	QueueTimeout   time.Duration
	BacklogFactor  float64
}

// CurrentDiscovery returns the capacity of today's discovery: it serves one call of each of the 330 processes in 2 s.
func CurrentDiscovery() DiscoverySettings {
	return DiscoverySettings{CallsPerSecond: 165, QueueTimeout: 2 * time.Second, BacklogFactor: 2}
}

// MeasureWatcherReconnect returns how long it takes after a list change, which ends the long polls of all nodes that
// watch the list, until the last node has a long poll open again. Until then a node may miss the next change.
func MeasureWatcherReconnect(nodes int, settings DiscoverySettings) time.Duration {
	const linesPerCall = 1
	service := registry.New(registry.Settings{
		LinesPerSecond: settings.CallsPerSecond, LinesPerCall: linesPerCall, QueueTimeout: settings.QueueTimeout, BacklogFactor: settings.BacklogFactor,
	})
	var events timeline.Events
	var now, last time.Duration
	for i := range nodes {
		pacer := endpoints.NewCallPacer(endpoints.FleetPosition{NodeIndex: i, NodeCount: nodes, Seed: uint64(i)})
		var call func()
		call = func() {
			admission := service.EnqueueCall(now, 0)
			if admission.Outcome == registry.Answered {
				last = max(last, admission.DoneAt)
				return
			}
			failed := endpoints.OverloadedCall{Took: admission.DoneAt - now, AnsweredBefore: true}
			events.At(admission.DoneAt+pacer.RecordOverload(admission.DoneAt, failed), call)
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
