package membudget

import (
	"testing"

	"pgregory.net/rapid"
)

// The level must follow the bytes used, with hysteresis, and the sums must be correct.
func TestLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		budget := New(limit)
		var used [categoryCount]int
		previous := Normal
		for range 200 {
			category := Category(rapid.IntRange(0, int(categoryCount)-1).Draw(t, "use"))
			bytes := rapid.IntRange(-used[category], 150).Draw(t, "bytes")
			used[category] += bytes
			budget.Add(category, bytes)
			total := 0
			for _, x := range used {
				total += x
			}
			level := budget.Level()
			switch {
			case budget.Total() != total || budget.Used(category) != used[category]:
				t.Fatalf("%d bytes in total, the budget counts %d", total, budget.Total())
			case total >= 950 && level != Full, total >= 800 && level == Normal, total <= 700 && level != Normal,
				total <= 850 && level == Full, level > previous && total < 800:
				t.Fatalf("level %d at %d bytes, previous level %d", level, total, previous)
			}
			previous = level
		}
	})
}

// Around a threshold, the level must not change each time that bytes are added and returned.
func TestLevelHasHysteresis(t *testing.T) {
	budget := New(1000)
	budget.Add(OpenRequests, 800)
	for range 100 {
		budget.Add(PartialRequests, 20)
		budget.Add(PartialRequests, -20)
		budget.Add(OpenRequests, -20)
		budget.Add(OpenRequests, 20)
	}
	if budget.LevelChanges() != 1 || budget.Level() != Constrained || budget.Peak() != 820 {
		t.Errorf("%d level changes, level %d, peak %d", budget.LevelChanges(), budget.Level(), budget.Peak())
	}
}
