package lab

import (
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// Discovery that says for a second that there is nothing, and one that comes back from a backup: what it says is
// gone gets nothing new, what it brings back waits, and service returns. The judge hears what nodes were told. That doubts of
// good news hold is package endpoints's own test: a node that believed all at once would pass here too.
func TestWrongLists(t *testing.T) {
	o := defaultOptions()
	o.Traffic = standin.Traffic{Rate: 150, Duration: 8 * time.Second, Retries: 1, Backoff: 100 * time.Millisecond, BodyBytes: 50}
	o.Faults = []standin.Fault{
		{Kind: "empty", At: 1500 * time.Millisecond, Duration: time.Second},
		{Kind: "drain", Server: "1", At: 4 * time.Second, Duration: 3 * time.Second},
		{Kind: "backup", At: 5 * time.Second, Duration: time.Second, Magnitude: 3},
	}
	r := runLab(t, o)
	served, asked := 0, 0
	for _, c := range r.Classes {
		served, asked = served+c.Served, asked+c.Requests
	}
	if served*10 < asked*7 {
		t.Errorf("%d of %d served", served, asked)
	}
}
