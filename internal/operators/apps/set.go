package apps

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"curlewring/internal/operators/routes"
)

// Set is a platform with its applications. Zero findings of level error mean
// that all may be written and started together.
type Set struct {
	Platform *Platform
	Apps     []*App // by name

	appsByService map[string][]*App // by service
	hops          map[string]*hop   // by App.Name and class
}

// NewSet puts descriptions together, and finds what is wrong between them. The
// time is linear in their number.
func NewSet(p *Platform, all []*App, findings *Findings) *Set {
	s := &Set{Platform: p, appsByService: map[string][]*App{}, hops: map[string]*hop{}}
	names := map[string]*App{}
	for _, a := range sortedApps(all) {
		if before := names[a.Name.V]; before != nil && a.Name.IsSet() {
			findings.add(DuplicateName, a.File, a.Name.Line, "name", quote(a.Name.V), "", fmt.Sprintf("%s has this name already", before.File))
			continue
		}
		names[a.Name.V] = a
		s.Apps = append(s.Apps, a)
		if a.ServedService.IsSet() {
			s.appsByService[a.ServedService.V] = append(s.appsByService[a.ServedService.V], a)
		}
	}
	s.checkListeners(findings)
	s.checkHostCapacity(findings)
	s.checkBudgetShares(findings)
	for _, a := range s.Apps {
		if a.Discovery.V == "" && p.service(a.Service.V) != nil && !a.Discovery.Invalid {
			findings.add(ServiceNotServed, a.File, a.Service.Line, "service", quote(a.Service.V), "", "neither the application, nor the service, nor the platform has a discovery")
		}
	}
	if !s.findCallLoops(findings) {
		s.checkChains(findings)
	}
	return s
}

// listener is who listens where on a host.
type listener struct {
	address       netip.AddrPort
	app           *App
	isApplication bool // the application itself
}

// ports finds two on a host that want one port or socket.
func (s *Set) checkListeners(findings *Findings) {
	type place struct {
		host string
		port uint16
	}
	type path struct{ host, path string }
	taken := map[place][]listener{}
	sockets := map[path]*App{}
	for _, a := range s.Apps { // what applications listen on comes first: it can't move
		for _, h := range a.Hosts.V {
			for _, o := range a.applicationAddresses {
				at := place{h, o.Port()}
				taken[at] = append(taken[at], listener{o, a, true})
			}
		}
	}
	for _, a := range s.Apps {
		told := map[*App]bool{} // once for two applications, whatever the hosts
		for _, h := range a.Hosts.V {
			if a.Socket.IsSet() {
				at := path{h, a.Socket.V}
				if other := sockets[at]; other == nil {
					sockets[at] = a
				} else if !told[other] {
					told[other] = true
					findings.add(DuplicateSocket, a.File, a.Socket.Line, "socket", quote(a.Socket.V), "",
						fmt.Sprintf("the sidecar %q (%s) has this socket on host %s", other.Name.V, other.File, h))
				}
			}
			if !a.listenAddress.IsValid() {
				continue
			}
			at := place{h, a.listenAddress.Port()}
			for _, l := range taken[at] {
				if !conflicts(l.address, a.listenAddress) || told[l.app] || l.isApplication && l.app == a {
					continue
				}
				told[l.app] = true
				if l.isApplication {
					findings.add(PortOfOtherApp, a.File, a.Port.Line, "port", fmt.Sprint(a.Port.V), "",
						fmt.Sprintf("the application %q (%s) listens on %s on host %s", l.app.Application.V, l.app.File, l.address, h))
				} else {
					findings.add(DuplicatePort, a.File, a.Port.Line, "port", fmt.Sprint(a.Port.V), "",
						fmt.Sprintf("the sidecar %q (%s) listens on %s on host %s", l.app.Name.V, l.app.File, l.address, h))
				}
				break // one is enough, and keeps the time linear
			}
			taken[at] = append(taken[at], listener{a.listenAddress, a, false})
		}
	}
}

