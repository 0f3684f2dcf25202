package apps

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Row is one value that applies to a request, and where it is set.
type Row struct {
	Key, Value string
	From       string // file:line, or "default"
}

// Step is the worst case at one sidecar of a call chain.
type Step struct {
	Sidecar, Class, Route string
	Attempts              int           // of this sidecar
	CumulativeAttempts    int           // product along the chain up to this sidecar
	MaxAttemptTime        time.Duration // of one attempt
	MaxTotalTime          time.Duration // of all attempts and backoffs
	MinTimeLeft           time.Duration // of an arriving request; the whole deadline at the first sidecar
	SecondCopies          bool
}

// Explanation describes how a request is handled.
type Explanation struct {
	Sidecar, Class, Path string
	Route                string // file:line; "": none
	Rows                 []Row
	Chain                []Step
	Findings             Findings // of the sidecar's file
}

// Explain describes how a sidecar handles a request of a class with a path. The
// set must be without errors.
func (s *Set) Explain(name, class, path string) (*Explanation, error) {
	i := slices.IndexFunc(s.Apps, func(a *App) bool { return a.Name.V == name })
	if i < 0 {
		return nil, fmt.Errorf("sidecar %q does not exist", name)
	}
	a := s.Apps[i]
	if !contains(a.Classes.V, class) {
		return nil, fmt.Errorf("class %q is not used by sidecar %q; its classes are %s", class, name, strings.Join(a.Classes.V, ", "))
	}
	path = firstNonEmpty(path, "/"+class)
	explanation := &Explanation{Sidecar: name, Class: class, Path: path}
	c, p := s.Platform.class(class), s.Platform
	addRow := func(key, value, from string) {
		explanation.Rows = append(explanation.Rows, Row{key, value, from})
	}
	from := func(file string, line int) string {
		if line == 0 {
			return "default"
		}
		return fmt.Sprintf("%s:%d", file, line)
	}
	addRow("aim", c.LatencyTarget.V.String(), from(c.LatencyTarget.File, c.LatencyTarget.Line))
	addRow("deadline", c.Deadline.V.String(), from(c.Deadline.File, c.Deadline.Line))
	addRow("worth", formatFloat(c.Worth.V), from(c.Worth.File, c.Worth.Line))
	addRow("effect", c.Idempotency.V, from(c.Idempotency.File, c.Idempotency.Line))
	if c.KeyTTL.IsSet() {
		addRow("window", c.KeyTTL.V.String()+" of "+c.Group.V, from(c.KeyTTL.File, c.KeyTTL.Line))
	}
	// The matching routes from the most specific one on: a key is taken from the first
	// route that sets it.
	var routeLines []int
	for _, r := range a.routeTables() {
		if r.Class.V == class && pathMatches(path, r.Path.V) {
			routeLines = append(routeLines, r.Line)
		}
	}
	slices.SortStableFunc(routeLines, func(x, y int) int { return len(a.routeAt(y).Path.V) - len(a.routeAt(x).Path.V) })
	if len(routeLines) > 0 {
		explanation.Route = from(a.File, routeLines[0])
	}
	addRouteValue := func(key string, lineOf func(n int) int, format func(n int) string, defaultValue, defaultFrom string) {
		for _, n := range routeLines {
			if l := lineOf(n); l > 0 {
				addRow(key, format(n), from(a.File, l))
				return
			}
		}
		addRow(key, defaultValue, defaultFrom)
	}
	maxAttempts := p.Limits.MaxAttempts
	addRouteValue("attempts", func(n int) int { return a.routeAt(n).Attempts.Line }, func(n int) string { return fmt.Sprint(a.routeAt(n).Attempts.V) },
		fmt.Sprint(maxAttempts.V), from(maxAttempts.File, maxAttempts.Line))
	addRouteValue("attempt_timeout", func(n int) int { return a.routeAt(n).AttemptTimeout.Line },
		func(n int) string { return a.routeAt(n).AttemptTimeout.V.String() }, "what the request has", "default")
	addRouteValue("backoff.first", func(n int) int { return a.routeAt(n).BackoffFirst.Line },
		func(n int) string { return a.routeAt(n).BackoffFirst.V.String() }, "the module's", "default")
	addRouteValue("backoff.most", func(n int) int { return a.routeAt(n).BackoffMax.Line },
		func(n int) string { return a.routeAt(n).BackoffMax.V.String() }, "none", "default")
	addRouteValue("backoff.jitter", func(n int) int { return a.routeAt(n).BackoffJitter.Line },
		func(n int) string { return formatFloat(a.routeAt(n).BackoffJitter.V) }, "0", "default")
	addRouteValue("retry_on", func(n int) int { return a.routeAt(n).RetryOn.Line },
		func(n int) string { return strings.Join(a.routeAt(n).RetryOn.V, ", ") }, "all outcomes", "default")
	addRouteValue("second_copy_after", func(n int) int { return a.routeAt(n).SecondCopyAfter.Line },
		func(n int) string { return a.routeAt(n).SecondCopyAfter.V.String() }, "no second copy", "default")
	addRouteValue("deadline_cap", func(n int) int { return a.routeAt(n).DeadlineCap.Line },
		func(n int) string { return a.routeAt(n).DeadlineCap.V.String() }, "none", "default")
	maxRetryAfter := p.Limits.MaxRetryAfter
	addRouteValue("retry_after", func(n int) int { return a.routeAt(n).RetryAfter.Line },
		func(n int) string { return a.routeAt(n).RetryAfter.V.String() }, maxRetryAfter.V.String(), from(maxRetryAfter.File, maxRetryAfter.Line))
	addRow("service", a.Service.V, from(a.Service.File, a.Service.Line))
	addRow("discovery", a.Discovery.V, from(a.Discovery.File, a.Discovery.Line))
	addRow("share", formatFloat(a.BudgetShare.V), from(a.BudgetShare.File, a.BudgetShare.Line))
	addRow("memory_mb", fmt.Sprint(a.MemoryMB.V), from(a.MemoryMB.File, a.MemoryMB.Line))
	addRow("descriptors", fmt.Sprint(a.Descriptors.V), from(a.Descriptors.File, a.Descriptors.Line))
	explanation.addChain(s, s.hops[name+"\x00"+class], path)
	return explanation, nil
}

