package scale

import "time"

// Plan is the size that the fleet is planned to reach, with limits for the cost of its control plane at that size.
type Plan struct {
	Nodes    int
	Services int
	Zones    int
	Regions  int
	Hops     int // maximum number of nodes on the path of one call
	Voters   int // machines reserved for control

	ConfigChanges int // configuration changes per day
	Failures      int // failed machines per day
	Restarts      int // restarted or replaced machines per day

	Control      Allowance
	ConfigDelay  time.Duration // until a configuration change is in force everywhere
	AddedLatency time.Duration // to a call, 99th percentile
}

// Allowance is the most that a node may spend on control.
type Allowance struct {
	Core           float64 // fraction of a core
	Memory         int     // bytes
	BytesPerSecond float64
}

// OperatorsPlan returns the size and the limits that the operators plan for.
func OperatorsPlan() Plan {
	return Plan{
		Nodes: 5400, Services: 590, Zones: 17, Regions: 5, Hops: 22, Voters: 7,
		ConfigChanges: 7300, Failures: 31, Restarts: 920,
		Control:      Allowance{Core: 0.019, Memory: 256 << 20, BytesPerSecond: 14_000},
		ConfigDelay:  10 * time.Second,
		AddedLatency: 310 * time.Microsecond,
	}
}
