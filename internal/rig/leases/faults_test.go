package leases

import (
	"reflect"
	"testing"
	"time"
)

// The same seed must give the same run, also with several leases a node. Otherwise no failure can be reproduced.
func TestRunsRepeatBySeed(t *testing.T) {
	for _, leasesPerNode := range []int{0, 3} {
		run := func() *Sim {
			s := New(1, 6, 3)
			s.LeasesPerNode = leasesPerNode
			s.run(20 * time.Second)
			return s
		}
		first := run()
		for i := range 5 {
			if s := run(); len(s.Accesses) == 0 || !reflect.DeepEqual(s.Accesses, first.Accesses) {
				t.Fatalf("%d leases a node: run %d has %d accesses, not the %d of the first", leasesPerNode, i+1, len(s.Accesses), len(first.Accesses))
			}
		}
	}
}
