package routes

import (
	"cmp"
	"slices"
	"strings"

	"curlewring/decide"
	"curlewring/internal/conns/idleconns"
)

// Table is what a checked file says: the module's bounds, and which requests
// they are for. The zero table has no routes.
type Table struct {
	policies  []decide.RoutePolicy
	classes [][]matcher      // by class; the most specific first
	idle    *idleconns.Rules // nil: the file says nothing of idle connections
}

// matcher finds the requests of one route.
type matcher struct {
	path   string // a prefix by whole segments; "": any
	tenant int    // -1: any
	row    int    // as decide.Request.Route
}

// Bounds are the rows of the table, for decide.Balancer.Routes.
func (t *Table) Bounds() []decide.RoutePolicy { return t.policies }

// Idle says how long connections may wait for their next request; nil: the file says
// nothing of that.
func (t *Table) Idle() *idleconns.Rules {
	if t == nil {
		return nil
	}
	return t.idle
}

// Match returns the row for a request, as decide.Request.Route wants it: 0 is
// none. The path is the decoded one.
func (t *Table) Match(class int, path string, tenant int) int {
	if t == nil || class < 0 || class >= len(t.classes) {
		return 0
	}
	for i := range t.classes[class] {
		m := &t.classes[class][i]
		if (m.tenant < 0 || m.tenant == tenant) && hasPathPrefix(path, m.path) {
			return m.row
		}
	}
	return 0
}

// within tells whether a path lies under a prefix, by whole segments.
func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) &&
		(len(path) == len(prefix) || prefix == "" || path[len(prefix)] == '/')
}

// sortRoutes puts the most specific matchers first: the longer path, then the
// one with a tenant.
func sortMatchers(all []matcher) {
	slices.SortStableFunc(all, func(x, y matcher) int {
		return cmp.Or(cmp.Compare(len(y.path), len(x.path)), cmp.Compare(min(y.tenant, 0), min(x.tenant, 0)),
			cmp.Compare(x.tenant, y.tenant), cmp.Compare(x.path, y.path))
	})
}
