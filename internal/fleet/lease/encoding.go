package lease

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/protofields"
)

// AppendCommand appends a command in its encoding for the log and for messages.
func AppendCommand(to []byte, c *Command) []byte {
	to = protofields.AppendUint(to, 1, uint64(c.Op))
	to = protofields.AppendString(to, 2, c.Lease)
	to = appendHolder(to, 3, c.Holder)
	to = protofields.AppendUint(to, 4, c.Seq)
	to = protofields.AppendUint(to, 5, c.Token)
	to = protofields.AppendUint(to, 6, uint64(c.TTL))
	to = protofields.AppendUint(to, 7, c.Serial)
	return appendHolder(to, 8, c.To)
}

// ParseCommand decodes a command. It checks the encoding only; the state machine refuses invalid commands.
func ParseCommand(b []byte) (c Command, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			if f.Uint > 255 {
				return protofields.Errorf("operation %d is unknown", f.Uint)
			}
			c.Op = Op(f.Uint)
		case !f.IsUint && f.Number == 2:
			c.Lease = string(f.Bytes)
		case !f.IsUint && f.Number == 3:
			c.Holder, err = parseHolder(f.Bytes)
		case f.IsUint && f.Number == 4:
			c.Seq = f.Uint
		case f.IsUint && f.Number == 5:
			c.Token = f.Uint
		case f.IsUint && f.Number == 6:
			c.TTL, err = parseTTL(f.Uint)
		case f.IsUint && f.Number == 7:
			c.Serial = f.Uint
		case !f.IsUint && f.Number == 8:
			c.To, err = parseHolder(f.Bytes)
		}
		return err
	})
	return c, err
}

// parseTTL converts a number of nanoseconds and refuses more than MaxTTL.
func parseTTL(x uint64) (time.Duration, error) {
	if x > uint64(MaxTTL) {
		return 0, protofields.Errorf("time to live of %d ns exceeds %v", x, MaxTTL)
	}
	return time.Duration(x), nil
}

func appendHolder(to []byte, field protowire.Number, h Holder) []byte {
	if h == (Holder{}) {
		return to
	}
	part := protofields.AppendFixed(protofields.AppendUint(protofields.AppendString(nil, 1, h.Name), 2, h.Incarnation), 3, h.Life)
	return protofields.AppendBytes(to, field, part)
}

func parseHolder(b []byte) (h Holder, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case !f.IsUint && f.Number == 1:
			if len(f.Bytes) > maxNameBytes {
				return protofields.Errorf("holder's name of %d bytes exceeds %d", len(f.Bytes), maxNameBytes)
			}
			h.Name = string(f.Bytes)
		case f.IsUint && f.Number == 2:
			h.Incarnation = f.Uint
		case f.IsUint && f.Number == 3:
			h.Life = f.Uint
		}
		return nil
	})
	return h, err
}

// AppendAnswer appends an answer in its encoding for messages and snapshots.
func AppendAnswer(to []byte, a *Answer) []byte {
	to = protofields.AppendUint(to, 1, uint64(a.Outcome))
	to = protofields.AppendString(to, 2, a.Lease)
	to = protofields.AppendUint(to, 3, a.Token)
	to = protofields.AppendUint(to, 4, uint64(a.TTL))
	to = protofields.AppendUint(to, 5, uint64(a.Place))
	return protofields.AppendUint(to, 6, a.Seq)
}

// ParseAnswer decodes an answer.
func ParseAnswer(b []byte) (a Answer, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			if f.Uint < uint64(Granted) || f.Uint > uint64(Superseded) {
				return protofields.Errorf("outcome %d is unknown", f.Uint)
			}
			a.Outcome = Outcome(f.Uint)
		case !f.IsUint && f.Number == 2:
			a.Lease = string(f.Bytes)
		case f.IsUint && f.Number == 3:
			a.Token = f.Uint
		case f.IsUint && f.Number == 4:
			a.TTL, err = parseTTL(f.Uint)
		case f.IsUint && f.Number == 5:
			if f.Uint > MaxWaiters {
				return protofields.Errorf("queue place %d exceeds the limit of waiters", f.Uint)
			}
			a.Place = int(f.Uint)
		case f.IsUint && f.Number == 6:
			a.Seq = f.Uint
		}
		return err
	})
	if err == nil && a.Outcome == 0 {
		err = protofields.Errorf("answer without an outcome")
	}
	return a, err
}

