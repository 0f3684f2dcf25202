package membudget

import (
	"testing"

	"pgregory.net/rapid"
)

// The level follows what is used, with room between up and down, and the sums are true.
func TestLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		l := New(limit)
		var used [categoryCount]int
		was := Normal
		for range 200 {
			u := Category(rapid.IntRange(0, int(categoryCount)-1).Draw(t, "use"))
			n := rapid.IntRange(-used[u], 150).Draw(t, "bytes")
			used[u] += n
			l.Add(u, n)
			sum := 0
			for _, x := range used {
				sum += x
			}
			level := l.Level()
			switch {
			case l.Total() != sum || l.Used(u) != used[u]:
				t.Fatalf("%d in all, told %d", sum, l.Total())
			case sum >= 950 && level != Full, sum >= 800 && level == Normal, sum <= 700 && level != Normal,
				sum <= 850 && level == Full, level > was && sum < 800:
				t.Fatalf("level %d at %d, after %d", level, sum, was)
			}
			was = level
		}
	})
}

// At an edge the level stays, though bytes come and go.
func TestLevelHasHysteresis(t *testing.T) {
	l := New(1000)
	l.Add(OpenRequests, 800)
	for range 100 {
		l.Add(PartialRequests, 20)
		l.Add(PartialRequests, -20)
		l.Add(OpenRequests, -20)
		l.Add(OpenRequests, 20)
	}
	if l.LevelChanges() != 1 || l.Level() != Constrained || l.Peak() != 820 {
		t.Errorf("%d turns, level %d, peak %d", l.LevelChanges(), l.Level(), l.Peak())
	}
}
