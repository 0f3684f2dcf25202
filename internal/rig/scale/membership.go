package scale

import (
	"fmt"
	"runtime"
	"time"

	"curlewring/internal/rig/members"
)

// MembershipCost is what membership costs a node in a fleet of a given size, simulated in virtual time.
type MembershipCost struct {
	Nodes int

	RestBytes    float64 // sent per node and second while nothing happens
	RestMessages float64
	RestCore     float64 // fraction of a core of this machine that the simulation uses per node

	ZoneLossBytes     float64       // sent per node and second, over the 10 s after a zone is lost
	ZoneReturnBytes   float64       // the same over the 10 s after the zone is back
	ReleaseBytes      float64       // the same while all nodes are restarted one by one within an hour
	Convergence       time.Duration // from the start of all nodes at once until all have one view
	CrashDetection    time.Duration // until a crashed node is removed from all views
	ZoneLossDetection time.Duration // until a lost zone is removed from all views
}

// Timeouts and measuring times, in virtual time.
const (
	convergenceTimeout = 2 * time.Minute
	detectionTimeout   = time.Minute
	restTime           = 10 * time.Second
	zoneChangeTime     = 10 * time.Second
)

// MeasureMembership simulates a fleet that starts, idles, loses one node, loses a zone, gets it back and is restarted
// by a release.
func MeasureMembership(nodes, zones int, seed uint64) (MembershipCost, error) {
	net := members.New(members.Config{Seed: seed, Nodes: nodes, Sites: zones, SeedCount: min(3, nodes), CountBytes: true, ShareViews: true})
	cost := MembershipCost{Nodes: nodes}
	start := net.Now
	net.StartAll()
	if !net.RunUntil(convergenceTimeout, allAgreed(net)) {
		return cost, fmt.Errorf("%d nodes do not agree on one view after %v", nodes, convergenceTimeout)
	}
	cost.Convergence = net.Now - start

	wallStart := time.Now()
	idle := measureSendRate(net, restTime)
	cost.RestCore = time.Since(wallStart).Seconds() / restTime.Seconds() / float64(nodes)
	cost.RestBytes, cost.RestMessages = idle.bytes, idle.messages

	start = net.Now
	net.Kill(nodes / 2)
	if !net.RunUntil(detectionTimeout, allAgreed(net)) {
		return cost, fmt.Errorf("%d nodes: not all views have removed a crashed node after %v", nodes, detectionTimeout)
	}
	cost.CrashDetection = net.Now - start

	var zone []int
	for i := range nodes {
		if i%zones == 0 && i != nodes/2 {
			zone = append(zone, i)
		}
	}
	start = net.Now
	for _, i := range zone {
		net.Kill(i)
	}
	cost.ZoneLossBytes = measureSendRate(net, zoneChangeTime).bytes
	if !net.RunUntil(detectionTimeout, allAgreed(net)) {
		return cost, fmt.Errorf("%d nodes: not all views have removed a lost zone after %v", nodes, detectionTimeout)
	}
	cost.ZoneLossDetection = net.Now - start // at least zoneChangeTime
	for _, i := range zone {
		net.Start(i, true)
	}
	cost.ZoneReturnBytes = measureSendRate(net, zoneChangeTime).bytes
	if !net.RunUntil(detectionTimeout, allAgreed(net)) {
		return cost, fmt.Errorf("%d nodes: not all views have the returned zone after %v", nodes, detectionTimeout)
	}
	cost.ReleaseBytes = measureRelease(net)
	return cost, nil
}

// measureRelease restarts nodes one by one for 30 s, at the rate of a release that restarts all nodes within an hour,
// and returns the bytes sent per node and second meanwhile.
func measureRelease(net *members.Net) float64 {
	const (
		releaseTime = time.Hour
		measured    = 30 * time.Second
		downtime    = 500 * time.Millisecond
	)
	interval := max(releaseTime/time.Duration(len(net.Nodes)), time.Millisecond)
	start := net.Now
	for i := 0; time.Duration(i)*interval < measured; i++ {
		node := (i*7 + 1) % len(net.Nodes)
		at := start + time.Duration(i)*interval
		net.At(at, func() { net.Kill(node) })
		net.At(at+downtime, func() { net.Start(node, true) })
	}
	return measureSendRate(net, measured).bytes
}

// allAgreed returns a condition: all running nodes agree on one view of exactly themselves.
func allAgreed(net *members.Net) func() bool {
	return func() bool { return net.Agreed(net.RunningNodes()...) }
}

// sendRate is what a running node sends per second, on average.
type sendRate struct{ bytes, messages float64 }

// measureSendRate runs the network for a duration and returns what the nodes send meanwhile.
func measureSendRate(net *members.Net, duration time.Duration) sendRate {
	bytes, messages := totalSent(net)
	net.Run(net.Now + duration)
	bytesAfter, messagesAfter := totalSent(net)
	nodeSeconds := duration.Seconds() * float64(len(net.RunningNodes()))
	return sendRate{float64(bytesAfter-bytes) / nodeSeconds, float64(messagesAfter-messages) / nodeSeconds}
}

// totalSent returns what all nodes together have sent.
func totalSent(net *members.Net) (bytes, messages int) {
	for _, n := range net.Nodes {
		bytes += n.Bytes
		messages += n.Sent
	}
	return bytes, messages
}

// MeasureMembershipState returns the heap memory that the membership of one node uses in a fleet of a given size.
func MeasureMembershipState(nodes int, seed uint64) (bytesPerNode float64, err error) {
	before := heapInUse()
	net := members.New(members.Config{Seed: seed, Nodes: nodes, Sites: 4, SeedCount: min(3, nodes)})
	net.StartAll()
	if !net.RunUntil(convergenceTimeout, allAgreed(net)) {
		return 0, fmt.Errorf("%d nodes do not agree on one view after %v", nodes, convergenceTimeout)
	}
	after := heapInUse()
	runtime.KeepAlive(net)
	return max(0, float64(after)-float64(before)) / float64(nodes), nil
}

// heapInUse returns the size of the live heap, after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
