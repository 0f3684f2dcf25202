package apps

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Row is one value that holds for a request, and where it comes from.
type Row struct {
	Key, Value string
	From       string // file:line, or "default"
}

// Step is one sidecar of a chain, at its worst.
type Step struct {
	Sidecar, Class, Route string
	Attempts              int           // at this sidecar
	CumulativeAttempts    int           // along the chain up to here
	MaxAttemptTime        time.Duration // the longest that one may last
	MaxTotalTime          time.Duration // all attempts and waits
	MinTimeLeft           time.Duration // the least that a request may come with; the whole time at the first
	SecondCopies          bool
}

// Explanation is what becomes of a request.
type Explanation struct {
	Sidecar, Class, Path string
	Route                string // file:line; "": none
	Rows                 []Row
	Chain                []Step
	Findings             Findings // of the sidecar's file
}

// Explain says what becomes of a request of a class with a path at a sidecar.
// The set must hold no error.
func (s *Set) Explain(name, class, at string) (*Explanation, error) {
	i := slices.IndexFunc(s.Apps, func(a *App) bool { return a.Name.V == name })
	if i < 0 {
		return nil, fmt.Errorf("sidecar %q: there is no such sidecar", name)
	}
	a := s.Apps[i]
	if !contains(a.Classes.V, class) {
		return nil, fmt.Errorf("class %q at %q, which has %s: it does not use that", class, name, strings.Join(a.Classes.V, ", "))
	}
	at = firstNonEmpty(at, "/"+class)
	e := &Explanation{Sidecar: name, Class: class, Path: at}
	c, p := s.Platform.class(class), s.Platform
	add := func(key, value, from string) { e.Rows = append(e.Rows, Row{key, value, from}) }
	from := func(file string, line int) string {
		if line == 0 {
			return "default"
		}
		return fmt.Sprintf("%s:%d", file, line)
	}
	add("aim", c.Aim.V.String(), from(c.Aim.File, c.Aim.Line))
	add("deadline", c.Deadline.V.String(), from(c.Deadline.File, c.Deadline.Line))
	add("worth", formatFloat(c.Worth.V), from(c.Worth.File, c.Worth.Line))
	add("effect", c.Effect.V, from(c.Effect.File, c.Effect.Line))
	if c.Window.IsSet() {
		add("window", c.Window.V.String()+" of "+c.Group.V, from(c.Window.File, c.Window.Line))
	}
	// From the most specific route out: a key comes from the first that has it.
	var lines []int
	for _, r := range a.routeTables() {
		if r.Class.V == class && pathMatches(at, r.Path.V) {
			lines = append(lines, r.Line)
		}
	}
	slices.SortStableFunc(lines, func(x, y int) int { return len(a.routeAt(y).Path.V) - len(a.routeAt(x).Path.V) })
	if len(lines) > 0 {
		e.Route = from(a.File, lines[0])
	}
	value := func(key string, line func(n int) int, show func(n int) string, otherwise, where string) {
		for _, n := range lines {
			if l := line(n); l > 0 {
				add(key, show(n), from(a.File, l))
				return
			}
		}
		add(key, otherwise, where)
	}
	tries := p.Limits.MaxAttempts
	value("attempts", func(n int) int { return a.routeAt(n).Attempts.Line }, func(n int) string { return fmt.Sprint(a.routeAt(n).Attempts.V) },
		fmt.Sprint(tries.V), from(tries.File, tries.Line))
	value("attempt_timeout", func(n int) int { return a.routeAt(n).AttemptTimeout.Line },
		func(n int) string { return a.routeAt(n).AttemptTimeout.V.String() }, "what the request has", "default")
	value("backoff.first", func(n int) int { return a.routeAt(n).BackoffFirst.Line },
		func(n int) string { return a.routeAt(n).BackoffFirst.V.String() }, "the module's", "default")
	value("backoff.most", func(n int) int { return a.routeAt(n).BackoffMax.Line },
		func(n int) string { return a.routeAt(n).BackoffMax.V.String() }, "none", "default")
	value("backoff.jitter", func(n int) int { return a.routeAt(n).BackoffJitter.Line },
		func(n int) string { return formatFloat(a.routeAt(n).BackoffJitter.V) }, "0", "default")
	value("retry_on", func(n int) int { return a.routeAt(n).RetryOn.Line },
		func(n int) string { return strings.Join(a.routeAt(n).RetryOn.V, ", ") }, "all outcomes", "default")
	value("second_copy_after", func(n int) int { return a.routeAt(n).SecondCopyAfter.Line },
		func(n int) string { return a.routeAt(n).SecondCopyAfter.V.String() }, "no second copy", "default")
	value("deadline_cap", func(n int) int { return a.routeAt(n).DeadlineCap.Line },
		func(n int) string { return a.routeAt(n).DeadlineCap.V.String() }, "none", "default")
	advice := p.Limits.MaxRetryAfter
	value("retry_after", func(n int) int { return a.routeAt(n).RetryAfter.Line },
		func(n int) string { return a.routeAt(n).RetryAfter.V.String() }, advice.V.String(), from(advice.File, advice.Line))
	add("service", a.Service.V, from(a.Service.File, a.Service.Line))
	add("discovery", a.Discovery.V, from(a.Discovery.File, a.Discovery.Line))
	add("share", formatFloat(a.BudgetShare.V), from(a.BudgetShare.File, a.BudgetShare.Line))
	add("memory_mb", fmt.Sprint(a.MemoryMB.V), from(a.MemoryMB.File, a.MemoryMB.Line))
	add("descriptors", fmt.Sprint(a.Descriptors.V), from(a.Descriptors.File, a.Descriptors.Line))
	e.addChain(s, s.hops[name+"\x00"+class], at)
	return e, nil
}

func pathMatches(at, prefix string) bool {
	return prefix == "" || strings.HasPrefix(at, prefix) && (len(at) == len(prefix) || at[len(prefix)] == '/')
}

// chain adds the steps from a sidecar inwards, each time by the inner one with
// the most attempts.
func (e *Explanation) addChain(s *Set, c *hop, at string) {
	product, left := 1, time.Duration(0)
	for c != nil {
		o := c.policies[0]
		for _, x := range c.policies {
			if x.path != "" && pathMatches(at, x.path) && len(x.path) > len(o.path) {
				o = x
			}
		}
		if product == 1 && len(e.Chain) == 0 {
			left = o.deadline
		}
		product *= o.attempts
		attempt := min(o.maxAttemptTime(), left)
		step := Step{Sidecar: c.app.Name.V, Class: c.class, Attempts: o.attempts, CumulativeAttempts: product, MaxAttemptTime: attempt, MinTimeLeft: left,
			MaxTotalTime: min(left, time.Duration(o.attempts)*attempt+o.maxBackoff)}
		if o.line > 0 {
			step.Route = fmt.Sprintf("%s:%d", c.app.File, o.line)
			step.SecondCopies = c.app.routeAt(o.line).SecondCopyAfter.IsSet()
		}
		e.Chain = append(e.Chain, step)
		next := c.nextHop()
		if next != nil {
			left = max(0, attempt-next.app.WorkTime.V)
			if next.class != c.class {
				at = "/" + next.class
			}
		}
		c = next
	}
}
