package leaselog

import (
	"reflect"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

func sampleMessages() []*Message {
	holder := lease.Holder{Name: "n1", Incarnation: 3, Life: 1 << 60}
	voters := &VoterSet{Founding: 9, Index: 4, Tokens: 77, Rows: []VoterInfo{{1, "a", "x", "127.0.0.1:1"}, {2, "b", "", ""}}}
	kind := raftpb.MsgApp
	return []*Message{
		{Kind: RaftMessage, From: "a", Addr: "127.0.0.1:2", Voter: &consensus.Message{From: 1, To: 2, Boot: 5, BootQuery: true, KnownBoot: 4}},
		{Kind: RaftMessage, From: "a", Voter: &consensus.Message{From: 1, To: 2, Boot: 5, Raft: &raftpb.Message{
			Type: &kind, From: proto.Uint64(1), To: proto.Uint64(2), Entries: []*raftpb.Entry{{Index: proto.Uint64(7), Data: []byte("x")}},
		}}},
		{Kind: SubmitCommand, From: "a", Hops: 2, Command: &ForwardedCommand{Command: lease.Command{Op: lease.Transfer, Lease: "l", Holder: holder, Seq: 8, Token: 9, TTL: time.Second, To: holder}, Origin: "a", Ref: 5}},
		{Kind: CommandAnswer, From: "a", Life: 5, Ref: 6, Answer: &lease.Answer{Outcome: lease.Waiting, Lease: "l", Place: 3, Seq: 8}},
		{Kind: CannotServe, From: "a", Life: 5, Seq: 7, VoterSet: voters},
		{Kind: VotersKnown, From: "a", StartVoter: true, Founding: 9, VoterSet: voters},
		{Kind: ReplacementVoter, From: "a", Founding: 9, ID: 5},
		{Kind: QueryLeases, From: "a", Origin: "b", Ref: 4},
		{Kind: MaintenanceReply, From: "a", Ref: 4, MaintenanceAnswer: &maintenance.Answer{Reason: "no", Run: 3}, MaintenanceTable: []byte("t")},
		{Kind: SubmitCommand, From: "a", Command: &ForwardedCommand{Origin: "a", Maintenance: &maintenance.Command{Op: maintenance.Step, Machine: "m", Serial: 4, To: maintenance.OutOfService, Reason: "x"}}},
		{Kind: LeasePage, From: "a", Ref: 4, Term: 6, Page: 1, Pages: 2, Leases: []lease.Lease{{Name: "l", Holder: holder, Token: 5, TTL: time.Minute, Waiters: []lease.Waiter{{Holder: holder, TTL: time.Second, Serial: 4, Seq: 3}}}}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		b, err := AppendMessage(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseMessage(b)
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		if m.Voter != nil && m.Voter.Raft != nil {
			if !proto.Equal(m.Voter.Raft, got.Voter.Raft) {
				t.Errorf("raft message %v is decoded as %v", m.Voter.Raft, got.Voter.Raft)
			}
			got.Voter.Raft = m.Voter.Raft
		}
		if !reflect.DeepEqual(m, got) {
			t.Errorf("%+v\nis decoded as\n%+v", m, got)
		}
		for n := range b { // any prefix must be rejected or parsed without a panic
			ParseMessage(b[:n])
		}
	}
}

func FuzzParseMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		b, _ := AppendMessage(nil, m)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseMessage(b)
		if err != nil {
			return
		}
		if _, err := AppendMessage(nil, m); err != nil {
			t.Fatal(err)
		}
		state := consensus.NewCluster([]uint64{1, 2, 3})[0]
		state.Snapshot.Data = initialSnapshot(&VoterSet{Founding: 9, Index: 1, Rows: []VoterInfo{{1, "a", "", ""}, {2, "b", "", ""}, {3, "c", "", ""}}})
		n := New(Settings{Name: "a"}, &state, nil, "", 1, 0)
		n.Receive(0, m) // any message must be handled without a panic
		n.Tick(0)
	})
}

// FuzzParseState checks that arbitrary bytes on disk or in the log cause no panic.
func FuzzParseState(f *testing.F) {
	leases := lease.NewStateMachine().Snapshot()
	f.Add(appendSnapshot(nil, &VoterSet{Founding: 9, Index: 1, Rows: []VoterInfo{{1, "a", "", ""}}}, &leases, maintenance.NewTable()))
	f.Add(appendEntry(nil, &logEntry{Version: 1, Commands: []ForwardedCommand{{Origin: "x"}}, Change: &voterChange{3, VoterInfo{4, "y", "z", ""}}}))
	f.Add(appendLocalRecord(nil, &localRecord{IDFounding: 4}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, leases, _, err := parseSnapshot(b); err == nil {
			lease.Restore(leases).Leases()
		}
		parseEntry(b)
		parseLocalRecord(b)
	})
}
