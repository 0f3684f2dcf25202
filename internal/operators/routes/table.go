package routes

import (
	"cmp"
	"slices"
	"strings"

	"curlewring/decide"
	"curlewring/internal/conns/idleconns"
)

// Table is a compiled file: the route policies for package decide, and the requests that
// they apply to. The zero Table has no routes.
type Table struct {
	policies []decide.RoutePolicy
	classes  [][]matcher      // by class, most specific first
	idle     *idleconns.Rules // nil: the file has no rules for idle connections
}

// matcher matches the requests of one route.
type matcher struct {
	path   string // prefix of whole path segments; "": any path
	tenant int    // -1: any tenant
	row    int    // value for decide.Request.Route
}

// Policies returns the route policies for decide.Balancer.SetRoutePolicies.
func (t *Table) Policies() []decide.RoutePolicy { return t.policies }

// Idle returns the rules for how long connections may wait for their next request, or nil if
// the file has none.
func (t *Table) Idle() *idleconns.Rules {
	if t == nil {
		return nil
	}
	return t.idle
}

// Match returns the value of decide.Request.Route for a request: 0 means no route. path is
// the decoded path.
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

// hasPathPrefix reports whether a path starts with a prefix of whole segments.
func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) &&
		(len(path) == len(prefix) || prefix == "" || path[len(prefix)] == '/')
}

// sortMatchers sorts the most specific matchers first: longer paths first, then those with a
// tenant.
func sortMatchers(all []matcher) {
	slices.SortStableFunc(all, func(x, y matcher) int {
		return cmp.Or(cmp.Compare(len(y.path), len(x.path)), cmp.Compare(min(y.tenant, 0), min(x.tenant, 0)),
			cmp.Compare(x.tenant, y.tenant), cmp.Compare(x.path, y.path))
	})
}
