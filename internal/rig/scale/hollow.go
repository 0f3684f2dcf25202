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

// labFleet is the name of the fleet that the lab's nodes belong to.
const labFleet = "lab"

// hollow is a node without its data path: the membership of a real one on sockets of its own, many in one process. It keeps
// nothing over restarts.
type hollow struct {
	name, zone string
	listen     netip.AddrPort
	members    *members.Members
	stop       func() // nil: it is down
}

// hollows are the hollow nodes of a fleet.
type hollows struct {
	nodes []*hollow
	seeds []netip.AddrPort
}

// seedCount is how many hollow nodes all others seek.
const seedCount = 3

// hollowAddress is where a hollow node listens: each has a loopback address of its own, apart from those of other processes and
// of the stand-ins, which use 127.64 and above.
func hollowAddress(i int) netip.AddrPort {
	const (
		port     = 7946
		blocks   = 32
		inABlock = 250
	)
	host := netip.AddrFrom4([4]byte{127, byte(blocks + os.Getpid()%blocks), byte(i / inABlock), byte(1 + i%inABlock)})
	return netip.AddrPortFrom(host, port)
}

// startHollows starts so many, dealt out to zones in turn.
func startHollows(count, zones int) (_ *hollows, err error) {
	h := &hollows{}
	for i := range min(seedCount, count) {
		h.seeds = append(h.seeds, hollowAddress(i))
	}
	defer func() {
		if err != nil {
			h.close()
		}
	}()
	for i := range count {
		n := &hollow{name: fmt.Sprintf("h%05d", i), zone: fmt.Sprintf("z%d", i%zones), listen: hollowAddress(i)}
		if err := h.start(n); err != nil {
			return nil, err
		}
		h.nodes = append(h.nodes, n)
	}
	return h, nil
}

// start begins a life of a node, at the address that it had before.
func (h *hollows) start(n *hollow) error {
	set := members.Settings{Fleet: labFleet, Name: n.name, Site: n.zone, Listen: n.listen, Seeds: h.seeds}
	m, err := members.Open(set, clock.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		return fmt.Errorf("hollow node %s: %w", n.name, err)
	}
	n.members = m
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { // ends with stop
		defer close(ended)
		m.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-ended
	}
	return nil
}

// kill ends nodes without a word to the others.
func (h *hollows) kill(nodes []*hollow) {
	var all sync.WaitGroup
	for _, n := range nodes {
		if stop := n.stop; stop != nil {
			n.stop = nil
			all.Go(stop)
		}
	}
	all.Wait()
}

// inZone are the nodes of a zone.
func (h *hollows) inZone(zone string) (nodes []*hollow) {
	for _, n := range h.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// living counts those that run.
func (h *hollows) living() (count int) {
	for _, n := range h.nodes {
		if n.stop != nil {
			count++
		}
	}
	return count
}

// agree tells whether all that run have one view of so many members, and which.
func (h *hollows) agree(size int) (digest uint64, ok bool) {
	for _, n := range h.nodes {
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

func (h *hollows) close() { h.kill(h.nodes) }
