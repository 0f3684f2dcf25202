package lab

import (
	"testing"
	"time"
)

// Servers answer without a length, and some answers are cut off by a reset. Those must not be served, while of the
// whole ones at least half must be.
func TestAnswersWithoutALengthAreServed(t *testing.T) {
	const cut, wholeServed = 0.3, 0.5 // fractions: as in the faults below, and the least of the whole ones
	r := runFaults(t, func(o *Options) {
		o.Nodes, o.Plan.Servers, o.Traffic.Rate, o.Traffic.Duration = 7, 4, 350, 4*time.Second
	}, "unframed:site=zuerich,at=0s,for=10s,by=0.3", "unframed:site=genf,at=0s,for=10s,by=0.3")
	if share := servedShare(r); share < wholeServed*(1-cut) {
		t.Errorf("%.3f of the requests served, want at least half of the whole answers, %.3f", share, wholeServed*(1-cut))
	}
}
