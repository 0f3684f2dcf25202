package leaselog

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
	"curlewring/internal/fleet/protofields"
)

// Limits of decoded messages.
const (
	maxHops          = 4  // how often a message may be forwarded
	maxLeasesPerPage = 64 // leases in one message
)

func appendVoterSet(dst []byte, voters *VoterSet) []byte {
	dst = protofields.AppendUint(protofields.AppendUint(protofields.AppendFixed(dst, 1, voters.Founding), 2, voters.Index), 4, voters.Tokens)
	for i := range voters.Rows {
		dst = protofields.AppendBytes(dst, 3, appendVoterInfo(nil, &voters.Rows[i]))
	}
	return dst
}

func appendVoterInfo(dst []byte, voter *VoterInfo) []byte {
	return protofields.AppendString(protofields.AppendString(protofields.AppendString(protofields.AppendFixed(dst, 1, voter.ID), 2, voter.Name), 3, voter.Site), 4, voter.Addr)
}

func parseName(b []byte) (string, error) {
	if len(b) == 0 || len(b) > maxNameBytes {
		return "", protofields.Errorf("name has %d bytes, want 1 to %d", len(b), maxNameBytes)
	}
	return string(b), nil
}

func parseVoterSet(b []byte) (voters VoterSet, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			voters.Founding = f.Uint
		case f.IsUint && f.Number == 2:
			voters.Index = f.Uint
		case f.IsUint && f.Number == 4:
			voters.Tokens = f.Uint
		case !f.IsUint && f.Number == 3:
			if len(voters.Rows) == MaxVoters {
				return protofields.Errorf("voter set has more than %d voters", MaxVoters)
			}
			voter, err := parseVoterInfo(f.Bytes)
			voters.Rows = append(voters.Rows, voter)
			return err
		}
		return nil
	})
	if err == nil && (voters.Founding == 0 || len(voters.Rows) == 0) {
		err = protofields.Errorf("voter set has no founding ID or no voters")
	}
	return voters, err
}

func parseVoterInfo(b []byte) (voter VoterInfo, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			voter.ID = f.Uint
		case !f.IsUint && f.Number == 2:
			voter.Name, err = parseName(f.Bytes)
		case !f.IsUint && f.Number == 3:
			voter.Site, err = parseName(f.Bytes)
		case !f.IsUint && f.Number == 4:
			voter.Addr, err = parseName(f.Bytes)
		}
		return err
	})
	if err == nil && (voter.ID == 0 || voter.Name == "") {
		err = protofields.Errorf("voter has no ID or no name")
	}
	return voter, err
}

func appendForwardedCommand(dst []byte, c *ForwardedCommand) []byte {
	if c.Maintenance != nil {
		dst = protofields.AppendBytes(dst, 4, maintenance.AppendCommand(nil, c.Maintenance))
	} else {
		dst = protofields.AppendBytes(dst, 1, lease.AppendCommand(nil, &c.Command))
	}
	return protofields.AppendUint(protofields.AppendString(dst, 2, c.Origin), 3, c.Ref)
}

func parseForwardedCommand(b []byte) (c ForwardedCommand, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			c.Command, err = lease.ParseCommand(f.Bytes)
		case !f.IsUint && f.Number == 2:
			c.Origin, err = parseName(f.Bytes)
		case f.IsUint && f.Number == 3:
			c.Ref = f.Uint
		case !f.IsUint && f.Number == 4:
			var maintenanceCommand maintenance.Command
			maintenanceCommand, err = maintenance.ParseCommand(f.Bytes)
			c.Maintenance = &maintenanceCommand
		}
		return err
	})
	return c, err
}

func appendRaftMessage(dst []byte, m *consensus.Message) ([]byte, error) {
	dst = protofields.AppendUint(protofields.AppendFixed(protofields.AppendFixed(dst, 1, m.From), 2, m.To), 3, m.Boot)
	dst = protofields.AppendUint(protofields.AppendBool(dst, 4, m.BootQuery), 5, m.KnownBoot)
	if m.Raft == nil {
		return dst, nil
	}
	b, err := proto.Marshal(m.Raft)
	return protofields.AppendBytes(dst, 6, b), err
}