// AppendLease appends one lease with its waiters in its encoding for snapshots and lists.
func AppendLease(to []byte, l *Lease) []byte {
	to = protofields.AppendString(to, 1, l.Name)
	to = appendHolder(to, 2, l.Holder)
	to = protofields.AppendUint(to, 3, l.Token)
	to = protofields.AppendUint(to, 4, uint64(l.TTL))
	to = protofields.AppendUint(to, 5, l.Serial)
	to = protofields.AppendUint(to, 6, l.Seq)
	for i := range l.Waiters {
		w := &l.Waiters[i]
		part := appendHolder(nil, 1, w.Holder)
		part = protofields.AppendUint(protofields.AppendUint(protofields.AppendUint(part, 2, uint64(w.TTL)), 3, w.Serial), 4, w.Seq)
		to = protofields.AppendBytes(to, 7, part)
	}
	return to
}

// ParseLease decodes one lease.
func ParseLease(b []byte) (l Lease, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			l.Name = string(f.Bytes)
		case !f.IsUint && f.Number == 2:
			l.Holder, err = parseHolder(f.Bytes)
		case f.IsUint && f.Number == 3:
			l.Token = f.Uint
		case f.IsUint && f.Number == 4:
			l.TTL, err = parseTTL(f.Uint)
		case f.IsUint && f.Number == 5:
			l.Serial = f.Uint
		case f.IsUint && f.Number == 6:
			l.Seq = f.Uint
		case !f.IsUint && f.Number == 7:
			if len(l.Waiters) == MaxWaiters {
				return protofields.Errorf("more than %d waiters", MaxWaiters)
			}
			var w Waiter
			err = protofields.ForEach(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case !f.IsUint && f.Number == 1:
					w.Holder, err = parseHolder(f.Bytes)
				case f.IsUint && f.Number == 2:
					w.TTL, err = parseTTL(f.Uint)
				case f.IsUint && f.Number == 3:
					w.Serial = f.Uint
				case f.IsUint && f.Number == 4:
					w.Seq = f.Uint
				}
				return err
			})
			l.Waiters = append(l.Waiters, w)
		}
		return err
	})
	if err == nil && (l.Name == "" || len(l.Name) > maxNameBytes) {
		err = protofields.Errorf("lease name of %d bytes is empty or too long", len(l.Name))
	}
	return l, err
}

// AppendSnapshot appends the encoding of a snapshot.
func AppendSnapshot(to []byte, s *Snapshot) []byte {
	to = protofields.AppendUint(to, 1, s.Tokens)
	to = protofields.AppendUint(to, 2, s.Serials)
	to = protofields.AppendUint(to, 3, s.Applied)
	for i := range s.Leases {
		to = protofields.AppendBytes(to, 4, AppendLease(nil, &s.Leases[i]))
	}
	for i := range s.Sessions {
		x := &s.Sessions[i]
		part := appendHolder(nil, 1, x.Holder)
		part = protofields.AppendUint(protofields.AppendUint(part, 2, x.Seq), 3, x.Used)
		to = protofields.AppendBytes(to, 5, protofields.AppendBytes(part, 4, AppendAnswer(nil, &x.Answer)))
	}
	return to
}

// ParseSnapshot decodes a snapshot.
func ParseSnapshot(b []byte) (s Snapshot, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			s.Tokens = f.Uint
		case f.IsUint && f.Number == 2:
			s.Serials = f.Uint
		case f.IsUint && f.Number == 3:
			s.Applied = f.Uint
		case !f.IsUint && f.Number == 4:
			if len(s.Leases) == MaxLeases {
				return protofields.Errorf("more than %d leases", MaxLeases)
			}
			l, err := ParseLease(f.Bytes)
			s.Leases = append(s.Leases, l)
			return err
		case !f.IsUint && f.Number == 5:
			if len(s.Sessions) == MaxSessions {
				return protofields.Errorf("more than %d sessions", MaxSessions)
			}
			var x Session
			err := protofields.ForEach(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case !f.IsUint && f.Number == 1:
					x.Holder, err = parseHolder(f.Bytes)
				case f.IsUint && f.Number == 2:
					x.Seq = f.Uint
				case f.IsUint && f.Number == 3:
					x.Used = f.Uint
				case !f.IsUint && f.Number == 4:
					x.Answer, err = ParseAnswer(f.Bytes)
				}
				return err
			})
			if err == nil && x.Answer.Outcome == 0 {
				err = protofields.Errorf("session without an answer")
			}
			s.Sessions = append(s.Sessions, x)
			return err
		}
		return nil
	})
	return s, err
}
