package leases

import (
	"fmt"
	"time"

	"curlewring/internal/fleet/leaselog"
)

// datagramHeads is what UDP and IP add to a message.
const datagramHeads = 28

// Traffic is what a node has sent.
type Traffic struct{ Messages, Bytes int }

// count adds a message to what the node has sent.
func (p *peer) count(m *leaselog.Message) {
	text, err := leaselog.AppendMessage(nil, m)
	if err != nil {
		p.s.Violations = append(p.s.Violations, fmt.Sprintf("%s sends what has no form: %v", p.name, err))
		return
	}
	p.sent.Messages++
	p.sent.Bytes += len(text) + datagramHeads
}

// Cost is what leases cost each role in a second, all nodes holding theirs and nothing happening.
type Cost struct {
	Nodes, Leases  int
	LeaderBytes    float64 // sent
	LeaderMessages float64
	LeaderSyncs    float64
	VoterBytes     float64 // sent by a voter that does not lead, mean
	HolderBytes    float64 // sent by a node without a seat, mean
}

// MeasureCost plays a fleet of which each node holds so many leases, renewed by their time to live of 2 s.
func MeasureCost(nodes, voters, each int, seed uint64) (Cost, error) {
	const (
		settle  = 20 * time.Second
		measure = 10 * time.Second
	)
	s := New(seed, nodes, voters)
	s.OwnLeases = each
	s.run(settle)
	seats, leader := s.voters()
	cost := Cost{Nodes: nodes, Leases: nodes * each}
	if leader == nil || len(s.Violations) > 0 {
		return cost, fmt.Errorf("%d nodes with %d voters: no leader after %v, %v", nodes, voters, settle, s.Violations)
	}
	if st := leader.council.Status(); st.Leases != cost.Leases {
		return cost, fmt.Errorf("%d nodes: %d of %d leases are held after %v", nodes, st.Leases, cost.Leases, settle)
	}
	before := make([]Traffic, nodes)
	for i, p := range s.peers {
		before[i] = p.sent
	}
	syncs := leader.syncs
	s.run(s.now + measure)
	seated := map[*peer]bool{}
	for _, p := range seats {
		seated[p] = true
	}
	for i, p := range s.peers {
		bytes := float64(p.sent.Bytes-before[i].Bytes) / measure.Seconds()
		switch {
		case p == leader:
			cost.LeaderBytes = bytes
			cost.LeaderMessages = float64(p.sent.Messages-before[i].Messages) / measure.Seconds()
		case seated[p]:
			cost.VoterBytes += bytes / float64(max(1, len(seats)-1))
		default:
			cost.HolderBytes += bytes / float64(max(1, nodes-len(seats)))
		}
	}
	cost.LeaderSyncs = float64(leader.syncs-syncs) / measure.Seconds()
	return cost, nil
}