// pathMatches reports whether a path is equal to a prefix or below it. An empty
// prefix matches all paths.
func pathMatches(path, prefix string) bool {
	return prefix == "" || strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// addChain adds the steps from a hop on, and follows at each the next hop with the
// most attempts.
func (e *Explanation) addChain(s *Set, current *hop, path string) {
	cumulativeAttempts, timeLeft := 1, time.Duration(0)
	for current != nil {
		chosen := current.policies[0]
		for _, policy := range current.policies {
			if policy.path != "" && pathMatches(path, policy.path) && len(policy.path) > len(chosen.path) {
				chosen = policy
			}
		}
		if cumulativeAttempts == 1 && len(e.Chain) == 0 {
			timeLeft = chosen.deadline
		}
		cumulativeAttempts *= chosen.attempts
		attemptTime := min(chosen.maxAttemptTime(), timeLeft)
		step := Step{Sidecar: current.app.Name.V, Class: current.class, Attempts: chosen.attempts, CumulativeAttempts: cumulativeAttempts, MaxAttemptTime: attemptTime, MinTimeLeft: timeLeft,
			MaxTotalTime: min(timeLeft, time.Duration(chosen.attempts)*attemptTime+chosen.maxBackoff)}
		if chosen.line > 0 {
			step.Route = fmt.Sprintf("%s:%d", current.app.File, chosen.line)
			step.SecondCopies = current.app.routeAt(chosen.line).SecondCopyAfter.IsSet()
		}
		e.Chain = append(e.Chain, step)
		next := current.nextHop()
		if next != nil {
			timeLeft = max(0, attemptTime-next.app.WorkTime.V)
			if next.class != current.class {
				path = "/" + next.class
			}
		}
		current = next
	}
}
