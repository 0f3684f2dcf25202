package maintenance

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/protofields"
)

func appendMachine(to []byte, m *Machine) []byte {
	return protofields.AppendUint(protofields.AppendString(protofields.AppendString(protofields.AppendString(to, 1, m.Name), 2, m.Site), 3, m.Rack), 4, uint64(m.RackSize))
}

func text(b []byte) (string, error) {
	if len(b) > mostText {
		return "", protofields.Errorf("a text of %d bytes, at most %d", len(b), mostText)
	}
	return string(b), nil
}

// small takes a number up to a bound.
func small(x, most uint64) (int, error) {
	if x > most {
		return 0, protofields.Errorf("%d is above %d", x, most)
	}
	return int(x), nil
}

func span(x uint64) (time.Duration, error) {
	if x > 1<<62 {
		return 0, protofields.Errorf("a time of %d ns", x)
	}
	return time.Duration(x), nil
}

func parseMachine(b []byte) (m Machine, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			m.Name, err = text(f.Bytes)
		case !f.IsUint && f.Number == 2:
			m.Site, err = text(f.Bytes)
		case !f.IsUint && f.Number == 3:
			m.Rack, err = text(f.Bytes)
		case f.IsUint && f.Number == 4:
			m.RackSize, err = small(f.Uint, 1<<20)
		}
		return err
	})
	return m, err
}

func appendWish(to []byte, w *Request) []byte {
	to = protofields.AppendBytes(to, 1, appendMachine(nil, &w.Machine))
	to = protofields.AppendString(protofields.AppendString(to, 2, w.RequestedBy), 3, w.Purpose)
	to = protofields.AppendUint(protofields.AppendUint(to, 4, uint64(w.Duration)), 5, uint64(w.Deadline))
	to = protofields.AppendUint(protofields.AppendBool(to, 6, w.Urgent), 7, uint64(w.RequestedAt))
	to = protofields.AppendUint(protofields.AppendUint(to, 8, uint64(w.State)), 9, uint64(w.Since))
	to = protofields.AppendUint(protofields.AppendUint(to, 10, w.Serial), 11, w.HookRun)
	return protofields.AppendString(protofields.AppendString(to, 12, w.HookError), 13, w.Reason)
}

func parseWish(b []byte) (w Request, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			switch f.Number {
			case 4:
				w.Duration, err = span(f.Uint)
			case 5:
				w.Deadline, err = span(f.Uint)
			case 6:
				w.Urgent = f.Uint != 0
			case 7:
				w.RequestedAt, err = span(f.Uint)
			case 8:
				var n int
				n, err = small(f.Uint, uint64(Cancelled))
				w.State = State(n)
			case 9:
				w.Since, err = span(f.Uint)
			case 10:
				w.Serial = f.Uint
			case 11:
				w.HookRun = f.Uint
			}
			return err
		}
		switch f.Number {
		case 1:
			w.Machine, err = parseMachine(f.Bytes)
		case 2:
			w.RequestedBy, err = text(f.Bytes)
		case 3:
			w.Purpose, err = text(f.Bytes)
		case 12:
			w.HookError, err = text(f.Bytes)
		case 13:
			w.Reason, err = text(f.Bytes)
		}
		return err
	})
	return w, err
}

// AppendCommand appends a command in its form for the log and for messages.
func AppendCommand(to []byte, c *Command) []byte {
	to = protofields.AppendUint(protofields.AppendString(protofields.AppendUint(to, 1, uint64(c.Op)), 2, c.Machine), 3, c.Serial)
	to = protofields.AppendUint(to, 4, uint64(c.To))
	for i := range c.Requests {
		to = protofields.AppendBytes(to, 5, appendWish(nil, &c.Requests[i]))
	}
	if c.Limits != (Limits{}) {
		to = protofields.AppendBytes(to, 6, appendLimits(nil, c.Limits))
	}
	to = protofields.AppendUint(to, 7, uint64(max(0, c.Elapsed)))
	for i := range c.Lost {
		to = protofields.AppendBytes(to, 8, appendMachine(nil, &c.Lost[i]))
	}
	return protofields.AppendString(protofields.AppendString(to, 9, c.By), 10, c.Reason)
}

func appendLimits(to []byte, l Limits) []byte {
	return protofields.AppendUint(protofields.AppendUint(protofields.AppendUint(to, 1, uint64(max(0, l.All))), 2, uint64(max(0, l.Site))), 3, uint64(max(0, l.Rack)))
}

func parseLimits(b []byte) (l Limits, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		to := map[protowire.Number]*int{1: &l.All, 2: &l.Site, 3: &l.Rack}[f.Number]
		if f.IsUint && to != nil {
			*to, err = small(f.Uint, 1<<20)
		}
		return err
	})
	return l, err
}

