package leases

import (
	"fmt"
	"time"

	"curlewring/internal/fleet/leaselog"
)

// datagramHeaders is the length of the UDP and IP headers of a datagram in bytes.
const datagramHeaders = 28

// Traffic counts what a node has sent.
type Traffic struct{ Messages, Bytes int }

// countMessage adds a message to the node's traffic.
func (n *node) countMessage(m *leaselog.Message) {
	encoded, err := leaselog.AppendMessage(nil, m)
	if err != nil {
		n.sim.Violations = append(n.sim.Violations, fmt.Sprintf("%s sends a message that cannot be encoded: %v", n.name, err))
		return
	}
	n.sent.Messages++
	n.sent.Bytes += len(encoded) + datagramHeaders
}

// Cost is what leases cost each role per second while all nodes hold their leases and nothing else happens.
type Cost struct {
	Nodes, Leases  int
	LeaderBytes    float64 // sent by the leader
	LeaderMessages float64
	LeaderSyncs    float64
	VoterBytes     float64 // mean of what a voter other than the leader sends
	HolderBytes    float64 // mean of what a node that is no voter sends
}

// MeasureCost simulates a fleet in which each node holds the given number of leases, whose time to live is 2 s.
func MeasureCost(nodes, voters, leasesPerNode int, seed uint64) (Cost, error) {
	const (
		settle  = 20 * time.Second
		measure = 10 * time.Second
	)
	s := New(seed, nodes, voters)
	s.LeasesPerNode = leasesPerNode
	s.run(settle)
	voterNodes, leader := s.voters()
	cost := Cost{Nodes: nodes, Leases: nodes * leasesPerNode}
	if leader == nil || len(s.Violations) > 0 {
		return cost, fmt.Errorf("%d nodes with %d voters: no leader after %v, or violations: %v", nodes, voters, settle, s.Violations)
	}
	if status := leader.log.Status(); status.Leases != cost.Leases {
		return cost, fmt.Errorf("%d nodes: %d of %d leases are held after %v", nodes, status.Leases, cost.Leases, settle)
	}
	before := make([]Traffic, nodes)
	for i, n := range s.nodes {
		before[i] = n.sent
	}
	syncsBefore := leader.syncs
	s.run(s.now + measure)
	isVoter := map[*node]bool{}
	for _, n := range voterNodes {
		isVoter[n] = true
	}
	for i, n := range s.nodes {
		bytes := float64(n.sent.Bytes-before[i].Bytes) / measure.Seconds()
		switch {
		case n == leader:
			cost.LeaderBytes = bytes
			cost.LeaderMessages = float64(n.sent.Messages-before[i].Messages) / measure.Seconds()
		case isVoter[n]:
			cost.VoterBytes += bytes / float64(max(1, len(voterNodes)-1))
		default:
			cost.HolderBytes += bytes / float64(max(1, nodes-len(voterNodes)))
		}
	}
	cost.LeaderSyncs = float64(leader.syncs-syncsBefore) / measure.Seconds()
	return cost, nil
}
