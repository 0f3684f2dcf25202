package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewring/decide"
)

// Env is the environment that a file is checked against: the platform's settings, and the
// names of their classes and tenants in order.
type Env struct {
	Classes  []string
	Tenants  []string
	Settings decide.Settings
}

// usableWindowPart is the part of a key's lifetime in which package decide sends repeats.
const usableWindowPart = 0.9

// retryOutcomes maps the values of retry_on to results.
func retryOutcomes() map[string]decide.Result {
	return map[string]decide.Result{
		"error": decide.Errored, "turned-away": decide.Rejected, "timeout": decide.TimedOut,
		"unconnected": decide.ConnectFailed, "reset": decide.ConnectionLost, "spoilt": decide.Malformed,
	}
}

// safeOutcomes are the outcomes after which a request certainly has not run.
const safeOutcomes = "turned-away, unconnected"

// Check checks a file against the settings and rules and compiles it. It reports all errors;
// if there are any, the table is nil.
func Check(f *File, env Env) (*Table, []Finding) {
	return checkExcept(f, env, nil)
}

// checkExcept is Check without the codes in skip. Tests use it to show that each check is
// needed.
func checkExcept(f *File, env Env, skip map[Code]bool) (*Table, []Finding) {
	c := &checker{env: env, skip: skip, table: &Table{classes: make([][]matcher, len(env.Classes))}}
	for i := range f.Routes {
		c.resolveRoute(&f.Routes[i])
	}
	for i := range c.routes {
		c.checkRoute(&c.routes[i])
	}
	for _, matchers := range c.table.classes {
		sortMatchers(matchers)
	}
	c.table.idle = c.checkIdleRules(f.Idles)
	SortFindings(c.findings)
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	return c.table, nil
}

// Load parses and checks a file.
func Load(text []byte, env Env) (*Table, []Finding) {
	f, findings := Parse(text)
	table, more := Check(f, env)
	findings = append(findings, more...)
	SortFindings(findings)
	if len(findings) > 0 {
		return nil, findings
	}
	return table, nil
}

// resolvedRoute is a route whose class and tenant are known.
type resolvedRoute struct {
	*Route
	class, tenant int // indices; tenant -1: any
}

// contains reports whether this route matches all requests of another.
func (p *resolvedRoute) contains(other *resolvedRoute) bool {
	return p.class == other.class && (p.tenant < 0 || p.tenant == other.tenant) && hasPathPrefix(other.Path.V, p.Path.V)
}

// checker checks the routes of a file and collects the findings.
type checker struct {
	env      Env
	skip     map[Code]bool
	table    *Table
	routes   []resolvedRoute
	findings []Finding
}

// report records a finding unless its code is skipped.
func (c *checker) report(code Code, line int, key, value, bound, text string) {
	if !c.skip[code] {
		c.findings = append(c.findings, Finding{code, line, key, value, bound, text})
	}
}

// resolveRoute determines which requests a route matches.
func (c *checker) resolveRoute(r *Route) {
	resolved := resolvedRoute{Route: r, tenant: -1}
	ok := true
	switch {
	case r.Class.Line == 0 && r.Incomplete:
		return
	case r.Class.Line == 0:
		c.report(NoClass, r.Line, "class", "", strings.Join(c.env.Classes, ", "), "the route has no class")
		return
	case r.Class.Invalid:
		return
	}
	if resolved.class = slices.Index(c.env.Classes, r.Class.V); resolved.class < 0 {
		c.report(UnknownClass, r.Class.Line, "class", strconv.Quote(r.Class.V), strings.Join(c.env.Classes, ", "),
			"the platform's settings name no such class")
		return
	}
	if r.Tenant.IsSet() {
		if resolved.tenant = slices.Index(c.env.Tenants, r.Tenant.V); resolved.tenant < 0 {
			c.report(UnknownTenant, r.Tenant.Line, "tenant", strconv.Quote(r.Tenant.V), strings.Join(c.env.Tenants, ", "),
				"the platform's settings name no such tenant")
			ok = false
		}
	}
	if r.Path.IsSet() {
		if problem := pathProblem(r.Path.V, r.Class.V); problem != "" {
			c.report(NeverMatches, r.Path.Line, "path", strconv.Quote(r.Path.V), "/"+r.Class.V+"/...", problem)
			ok = false
		}
	}
	if r.Path.Invalid || r.Tenant.Invalid || !ok {
		return
	}
	for i := range c.routes {
		if other := &c.routes[i]; other.class == resolved.class && other.tenant == resolved.tenant && other.Path.V == r.Path.V {
			c.report(DuplicateRoute, r.Line, "[[route]]", "", "",
				fmt.Sprintf("the route in line %d is for the same requests: this one can never match", other.Line))
			return
		}
	}
	if !r.setsAnything() && !r.Incomplete {
		c.report(SetsNothing, r.Line, "[[route]]", "", "", "the route sets no key")
	}
	c.routes = append(c.routes, resolved)
}