func parseRaftMessage(b []byte) (*consensus.Message, error) {
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
				return protofields.Errorf("raft message: %v", err)
			}
			for _, e := range m.Raft.GetEntries() {
				if e == nil {
					return protofields.Errorf("raft message contains a nil entry")
				}
			}
		}
		return nil
	})
	if err == nil && (m.From == 0 || m.To == 0 || m.Raft != nil && (m.Raft.GetFrom() != m.From || m.Raft.GetTo() != m.To)) {
		err = protofields.Errorf("raft message has no sender or receiver, or they differ from the envelope's")
	}
	return m, err
}

// AppendMessage appends the encoded message.
func AppendMessage(dst []byte, m *Message) ([]byte, error) {
	dst = protofields.AppendUint(dst, 1, uint64(m.Kind))
	dst = protofields.AppendString(dst, 2, m.From)
	dst = protofields.AppendUint(dst, 3, uint64(m.Hops))
	dst = protofields.AppendFixed(dst, 4, m.Life)
	dst = protofields.AppendUint(protofields.AppendUint(dst, 5, m.Seq), 6, m.Ref)
	dst = protofields.AppendString(dst, 7, m.Origin)
	dst = protofields.AppendBool(protofields.AppendFixed(protofields.AppendFixed(dst, 8, m.ID), 9, m.Founding), 10, m.StartVoter)
	dst = protofields.AppendUint(protofields.AppendUint(protofields.AppendUint(dst, 11, m.Term), 12, uint64(m.Page)), 13, uint64(m.Pages))
	dst = protofields.AppendBool(protofields.AppendString(dst, 19, m.Addr), 22, m.Settled)
	if m.VoterSet != nil {
		dst = protofields.AppendBytes(dst, 14, appendVoterSet(nil, m.VoterSet))
	}
	if m.Voter != nil {
		b, err := appendRaftMessage(nil, m.Voter)
		if err != nil {
			return dst, err
		}
		dst = protofields.AppendBytes(dst, 15, b)
	}
	if m.Command != nil {
		dst = protofields.AppendBytes(dst, 16, appendForwardedCommand(nil, m.Command))
	}
	if m.Answer != nil {
		dst = protofields.AppendBytes(dst, 17, lease.AppendAnswer(nil, m.Answer))
	}
	if m.MaintenanceAnswer != nil {
		dst = protofields.AppendBytes(dst, 20, maintenance.AppendAnswer(nil, m.MaintenanceAnswer))
	}
	if len(m.MaintenanceTable) > 0 {
		dst = protofields.AppendBytes(dst, 21, m.MaintenanceTable)
	}
	for i := range m.Leases {
		dst = protofields.AppendBytes(dst, 18, lease.AppendLease(nil, &m.Leases[i]))
	}
	return dst, nil
}

// ParseMessage decodes a message. The result does not refer to b.
func ParseMessage(b []byte) (*Message, error) {
	m := &Message{}
	err := protofields.ForEach(b, func(f protofields.Field) (err error) {
		if f.IsUint {
			return m.setUint(f)
		}
		switch f.Number {
		case 2:
			m.From, err = parseName(f.Bytes)
		case 7:
			m.Origin, err = parseName(f.Bytes)
		case 19:
			m.Addr, err = parseName(f.Bytes)
		case 14:
			var voters VoterSet
			voters, err = parseVoterSet(f.Bytes)
			m.VoterSet = &voters
		case 15:
			m.Voter, err = parseRaftMessage(f.Bytes)
		case 16:
			var command ForwardedCommand
			command, err = parseForwardedCommand(f.Bytes)
			m.Command = &command
		case 17:
			var answer lease.Answer
			answer, err = lease.ParseAnswer(f.Bytes)
			m.Answer = &answer
		case 20:
			var answer maintenance.Answer
			answer, err = maintenance.ParseAnswer(f.Bytes)
			m.MaintenanceAnswer = &answer
		case 21:
			m.MaintenanceTable = append([]byte(nil), f.Bytes...)
		case 18:
			if len(m.Leases) == maxLeasesPerPage {
				return protofields.Errorf("message has more than %d leases", maxLeasesPerPage)
			}
			var leaseRecord lease.Lease
			leaseRecord, err = lease.ParseLease(f.Bytes)
			m.Leases = append(m.Leases, leaseRecord)
		}
		return err
	})
	if err == nil {
		err = m.validate()
	}
	if err != nil {
		return nil, err
	}
	return m, nil
}

