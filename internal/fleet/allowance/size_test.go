package allowance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// An allocator must be able to hold a pool for each of the planned number of servers.
func TestAllocatorHoldsPlannedServers(t *testing.T) {
	const servers = 5400
	var items []ClaimItem
	for i := range servers {
		items = append(items, ClaimItem{Server: Server{ID: fmt.Sprint("s", i)}, Rate: 1, Wanted: 1})
	}
	allocator, seq := NewAllocator(Settings{}), uint64(1)
	grant, _ := allocator.HandleClaim(time.Second, &Claim{Lender: 1, Seq: seq})
	for chunk := range slices.Chunk(items, MaxClaimItems) {
		seq++
		if _, ok := allocator.HandleClaim(time.Second, &Claim{Lender: 1, Seq: seq, Stamp: grant.Stamp, Items: chunk}); !ok {
			t.Fatal("a claim is not answered")
		}
	}
	if allocator.Pools() != servers {
		t.Errorf("pools for %d of %d servers", allocator.Pools(), servers)
	}
}