// setsAnything reports whether a route sets any key, valid or not.
func (r *Route) setsAnything() bool {
	return r.AttemptTimeout.Line+r.Attempts.Line+r.BackoffFirst.Line+r.BackoffMax.Line+r.BackoffJitter.Line+
		r.RetryOn.Line+r.SecondCopyAfter.Line+r.DeadlineCap.Line+r.RetryAfter.Line > 0
}

// pathProblem explains why no request of a class can have this path prefix, or returns "".
func pathProblem(path, class string) string {
	switch {
	case path == "":
		return "an empty path; leave the key out for all of the class"
	case !hasPathPrefix(path, "/"+class):
		return "the class is the first part of every path, so this one never matches"
	case strings.HasSuffix(path, "/"):
		return "a path ends without a slash: it is matched by whole segments"
	case strings.ContainsAny(path, "?#"):
		return "routes go by the path alone, without query or fragment"
	case strings.ContainsFunc(path, func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }):
		return "the path holds characters that no path can have"
	}
	return ""
}

// inherit fills the unset keys of a route from the routes that contain it, the most specific
// first.
func (c *checker) inherit(p *resolvedRoute) Route {
	r := *p.Route
	var containing []*resolvedRoute
	for i := range c.routes {
		if other := &c.routes[i]; other != p && other.contains(p) {
			containing = append(containing, other)
		}
	}
	slices.SortStableFunc(containing, func(x, y *resolvedRoute) int {
		if d := len(y.Path.V) - len(x.Path.V); d != 0 {
			return d
		}
		return min(y.tenant, 0) - min(x.tenant, 0)
	})
	for _, other := range containing {
		inheritValue(&r.AttemptTimeout, other.AttemptTimeout)
		inheritValue(&r.Attempts, other.Attempts)
		inheritValue(&r.BackoffFirst, other.BackoffFirst)
		inheritValue(&r.BackoffMax, other.BackoffMax)
		inheritValue(&r.BackoffJitter, other.BackoffJitter)
		inheritValue(&r.RetryOn, other.RetryOn)
		inheritValue(&r.SecondCopyAfter, other.SecondCopyAfter)
		inheritValue(&r.DeadlineCap, other.DeadlineCap)
		inheritValue(&r.RetryAfter, other.RetryAfter)
	}
	return r
}

// inheritValue sets a value that is not in the file to an inherited one.
func inheritValue[T any](v *Value[T], from Value[T]) {
	if v.Line == 0 {
		*v = from
	}
}

// checkRoute checks the effective values of a route and adds its policy to the table.
func (c *checker) checkRoute(p *resolvedRoute) {
	r := c.inherit(p)
	settings, class, name := &c.env.Settings, &c.env.Settings.Classes[p.class], c.env.Classes[p.class]
	policy := decide.RoutePolicy{
		AttemptTimeout: r.AttemptTimeout.V, MaxAttempts: r.Attempts.V, BackoffInitial: r.BackoffFirst.V,
		BackoffMax: r.BackoffMax.V, BackoffJitter: r.BackoffJitter.V, HedgeAfter: r.SecondCopyAfter.V,
		DeadlineCap: r.DeadlineCap.V, MaxRetryAfter: r.RetryAfter.V,
	}
	attempts := max(1, settings.MaxAttempts)
	if r.Attempts.IsSet() {
		if r.Attempts.V > attempts {
			c.report(TooManyAttempts, r.Attempts.Line, "attempts", strconv.Itoa(r.Attempts.V),
				fmt.Sprintf("1 to %d", attempts), "more attempts than the platform allows")
		}
		attempts = r.Attempts.V
	}
	limit := class.Deadline
	if r.DeadlineCap.IsSet() {
		if policy.DeadlineCap > class.Deadline {
			c.report(DeadlineTooLong, r.DeadlineCap.Line, "deadline_cap", quoteDuration(policy.DeadlineCap),
				"up to "+class.Deadline.String(), "above the deadline of class "+name)
		}
		limit = min(limit, policy.DeadlineCap)
	}
	if r.AttemptTimeout.IsSet() && policy.AttemptTimeout > limit {
		c.report(AttemptTooLong, r.AttemptTimeout.Line, "attempt_timeout", quoteDuration(policy.AttemptTimeout),
			"up to "+limit.String(), "an attempt may last longer than a request of class "+name)
	}
	c.checkBackoff(&r, attempts)
	c.checkRetryOn(&r, &policy, class, name, attempts)
	c.checkSecondCopy(&r, class, name, attempts, limit)
	c.checkTotalTime(&r, &policy, class, name, attempts, limit)
	c.checkRetryAfter(&r, settings)
	p.addPolicy(c.table, policy)
}

