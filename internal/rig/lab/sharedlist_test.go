package lab

import (
	"os"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// All nodes start at once without a list, and discovery takes seconds to write each whole list. The nodes get
// a list from the first one that has received it, and serve. Without sharing, each must wait for discovery. A
// server that drains in the meantime must get no new requests from a node that discovery has notified; the
// judge checks that.
func TestNodesShareServerList(t *testing.T) {
	t.Parallel()
	const nodes, lines = 7, 20
	elapsed := map[bool]time.Duration{}
	modes := []bool{true}
	if os.Getenv("CURLEWRING_LONG") != "" { // the control takes more than a minute
		modes = append(modes, false)
	}
	for _, listFromPeers := range modes {
		lab := startMemberLabWith(t, nodes, 61, func(o *Options) {
			o.ReplaceVoterAfter, o.ShareLists = time.Minute, listFromPeers
			o.Plan.Servers = 40
			o.Faults = []standin.Fault{{Kind: "drain", Server: "3", At: 12 * time.Second, Duration: 20 * time.Second}}
		})
		lab.minServed = 0
		lab.waitForView(60*time.Second, lab.names...)
		for _, n := range lab.names {
			lab.noError(lab.Kill(n))
		}
		lab.Fleet.Discovery.SetLineRate(lines)
		_, before := lab.Fleet.Discovery.Calls()
		start := time.Now()
		for _, n := range lab.names {
			lab.noError(lab.StartWithoutList(n))
		}
		for _, n := range lab.names {
			p, err := lab.findNode(n)
			lab.noError(err)
			for try := range 4 { // each try waits for up to 20 s
				if err := p.waitReady(t.Context()); err == nil || try == 3 {
					lab.noError(err)
					break
				}
			}
			elapsed[listFromPeers] = time.Since(start)
		}
		_, after := lab.Fleet.Discovery.Calls()
		t.Logf("lists shared %v: the last of %d nodes is ready after %v, with %d lines written by discovery", listFromPeers, nodes, elapsed[listFromPeers], after-before)
		if t.Failed() || listFromPeers && elapsed[listFromPeers] > 20*time.Second {
			for _, n := range lab.names {
				t.Logf("%s: %.9000s", n, lab.Log(n))
			}
		}
		lab.waitForView(60*time.Second, lab.names...)
		lab.finishTraffic()
	}
	if elapsed[true] > 25*time.Second || len(modes) > 1 && 2*elapsed[true] > elapsed[false] {
		t.Errorf("the last node is ready after %v with shared lists, %v without", elapsed[true], elapsed[false])
	}
}
