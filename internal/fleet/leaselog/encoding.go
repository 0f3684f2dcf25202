package leaselog

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
	"curlewring/internal/fleet/protofields"
)

// Bounds of what is read.
const (
	mostHops   = 4
	mostListed = 64 // leases in a message
)

func appendSeats(to []byte, s *VoterSet) []byte {
	to = protofields.AppendUint(protofields.AppendUint(protofields.AppendFixed(to, 1, s.Founding), 2, s.Index), 4, s.Tokens)
	for i := range s.Rows {
		to = protofields.AppendBytes(to, 3, appendSeat(nil, &s.Rows[i]))
	}
	return to
}

func appendSeat(to []byte, s *VoterInfo) []byte {
	return protofields.AppendString(protofields.AppendString(protofields.AppendString(protofields.AppendFixed(to, 1, s.ID), 2, s.Name), 3, s.Site), 4, s.Addr)
}

func parseName(b []byte) (string, error) {
	if len(b) == 0 || len(b) > mostName {
		return "", protofields.Errorf("a name of %d bytes, want 1 to %d", len(b), mostName)
	}
	return string(b), nil
}

func parseSeats(b []byte) (s VoterSet, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			s.Founding = f.Uint
		case f.IsUint && f.Number == 2:
			s.Index = f.Uint
		case f.IsUint && f.Number == 4:
			s.Tokens = f.Uint
		case !f.IsUint && f.Number == 3:
			if len(s.Rows) == MaxVoters {
				return protofields.Errorf("more than %d seats", MaxVoters)
			}
			row, err := parseSeat(f.Bytes)
			s.Rows = append(s.Rows, row)
			return err
		}
		return nil
	})
	if err == nil && (s.Founding == 0 || len(s.Rows) == 0) {
		err = protofields.Errorf("seats of no log")
	}
	return s, err
}

func parseSeat(b []byte) (s VoterInfo, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			s.ID = f.Uint
		case !f.IsUint && f.Number == 2:
			s.Name, err = parseName(f.Bytes)
		case !f.IsUint && f.Number == 3:
			s.Site, err = parseName(f.Bytes)
		case !f.IsUint && f.Number == 4:
			s.Addr, err = parseName(f.Bytes)
		}
		return err
	})
	if err == nil && (s.ID == 0 || s.Name == "") {
		err = protofields.Errorf("a seat of nobody")
	}
	return s, err
}

func appendItem(to []byte, i *ForwardedCommand) []byte {
	if i.Maintenance != nil {
		to = protofields.AppendBytes(to, 4, maintenance.AppendCommand(nil, i.Maintenance))
	} else {
		to = protofields.AppendBytes(to, 1, lease.AppendCommand(nil, &i.Command))
	}
	return protofields.AppendUint(protofields.AppendString(to, 2, i.Origin), 3, i.Ref)
}

func parseItem(b []byte) (i ForwardedCommand, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			i.Command, err = lease.ParseCommand(f.Bytes)
		case !f.IsUint && f.Number == 2:
			i.Origin, err = parseName(f.Bytes)
		case f.IsUint && f.Number == 3:
			i.Ref = f.Uint
		case !f.IsUint && f.Number == 4:
			var c maintenance.Command
			c, err = maintenance.ParseCommand(f.Bytes)
			i.Maintenance = &c
		}
		return err
	})
	return i, err
}

func appendVoter(to []byte, m *consensus.Message) ([]byte, error) {
	to = protofields.AppendUint(protofields.AppendFixed(protofields.AppendFixed(to, 1, m.From), 2, m.To), 3, m.Boot)
	to = protofields.AppendUint(protofields.AppendBool(to, 4, m.BootQuery), 5, m.KnownBoot)
	if m.Raft == nil {
		return to, nil
	}
	b, err := proto.Marshal(m.Raft)
	return protofields.AppendBytes(to, 6, b), err
}

func parseVoter(b []byte) (*consensus.Message, error) {
	m := &consensus.Message{}
	err := protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			m.From = f.Uint
		case f.IsUint && f.Number == 2:
			m.To = f.Uint
		case f.IsUint && f.Number == 3:
			m.Boot = f.Uint
		case f.IsUint && f.Number == 4:
			m.BootQuery = f.Uint != 0
		case f.IsUint && f.Number == 5:
			m.KnownBoot = f.Uint
		case !f.IsUint && f.Number == 6:
			m.Raft = &raftpb.Message{}
			if err := proto.Unmarshal(f.Bytes, m.Raft); err != nil {
				return protofields.Errorf("a voter's message: %v", err)
			}
			for _, e := range m.Raft.GetEntries() {
				if e == nil {
					return protofields.Errorf("a voter's message with no entry in an entry's place")
				}
			}
		}
		return nil
	})
	if err == nil && (m.From == 0 || m.To == 0 || m.Raft != nil && (m.Raft.GetFrom() != m.From || m.Raft.GetTo() != m.To)) {
		err = protofields.Errorf("a voter's message of nobody")
	}
	return m, err
}

