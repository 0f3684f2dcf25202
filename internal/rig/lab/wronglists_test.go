package lab

import (
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// Discovery returns an empty list for a second, and later restores an old backup. Servers that the list omits
// must get no new requests, servers that it brings back must wait, and service must recover. The judge checks
// what was written to nodes. Whether a node distrusts an entry that reappears is tested in package endpoints:
// a node that trusted it at once would also pass here.
func TestWrongLists(t *testing.T) {
	o := defaultOptions()
	o.Traffic = standin.Traffic{Rate: 150, Duration: 8 * time.Second, Retries: 1, Backoff: 100 * time.Millisecond, BodyBytes: 50}
	o.Faults = []standin.Fault{
		{Kind: "empty", At: 1500 * time.Millisecond, Duration: time.Second},
		{Kind: "drain", Server: "1", At: 4 * time.Second, Duration: 3 * time.Second},
		{Kind: "backup", At: 5 * time.Second, Duration: time.Second, Magnitude: 3},
	}
	r := runLab(t, o)
	served, requests := 0, 0
	for _, c := range r.Classes {
		served, requests = served+c.Served, requests+c.Requests
	}
	if served*10 < requests*7 {
		t.Errorf("%d of %d requests served in time", served, requests)
	}
}
