package standin

import (
	"strconv"
	"sync"
)

// trees counts how often each call of a graph is attempted, whatever attempts of
// the tiers above made it: the same call of the same entry request is one, though
// each attempt above makes it under an id of its own.
type trees struct {
	mu     sync.Mutex
	places map[string]string // by a call's id
	counts map[string]int    // attempts by place
	worst  int
	all    int
}

func newTrees() *trees { return &trees{places: map[string]string{}, counts: map[string]int{}} }

// call notes that a box makes its i-th call for a request, under an id.
func (t *trees) call(id, above string, i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	place, below := t.places[above]
	if !below {
		place = above // of the first tier: its id is the entry's
	}
	t.places[id] = place + "." + strconv.Itoa(i)
}

// arrived notes an attempt of a call at a box of a lower tier.
func (t *trees) arrived(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	place, below := t.places[id]
	if !below {
		place = id
	}
	t.all++
	t.counts[place]++
	t.worst = max(t.worst, t.counts[place])
}

// Worst is the most attempts of any one call of a graph, and how many attempts
// there were of all.
func (f *Fleet) MaxCallAttempts() (most, all int) {
	f.trees.mu.Lock()
	defer f.trees.mu.Unlock()
	return f.trees.worst, f.trees.all
}