// AppendMessage appends a message as it goes to another node.
func AppendMessage(to []byte, m *Message) ([]byte, error) {
	to = protofields.AppendUint(to, 1, uint64(m.Kind))
	to = protofields.AppendString(to, 2, m.From)
	to = protofields.AppendUint(to, 3, uint64(m.Hops))
	to = protofields.AppendFixed(to, 4, m.Life)
	to = protofields.AppendUint(protofields.AppendUint(to, 5, m.Seq), 6, m.Ref)
	to = protofields.AppendString(to, 7, m.Origin)
	to = protofields.AppendBool(protofields.AppendFixed(protofields.AppendFixed(to, 8, m.ID), 9, m.Founding), 10, m.StartVoter)
	to = protofields.AppendUint(protofields.AppendUint(protofields.AppendUint(to, 11, m.Term), 12, uint64(m.Page)), 13, uint64(m.Pages))
	to = protofields.AppendBool(protofields.AppendString(to, 19, m.Addr), 22, m.Settled)
	if m.VoterSet != nil {
		to = protofields.AppendBytes(to, 14, appendSeats(nil, m.VoterSet))
	}
	if m.Voter != nil {
		b, err := appendVoter(nil, m.Voter)
		if err != nil {
			return to, err
		}
		to = protofields.AppendBytes(to, 15, b)
	}
	if m.Command != nil {
		to = protofields.AppendBytes(to, 16, appendItem(nil, m.Command))
	}
	if m.Answer != nil {
		to = protofields.AppendBytes(to, 17, lease.AppendAnswer(nil, m.Answer))
	}
	if m.MaintenanceAnswer != nil {
		to = protofields.AppendBytes(to, 20, maintenance.AppendAnswer(nil, m.MaintenanceAnswer))
	}
	if len(m.MaintenanceTable) > 0 {
		to = protofields.AppendBytes(to, 21, m.MaintenanceTable)
	}
	for i := range m.Leases {
		to = protofields.AppendBytes(to, 18, lease.AppendLease(nil, &m.Leases[i]))
	}
	return to, nil
}

// ParseMessage reads a message. Nothing of it refers to the bytes.
func ParseMessage(b []byte) (*Message, error) {
	m := &Message{}
	err := protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			return m.number(f)
		}
		switch f.Number {
		case 2:
			m.From, err = parseName(f.Bytes)
		case 7:
			m.Origin, err = parseName(f.Bytes)
		case 19:
			m.Addr, err = parseName(f.Bytes)
		case 14:
			var s VoterSet
			s, err = parseSeats(f.Bytes)
			m.VoterSet = &s
		case 15:
			m.Voter, err = parseVoter(f.Bytes)
		case 16:
			var i ForwardedCommand
			i, err = parseItem(f.Bytes)
			m.Command = &i
		case 17:
			var a lease.Answer
			a, err = lease.ParseAnswer(f.Bytes)
			m.Answer = &a
		case 20:
			var a maintenance.Answer
			a, err = maintenance.ParseAnswer(f.Bytes)
			m.MaintenanceAnswer = &a
		case 21:
			m.MaintenanceTable = append([]byte(nil), f.Bytes...)
		case 18:
			if len(m.Leases) == mostListed {
				return protofields.Errorf("more than %d leases in a message", mostListed)
			}
			var l lease.Lease
			l, err = lease.ParseLease(f.Bytes)
			m.Leases = append(m.Leases, l)
		}
		return err
	})
	if err == nil {
		err = m.check()
	}
	if err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Message) number(f protofields.Field) error {
	small := func(to *int, most uint64) error {
		if f.Uint > most {
			return protofields.Errorf("field %d is %d, at most %d", f.Number, f.Uint, most)
		}
		*to = int(f.Uint)
		return nil
	}
	switch f.Number {
	case 1:
		if f.Uint > uint64(MaintenanceReply) {
			return protofields.Errorf("kind %d", f.Uint)
		}
		m.Kind = Kind(f.Uint)
	case 3:
		return small(&m.Hops, mostHops)
	case 4:
		m.Life = f.Uint
	case 5:
		m.Seq = f.Uint
	case 6:
		m.Ref = f.Uint
	case 8:
		m.ID = f.Uint
	case 9:
		m.Founding = f.Uint
	case 10:
		m.StartVoter = f.Uint != 0
	case 22:
		m.Settled = f.Uint != 0
	case 11:
		m.Term = f.Uint
	case 12:
		return small(&m.Page, lease.MaxLeases)
	case 13:
		return small(&m.Pages, lease.MaxLeases)
	}
	return nil
}

