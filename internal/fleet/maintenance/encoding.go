package maintenance

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/protofields"
)

func appendMachine(to []byte, m *Machine) []byte {
	return protofields.AppendUint(protofields.AppendString(protofields.AppendString(protofields.AppendString(to, 1, m.Name), 2, m.Site), 3, m.Rack), 4, uint64(m.RackSize))
}

// parseText converts a text and refuses one above maxTextBytes.
func parseText(b []byte) (string, error) {
	if len(b) > maxTextBytes {
		return "", protofields.Errorf("text of %d bytes exceeds %d", len(b), maxTextBytes)
	}
	return string(b), nil
}

// parseInt converts an unsigned number and refuses one above a limit.
func parseInt(x, limit uint64) (int, error) {
	if x > limit {
		return 0, protofields.Errorf("number %d exceeds %d", x, limit)
	}
	return int(x), nil
}

// parseDuration converts a number of nanoseconds and refuses one far above any valid duration.
func parseDuration(x uint64) (time.Duration, error) {
	if x > 1<<62 {
		return 0, protofields.Errorf("duration of %d ns is too long", x)
	}
	return time.Duration(x), nil
}

func parseMachine(b []byte) (m Machine, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			m.Name, err = parseText(f.Bytes)
		case !f.IsUint && f.Number == 2:
			m.Site, err = parseText(f.Bytes)
		case !f.IsUint && f.Number == 3:
			m.Rack, err = parseText(f.Bytes)
		case f.IsUint && f.Number == 4:
			m.RackSize, err = parseInt(f.Uint, 1<<20)
		}
		return err
	})
	return m, err
}

func appendRequest(to []byte, r *Request) []byte {
	to = protofields.AppendBytes(to, 1, appendMachine(nil, &r.Machine))
	to = protofields.AppendString(protofields.AppendString(to, 2, r.RequestedBy), 3, r.Purpose)
	to = protofields.AppendUint(protofields.AppendUint(to, 4, uint64(r.Duration)), 5, uint64(r.Deadline))
	to = protofields.AppendUint(protofields.AppendBool(to, 6, r.Urgent), 7, uint64(r.RequestedAt))
	to = protofields.AppendUint(protofields.AppendUint(to, 8, uint64(r.State)), 9, uint64(r.Since))
	to = protofields.AppendUint(protofields.AppendUint(to, 10, r.Serial), 11, r.HookRun)
	return protofields.AppendString(protofields.AppendString(to, 12, r.HookError), 13, r.Reason)
}

func parseRequest(b []byte) (r Request, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			switch f.Number {
			case 4:
				r.Duration, err = parseDuration(f.Uint)
			case 5:
				r.Deadline, err = parseDuration(f.Uint)
			case 6:
				r.Urgent = f.Uint != 0
			case 7:
				r.RequestedAt, err = parseDuration(f.Uint)
			case 8:
				var n int
				n, err = parseInt(f.Uint, uint64(Cancelled))
				r.State = State(n)
			case 9:
				r.Since, err = parseDuration(f.Uint)
			case 10:
				r.Serial = f.Uint
			case 11:
				r.HookRun = f.Uint
			}
			return err
		}
		switch f.Number {
		case 1:
			r.Machine, err = parseMachine(f.Bytes)
		case 2:
			r.RequestedBy, err = parseText(f.Bytes)
		case 3:
			r.Purpose, err = parseText(f.Bytes)
		case 12:
			r.HookError, err = parseText(f.Bytes)
		case 13:
			r.Reason, err = parseText(f.Bytes)
		}
		return err
	})
	return r, err
}

// AppendCommand appends a command in its encoding for the log and for messages.
func AppendCommand(to []byte, c *Command) []byte {
	to = protofields.AppendUint(protofields.AppendString(protofields.AppendUint(to, 1, uint64(c.Op)), 2, c.Machine), 3, c.Serial)
	to = protofields.AppendUint(to, 4, uint64(c.To))
	for i := range c.Requests {
		to = protofields.AppendBytes(to, 5, appendRequest(nil, &c.Requests[i]))
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
			*to, err = parseInt(f.Uint, 1<<20)
		}
		return err
	})
	return l, err
}

