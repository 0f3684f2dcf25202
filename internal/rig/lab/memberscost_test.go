package lab

import (
	"os"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// Measures what the membership costs requests: rounds with and without it alternate. Run by hand.
func TestMembershipRequestCost(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("set CURLEWRING_LONG=1")
	}
	sum := map[bool][2]float64{}
	for round := range 8 {
		withMembership := round%2 == 1
		o := defaultOptions()
		o.Nodes, o.Membership = 5, withMembership
		o.Traffic = standin.Traffic{Rate: 1500, Duration: 6 * time.Second, Backoff: 50 * time.Millisecond, BodyBytes: 100}
		o.Plan.Servers = 16
		r := runLab(t, o)
		meanP99 := 0.0
		for _, c := range r.Classes {
			meanP99 += c.P99 / float64(len(r.Classes))
		}
		totals := sum[withMembership]
		sum[withMembership] = [2]float64{totals[0] + r.CPUMicrosPerRequest/4, totals[1] + meanP99/4}
		t.Logf("membership %v: %.0f us of CPU per request, p99 %.1f ms, weighted service %.2f", withMembership, r.CPUMicrosPerRequest, meanP99, r.ServedWorth)
	}
	t.Logf("ratio of on to off: CPU per request %.3f, p99 %.3f", sum[true][0]/sum[false][0], sum[true][1]/sum[false][1])
}