// setUint sets the integer field that f holds.
func (m *Message) setUint(f protofields.Field) error {
	setSmall := func(dst *int, limit uint64) error {
		if f.Uint > limit {
			return protofields.Errorf("field %d is %d, want at most %d", f.Number, f.Uint, limit)
		}
		*dst = int(f.Uint)
		return nil
	}
	switch f.Number {
	case 1:
		if f.Uint > uint64(lastKind) {
			return protofields.Errorf("unknown message kind %d", f.Uint)
		}
		m.Kind = Kind(f.Uint)
	case 3:
		return setSmall(&m.Hops, maxHops)
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
		return setSmall(&m.Page, lease.MaxLeases)
	case 13:
		return setSmall(&m.Pages, lease.MaxLeases)
	}
	return nil
}

// validate returns an error if a field that the message's kind requires is missing.
func (m *Message) validate() error {
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
		return protofields.Errorf("message of kind %d has no sender or lacks a required field", m.Kind)
	}
	return nil
}

// entryVersion is the version of the entries that this program writes, and the highest that it can apply. A
// program that reads a higher version stops, because skipping what it does not know would make its state differ
// from that of the other voters. The version is raised with each new operation or field of an entry; a leader may
// use the new one only once all voters support it.
const entryVersion = 1

// logEntry is the content of an entry of the log.
type logEntry struct {
	Version  uint64 // the lowest entryVersion of a program that can apply it
	Commands []ForwardedCommand
	Change   *voterChange
}

// voterChange replaces one voter by another.
type voterChange struct {
	Out uint64
	In  VoterInfo
}

func appendEntry(dst []byte, e *logEntry) []byte {
	dst = protofields.AppendUint(dst, 3, e.Version)
	for i := range e.Commands {
		dst = protofields.AppendBytes(dst, 1, appendForwardedCommand(nil, &e.Commands[i]))
	}
	if e.Change != nil {
		dst = protofields.AppendBytes(dst, 2, protofields.AppendBytes(protofields.AppendFixed(nil, 1, e.Change.Out), 2, appendVoterInfo(nil, &e.Change.In)))
	}
	return dst
}

func parseEntry(b []byte) (e logEntry, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 3:
			e.Version = f.Uint
		case !f.IsUint && f.Number == 1:
			command, err := parseForwardedCommand(f.Bytes)
			e.Commands = append(e.Commands, command)
			return err
		case !f.IsUint && f.Number == 2:
			c := voterChange{}
			e.Change = &c
			return protofields.ForEach(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case f.IsUint && f.Number == 1:
					c.Out = f.Uint
				case !f.IsUint && f.Number == 2:
					c.In, err = parseVoterInfo(f.Bytes)
				}
				return err
			})
		}
		return nil
	})
	return e, err
}

// appendSnapshot appends the content of a snapshot of the log.
func appendSnapshot(dst []byte, voters *VoterSet, leases *lease.Snapshot, table *maintenance.Table) []byte {
	dst = protofields.AppendBytes(protofields.AppendBytes(dst, 1, appendVoterSet(nil, voters)), 2, lease.AppendSnapshot(nil, leases))
	return protofields.AppendBytes(dst, 3, maintenance.AppendTable(nil, table))
}

func parseSnapshot(b []byte) (voters VoterSet, leases lease.Snapshot, table *maintenance.Table, err error) {
	table = maintenance.NewTable()
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case !f.IsUint && f.Number == 1:
			voters, err = parseVoterSet(f.Bytes)
		case !f.IsUint && f.Number == 2:
			leases, err = lease.ParseSnapshot(f.Bytes)
		case !f.IsUint && f.Number == 3:
			table, err = maintenance.ParseTable(f.Bytes)
		}
		return err
	})
	if err == nil && voters.Founding == 0 {
		err = protofields.Errorf("snapshot has no voter set")
	}
	return voters, leases, table, err
}

// localRecord is what a node stores beside its voter's persistent state.
type localRecord struct {
	IDFounding uint64   // founding ID of the log that this node's voter ID was drawn for
	Voters     VoterSet // the latest known voter set
}

func appendLocalRecord(dst []byte, record *localRecord) []byte {
	dst = protofields.AppendFixed(dst, 1, record.IDFounding)
	if record.Voters.Founding != 0 {
		dst = protofields.AppendBytes(dst, 2, appendVoterSet(nil, &record.Voters))
	}
	return dst
}

func parseLocalRecord(b []byte) (record localRecord, err error) {
	err = protofields.ForEach(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			record.IDFounding = f.Uint
		case !f.IsUint && f.Number == 2:
			record.Voters, err = parseVoterSet(f.Bytes)
		}
		return err
	})
	return record, err
}