// check finds what no message can be.
func (m *Message) check() error {
	missing := false
	switch m.Kind {
	case 0:
		missing = true
	case RaftMessage:
		missing = m.Voter == nil
	case SubmitCommand:
		missing = m.Command == nil || m.Command.Origin == ""
	case CommandAnswer:
		missing = m.Answer == nil
	case VotersKnown:
		missing = m.VoterSet == nil
	case RequestID:
		missing = m.Founding == 0
	case IDOffered, ReplacementVoter:
		missing = m.Founding == 0 || m.ID == 0
	case QueryLeases, QueryMaintenance:
		missing = m.Origin == ""
	case MaintenanceReply:
		missing = m.MaintenanceAnswer == nil && len(m.MaintenanceTable) == 0
	}
	if missing || m.From == "" {
		return protofields.Errorf("a message of kind %d that lacks what it is for", m.Kind)
	}
	return nil
}

// level is that of the entries that this program makes, and the highest that it can apply. A program that meets a higher one
// stops rather than leave out what it does not know. It is raised with each new operation or field of an entry; a leader
// may use the new one only once all voters know it.
const level = 1

// entry is what the log's entries hold.
type entry struct {
	Level  uint64 // what a program must know to apply it
	Items  []ForwardedCommand
	Change *change
}

// change gives a voter's seat to another.
type change struct {
	Out uint64
	In  VoterInfo
}

func appendEntry(to []byte, e *entry) []byte {
	to = protofields.AppendUint(to, 3, e.Level)
	for i := range e.Items {
		to = protofields.AppendBytes(to, 1, appendItem(nil, &e.Items[i]))
	}
	if e.Change != nil {
		to = protofields.AppendBytes(to, 2, protofields.AppendBytes(protofields.AppendFixed(nil, 1, e.Change.Out), 2, appendSeat(nil, &e.Change.In)))
	}
	return to
}

func parseEntry(b []byte) (e entry, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 3:
			e.Level = f.Uint
		case !f.IsUint && f.Number == 1:
			i, err := parseItem(f.Bytes)
			e.Items = append(e.Items, i)
			return err
		case !f.IsUint && f.Number == 2:
			c := change{}
			e.Change = &c
			return protofields.ForEach(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case f.IsUint && f.Number == 1:
					c.Out = f.Uint
				case !f.IsUint && f.Number == 2:
					c.In, err = parseSeat(f.Bytes)
				}
				return err
			})
		}
		return nil
	})
	return e, err
}

// state is what a snapshot of the log holds.
func appendState(to []byte, seats *VoterSet, s *lease.Snapshot, t *maintenance.Table) []byte {
	to = protofields.AppendBytes(protofields.AppendBytes(to, 1, appendSeats(nil, seats)), 2, lease.AppendSnapshot(nil, s))
	return protofields.AppendBytes(to, 3, maintenance.AppendTable(nil, t))
}

func parseState(b []byte) (seats VoterSet, s lease.Snapshot, t *maintenance.Table, err error) {
	t = maintenance.NewTable()
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			seats, err = parseSeats(f.Bytes)
		case !f.IsUint && f.Number == 2:
			s, err = lease.ParseSnapshot(f.Bytes)
		case !f.IsUint && f.Number == 3:
			t, err = maintenance.ParseTable(f.Bytes)
		}
		return err
	})
	if err == nil && seats.Founding == 0 {
		err = protofields.Errorf("a state without seats")
	}
	return seats, s, t, err
}

// note is what a node keeps beside its voter's disk.
type note struct {
	Pledged uint64   // the log that its number was drawn for
	Seats   VoterSet // as last known
}

func appendNote(to []byte, n *note) []byte {
	to = protofields.AppendFixed(to, 1, n.Pledged)
	if n.Seats.Founding != 0 {
		to = protofields.AppendBytes(to, 2, appendSeats(nil, &n.Seats))
	}
	return to
}

func parseNote(b []byte) (n note, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			n.Pledged = f.Uint
		case !f.IsUint && f.Number == 2:
			n.Seats, err = parseSeats(f.Bytes)
		}
		return err
	})
	return n, err
}
