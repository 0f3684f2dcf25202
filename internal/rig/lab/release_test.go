package lab

import (
	"fmt"
	"testing"
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/standin"
)

// zoneRelease is a fleet in which half of the servers, by default a zone, drain almost together and are replaced. With
// faultKind "drain" a server rejects new requests while it drains. Discovery takes seconds to write so many
// changes to all nodes.
type zoneRelease struct {
	faultKind     string // how a server leaves: "drain", or "leave" if it goes on serving
	servers       int
	lineRate      float64       // lines per second that discovery can write
	replacedAfter time.Duration // time after which a new process takes a server's address
	allZones      bool          // every other server of all zones leaves in place of one zone
}

const (
	releaseNodes    = 24
	releaseStart    = 2 * time.Second
	releaseSteps    = 8
	releaseInterval = 150 * time.Millisecond
)

// run drains the zone and checks that the rules hold.
func (z zoneRelease) run(t *testing.T) {
	t.Helper()
	o := defaultOptions()
	o.Nodes, o.Plan.Servers = releaseNodes, z.servers
	o.Plan.Registry = registry.Settings{} // no limit until all nodes are ready
	o.Plan.PublishEvery = 400 * time.Millisecond
	o.Traffic.Rate, o.Traffic.Duration = requestsPerNode*releaseNodes, releaseStart+releaseSteps*releaseInterval+z.replacedAfter+6*time.Second
	sites := len(o.Plan.Sites)
	zone := z.servers / sites
	for i := range zone {
		step := i * releaseSteps / zone
		server := i * sites
		if z.allZones { // servers of all sites in turn
			server += i % sites
		}
		o.Faults = append(o.Faults, standin.Fault{
			Kind: z.faultKind, Server: fmt.Sprint(server), At: releaseStart + time.Duration(step)*releaseInterval, Duration: z.replacedAfter,
		})
	}
	capacity := registry.Settings{LinesPerSecond: z.lineRate, LinesPerCall: linesPerCall, QueueTimeout: 2 * time.Second, BacklogFactor: 1}
	_, r, _ := runWithCapacity(t, o, capacity)
	if share := servedShare(r); share < minServedShare {
		t.Errorf("%.3f of the requests served, want at least %.2f", share, minServedShare)
	}
}

// A zone of hundreds of servers drains within 1.2 s. Nodes whose calls discovery rejects in the meantime must
// not find the drains out by trying one server of the zone after another, nor mistake the new processes for
// the old ones.
func TestZoneDrainsInALargeFleet(t *testing.T) {
	for name, replaced := range map[string]time.Duration{"replaced soon": 4 * time.Second, "replaced late": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			zoneRelease{faultKind: "drain", servers: 1600, lineRate: 3840, replacedAfter: replaced}.run(t)
		})
	}
}

// The same servers go on serving while they drain, so that only the list shows it. Every node must then
// receive hundreds of changes within the time after which they count as delivered.
//
// It used to fail with 97 to 206 requests to drained servers in a run. Nodes that had received 300 or 600 of
// a zone's 800 drains timed out in discovery's queue and relied on recent responses as proof that a server
// may be used: all of these requests have "unconfirmed=true" in the debug log, and their servers had just
// answered.
func TestZoneLeavesALargeFleet(t *testing.T) {
	for name, replaced := range map[string]time.Duration{"replaced soon": 4 * time.Second, "replaced late": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			zoneRelease{faultKind: "leave", servers: 1600, lineRate: 3840, replacedAfter: replaced}.run(t)
		})
	}
}

// The same with half of the servers of each zone, so that no zone is left to use in place of one that leaves.
func TestHalfOfAllZonesLeaves(t *testing.T) {
	for name, replaced := range map[string]time.Duration{"replaced soon": 4 * time.Second, "replaced late": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			zoneRelease{faultKind: "leave", servers: 1600, lineRate: 3840, replacedAfter: replaced, allZones: true}.run(t)
		})
	}
}
