package maintenance

import (
	"testing"
	"time"
)

// A machine that never ends its drain would hold a place for ever. It must have the whole timeout, and then its request
// must be given up, so that the next machine of the site is admitted.
func TestStuckDrainIsGivenUp(t *testing.T) {
	machines := map[string]MachineFacts{}
	var requests []Request
	for _, name := range []string{"a", "b"} {
		m := Machine{Name: name, Site: "s"}
		machines[name] = MachineFacts{Machine: m, Alive: true, Ready: true, Capacity: 10}
		requests = append(requests, Request{Machine: m, Duration: time.Minute})
	}
	observations := &Observations{Machines: machines, Sites: map[string]SiteFacts{"s": {}}, HasMajority: true, DiscoveryUp: true}
	table := NewTable()
	table.Apply(&Command{Op: AddRequests, Requests: requests}, nil)
	const timeout = 90 * time.Second
	planner := NewPlanner(Rules{DrainTimeout: timeout}, 0)
	first, drainStart, givenUp := "", time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		for _, c := range planner.Plan(now, table, observations) {
			if a := table.Apply(&c, nil); !a.Done {
				t.Fatalf("%v: %+v: %s", now, c, a.Reason)
			}
			switch {
			case first == "" && c.To == Draining:
				first, drainStart = c.Machine, now
			case givenUp == 0 && c.Op == CancelRequest && c.Machine == first:
				givenUp = now
			case givenUp > 0 && c.To == Draining && c.Machine != first:
				if took := givenUp - drainStart; took <= timeout || took > timeout+2*reportInterval {
					t.Errorf("given up after %v of drain, the timeout is %v", took, timeout)
				}
				return
			}
		}
	}
	t.Errorf("drain of %q began at %v, given up at %v; the other machine never drained: %q", first, drainStart, givenUp, planner.WaitReasons())
}
