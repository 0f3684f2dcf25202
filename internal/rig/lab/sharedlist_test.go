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
	took := map[bool]time.Duration{}
	arms := []bool{true}
	if os.Getenv("CURLEWRING_LONG") != "" { // the control takes more than a minute
		arms = append(arms, false)
	}
	for _, record := range arms {
		x := startMemberLabWith(t, nodes, 61, func(o *Options) {
			o.ReplaceVoterAfter, o.ListFromPeers = time.Minute, record
			o.Plan.Servers = 40
			o.Faults = []standin.Fault{{Kind: "drain", Server: "3", At: 12 * time.Second, Duration: 20 * time.Second}}
		})
		x.minServed = 0
		x.waitForView(60*time.Second, x.names...)
		for _, n := range x.names {
			x.noError(x.Kill(n))
		}
		x.Fleet.Discovery.SetLineRate(lines)
		_, before := x.Fleet.Discovery.Calls()
		begun := time.Now()
		for _, n := range x.names {
			x.noError(x.StartWithoutList(n))
		}
		for _, n := range x.names {
			p, err := x.findNode(n)
			x.noError(err)
			for try := range 4 { // each try waits for up to 20 s
				if err := p.waitReady(t.Context()); err == nil || try == 3 {
					x.noError(err)
					break
				}
			}
			took[record] = time.Since(begun)
		}
		_, after := x.Fleet.Discovery.Calls()
		t.Logf("lists shared %v: the last of %d nodes is ready after %v, with %d lines written by discovery", record, nodes, took[record], after-before)
		if t.Failed() || record && took[record] > 20*time.Second {
			for _, n := range x.names {
				t.Logf("%s: %.9000s", n, x.Log(n))
			}
		}
		x.waitForView(60*time.Second, x.names...)
		x.finishTraffic()
	}
	if took[true] > 25*time.Second || len(arms) > 1 && 2*took[true] > took[false] {
		t.Errorf("the last node is ready after %v with shared lists, %v without", took[true], took[false])
	}
}
