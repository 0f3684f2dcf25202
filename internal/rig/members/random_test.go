package members

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// scheduleCount returns how many random schedules to run: CURLEWRING_SCHEDULES if it is set, the default otherwise.
func scheduleCount(t *testing.T, defaultCount int) int {
	if s := os.Getenv("CURLEWRING_SCHEDULES"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			t.Fatalf("CURLEWRING_SCHEDULES: %q is not a positive number of schedules", s)
		}
		return n
	}
	return defaultCount
}

// playSchedule injects random faults for a minute, removes them all, and returns the guarantees that were broken.
// Tolerable faults are those under which no node that is alive and usable may be removed. Under severe faults it is
// enough that no two nodes have different views of one number and that all agree again once the faults are over.
func playSchedule(seed uint64, tolerable bool) (failures []string) {
	rng := rand.New(rand.NewPCG(seed, 4))
	nodes := 5 + rng.IntN(46)
	if rng.IntN(3) > 0 {
		nodes = 5 + rng.IntN(8)
	}
	n := New(Config{Seed: seed, Nodes: nodes, Sites: 1 + rng.IntN(4), SeedCount: 1 + rng.IntN(3), EncodeMessages: rng.IntN(4) == 0})
	n.StartAll()
	if !n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
		return []string{"the nodes do not agree after the start"}
	}
	start := n.Now
	var faults []func(from, to *Node) Link
	updateLinks := func() {
		active := append([]func(from, to *Node) Link(nil), faults...)
		n.SetLinks(func(from, to *Node) (combined Link) {
			for _, fault := range active {
				link := fault(from, to)
				combined.Cut = combined.Cut || link.Cut
				combined.Loss = 1 - (1-combined.Loss)*(1-link.Loss)
				combined.Delay += link.Delay
				combined.Duplicate = max(combined.Duplicate, link.Duplicate)
			}
			return combined
		})
	}
	addFault := func(fault func(from, to *Node) Link, duration time.Duration) {
		faults = append(faults, fault)
		index := len(faults) - 1
		updateLinks()
		n.At(n.Now+duration, func() {
			faults[index] = healthyLink
			updateLinks()
		})
	}
	paused := -1
	lossy := false
	for at := start; at < start+time.Minute; at += time.Duration(rng.ExpFloat64() * float64(6*time.Second)) {
		kind, target, other := rng.IntN(9), rng.IntN(nodes), rng.IntN(nodes)
		duration := time.Duration((0.5 + rng.Float64()*15) * float64(time.Second))
		keepState := rng.IntN(2) == 0
		loss := 0.05 + 0.25*rng.Float64()
		n.At(at, func() {
			switch kind {
			case 0: // one link in one direction
				if !tolerable || len(faults) == 0 {
					addFault(func(from, to *Node) Link { return Link{Cut: from.Index == target && to.Index == other} }, duration)
				}
			case 1:
				if !lossy {
					lossy = true
					addFault(func(from, to *Node) Link { return Link{Loss: loss} }, duration)
				}
			case 2:
				addFault(func(from, to *Node) Link {
					return Link{Delay: time.Duration(from.Index%3) * 40 * time.Millisecond, Duplicate: 0.2}
				}, duration)
			case 3:
				if paused < 0 && !n.Nodes[target].Dead {
					paused = target
					if tolerable {
						duration = min(duration, MaxUsablePause)
					}
					n.Pause(target)
					n.At(n.Now+duration, func() {
						n.Resume(target)
						paused = -1
					})
				}
			case 4:
				if !n.Nodes[target].Dead {
					n.Kill(target)
					n.At(n.Now+duration, func() { n.Start(target, keepState) })
				}
			case 5:
				if !tolerable { // one node sends nothing
					addFault(func(from, to *Node) Link { return Link{Cut: from.Index == target} }, duration)
				}
			case 6:
				if !tolerable {
					addFault(func(from, to *Node) Link { return Link{Cut: from.Index%3 == target%3 && to.Index%3 != target%3} }, duration)
				}
			case 7:
				if !tolerable {
					for i := range n.Nodes {
						if i%4 == target%4 && !n.Nodes[i].Dead {
							n.Kill(i)
							n.At(n.Now+duration, func() { n.Start(i, keepState) })
						}
					}
				}
			case 8:
				if !tolerable {
					addFault(cutFromRest(inSites(fmt.Sprint("s", target%4))), duration)
				}
			}
		})
	}
	n.Run(start + 80*time.Second)
	for i, x := range n.Nodes {
		n.Resume(i)
		if x.Dead {
			n.Start(i, true)
		}
	}
	n.SetLinks(healthyLink)
	if at := n.Now; !n.RunUntil(2*time.Minute, func() bool { return n.Agreed(n.RunningNodes()...) }) {
		failures = append(failures, fmt.Sprintf("%d nodes do not agree %v after all faults are over: %v", nodes, n.Now-at, n.Reasons))
	}
	for _, violation := range n.Violations {
		if tolerable || !strings.Contains(violation, "is alive and usable") {
			failures = append(failures, violation)
		}
	}
	return failures
}

// Random schedules of tolerable and of severe faults must not break any guarantee of the protocol.
func TestRandomSchedules(t *testing.T) {
	for _, x := range []struct {
		name      string
		tolerable bool
		count     int
	}{{"tolerable", true, 12}, {"severe", false, 12}} {
		t.Run(x.name, func(t *testing.T) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			next := make(chan uint64)
			failed := 0
			for range runtime.GOMAXPROCS(0) {
				wg.Go(func() {
					for seed := range next {
						if failures := playSchedule(seed, x.tolerable); len(failures) > 0 {
							mu.Lock()
							if failed++; failed <= 5 {
								t.Errorf("schedule %d: %.900s", seed, strings.Join(failures, "\n"))
							}
							mu.Unlock()
						}
					}
				})
			}
			total := scheduleCount(t, x.count)
			for seed := range uint64(total) {
				next <- seed + 1
			}
			close(next)
			wg.Wait()
			t.Logf("%d of %d schedules broke a guarantee", failed, total)
		})
	}
}
