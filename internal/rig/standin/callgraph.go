package standin

import (
	"strconv"
	"sync"
)

// callGraph counts the attempts of each call in a call graph, no matter which attempts of the upper tiers
// made them. The same call of the same entry request counts as one call, although each attempt of an upper
// tier makes it under a new ID.
type callGraph struct {
	mu             sync.Mutex
	paths          map[string]string // by a call's ID
	attemptsByPath map[string]int    // attempts by path
	maxAttempts    int
	attempts       int
}

func newCallGraph() *callGraph {
	return &callGraph{paths: map[string]string{}, attemptsByPath: map[string]int{}}
}

// recordCall records under its ID the i-th call that a server makes for a request.
func (g *callGraph) recordCall(id, parent string, i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	path, known := g.paths[parent]
	if !known {
		path = parent // a request to the first tier: its ID is the root of the path
	}
	g.paths[id] = path + "." + strconv.Itoa(i)
}

// recordAttempt records the arrival of an attempt at a server.
func (g *callGraph) recordAttempt(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	path, known := g.paths[id]
	if !known {
		path = id
	}
	g.attempts++
	g.attemptsByPath[path]++
	g.maxAttempts = max(g.maxAttempts, g.attemptsByPath[path])
}

// MaxCallAttempts returns the highest number of attempts of any single call of a graph, and the number of all
// attempts.
func (f *Fleet) MaxCallAttempts() (maxAttempts, attempts int) {
	f.callGraph.mu.Lock()
	defer f.callGraph.mu.Unlock()
	return f.callGraph.maxAttempts, f.callGraph.attempts
}
