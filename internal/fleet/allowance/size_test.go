package allowance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A dealer deals for as many cold servers as are planned.
func TestADealerForManyServers(t *testing.T) {
	const servers = 5400
	var items []ClaimItem
	for i := range servers {
		items = append(items, ClaimItem{Server: Server{ID: fmt.Sprint("s", i)}, Rate: 1, Wanted: 1})
	}
	d, seq := NewAllocator(Settings{}), uint64(1)
	g, _ := d.HandleClaim(time.Second, &Claim{Lender: 1, Seq: seq})
	for part := range slices.Chunk(items, MaxClaimItems) {
		seq++
		if _, ok := d.HandleClaim(time.Second, &Claim{Lender: 1, Seq: seq, Stamp: g.Stamp, Items: part}); !ok {
			t.Fatal("a claim is not answered")
		}
	}
	if d.Pools() != servers {
		t.Errorf("something is lent for %d of %d servers", d.Pools(), servers)
	}
}
