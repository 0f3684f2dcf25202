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

// A fault that overlaps another one must last until its own end, and its end must not end the other one.
func TestOverlappingFaultsEndSeparately(t *testing.T) {
	all := func(_, _ *node) bool { return true }
	faults := map[string]struct {
		begin  func(s *Sim, duration time.Duration)
		active func(s *Sim) bool
	}{
		"loss": {
			func(s *Sim, d time.Duration) {
				s.disturb(d, conditions{lossProbability: 0.2, duplicateProbability: 0.2})
			},
			func(s *Sim) bool { c := s.conditions(); return c.lossProbability > 0 && c.duplicateProbability > 0 },
		},
		"delay": {
			func(s *Sim, d time.Duration) { s.disturb(d, conditions{maxExtraDelay: time.Second}) },
			func(s *Sim) bool { return s.conditions().maxExtraDelay > 0 },
		},
		"cut": {
			func(s *Sim, d time.Duration) { s.disturb(d, conditions{isCut: all}) },
			func(s *Sim) bool { return s.cuts(s.nodes[0], s.nodes[1]) },
		},
		"slow disks": {
			func(s *Sim, d time.Duration) { s.disturb(d, conditions{maxSyncTime: time.Second}) },
			func(s *Sim) bool { return s.conditions().maxSyncTime == time.Second },
		},
		"pause": {
			func(s *Sim, d time.Duration) { s.nodes[0].pause(d) },
			func(s *Sim) bool { return s.nodes[0].paused },
		},
		"crash": {
			func(s *Sim, d time.Duration) { s.crashFor(s.nodes[0], d) },
			func(s *Sim) bool { return s.nodes[0].dead },
		},
	}
	for name, fault := range faults {
		for _, last := range []time.Duration{time.Second, 4 * time.Second} { // the second fault ends within the first one, or after it
			s := New(1, 3, 3)
			s.after(time.Second, func() { fault.begin(s, 2*time.Second) })
			s.after(1500*time.Millisecond, func() { fault.begin(s, last) })
			end := max(3*time.Second, 1500*time.Millisecond+last)
			for at := 250 * time.Millisecond; at < end+time.Second; at += 500 * time.Millisecond {
				s.run(at)
				if want := at > time.Second && at < end; fault.active(s) != want {
					t.Errorf("%s, the second one for %v: active at %v: %v, want %v", name, last, at, !want, want)
					break
				}
			}
		}
	}
}

// The restarts that belong to the loss of a disk must not end a crash that began meanwhile.
func TestCrashOutlastsLossOfDisk(t *testing.T) {
	for seed := range uint64(4) { // with an empty disk and with old contents
		s := New(seed, 3, 3)
		n := s.nodes[0]
		s.after(time.Second, func() { s.loseDisk(n, time.Second) }) // ends after 3.5 s at the latest
		s.after(1300*time.Millisecond, func() { s.crashFor(n, 4*time.Second) })
		for at := 1350 * time.Millisecond; at < 5300*time.Millisecond; at += 100 * time.Millisecond {
			if s.run(at); !n.dead {
				t.Errorf("seed %d: the process runs at %v", seed, at)
				break
			}
		}
		if s.run(6 * time.Second); n.dead {
			t.Errorf("seed %d: the process does not run at 6 s", seed)
		}
	}
}
