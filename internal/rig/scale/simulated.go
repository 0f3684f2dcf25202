package scale

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"sync"

	"curlewring/internal/node/clock"
	"curlewring/internal/node/members"
)

// labFleet is the fleet name of the lab's nodes.
const labFleet = "lab"

// simulatedNode is a node without a data path, called hollow in the command line. It runs the membership of a real
// node on its own sockets; many of them share one process. It persists nothing across restarts.
type simulatedNode struct {
	name, zone string
	listen     netip.AddrPort
	members    *members.Members
	stop       func() // nil: not running
}

// simulatedNodes holds the simulated nodes of a fleet.
type simulatedNodes struct {
	nodes []*simulatedNode
	seeds []netip.AddrPort
}

// seedCount is how many simulated nodes are the seeds of all other nodes.
const seedCount = 3

// simulatedNodeAddress returns the address of a simulated node. Each has its own loopback address, different from
// those of other processes and of the stand-ins, which use 127.64 and above.
func simulatedNodeAddress(i int) netip.AddrPort {
	const (
		port           = 7946
		blocks         = 32
		nodesPerSubnet = 250
	)
	host := netip.AddrFrom4([4]byte{127, byte(blocks + os.Getpid()%blocks), byte(i / nodesPerSubnet), byte(1 + i%nodesPerSubnet)})
	return netip.AddrPortFrom(host, port)
}

// startSimulatedNodes starts the given number of nodes, assigned to the zones in turn.
func startSimulatedNodes(count, zones int) (_ *simulatedNodes, err error) {
	s := &simulatedNodes{}
	for i := range min(seedCount, count) {
		s.seeds = append(s.seeds, simulatedNodeAddress(i))
	}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	for i := range count {
		n := &simulatedNode{name: fmt.Sprintf("h%05d", i), zone: fmt.Sprintf("z%d", i%zones), listen: simulatedNodeAddress(i)}
		if err := s.start(n); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// start starts a node that is not running, at the same address every time.
func (s *simulatedNodes) start(n *simulatedNode) error {
	settings := members.Settings{Fleet: labFleet, Name: n.name, Site: n.zone, Listen: n.listen, Seeds: s.seeds}
	m, err := members.Open(settings, clock.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		return fmt.Errorf("simulated node %s: %w", n.name, err)
	}
	n.members = m
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { // ends with stop
		defer close(stopped)
		m.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-stopped
	}
	return nil
}

// kill stops nodes without announcing it to the others.
func (s *simulatedNodes) kill(nodes []*simulatedNode) {
	var stops sync.WaitGroup
	for _, n := range nodes {
		if stop := n.stop; stop != nil {
			n.stop = nil
			stops.Go(stop)
		}
	}
	stops.Wait()
}

// nodesInZone returns the nodes of a zone.
func (s *simulatedNodes) nodesInZone(zone string) (nodes []*simulatedNode) {
	for _, n := range s.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// runningCount returns how many nodes run.
func (s *simulatedNodes) runningCount() (count int) {
	for _, n := range s.nodes {
		if n.stop != nil {
			count++
		}
	}
	return count
}

// agreedView reports whether all running nodes have the same view of the given size, and returns its digest.
func (s *simulatedNodes) agreedView(size int) (digest uint64, ok bool) {
	for _, n := range s.nodes {
		if n.stop == nil {
			continue
		}
		view := n.members.View()
		if view == nil || len(view.Members) != size || digest != 0 && view.Digest != digest {
			return 0, false
		}
		digest = view.Digest
	}
	return digest, true
}

func (s *simulatedNodes) close() { s.kill(s.nodes) }
