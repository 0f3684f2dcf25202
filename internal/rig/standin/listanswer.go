package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"curlewring/internal/rig/standin/judge"
)

// listAnswer is the body of an answer, in the protocol's format.
type listAnswer struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`

	removed          []string // servers that a whole list omits
	falseListChanges int      // discovery's count when the answer was built
}

func (a *listAnswer) encode() ([]byte, error) {
	if a.Instances == nil {
		a.Instances = []entry{} // would be encoded as null otherwise
	}
	return json.Marshal(a)
}

// buildAnswer returns the list up to version n for a client that has version since; the mutex is held.
func (e *discoveryEndpoint) buildAnswer(since, n int) *listAnswer {
	d := e.discovery
	a := &listAnswer{Generation: n, falseListChanges: d.falseListChanges}
	a.Reset = since == wholeList || since > n || d.isEmpty || e.falseListChanges != d.falseListChanges
	switch {
	case a.Reset && d.isEmpty:
		a.removed = d.removedServers(n, nil)
	case a.Reset:
		a.Instances = withoutDeleted(d.changedEntries(0, n))
		a.removed = d.removedServers(n, a.Instances)
	default:
		a.Instances = d.changedEntries(since, n)
	}
	return a
}

// countAnswer counts an answer that will be written when its turn comes; nil: none yet. The mutex is held.
func (d *Discovery) countAnswer(a *listAnswer) {
	if a != nil {
		d.callsAnswered++
		d.linesSent += len(a.Instances)
	}
}

// write sends an answer and reports to the judge what it delivered.
func (e *discoveryEndpoint) write(w http.ResponseWriter, a *listAnswer) error {
	text, err := a.encode()
	if err != nil {
		return err
	}
	d := e.discovery
	e.updateCounts(func(*CallCounts) { e.falseListChanges = a.falseListChanges }) // before the node can call again
	w.Header().Set("Content-Type", "application/json")
	writing := d.clock.Now()
	if _, err := w.Write(text); err != nil || http.NewResponseController(w).Flush() != nil {
		return errClientLeft // nothing was delivered
	}
	e.reportDelivered(a, writing, d.clock.Now())
	return nil
}

// reportDelivered reports to the judge the states that were written between two times.
func (e *discoveryEndpoint) reportDelivered(a *listAnswer, writing, written time.Duration) {
	e.updateCounts(func(c *CallCounts) { c.WrittenVersion = max(c.WrittenVersion, a.Generation) })
	report := func(at time.Duration, server string, state judge.State) {
		e.discovery.judge.StateDelivered(at, e.node, server, state, a.Generation, false)
	}
	for i := range a.Instances {
		server := &a.Instances[i]
		at := written
		if server.state() == judge.Serving { // the node may act on it before this goroutine runs again
			at = writing
		}
		report(at, server.ID, server.state())
	}
	for _, id := range a.removed {
		report(written, id, judge.Gone)
	}
}