// addPolicy adds the policy and the matcher of a route to the table.
func (p *resolvedRoute) addPolicy(t *Table, policy decide.RoutePolicy) {
	t.policies = append(t.policies, policy)
	t.classes[p.class] = append(t.classes[p.class], matcher{p.Path.V, p.tenant, len(t.policies)})
}

// quoteDuration returns a duration as a quoted string.
func quoteDuration(d time.Duration) string { return strconv.Quote(d.String()) }

// checkBackoff checks that the back-off keys agree with each other and with the attempts.
func (c *checker) checkBackoff(r *Route, attempts int) {
	if r.BackoffFirst.IsSet() && r.BackoffMax.IsSet() && r.BackoffFirst.V > r.BackoffMax.V {
		c.report(BackoffOrder, r.BackoffFirst.Line, "backoff.first", quoteDuration(r.BackoffFirst.V),
			"up to backoff.most, "+r.BackoffMax.V.String(), "the first wait is above the most")
	}
	if r.BackoffFirst.Line == 0 && (r.BackoffMax.Line > 0 || r.BackoffJitter.Line > 0) {
		c.report(NoEffect, max(r.BackoffMax.Line, r.BackoffJitter.Line), "backoff", "", "",
			"without backoff.first there is no wait")
	}
	if r.Attempts.IsSet() && attempts == 1 {
		if r.BackoffFirst.Line > 0 {
			c.report(NoEffect, r.BackoffFirst.Line, "backoff", "", "", "with one attempt there is nothing to wait for")
		}
		if r.RetryOn.IsSet() && len(r.RetryOn.V) > 0 {
			c.report(NoEffect, r.RetryOn.Line, "retry_on", "", "", "with one attempt nothing is tried again")
		}
	}
}

// checkRetryOn checks the outcomes that may be retried.
func (c *checker) checkRetryOn(r *Route, policy *decide.RoutePolicy, class *decide.Class, name string, attempts int) {
	if !r.RetryOn.IsSet() {
		return
	}
	results := retryOutcomes()
	// A request that was never sent has not failed, for example because the server began to
	// drain.
	policy.RetryOn = decide.NotSent.Bit()
	for _, word := range r.RetryOn.V {
		result, ok := results[word]
		switch {
		case !ok:
			c.report(UnknownOutcome, r.RetryOn.Line, "retry_on", strconv.Quote(word),
				"error, reset, spoilt, timeout, turned-away, unconnected", "there is no such outcome")
		case policy.RetryOn&result.Bit() != 0:
			c.report(DuplicateOutcome, r.RetryOn.Line, "retry_on", strconv.Quote(word), "", "the outcome stands there twice")
		case class.Idempotency == decide.AtMostOnce && result != decide.Rejected && result != decide.ConnectFailed:
			c.report(RetryUnsafe, r.RetryOn.Line, "retry_on", strconv.Quote(word), safeOutcomes,
				"class "+name+" is unsafe to repeat, and this may have run")
		}
		if ok {
			policy.RetryOn |= result.Bit()
		}
	}
	if attempts > 1 && r.AttemptTimeout.Line == 0 && policy.RetryOn&decide.TimedOut.Bit() != 0 {
		c.report(NoEffect, r.RetryOn.Line, "retry_on", `"timeout"`, "with attempt_timeout",
			"without attempt_timeout an attempt times out only when its request does")
	}
	if len(r.RetryOn.V) == 0 && attempts > 1 {
		c.report(RetryOnNothing, r.RetryOn.Line, "retry_on", "[]", "attempts = 1",
			"nothing would be tried again, with more than one attempt")
	}
}

// checkSecondCopy checks that a second copy is allowed, safe and sent in time.
func (c *checker) checkSecondCopy(r *Route, class *decide.Class, name string, attempts int, limit time.Duration) {
	if !r.SecondCopyAfter.IsSet() {
		return
	}
	const key = "second_copy_after"
	line, value := r.SecondCopyAfter.Line, quoteDuration(r.SecondCopyAfter.V)
	if !c.env.Settings.MayHedge {
		c.report(CopiesRuledOut, line, key, value, "no such key", "the platform rules out a second attempt beside the first")
	}
	switch class.Idempotency {
	case decide.Keyed:
		c.report(CopyOfKeyed, line, key, value, "no such key", "class "+name+" is keyed")
	case decide.AtMostOnce:
		c.report(CopyOfUnsafe, line, key, value, "no such key", "class "+name+" is unsafe to repeat")
	}
	if r.AttemptTimeout.IsSet() {
		limit = min(limit, r.AttemptTimeout.V)
	}
	if r.SecondCopyAfter.V >= limit {
		c.report(CopyTooLate, line, key, value, "under "+limit.String(), "the first attempt has ended by then")
	}
	if attempts < 2 {
		c.report(CopyNoAttempt, line, key, value, "attempts = 2 at the least", "a copy is an attempt")
	}
}

