package lab

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// drawDisturbances draws faults of clients, nodes and servers that overlap.
func drawDisturbances(rng *rand.Rand, nodes, servers int) []string {
	pick := func(names []string) string { return names[rng.IntN(len(names))] }
	window := func() string {
		return fmt.Sprintf("at=%dms,for=%dms", 300+rng.IntN(1500), 500+rng.IntN(1500))
	}
	var faults []string
	for node := range nodes {
		if rng.IntN(2) == 0 {
			faults = append(faults, fmt.Sprintf("flood:node=%d,%s,by=%d,with=%s", node, window(), 1+rng.IntN(6), pick(standin.FloodNames())))
		}
		if rng.IntN(2) == 0 {
			faults = append(faults, fmt.Sprintf("stall:node=%d,%s,by=%d,with=%s", node, window(), 1+rng.IntN(100), pick(standin.StallNames())))
		}
		if rng.IntN(2) == 0 {
			faults = append(faults, fmt.Sprintf("abandon:node=%d,%s,by=%d,with=%s", node, window(), 1+rng.IntN(4), pick(standin.LeaveNames())))
		}
	}
	for range rng.IntN(3) { // a node twice would be killed while it is down
		faults = append(faults, fmt.Sprintf("%s:box=%d,%s", pick([]string{"slow", "stuck", "reset", "error", "crash", "garble", "drain"}), rng.IntN(servers), window()))
	}
	switch node := rng.IntN(nodes); rng.IntN(4) {
	case 0:
		faults = append(faults, fmt.Sprintf("term:node=%d,%s", node, window()))
	case 1:
		faults = append(faults, fmt.Sprintf("kill:node=%d,%s", node, window()))
	case 2:
		faults = append(faults, fmt.Sprintf("stop:node=%d,at=%dms,for=%dms", node, 300+rng.IntN(1500), 50+rng.IntN(100)))
	}
	return faults
}

// Whatever clients send beside the usual ones, and whatever else goes wrong, the rules hold and no node takes more
// memory than its limit.
func TestRulesHoldBesideDisturbingClients(t *testing.T) {
	const memoryMB = 32
	seeds := uint64(3)
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds = 60
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 77))
			nodes := 1 + rng.IntN(3)
			faults := drawDisturbances(rng, nodes, 8)
			r := runFaults(t, func(o *Options) {
				o.Nodes, o.MemoryMB, o.Sockets = nodes, memoryMB, 256<<rng.IntN(3)
				o.Plan.Seed, o.Traffic.Rate, o.Traffic.Duration = seed, 50+float64(rng.IntN(200)), 4*time.Second
			}, faults...)
			checkMemory(t, r, memoryMB)
			if t.Failed() {
				t.Log(faults)
			}
		})
	}
}
