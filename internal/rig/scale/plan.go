package scale

import "time"

// Plan is the size that the fleet is to reach, and what its control may cost there.
type Plan struct {
	Nodes    int
	Services int
	Zones    int
	Regions  int
	Hops     int // nodes on the path of one call, at the most
	Voters   int // machines set aside for control

	ConfigChanges int // changes of the configuration a day
	Failures      int // machines a day that fail
	Restarts      int // machines a day that are restarted or replaced

	Control      Allowance
	ConfigDelay  time.Duration // a change of the configuration is in force everywhere
	AddedLatency time.Duration // to a call, for 99 in 100
}

// Allowance is what a node may spend on control.
type Allowance struct {
	Core           float64 // part of a core
	Memory         int     // bytes
	BytesPerSecond float64
}

// OperatorsPlan is the size that the operators plan for.
func OperatorsPlan() Plan {
	return Plan{
		Nodes: 5400, Services: 590, Zones: 17, Regions: 5, Hops: 22, Voters: 7,
		ConfigChanges: 7300, Failures: 31, Restarts: 920,
		Control:      Allowance{Core: 0.019, Memory: 256 << 20, BytesPerSecond: 14_000},
		ConfigDelay:  10 * time.Second,
		AddedLatency: 310 * time.Microsecond,
	}
}