// hosts finds those that their sidecars ask too much of.
func (s *Set) checkHostCapacity(findings *Findings) {
	type sum struct {
		memory, descriptors, sidecars int
		cores                         float64
	}
	sums := map[string]*sum{}
	for _, a := range s.Apps {
		for _, h := range a.Hosts.V {
			if sums[h] == nil {
				sums[h] = &sum{}
			}
			sums[h].memory += a.MemoryMB.V
			sums[h].descriptors += a.Descriptors.V
			sums[h].cores += a.Cores.V
			sums[h].sidecars++
		}
	}
	for i := range s.Platform.Hosts {
		h := &s.Platform.Hosts[i]
		n := sums[h.Name.V]
		if n == nil {
			continue
		}
		text := fmt.Sprintf("%d sidecars on host %s", n.sidecars, h.Name.V)
		if h.MemoryMB.IsSet() && n.memory > h.MemoryMB.V {
			findings.add(HostMemory, s.Platform.File, h.MemoryMB.Line, "host.memory_mb", fmt.Sprint(h.MemoryMB.V),
				fmt.Sprintf("%d at the least", n.memory), fmt.Sprintf("%s have %d MB together", text, n.memory))
		}
		if h.Descriptors.IsSet() && n.descriptors > h.Descriptors.V {
			findings.add(HostDescriptors, s.Platform.File, h.Descriptors.Line, "host.descriptors", fmt.Sprint(h.Descriptors.V),
				fmt.Sprintf("%d at the least", n.descriptors), fmt.Sprintf("%s have %d descriptors together", text, n.descriptors))
		}
		if h.Cores.IsSet() && n.cores > h.Cores.V*(1+1e-9) {
			findings.add(HostCores, s.Platform.File, h.Cores.Line, "host.cores", formatFloat(h.Cores.V),
				formatFloat(math.Ceil(n.cores*1000)/1000)+" at the least", fmt.Sprintf("%s have %.3f cores together", text, n.cores))
		}
	}
}

// parts is how many equal parts a node's share of a service's callers makes: the
// node is told that it is one of so many, so that it never takes more of a cold
// server's budget than its share.
func (a *App) budgetParts() int {
	if a.BudgetShare.V <= 0 {
		return 1
	}
	return max(1, int(math.Ceil(1/a.BudgetShare.V-1e-9)))
}

// shares finds services whose sidecars have more than all of its callers.
func (s *Set) checkBudgetShares(findings *Findings) {
	sums := map[string]float64{}
	count := map[string]int{}
	for _, a := range s.Apps {
		sums[a.Service.V] += float64(len(a.Hosts.V)) / float64(a.budgetParts())
		count[a.Service.V] += len(a.Hosts.V)
	}
	for i := range s.Platform.Services {
		x := &s.Platform.Services[i]
		if sum := sums[x.Name.V]; sum > 1+1e-9 {
			findings.add(SharesExceedBudget, s.Platform.File, x.Nodes.Line, "service.nodes", fmt.Sprint(x.Nodes.V), "",
				fmt.Sprintf("%d sidecars send to %q, with %.3f of its callers in sum", count[x.Name.V], x.Name.V, sum))
		}
	}
}

// loops finds applications that call each other round about. Services stand
// between them, so that there are no more edges than descriptions.
func (s *Set) findCallLoops(findings *Findings) bool {
	type node struct {
		name    string
		service bool
	}
	next := map[node][]node{}
	for _, a := range s.Apps {
		at := node{a.Application.V, false}
		next[at] = append(next[at], node{a.Service.V, true})
		if a.ServedService.IsSet() {
			from := node{a.ServedService.V, true}
			next[from] = append(next[from], at)
		}
	}
	// Depth first, without recursion: chains may be as long as there are applications.
	const under, done = 1, 2
	state := map[node]int{}
	found := false
	type frame struct {
		at   node
		left []node
	}
	for _, a := range s.Apps {
		start := node{a.Application.V, false}
		if state[start] != 0 {
			continue
		}
		state[start] = under
		stack := []frame{{start, next[start]}}
		for len(stack) > 0 {
			top := &stack[len(stack)-1]
			if len(top.left) == 0 {
				state[top.at] = done
				stack = stack[:len(stack)-1]
				continue
			}
			to := top.left[0]
			top.left = top.left[1:]
			switch state[to] {
			case under:
				found = true
				i := slices.IndexFunc(stack, func(f frame) bool { return f.at == to })
				s.reportCallLoop(findings, func(yield func(string, bool)) {
					for _, f := range stack[i:] {
						yield(f.at.name, f.at.service)
					}
				})
			case 0:
				state[to] = under
				stack = append(stack, frame{to, next[to]})
			}
		}
	}
	return found
}

// loop tells of one loop, at the last application of it.
func (s *Set) reportCallLoop(findings *Findings, each func(func(name string, service bool))) {
	var round []string
	service := ""
	each(func(name string, isService bool) {
		if isService {
			service = name
		} else {
			round = append(round, name)
		}
	})
	last := round[len(round)-1]
	// The loop is closed by the service behind the last application: the last of
	// the stack, or the first, where the loop was entered by a service.
	for _, a := range s.Apps {
		if a.Application.V != last {
			continue
		}
		closes := a.Service.V == service
		for _, b := range s.appsByService[a.Service.V] {
			closes = closes || b.Application.V == round[0]
		}
		if closes {
			findings.add(CallLoop, a.File, a.Service.Line, "service", quote(a.Service.V), "",
				"the loop: "+strings.Join(append(round, round[0]), " -> "))
			return
		}
	}
}

