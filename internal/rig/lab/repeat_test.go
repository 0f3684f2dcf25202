package lab

import (
	"testing"
	"time"
)

// Servers send their answers a second time, some milliseconds late, from the first request on. A node that
// reuses a connection in between must not pass such an answer on as that of the next request.
func TestLateSecondAnswersAreNotServed(t *testing.T) {
	for name, delay := range map[string]string{"3ms": "3", "10ms": "10", "50ms": "50"} {
		t.Run(name, func(t *testing.T) {
			r := runFaults(t, func(o *Options) {
				o.Nodes, o.Plan.Servers, o.Traffic.Rate, o.Traffic.Duration = 7, 4, 700, 4*time.Second
			}, "repeat:site=zuerich,at=0s,for=10s,by="+delay, "repeat:site=genf,at=0s,for=10s,by="+delay)
			if share := servedShare(r); share < 0.9 {
				t.Errorf("%.3f of the requests served, want at least 0.9", share)
			}
		})
	}
}
