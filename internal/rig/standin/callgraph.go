package standin

import (
	"strconv"
	"sync"
)

// trees counts how often each call of a graph is attempted, whatever attempts of
// the tiers above made it: the same call of the same entry request is one, though
// each attempt above makes it under an id of its own.
type callGraph struct {
	mu             sync.Mutex
	paths          map[string]string // by a call's id
	attemptsByPath map[string]int    // attempts by place
	maxAttempts    int
	attempts       int
}

func newCallGraph() *callGraph {
	return &callGraph{paths: map[string]string{}, attemptsByPath: map[string]int{}}
}

// call notes that a box makes its i-th call for a request, under an id.
func (t *callGraph) recordCall(id, above string, i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	place, below := t.paths[above]
	if !below {
		place = above // of the first tier: its id is the entry's
	}
	t.paths[id] = place + "." + strconv.Itoa(i)
}

// arrived notes an attempt of a call at a box of a lower tier.
func (t *callGraph) recordAttempt(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	place, below := t.paths[id]
	if !below {
		place = id
	}
	t.attempts++
	t.attemptsByPath[place]++
	t.maxAttempts = max(t.maxAttempts, t.attemptsByPath[place])
}

// Worst is the most attempts of any one call of a graph, and how many attempts
// there were of all.
func (f *Fleet) MaxCallAttempts() (most, all int) {
	f.callGraph.mu.Lock()
	defer f.callGraph.mu.Unlock()
	return f.callGraph.maxAttempts, f.callGraph.attempts
}
