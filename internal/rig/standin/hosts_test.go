package standin

import (
	"errors"
	"syscall"
	"testing"
)

// Two fleets must never hand out the same loopback address: a node of one could bind the port that was picked for
// a node of the other, and would answer its clients.
func TestFleetsShareNoHost(t *testing.T) {
	first, second := startFleet(t, smallPlan()), startFleet(t, smallPlan())
	handedOut := map[string]bool{}
	for range 2 * hostsPerBlock {
		for _, f := range []*Fleet{first, second} {
			host, err := f.NewHost()
			if err != nil {
				t.Fatal(err)
			}
			if handedOut[host] {
				t.Fatalf("%s was handed out twice", host)
			}
			handedOut[host] = true
		}
	}
}

// A block must stay with its fleet until that is closed, whichever blocks are drawn at random, and must be free
// afterwards.
func TestHostBlockIsReserved(t *testing.T) {
	var owner, other hostAllocator
	defer owner.close()
	defer other.close()
	if _, err := owner.next(); err != nil {
		t.Fatal(err)
	}
	if err := other.reserve(owner.block); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("reserving a block that is in use: %v", err)
	}
	owner.close()
	if err := other.reserve(owner.block); err != nil {
		t.Errorf("reserving a block after its owner was closed: %v", err)
	}
}