// ParseCommand decodes a command. It checks the encoding only; the table refuses invalid commands.
func ParseCommand(b []byte) (c Command, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			var n int
			switch f.Number {
			case 1:
				n, err = parseInt(f.Uint, 255)
				c.Op = Op(n)
			case 3:
				c.Serial = f.Uint
			case 4:
				n, err = parseInt(f.Uint, uint64(Cancelled))
				c.To = State(n)
			case 7:
				c.Elapsed, err = parseDuration(f.Uint)
			}
			return err
		}
		switch f.Number {
		case 2:
			c.Machine, err = parseText(f.Bytes)
		case 5:
			if len(c.Requests) == MaxRequests {
				return protofields.Errorf("more than %d requests", MaxRequests)
			}
			var r Request
			r, err = parseRequest(f.Bytes)
			c.Requests = append(c.Requests, r)
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
			c.By, err = parseText(f.Bytes)
		case 10:
			c.Reason, err = parseText(f.Bytes)
		}
		return err
	})
	return c, err
}

// AppendTable appends the whole state in a canonical order.
func AppendTable(to []byte, t *Table) []byte {
	to = protofields.AppendUint(protofields.AppendUint(protofields.AppendUint(to, 1, uint64(t.now)), 2, t.lastSerial), 3, t.lastRun)
	to = protofields.AppendBytes(protofields.AppendString(to, 4, t.pauseReason), 5, appendLimits(nil, t.limits))
	all := t.Requests()
	for i := range all {
		to = protofields.AppendBytes(to, 6, appendRequest(nil, &all[i]))
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

// ParseTable decodes the whole state.
func ParseTable(b []byte) (*Table, error) {
	t := NewTable()
	err := protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			switch f.Number {
			case 1:
				t.now, err = parseDuration(f.Uint)
			case 2:
				t.lastSerial = f.Uint
			case 3:
				t.lastRun = f.Uint
			}
			return err
		}
		switch f.Number {
		case 4:
			t.pauseReason, err = parseText(f.Bytes)
		case 5:
			t.limits, err = parseLimits(f.Bytes)
		case 6:
			var r Request
			if r, err = parseRequest(f.Bytes); err == nil && (r.Name == "" || r.State == 0 || len(t.requests) > MaxRequests+maxHistory) {
				err = protofields.Errorf("request without a name or state, or too many requests")
			}
			t.requests[r.Name] = &r
		case 7:
			var m Machine
			m, err = parseMachine(f.Bytes)
			if t.lost = append(t.lost, m); len(t.lost) > MaxLost {
				err = protofields.Errorf("more than %d machines lost", MaxLost)
			}
		case 8:
			var e Event
			if e, err = parseEvent(f.Bytes); len(t.history) < maxHistory {
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
			e.At, err = parseDuration(f.Uint)
		case f.IsUint && f.Number == 3:
			n, err = parseInt(f.Uint, uint64(Cancelled))
			e.From = State(n)
		case f.IsUint && f.Number == 4:
			n, err = parseInt(f.Uint, uint64(Cancelled))
			e.To = State(n)
		case !f.IsUint && f.Number == 2:
			e.Machine, err = parseText(f.Bytes)
		case !f.IsUint && f.Number == 5:
			e.By, err = parseText(f.Bytes)
		case !f.IsUint && f.Number == 6:
			e.Reason, err = parseText(f.Bytes)
		}
		return err
	})
	return e, err
}

// AppendAnswer appends an answer in its encoding for messages.
func AppendAnswer(to []byte, a *Answer) []byte {
	return protofields.AppendUint(protofields.AppendString(protofields.AppendBool(to, 1, a.Done), 2, a.Reason), 3, a.Run)
}

// ParseAnswer decodes an answer.
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