// minAttemptTime is the assumed duration of an attempt without its own timeout.
const minAttemptTime = time.Millisecond

// MaxTotalBackoff returns the longest possible sum of the back-offs between a number of
// attempts under a policy.
func MaxTotalBackoff(policy decide.RoutePolicy, attempts int) time.Duration {
	sum := time.Duration(0)
	for i, wait := 1, policy.BackoffInitial; i < attempts; i, wait = i+1, min(2*wait, 2*maxDuration) {
		if policy.BackoffMax > 0 {
			wait = min(wait, policy.BackoffMax)
		}
		sum += wait
	}
	return sum
}

// checkTotalTime checks the attempts and back-offs against the deadline of the request and the
// lifetime of its key.
func (c *checker) checkTotalTime(r *Route, policy *decide.RoutePolicy, class *decide.Class, name string, attempts int, limit time.Duration) {
	// Invalid values have been reported already. Findings derived from them would add nothing.
	if r.AttemptTimeout.Invalid || r.Attempts.Invalid || r.BackoffFirst.Invalid || r.BackoffMax.Invalid || r.DeadlineCap.Invalid ||
		attempts > max(1, c.env.Settings.MaxAttempts) {
		return
	}
	bounded := r.AttemptTimeout.IsSet() || r.BackoffFirst.IsSet() || r.Attempts.IsSet()
	if !bounded || attempts < 2 {
		return
	}
	key, line, value := "attempts", r.Attempts.Line, strconv.Itoa(attempts)
	if line == 0 {
		value += " (the platform's)"
		if key, line = "attempt_timeout", r.AttemptTimeout.Line; line == 0 {
			key, line = "backoff", r.BackoffFirst.Line
		}
	}
	backoff := MaxTotalBackoff(*policy, attempts)
	// An attempt without its own timeout takes some time too.
	total := time.Duration(attempts)*cmp.Or(policy.AttemptTimeout, minAttemptTime) + backoff
	if policy.AttemptTimeout <= limit && total > limit && limit > 0 {
		c.report(NotEnoughTime, line, key, value, "in all at most "+limit.String(),
			fmt.Sprintf("%d attempts of %s with %s of back-off take %s, and a request of class %s has less",
				attempts, timeoutText(policy.AttemptTimeout), backoff, total, name))
		return
	}
	if class.Idempotency != decide.Keyed {
		return
	}
	// Time from the first attempt that may have run to the start of the last one. An attempt
	// without its own timeout may last almost until the deadline.
	lastSend := limit
	if policy.AttemptTimeout > 0 {
		lastSend = min(limit, time.Duration(attempts-1)*policy.AttemptTimeout+backoff)
	}
	window := time.Duration(usableWindowPart * float64(class.KeyTTL))
	if lastSend > window {
		c.report(PastWindow, line, key, value, "the last send at most "+window.String()+" after the first",
			fmt.Sprintf("the last of %d attempts may go out %s after the first, and %s drop repeats of class %s for %s",
				attempts, lastSend, groupText(class.Group), name, class.KeyTTL))
	} else if class.Group == decide.GroupAll && r.RetryAfter.IsSet() && limit+r.RetryAfter.V > class.KeyTTL {
		c.report(ReturnPastWindow, r.RetryAfter.Line, "retry_after", quoteDuration(r.RetryAfter.V),
			"up to "+max(0, class.KeyTTL-limit).String(),
			fmt.Sprintf("a client refused after %s would return when the key of class %s, kept for %s, is dropped",
				limit, name, class.KeyTTL))
	}
}

// timeoutText describes an attempt timeout in a finding.
func timeoutText(d time.Duration) string {
	if d == 0 {
		return "any length"
	}
	return d.String()
}

// groupText describes the servers that share a key.
func groupText(g decide.Group) string {
	switch g {
	case decide.GroupZone:
		return "the servers of one zone"
	case decide.GroupCell:
		return "the servers of one rack"
	}
	return "all servers"
}

// checkRetryAfter checks the Retry-After sent with refusals.
func (c *checker) checkRetryAfter(r *Route, settings *decide.Settings) {
	if !r.RetryAfter.IsSet() {
		return
	}
	line, value := r.RetryAfter.Line, quoteDuration(r.RetryAfter.V)
	if !settings.MayAdviseRetry {
		c.report(NoAdvice, line, "retry_after", value, "no such key", "refusals carry no advice on this platform")
	} else if r.RetryAfter.V > settings.MaxRetryAfter {
		c.report(LongAdvice, line, "retry_after", value, "up to "+settings.MaxRetryAfter.String(), "beyond the longest Retry-After")
	}
}