// ParseCommand reads a command. It checks the form alone: what makes no sense is the table's to refuse.
func ParseCommand(b []byte) (c Command, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			var n int
			switch f.Number {
			case 1:
				n, err = small(f.Uint, 255)
				c.Op = Op(n)
			case 3:
				c.Serial = f.Uint
			case 4:
				n, err = small(f.Uint, uint64(Cancelled))
				c.To = State(n)
			case 7:
				c.Elapsed, err = span(f.Uint)
			}
			return err
		}
		switch f.Number {
		case 2:
			c.Machine, err = text(f.Bytes)
		case 5:
			if len(c.Requests) == MaxRequests {
				return protofields.Errorf("more than %d wishes", MaxRequests)
			}
			var w Request
			w, err = parseWish(f.Bytes)
			c.Requests = append(c.Requests, w)
		case 6:
			c.Limits, err = parseLimits(f.Bytes)
		case 8:
			if len(c.Lost) == MaxLost {
				return protofields.Errorf("more than %d machines lost", MaxLost)
			}
			var m Machine
			m, err = parseMachine(f.Bytes)
			c.Lost = append(c.Lost, m)
		case 9:
			c.By, err = text(f.Bytes)
		case 10:
			c.Reason, err = text(f.Bytes)
		}
		return err
	})
	return c, err
}

// AppendTable appends the whole state, in an order that depends on nothing else.
func AppendTable(to []byte, t *Table) []byte {
	to = protofields.AppendUint(protofields.AppendUint(protofields.AppendUint(to, 1, uint64(t.now)), 2, t.serials), 3, t.runs)
	to = protofields.AppendBytes(protofields.AppendString(to, 4, t.held), 5, appendLimits(nil, t.limits))
	all := t.Requests()
	for i := range all {
		to = protofields.AppendBytes(to, 6, appendWish(nil, &all[i]))
	}
	for i := range t.lost {
		to = protofields.AppendBytes(to, 7, appendMachine(nil, &t.lost[i]))
	}
	for i := range t.history {
		e := &t.history[i]
		part := protofields.AppendString(protofields.AppendUint(nil, 1, uint64(e.At)), 2, e.Machine)
		part = protofields.AppendUint(protofields.AppendUint(part, 3, uint64(e.From)), 4, uint64(e.To))
		to = protofields.AppendBytes(to, 8, protofields.AppendString(protofields.AppendString(part, 5, e.By), 6, e.Reason))
	}
	return to
}

// ParseTable reads the whole state.
func ParseTable(b []byte) (*Table, error) {
	t := NewTable()
	err := protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			switch f.Number {
			case 1:
				t.now, err = span(f.Uint)
			case 2:
				t.serials = f.Uint
			case 3:
				t.runs = f.Uint
			}
			return err
		}
		switch f.Number {
		case 4:
			t.held, err = text(f.Bytes)
		case 5:
			t.limits, err = parseLimits(f.Bytes)
		case 6:
			var w Request
			if w, err = parseWish(f.Bytes); err == nil && (w.Name == "" || w.State == 0 || len(t.wishes) > MaxRequests+mostHistory) {
				err = protofields.Errorf("a wish that is none")
			}
			t.wishes[w.Name] = &w
		case 7:
			var m Machine
			m, err = parseMachine(f.Bytes)
			if t.lost = append(t.lost, m); len(t.lost) > MaxLost {
				err = protofields.Errorf("more than %d machines lost", MaxLost)
			}
		case 8:
			var e Event
			if e, err = parseEvent(f.Bytes); len(t.history) < mostHistory {
				t.history = append(t.history, e)
			}
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	t.limits = t.limits.Default()
	return t, nil
}

func parseEvent(b []byte) (e Event, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		var n int
		switch {
		case f.IsUint && f.Number == 1:
			e.At, err = span(f.Uint)
		case f.IsUint && f.Number == 3:
			n, err = small(f.Uint, uint64(Cancelled))
			e.From = State(n)
		case f.IsUint && f.Number == 4:
			n, err = small(f.Uint, uint64(Cancelled))
			e.To = State(n)
		case !f.IsUint && f.Number == 2:
			e.Machine, err = text(f.Bytes)
		case !f.IsUint && f.Number == 5:
			e.By, err = text(f.Bytes)
		case !f.IsUint && f.Number == 6:
			e.Reason, err = text(f.Bytes)
		}
		return err
	})
	return e, err
}

// AppendAnswer appends an answer, as it goes to its proposer.
func AppendAnswer(to []byte, a *Answer) []byte {
	return protofields.AppendUint(protofields.AppendString(protofields.AppendBool(to, 1, a.Done), 2, a.Reason), 3, a.Run)
}

// ParseAnswer reads an answer.
func ParseAnswer(b []byte) (a Answer, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			a.Done = f.Uint != 0
		case !f.IsUint && f.Number == 2:
			a.Reason = string(f.Bytes)
		case f.IsUint && f.Number == 3:
			a.Run = f.Uint
		}
		return nil
	})
	return a, err
}
