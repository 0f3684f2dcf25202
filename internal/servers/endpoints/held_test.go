package endpoints

import (
	"testing"
	"time"
)

// The lists of held and of superseded servers are bounded by the servers, not by the reports about them.
func TestHeldAndSupersededAreBounded(t *testing.T) {
	v := fiveServerView()
	for i := range 1000 { // held, drained and held again before the release is due
		now := 2*second + time.Duration(i)*20*second
		v.ReleaseDue(now)
		v.Apply(now, deltaList(uint64(2*i+11), entry("a", draining, second)))
		v.Apply(now, deltaList(uint64(2*i+12), entry("a", serving, second)))
	}
	assertEqual(t, "held", v.held.Len(), 1)
	newest := entry("newest", serving, time.Hour)
	newest.Address = "a:1"
	v = fiveServerView()
	v.Apply(second, deltaList(11, newest))
	for i := range 1000 { // superseded, reported with a newer start time and superseded again
		v.Apply(2*second, deltaList(uint64(12+i), entry("a", serving, second+time.Duration(i))))
	}
	assertEqual(t, "superseded, newer start times", v.superseded.Len(), 1)
	v = fiveServerView()
	v.Apply(second, deltaList(11, newest))
	for i := range 1000 { // superseded, drained by a partial answer and superseded again
		now := time.Duration(1+i) * time.Minute
		v.ApplyPartial(now, []Entry{entry("a", draining, second)})
		v.Apply(now, deltaList(uint64(12+i), entry("a", serving, second)))
	}
	assertEqual(t, "superseded, partial answers", v.superseded.Len(), 1)
}
