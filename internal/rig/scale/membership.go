package scale

import (
	"fmt"
	"runtime"
	"time"

	"curlewring/internal/rig/members"
)

// MembershipCost is what membership costs a node in a fleet of one size, in virtual time.
type MembershipCost struct {
	Nodes int

	RestBytes    float64 // sent by a node in a second, nothing happening
	RestMessages float64
	RestCore     float64 // part of a core that the core package takes, on this machine

	ZoneLossBytes     float64       // sent by a node in a second, over the 10 s in which a zone is lost
	ZoneReturnBytes   float64       // the same as it comes back
	ReleaseBytes      float64       // the same while all nodes are restarted one after another within an hour
	Convergence       time.Duration // all started at once, until all have one view
	CrashDetection    time.Duration // until a crashed node is out of all views
	ZoneLossDetection time.Duration // until a lost zone is
}

// Times of a run.
const (
	agreeWithin = 2 * time.Minute
	toldWithin  = time.Minute
	restFor     = 10 * time.Second
	busyFor     = 10 * time.Second
)

// MeasureMembership plays a fleet of one size: it starts, rests, loses one node, loses a zone and gets it back.
func MeasureMembership(nodes, zones int, seed uint64) (MembershipCost, error) {
	net := members.New(members.Config{Seed: seed, Nodes: nodes, Sites: zones, SeedCount: min(3, nodes), CountBytes: true, ShareViews: true})
	cost := MembershipCost{Nodes: nodes}
	begun := net.Now
	net.StartAll()
	if !net.RunUntil(agreeWithin, agreed(net)) {
		return cost, fmt.Errorf("%d nodes have no common view after %v", nodes, agreeWithin)
	}
	cost.Convergence = net.Now - begun

	wall := time.Now()
	rest := traffic(net, restFor)
	cost.RestCore = time.Since(wall).Seconds() / restFor.Seconds() / float64(nodes)
	cost.RestBytes, cost.RestMessages = rest.bytes, rest.messages

	begun = net.Now
	net.Kill(nodes / 2)
	if !net.RunUntil(toldWithin, agreed(net)) {
		return cost, fmt.Errorf("%d nodes: a crash is not in all views after %v", nodes, toldWithin)
	}
	cost.CrashDetection = net.Now - begun

	var zone []int
	for i := range nodes {
		if i%zones == 0 && i != nodes/2 {
			zone = append(zone, i)
		}
	}
	begun = net.Now
	for _, i := range zone {
		net.Kill(i)
	}
	cost.ZoneLossBytes = traffic(net, busyFor).bytes
	if !net.RunUntil(toldWithin, agreed(net)) {
		return cost, fmt.Errorf("%d nodes: a lost zone is not in all views after %v", nodes, toldWithin)
	}
	cost.ZoneLossDetection = net.Now - begun // busyFor at the least
	for _, i := range zone {
		net.Start(i, true)
	}
	cost.ZoneReturnBytes = traffic(net, busyFor).bytes
	if !net.RunUntil(toldWithin, agreed(net)) {
		return cost, fmt.Errorf("%d nodes: a returned zone is not in all views after %v", nodes, toldWithin)
	}
	cost.ReleaseBytes = release(net)
	return cost, nil
}

// release restarts nodes one after another, at the rate of a release of all nodes in an hour, and returns what a node sends in
// a second meanwhile.
func release(net *members.Net) float64 {
	const (
		whole = time.Hour
		part  = 30 * time.Second
		down  = 500 * time.Millisecond
	)
	every := max(whole/time.Duration(len(net.Nodes)), time.Millisecond)
	begun := net.Now
	for i := 0; time.Duration(i)*every < part; i++ {
		node := (i*7 + 1) % len(net.Nodes)
		at := begun + time.Duration(i)*every
		net.At(at, func() { net.Kill(node) })
		net.At(at+down, func() { net.Start(node, true) })
	}
	return traffic(net, part).bytes
}

func agreed(net *members.Net) func() bool {
	return func() bool { return net.Agreed(net.RunningNodes()...) }
}

// flow is what a living node sends in a second.
type flow struct{ bytes, messages float64 }

// traffic goes on for so long, and returns the mean of what the nodes send.
func traffic(net *members.Net, lasts time.Duration) flow {
	bytes, messages := sums(net)
	net.Run(net.Now + lasts)
	bytesAfter, messagesAfter := sums(net)
	per := lasts.Seconds() * float64(len(net.RunningNodes()))
	return flow{float64(bytesAfter-bytes) / per, float64(messagesAfter-messages) / per}
}

func sums(net *members.Net) (bytes, messages int) {
	for _, n := range net.Nodes {
		bytes += n.Bytes
		messages += n.Sent
	}
	return bytes, messages
}

// MeasureMembershipState returns the heap that one node's membership holds in a fleet of one size.
func MeasureMembershipState(nodes int, seed uint64) (bytesPerNode float64, err error) {
	before := heapInUse()
	net := members.New(members.Config{Seed: seed, Nodes: nodes, Sites: 4, SeedCount: min(3, nodes)})
	net.StartAll()
	if !net.RunUntil(agreeWithin, agreed(net)) {
		return 0, fmt.Errorf("%d nodes have no common view after %v", nodes, agreeWithin)
	}
	after := heapInUse()
	runtime.KeepAlive(net)
	return max(0, float64(after)-float64(before)) / float64(nodes), nil
}

// heapInUse is what the heap holds after a collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
