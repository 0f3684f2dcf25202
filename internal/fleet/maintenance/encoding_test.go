package maintenance

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// Commands and tables decode to what was encoded.
func TestEncodingRoundTrip(t *testing.T) {
	c := Command{Op: AddRequests, Machine: "m", Serial: 7, To: OutOfService, By: "who", Reason: "why", Elapsed: time.Second, Limits: Limits{9, 3, 1},
		Requests: []Request{{Machine: Machine{"a", "s", "r", 4}, Purpose: "disk", Duration: time.Hour, Deadline: 8 * time.Hour, Urgent: true}}, Lost: []Machine{{"b", "s", "", 0}}}
	if d, err := ParseCommand(AppendCommand(nil, &c)); err != nil || !reflect.DeepEqual(c, d) {
		t.Errorf("command %+v\ndecodes as\n%+v: %v", c, d, err)
	}
	w := newModelState(t, false)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		events := w.successors()
		w.perform(events[rng.IntN(len(events))], "")
	}
	b := AppendTable(nil, w.table)
	again, err := ParseTable(b)
	if err != nil || !bytes.Equal(b, AppendTable(nil, again)) || !reflect.DeepEqual(w.table.Requests(), again.Requests()) || !reflect.DeepEqual(w.table.History(), again.History()) {
		t.Errorf("a table does not decode to what was encoded: %v", err)
	}
}

// Decoding survives any input, and whatever decodes can be applied and planned with.
func FuzzForms(f *testing.F) {
	f.Add(AppendCommand(nil, &Command{Op: ReportObservations, Elapsed: time.Hour, Lost: []Machine{{"b", "s", "r", 2}}}))
	t := NewTable()
	t.Apply(&Command{Op: AddRequests, Requests: []Request{{Machine: Machine{"a", "s", "r", 4}, Duration: time.Hour}}}, nil)
	f.Add(AppendTable(nil, t))
	f.Fuzz(func(t *testing.T, b []byte) {
		table, err := ParseTable(b)
		if err != nil {
			table = NewTable()
		} else if again, err := ParseTable(AppendTable(nil, table)); err != nil || len(again.Requests()) != len(table.Requests()) {
			t.Fatal(err)
		}
		if c, err := ParseCommand(b); err == nil {
			table.Apply(&c, []string{"a"})
		}
		NewPlanner(Rules{}, 0).Plan(time.Hour, table, &Observations{})
	})
}