// option is what a route, or the want of one, lets a sidecar do with a request.
type requestPolicy struct {
	line           int // of the route; 0: none
	path           string
	attempts       int
	attemptTimeout time.Duration // of an attempt; 0: what the request has
	maxBackoff     time.Duration // the longest, in sum
	deadline       time.Duration // of the request
}

// least is what an attempt gives the next sidecar.
func (o *requestPolicy) maxAttemptTime() time.Duration {
	if o.attemptTimeout > 0 {
		return min(o.attemptTimeout, o.deadline)
	}
	return o.deadline
}

// last is when the last attempt may go out, after the first.
func (o *requestPolicy) lastAttemptAfter() time.Duration {
	switch {
	case o.attempts < 2:
		return 0
	case o.attemptTimeout > 0:
		return min(o.deadline, time.Duration(o.attempts-1)*o.attemptTimeout+o.maxBackoff)
	}
	return o.deadline
}

// options lists what may become of a class's requests at a sidecar. Its routes
// must have been found in order.
func (a *App) requestPolicies(p *Platform, class string) []requestPolicy {
	c := p.class(class)
	if c == nil {
		return nil
	}
	plain := requestPolicy{attempts: p.Limits.MaxAttempts.V, deadline: c.Deadline.V}
	if c.Effect.V == "once" {
		plain.attempts = 1 // another only where nothing ran
	}
	all := []requestPolicy{plain}
	if a.routesFile == nil || a.routeTable == nil {
		return all
	}
	for i := range a.routesFile.Routes {
		r := &a.routesFile.Routes[i]
		if r.Class.V != class {
			continue
		}
		b := a.routeTable.Bounds()[a.routeTable.Match(slices.Index(a.Classes.V, class), firstNonEmpty(r.Path.V, "/"+class), -1)-1]
		o := plain
		o.line, o.path, o.attemptTimeout = r.Line, r.Path.V, b.AttemptTimeout
		if b.MaxAttempts > 0 && c.Effect.V != "once" {
			o.attempts = b.MaxAttempts
		}
		if b.DeadlineCap > 0 {
			o.deadline = min(o.deadline, b.DeadlineCap)
		}
		o.maxBackoff = routes.MaxTotalBackoff(b, o.attempts)
		if r.Path.V == "" {
			all[0] = o
		} else {
			all = append(all, o)
		}
	}
	return all
}

func firstNonEmpty(s, other string) string {
	if s != "" {
		return s
	}
	return other
}

// chain is the worst that can become of a class's requests from a sidecar on.
type hop struct {
	app              *App
	class            string
	policies         []requestPolicy
	entries          []*serviceEntry // by which requests come
	next             *serviceEntry   // where its requests go; nil: to the end
	attempts         int             // at the far end, in product
	lastAttemptAfter time.Duration   // when the last may go out there, after the first
	minTimeLeft      time.Duration   // the least time that such a request may come with
	caller           *hop            // from whom
}

// entry is a service for one class: what all that call it share, so that there
// are no more edges than descriptions.
type serviceEntry struct {
	members          []*hop
	worstMember      *hop // of these, with the most attempts
	attempts         int
	lastAttemptAfter time.Duration
	minTimeGiven     time.Duration // the least that a caller's attempt has
	caller           *hop
}

// follow finds out what chained sidecars make of each other's attempts and time.
// There must be no loop.
func (s *Set) checkChains(findings *Findings) {
	var order []*hop // inner before outer
	type place struct{ service, class string }
	entries := map[place]*serviceEntry{}
	var visit func(a *App, class string) *hop
	enter := func(service, class string) *serviceEntry {
		at := place{service, class}
		if e, there := entries[at]; there {
			return e
		}
		var e *serviceEntry
		for _, b := range s.appsByService[service] {
			if e == nil {
				e = &serviceEntry{minTimeGiven: math.MaxInt64}
			}
			if contains(b.Classes.V, class) {
				e.members = append(e.members, visit(b, class))
				continue
			}
			for _, other := range b.Classes.V {
				e.members = append(e.members, visit(b, other))
			}
		}
		for _, m := range e.allMembers() {
			m.entries = append(m.entries, e)
			if e.worstMember == nil || m.attempts > e.worstMember.attempts {
				e.worstMember = m
			}
			e.attempts, e.lastAttemptAfter = max(e.attempts, m.attempts), max(e.lastAttemptAfter, m.lastAttemptAfter)
		}
		entries[at] = e
		return e
	}
	visit = func(a *App, class string) *hop {
		key := a.Name.V + "\x00" + class
		if c := s.hops[key]; c != nil {
			return c
		}
		c := &hop{app: a, class: class, policies: a.requestPolicies(s.Platform, class), minTimeLeft: math.MaxInt64}
		s.hops[key] = c
		c.next = enter(a.Service.V, class)
		s.checkAttempts(c, findings)
		order = append(order, c)
		return c
	}
	for _, a := range s.Apps {
		for _, class := range a.Classes.V {
			visit(a, class)
		}
	}
	slices.Reverse(order) // outer before inner
	for _, c := range order {
		s.checkTimeLeft(c, findings)
	}
}

