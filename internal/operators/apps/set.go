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

// Set is a platform with its applications. If its check had no finding of level
// error, all sidecars can be generated and started together.
type Set struct {
	Platform *Platform
	Apps     []*App // ordered by name

	appsByService map[string][]*App // by the service that they serve
	hops          map[string]*hop   // by App.Name, zero byte and class
}

// NewSet combines descriptions and checks them against each other. Its time is
// linear in their number.
func NewSet(p *Platform, all []*App, findings *Findings) *Set {
	s := &Set{Platform: p, appsByService: map[string][]*App{}, hops: map[string]*hop{}}
	names := map[string]*App{}
	for _, a := range sortedApps(all) {
		if first := names[a.Name.V]; first != nil && a.Name.IsSet() {
			findings.add(DuplicateName, a.File, a.Name.Line, "name", quote(a.Name.V), "", fmt.Sprintf("%s has this name already", first.File))
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

// listener is an address in use on a host.
type listener struct {
	address       netip.AddrPort
	app           *App
	isApplication bool // of the application itself, not of its sidecar
}

// checkListeners reports sidecars whose port or socket is used by another sidecar
// or application on the same host.
func (s *Set) checkListeners(findings *Findings) {
	type hostPort struct {
		host string
		port uint16
	}
	type hostPath struct{ host, path string }
	listeners := map[hostPort][]listener{}
	sockets := map[hostPath]*App{}
	for _, a := range s.Apps { // first, because the ports of applications can't be changed here
		for _, h := range a.Hosts.V {
			for _, o := range a.applicationAddresses {
				key := hostPort{h, o.Port()}
				listeners[key] = append(listeners[key], listener{o, a, true})
			}
		}
	}
	for _, a := range s.Apps {
		reported := map[*App]bool{} // one finding for each pair of applications, not for each host
		for _, h := range a.Hosts.V {
			if a.Socket.IsSet() {
				key := hostPath{h, a.Socket.V}
				if other := sockets[key]; other == nil {
					sockets[key] = a
				} else if !reported[other] {
					reported[other] = true
					findings.add(DuplicateSocket, a.File, a.Socket.Line, "socket", quote(a.Socket.V), "",
						fmt.Sprintf("the sidecar %q (%s) has this socket on host %s", other.Name.V, other.File, h))
				}
			}
			if !a.listenAddress.IsValid() {
				continue
			}
			key := hostPort{h, a.listenAddress.Port()}
			for _, l := range listeners[key] {
				if !conflicts(l.address, a.listenAddress) || reported[l.app] || l.isApplication && l.app == a {
					continue
				}
				reported[l.app] = true
				if l.isApplication {
					findings.add(PortOfOtherApp, a.File, a.Port.Line, "port", fmt.Sprint(a.Port.V), "",
						fmt.Sprintf("the application %q (%s) listens on %s on host %s", l.app.Application.V, l.app.File, l.address, h))
				} else {
					findings.add(DuplicatePort, a.File, a.Port.Line, "port", fmt.Sprint(a.Port.V), "",
						fmt.Sprintf("the sidecar %q (%s) listens on %s on host %s", l.app.Name.V, l.app.File, l.address, h))
				}
				break // one finding is enough, and keeps the time linear
			}
			listeners[key] = append(listeners[key], listener{a.listenAddress, a, false})
		}
	}
}

// checkHostCapacity reports hosts whose sidecars need more memory, descriptors or
// cores than the host gives them.
func (s *Set) checkHostCapacity(findings *Findings) {
	type usage struct {
		memory, descriptors, sidecars int
		cores                         float64
	}
	totals := map[string]*usage{}
	for _, a := range s.Apps {
		for _, h := range a.Hosts.V {
			if totals[h] == nil {
				totals[h] = &usage{}
			}
			totals[h].memory += a.MemoryMB.V
			totals[h].descriptors += a.Descriptors.V
			totals[h].cores += a.Cores.V
			totals[h].sidecars++
		}
	}
	for i := range s.Platform.Hosts {
		h := &s.Platform.Hosts[i]
		total := totals[h.Name.V]
		if total == nil {
			continue
		}
		text := fmt.Sprintf("%d sidecars on host %s", total.sidecars, h.Name.V)
		if h.MemoryMB.IsSet() && total.memory > h.MemoryMB.V {
			findings.add(HostMemory, s.Platform.File, h.MemoryMB.Line, "host.memory_mb", fmt.Sprint(h.MemoryMB.V),
				fmt.Sprintf("%d at the least", total.memory), fmt.Sprintf("%s have %d MB together", text, total.memory))
		}
		if h.Descriptors.IsSet() && total.descriptors > h.Descriptors.V {
			findings.add(HostDescriptors, s.Platform.File, h.Descriptors.Line, "host.descriptors", fmt.Sprint(h.Descriptors.V),
				fmt.Sprintf("%d at the least", total.descriptors), fmt.Sprintf("%s have %d descriptors together", text, total.descriptors))
		}
		if h.Cores.IsSet() && total.cores > h.Cores.V*(1+1e-9) {
			findings.add(HostCores, s.Platform.File, h.Cores.Line, "host.cores", formatFloat(h.Cores.V),
				formatFloat(math.Ceil(total.cores*1000)/1000)+" at the least", fmt.Sprintf("%s have %.3f cores together", text, total.cores))
		}
	}
}

// budgetParts returns the number of nodes, n_instances, that the sidecar's node is
// configured with: it takes one such part of a cold server's budget. The number is
// rounded up, so that this is never more than its share.
func (a *App) budgetParts() int {
	if a.BudgetShare.V <= 0 {
		return 1
	}
	return max(1, int(math.Ceil(1/a.BudgetShare.V-1e-9)))
}

// checkBudgetShares reports services whose sidecars have budget shares of more than
// 1 in sum.
func (s *Set) checkBudgetShares(findings *Findings) {
	sums := map[string]float64{}
	counts := map[string]int{}
	for _, a := range s.Apps {
		sums[a.Service.V] += float64(len(a.Hosts.V)) / float64(a.budgetParts())
		counts[a.Service.V] += len(a.Hosts.V)
	}
	for i := range s.Platform.Services {
		service := &s.Platform.Services[i]
		if sum := sums[service.Name.V]; sum > 1+1e-9 {
			findings.add(SharesExceedBudget, s.Platform.File, service.Nodes.Line, "service.nodes", fmt.Sprint(service.Nodes.V), "",
				fmt.Sprintf("%d sidecars send to %q, with %.3f of its callers in sum", counts[service.Name.V], service.Name.V, sum))
		}
	}
}

// findCallLoops reports cycles of applications that call each other, and returns
// whether there are any. In its graph applications and services are both nodes, so
// that the number of edges is linear in the number of descriptions.
func (s *Set) findCallLoops(findings *Findings) bool {
	type node struct {
		name    string
		service bool
	}
	edges := map[node][]node{}
	for _, a := range s.Apps {
		application := node{a.Application.V, false}
		edges[application] = append(edges[application], node{a.Service.V, true})
		if a.ServedService.IsSet() {
			served := node{a.ServedService.V, true}
			edges[served] = append(edges[served], application)
		}
	}
	// Depth-first search without recursion: a chain may contain all applications.
	const onStack, finished = 1, 2
	state := map[node]int{}
	found := false
	type frame struct {
		node      node
		unvisited []node
	}
	for _, a := range s.Apps {
		start := node{a.Application.V, false}
		if state[start] != 0 {
			continue
		}
		state[start] = onStack
		stack := []frame{{start, edges[start]}}
		for len(stack) > 0 {
			top := &stack[len(stack)-1]
			if len(top.unvisited) == 0 {
				state[top.node] = finished
				stack = stack[:len(stack)-1]
				continue
			}
			to := top.unvisited[0]
			top.unvisited = top.unvisited[1:]
			switch state[to] {
			case onStack:
				found = true
				i := slices.IndexFunc(stack, func(f frame) bool { return f.node == to })
				s.reportCallLoop(findings, func(yield func(string, bool)) {
					for _, f := range stack[i:] {
						yield(f.node.name, f.node.service)
					}
				})
			case 0:
				state[to] = onStack
				stack = append(stack, frame{to, edges[to]})
			}
		}
	}
	return found
}

// reportCallLoop reports one cycle, in the file of its last application. each
// calls its argument for every node of the cycle.
func (s *Set) reportCallLoop(findings *Findings, each func(func(name string, service bool))) {
	var applications []string
	service := ""
	each(func(name string, isService bool) {
		if isService {
			service = name
		} else {
			applications = append(applications, name)
		}
	})
	last := applications[len(applications)-1]
	// The last application closes the cycle by calling a service: the last node of the
	// stack, or the first if the search entered the cycle at a service.
	for _, a := range s.Apps {
		if a.Application.V != last {
			continue
		}
		closesCycle := a.Service.V == service
		for _, b := range s.appsByService[a.Service.V] {
			closesCycle = closesCycle || b.Application.V == applications[0]
		}
		if closesCycle {
			findings.add(CallLoop, a.File, a.Service.Line, "service", quote(a.Service.V), "",
				"the loop: "+strings.Join(append(applications, applications[0]), " -> "))
			return
		}
	}
}

// requestPolicy says how a sidecar handles a request of one route, or of none.
type requestPolicy struct {
	line           int // of the route; 0: none
	path           string
	attempts       int
	attemptTimeout time.Duration // 0: the time that the request has left
	maxBackoff     time.Duration // sum of all backoffs of a request
	deadline       time.Duration // of the request, from its arrival
}

// maxAttemptTime is the longest duration of one attempt.
func (p *requestPolicy) maxAttemptTime() time.Duration {
	if p.attemptTimeout > 0 {
		return min(p.attemptTimeout, p.deadline)
	}
	return p.deadline
}

// lastAttemptAfter is the longest time from the first attempt to the last.
func (p *requestPolicy) lastAttemptAfter() time.Duration {
	switch {
	case p.attempts < 2:
		return 0
	case p.attemptTimeout > 0:
		return min(p.deadline, time.Duration(p.attempts-1)*p.attemptTimeout+p.maxBackoff)
	}
	return p.deadline
}

// requestPolicies lists the policies for requests of a class, the one without a
// path first. The routes must be without findings.
func (a *App) requestPolicies(p *Platform, class string) []requestPolicy {
	c := p.class(class)
	if c == nil {
		return nil
	}
	base := requestPolicy{attempts: p.Limits.MaxAttempts.V, deadline: c.Deadline.V}
	if c.Idempotency.V == "once" {
		base.attempts = 1 // it is sent again only if it was not executed
	}
	policies := []requestPolicy{base}
	if a.routesFile == nil || a.routeTable == nil {
		return policies
	}
	for i := range a.routesFile.Routes {
		r := &a.routesFile.Routes[i]
		if r.Class.V != class {
			continue
		}
		routePolicy := a.routeTable.Policies()[a.routeTable.Match(slices.Index(a.Classes.V, class), firstNonEmpty(r.Path.V, "/"+class), -1)-1]
		policy := base
		policy.line, policy.path, policy.attemptTimeout = r.Line, r.Path.V, routePolicy.AttemptTimeout
		if routePolicy.MaxAttempts > 0 && c.Idempotency.V != "once" {
			policy.attempts = routePolicy.MaxAttempts
		}
		if routePolicy.DeadlineCap > 0 {
			policy.deadline = min(policy.deadline, routePolicy.DeadlineCap)
		}
		policy.maxBackoff = routes.MaxTotalBackoff(routePolicy, policy.attempts)
		if r.Path.V == "" {
			policies[0] = policy
		} else {
			policies = append(policies, policy)
		}
	}
	return policies
}

// firstNonEmpty returns s, or other if s is empty.
func firstNonEmpty(s, other string) string {
	if s != "" {
		return s
	}
	return other
}

// hop is one sidecar in the call chains of a class, with the worst case over all
// chains through it.
type hop struct {
	app              *App
	class            string
	policies         []requestPolicy
	entries          []*serviceEntry // through which requests arrive
	next             *serviceEntry   // where its requests go; nil: no sidecar follows
	attempts         int             // at the end of the chain: the product from this sidecar on
	lastAttemptAfter time.Duration   // from the first attempt there to the last
	minTimeLeft      time.Duration   // of an arriving request
	caller           *hop            // from which a request arrives with minTimeLeft
}

// serviceEntry is a service for one class. All hops that call it share it, so that
// the number of edges is linear in the number of descriptions.
type serviceEntry struct {
	members          []*hop
	worstMember      *hop // of members, the one with the most attempts
	attempts         int
	lastAttemptAfter time.Duration
	minTimeGiven     time.Duration // of an attempt of any caller
	caller           *hop
}

// checkChains computes how attempts multiply and time is used up along call chains,
// and reports chains that exceed their limits. There must be no cycle.
func (s *Set) checkChains(findings *Findings) {
	var order []*hop // callees before callers
	type serviceClass struct{ service, class string }
	entries := map[serviceClass]*serviceEntry{}
	var visit func(a *App, class string) *hop
	enter := func(service, class string) *serviceEntry {
		key := serviceClass{service, class}
		if e, exists := entries[key]; exists {
			return e
		}
		var e *serviceEntry
		for _, app := range s.appsByService[service] {
			if e == nil {
				e = &serviceEntry{minTimeGiven: math.MaxInt64}
			}
			if contains(app.Classes.V, class) {
				e.members = append(e.members, visit(app, class))
				continue
			}
			for _, other := range app.Classes.V {
				e.members = append(e.members, visit(app, other))
			}
		}
		for _, m := range e.allMembers() {
			m.entries = append(m.entries, e)
			if e.worstMember == nil || m.attempts > e.worstMember.attempts {
				e.worstMember = m
			}
			e.attempts, e.lastAttemptAfter = max(e.attempts, m.attempts), max(e.lastAttemptAfter, m.lastAttemptAfter)
		}
		entries[key] = e
		return e
	}
	visit = func(a *App, class string) *hop {
		key := a.Name.V + "\x00" + class
		if h := s.hops[key]; h != nil {
			return h
		}
		h := &hop{app: a, class: class, policies: a.requestPolicies(s.Platform, class), minTimeLeft: math.MaxInt64}
		s.hops[key] = h
		h.next = enter(a.Service.V, class)
		s.checkAttempts(h, findings)
		order = append(order, h)
		return h
	}
	for _, a := range s.Apps {
		for _, class := range a.Classes.V {
			visit(a, class)
		}
	}
	slices.Reverse(order) // callers before callees
	for _, h := range order {
		s.checkTimeLeft(h, findings)
	}
}

// allMembers returns the members; none of a nil entry.
func (e *serviceEntry) allMembers() []*hop {
	if e == nil {
		return nil
	}
	return e.members
}

// checkAttempts computes the attempts of a hop and the time of its last one, from
// those of the hops that follow, and reports too many or too late ones.
func (s *Set) checkAttempts(h *hop, findings *Findings) {
	class := s.Platform.class(h.class)
	for i := range h.policies {
		policy := &h.policies[i]
		attempts, last := policy.attempts, policy.lastAttemptAfter()
		if next := h.next; next != nil {
			attempts = max(attempts, policy.attempts*next.attempts)
			last = max(last, min(policy.deadline, policy.lastAttemptAfter()+next.lastAttemptAfter))
		}
		h.attempts, h.lastAttemptAfter = max(h.attempts, attempts), max(h.lastAttemptAfter, last)
	}
	if class == nil || h.next == nil {
		return
	}
	line := max(h.maxAttemptsLine(), 1)
	if h.attempts > 4 {
		findings.add(AttemptsMultiply, h.app.File, line, "attempts", fmt.Sprint(h.attempts), "4 along the chain",
			fmt.Sprintf("a request of class %s is tried up to %d times along %s", h.class, h.attempts, h.downstreamPath()))
	}
	if window := time.Duration(0.9 * float64(class.KeyTTL.V)); class.Idempotency.V == "keyed" && window > 0 && h.lastAttemptAfter > window {
		findings.add(ChainExceedsWindow, h.app.File, line, "attempts", fmt.Sprint(h.attempts), "the last send at most "+window.String()+" after the first",
			fmt.Sprintf("the last attempt for a request of class %s may go out %v after the first along %s; its key is kept for %v",
				h.class, h.lastAttemptAfter, h.downstreamPath(), class.KeyTTL.V))
	}
}

// maxAttemptsLine returns the line of the route with the most attempts, or that of
// the classes if there is no route.
func (h *hop) maxAttemptsLine() int {
	line, maxAttempts := h.app.Classes.Line, 0
	for _, policy := range h.policies {
		if policy.attempts > maxAttempts && policy.line > 0 {
			line, maxAttempts = policy.line, policy.attempts
		}
	}
	return line
}

// downstreamPath names the sidecars from this one on, along the most attempts.
func (h *hop) downstreamPath() string {
	var names []string
	for ; h != nil; h = h.nextHop() {
		names = append(names, h.app.Name.V)
	}
	return strings.Join(names, " -> ")
}

// nextHop returns the following hop with the most attempts; nil at the end.
func (h *hop) nextHop() *hop {
	if h.next == nil {
		return nil
	}
	return h.next.worstMember
}

// upstreamPath names the sidecars up to this one, along the least time left.
func (h *hop) upstreamPath() string {
	var names []string
	for ; h != nil; h = h.caller {
		names = append(names, h.app.Name.V)
	}
	slices.Reverse(names)
	return strings.Join(names, " -> ")
}

// checkTimeLeft computes the least time that requests arrive with at a hop, reports
// a hop where that is too short, and passes the rest on to the following hops.
func (s *Set) checkTimeLeft(h *hop, findings *Findings) {
	for _, e := range h.entries { // their callers have been visited already
		if left := max(0, e.minTimeGiven-h.app.WorkTime.V); e.caller != nil && left < h.minTimeLeft {
			h.minTimeLeft, h.caller = left, e.caller
		}
	}
	if h.caller != nil {
		left, needed := h.minTimeLeft, time.Duration(0)
		for i := range h.policies {
			policy := &h.policies[i]
			if policy.attemptTimeout > 0 {
				needed = max(needed, time.Duration(policy.attempts)*policy.attemptTimeout+policy.maxBackoff)
			}
		}
		line := max(h.maxAttemptsLine(), 1)
		if required := s.Platform.Limits.AnswerGrace.V + time.Millisecond; left < required {
			findings.add(NoTimeLeft, h.app.File, line, "classes", quote(h.class), "more than "+required.String(),
				fmt.Sprintf("a request of class %s comes to the sidecar with %v along %s", h.class, left, h.upstreamPath()))
			return // the following hops would only repeat the finding
		}
		if needed > left {
			findings.add(InsufficientTime, h.app.File, line, "attempts", quote(h.class), "in all at most "+left.String(),
				fmt.Sprintf("its attempts take %v, and a request may come with %v along %s", needed, left, h.upstreamPath()))
		}
	}
	if h.next == nil {
		return
	}
	for i := range h.policies {
		policy := &h.policies[i]
		if given := min(policy.maxAttemptTime(), h.minTimeLeft); given < h.next.minTimeGiven {
			h.next.minTimeGiven, h.next.caller = given, h
		}
	}
}