func (e *serviceEntry) allMembers() []*hop {
	if e == nil {
		return nil
	}
	return e.members
}

// sum adds up attempts and sends of a chain from its inner end.
func (s *Set) checkAttempts(c *hop, findings *Findings) {
	class := s.Platform.class(c.class)
	for i := range c.policies {
		o := &c.policies[i]
		attempts, last := o.attempts, o.lastAttemptAfter()
		if n := c.next; n != nil {
			attempts = max(attempts, o.attempts*n.attempts)
			last = max(last, min(o.deadline, o.lastAttemptAfter()+n.lastAttemptAfter))
		}
		c.attempts, c.lastAttemptAfter = max(c.attempts, attempts), max(c.lastAttemptAfter, last)
	}
	if class == nil || c.next == nil {
		return
	}
	line := max(c.busiestRouteLine(), 1)
	if c.attempts > 4 {
		findings.add(AttemptsMultiply, c.app.File, line, "attempts", fmt.Sprint(c.attempts), "4 along the chain",
			fmt.Sprintf("a request of class %s is tried up to %d times along %s", c.class, c.attempts, c.downstreamPath()))
	}
	if window := time.Duration(0.9 * float64(class.Window.V)); class.Effect.V == "keyed" && window > 0 && c.lastAttemptAfter > window {
		findings.add(ChainExceedsWindow, c.app.File, line, "attempts", fmt.Sprint(c.attempts), "the last send at most "+window.String()+" after the first",
			fmt.Sprintf("the last attempt for a request of class %s may go out %v after the first along %s; its key is kept for %v",
				c.class, c.lastAttemptAfter, c.downstreamPath(), class.Window.V))
	}
}

// line is where the route that allows the most attempts stands, or the classes.
func (c *hop) busiestRouteLine() int {
	line, most := c.app.Classes.Line, 0
	for _, o := range c.policies {
		if o.attempts > most && o.line > 0 {
			line, most = o.line, o.attempts
		}
	}
	return line
}

// path names the sidecars of a chain, the longest way.
func (c *hop) downstreamPath() string {
	var all []string
	for ; c != nil; c = c.nextHop() {
		all = append(all, c.app.Name.V)
	}
	return strings.Join(all, " -> ")
}

// inner is the next sidecar, by the one with the most attempts; nil: there is none.
func (c *hop) nextHop() *hop {
	if c.next == nil {
		return nil
	}
	return c.next.worstMember
}

// callers names the sidecars by which the least time comes.
func (c *hop) upstreamPath() string {
	var all []string
	for ; c != nil; c = c.caller {
		all = append(all, c.app.Name.V)
	}
	slices.Reverse(all)
	return strings.Join(all, " -> ")
}

// spend takes from the time of a chain what each of its sidecars uses.
func (s *Set) checkTimeLeft(c *hop, findings *Findings) {
	for _, e := range c.entries { // all callers have been here before
		if left := max(0, e.minTimeGiven-c.app.WorkTime.V); e.caller != nil && left < c.minTimeLeft {
			c.minTimeLeft, c.caller = left, e.caller
		}
	}
	if c.caller != nil {
		left, needs := c.minTimeLeft, time.Duration(0)
		for i := range c.policies {
			o := &c.policies[i]
			if o.attemptTimeout > 0 {
				needs = max(needs, time.Duration(o.attempts)*o.attemptTimeout+o.maxBackoff)
			}
		}
		line := max(c.busiestRouteLine(), 1)
		if least := s.Platform.Limits.AnswerGrace.V + time.Millisecond; left < least {
			findings.add(NoTimeLeft, c.app.File, line, "classes", quote(c.class), "more than "+least.String(),
				fmt.Sprintf("a request of class %s comes to the sidecar with %v along %s", c.class, left, c.upstreamPath()))
			return // what lies behind has no more
		}
		if needs > left {
			findings.add(InsufficientTime, c.app.File, line, "attempts", quote(c.class), "in all at most "+left.String(),
				fmt.Sprintf("its attempts take %v, and a request may come with %v along %s", needs, left, c.upstreamPath()))
		}
	}
	if c.next == nil {
		return
	}
	for i := range c.policies {
		o := &c.policies[i]
		if gives := min(o.maxAttemptTime(), c.minTimeLeft); gives < c.next.minTimeGiven {
			c.next.minTimeGiven, c.next.caller = gives, c
		}
	}
}
