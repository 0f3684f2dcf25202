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

	serving map[string][]*App // by service
	chains  map[string]*chain // by App.Name and class
}

// NewSet puts descriptions together, and finds what is wrong between them. The
// time is linear in their number.
func NewSet(p *Platform, all []*App, findings *Findings) *Set {
	s := &Set{Platform: p, serving: map[string][]*App{}, chains: map[string]*chain{}}
	names := map[string]*App{}
	for _, a := range sortedApps(all) {
		if before := names[a.Name.V]; before != nil && a.Name.IsSet() {
			findings.add(DuplicateName, a.File, a.Name.Line, "name", quote(a.Name.V), "", fmt.Sprintf("%s has this name already", before.File))
			continue
		}
		names[a.Name.V] = a
		s.Apps = append(s.Apps, a)
		if a.ServedService.IsSet() {
			s.serving[a.ServedService.V] = append(s.serving[a.ServedService.V], a)
		}
	}
	s.ports(findings)
	s.hosts(findings)
	s.shares(findings)
	for _, a := range s.Apps {
		if a.Discovery.V == "" && p.service(a.Service.V) != nil && !a.Discovery.Invalid {
			findings.add(ServiceNotServed, a.File, a.Service.Line, "service", quote(a.Service.V), "", "neither the application, nor the service, nor the platform has a discovery")
		}
	}
	if !s.loops(findings) {
		s.follow(findings)
	}
	return s
}

// listener is who listens where on a host.
type listener struct {
	at  netip.AddrPort
	app *App
	own bool // the application itself
}

// ports finds two on a host that want one port or socket.
func (s *Set) ports(findings *Findings) {
	type place struct {
		host string
		port uint16
	}
	type path struct{ host, path string }
	taken := map[place][]listener{}
	sockets := map[path]*App{}
	for _, a := range s.Apps { // what applications listen on comes first: it can't move
		for _, h := range a.Hosts.V {
			for _, o := range a.own {
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
			if !a.listen.IsValid() {
				continue
			}
			at := place{h, a.listen.Port()}
			for _, l := range taken[at] {
				if !meet(l.at, a.listen) || told[l.app] || l.own && l.app == a {
					continue
				}
				told[l.app] = true
				if l.own {
					findings.add(PortOfOtherApp, a.File, a.Port.Line, "port", fmt.Sprint(a.Port.V), "",
						fmt.Sprintf("the application %q (%s) listens on %s on host %s", l.app.Application.V, l.app.File, l.at, h))
				} else {
					findings.add(DuplicatePort, a.File, a.Port.Line, "port", fmt.Sprint(a.Port.V), "",
						fmt.Sprintf("the sidecar %q (%s) listens on %s on host %s", l.app.Name.V, l.app.File, l.at, h))
				}
				break // one is enough, and keeps the time linear
			}
			taken[at] = append(taken[at], listener{a.listen, a, false})
		}
	}
}

// hosts finds those that their sidecars ask too much of.
func (s *Set) hosts(findings *Findings) {
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
			findings.add(HostFiles, s.Platform.File, h.Descriptors.Line, "host.descriptors", fmt.Sprint(h.Descriptors.V),
				fmt.Sprintf("%d at the least", n.descriptors), fmt.Sprintf("%s have %d descriptors together", text, n.descriptors))
		}
		if h.Cores.IsSet() && n.cores > h.Cores.V*(1+1e-9) {
			findings.add(HostCores, s.Platform.File, h.Cores.Line, "host.cores", plain(h.Cores.V),
				plain(math.Ceil(n.cores*1000)/1000)+" at the least", fmt.Sprintf("%s have %.3f cores together", text, n.cores))
		}
	}
}

// parts is how many equal parts a node's share of a service's callers makes: the
// node is told that it is one of so many, so that it never takes more of a cold
// server's budget than its share.
func (a *App) parts() int {
	if a.BudgetShare.V <= 0 {
		return 1
	}
	return max(1, int(math.Ceil(1/a.BudgetShare.V-1e-9)))
}

// shares finds services whose sidecars have more than all of its callers.
func (s *Set) shares(findings *Findings) {
	sums := map[string]float64{}
	count := map[string]int{}
	for _, a := range s.Apps {
		sums[a.Service.V] += float64(len(a.Hosts.V)) / float64(a.parts())
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
func (s *Set) loops(findings *Findings) bool {
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
				s.loop(findings, func(yield func(string, bool)) {
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
func (s *Set) loop(findings *Findings, each func(func(name string, service bool))) {
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
		for _, b := range s.serving[a.Service.V] {
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
type option struct {
	line     int // of the route; 0: none
	path     string
	attempts int
	timeout  time.Duration // of an attempt; 0: what the request has
	waits    time.Duration // the longest, in sum
	limit    time.Duration // of the request
}

// least is what an attempt gives the next sidecar.
func (o *option) attempt() time.Duration {
	if o.timeout > 0 {
		return min(o.timeout, o.limit)
	}
	return o.limit
}

// last is when the last attempt may go out, after the first.
func (o *option) last() time.Duration {
	switch {
	case o.attempts < 2:
		return 0
	case o.timeout > 0:
		return min(o.limit, time.Duration(o.attempts-1)*o.timeout+o.waits)
	}
	return o.limit
}

// options lists what may become of a class's requests at a sidecar. Its routes
// must have been found in order.
func (a *App) options(p *Platform, class string) []option {
	c := p.class(class)
	if c == nil {
		return nil
	}
	plain := option{attempts: p.Limits.MaxAttempts.V, limit: c.Deadline.V}
	if c.Effect.V == "once" {
		plain.attempts = 1 // another only where nothing ran
	}
	all := []option{plain}
	if a.file == nil || a.table == nil {
		return all
	}
	for i := range a.file.Routes {
		r := &a.file.Routes[i]
		if r.Class.V != class {
			continue
		}
		b := a.table.Bounds()[a.table.Match(slices.Index(a.Classes.V, class), or(r.Path.V, "/"+class), -1)-1]
		o := plain
		o.line, o.path, o.timeout = r.Line, r.Path.V, b.AttemptTimeout
		if b.MaxAttempts > 0 && c.Effect.V != "once" {
			o.attempts = b.MaxAttempts
		}
		if b.DeadlineCap > 0 {
			o.limit = min(o.limit, b.DeadlineCap)
		}
		o.waits = routes.MaxTotalBackoff(b, o.attempts)
		if r.Path.V == "" {
			all[0] = o
		} else {
			all = append(all, o)
		}
	}
	return all
}

func or(s, other string) string {
	if s != "" {
		return s
	}
	return other
}

// chain is the worst that can become of a class's requests from a sidecar on.
type chain struct {
	app      *App
	class    string
	options  []option
	entered  []*entry      // by which requests come
	next     *entry        // where its requests go; nil: to the end
	attempts int           // at the far end, in product
	last     time.Duration // when the last may go out there, after the first
	left     time.Duration // the least time that such a request may come with
	caller   *chain        // from whom
}

// entry is a service for one class: what all that call it share, so that there
// are no more edges than descriptions.
type entry struct {
	members  []*chain
	worst    *chain // of these, with the most attempts
	attempts int
	last     time.Duration
	gives    time.Duration // the least that a caller's attempt has
	caller   *chain
}

// follow finds out what chained sidecars make of each other's attempts and time.
// There must be no loop.
func (s *Set) follow(findings *Findings) {
	var order []*chain // inner before outer
	type place struct{ service, class string }
	entries := map[place]*entry{}
	var visit func(a *App, class string) *chain
	enter := func(service, class string) *entry {
		at := place{service, class}
		if e, there := entries[at]; there {
			return e
		}
		var e *entry
		for _, b := range s.serving[service] {
			if e == nil {
				e = &entry{gives: math.MaxInt64}
			}
			if contains(b.Classes.V, class) {
				e.members = append(e.members, visit(b, class))
				continue
			}
			for _, other := range b.Classes.V {
				e.members = append(e.members, visit(b, other))
			}
		}
		for _, m := range e.all() {
			m.entered = append(m.entered, e)
			if e.worst == nil || m.attempts > e.worst.attempts {
				e.worst = m
			}
			e.attempts, e.last = max(e.attempts, m.attempts), max(e.last, m.last)
		}
		entries[at] = e
		return e
	}
	visit = func(a *App, class string) *chain {
		key := a.Name.V + "\x00" + class
		if c := s.chains[key]; c != nil {
			return c
		}
		c := &chain{app: a, class: class, options: a.options(s.Platform, class), left: math.MaxInt64}
		s.chains[key] = c
		c.next = enter(a.Service.V, class)
		s.sum(c, findings)
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
		s.spend(c, findings)
	}
}

func (e *entry) all() []*chain {
	if e == nil {
		return nil
	}
	return e.members
}

// sum adds up attempts and sends of a chain from its inner end.
func (s *Set) sum(c *chain, findings *Findings) {
	class := s.Platform.class(c.class)
	for i := range c.options {
		o := &c.options[i]
		attempts, last := o.attempts, o.last()
		if n := c.next; n != nil {
			attempts = max(attempts, o.attempts*n.attempts)
			last = max(last, min(o.limit, o.last()+n.last))
		}
		c.attempts, c.last = max(c.attempts, attempts), max(c.last, last)
	}
	if class == nil || c.next == nil {
		return
	}
	line := max(c.line(), 1)
	if c.attempts > 4 {
		findings.add(AttemptsMultiply, c.app.File, line, "attempts", fmt.Sprint(c.attempts), "4 along the chain",
			fmt.Sprintf("a request of class %s is tried up to %d times along %s", c.class, c.attempts, c.path()))
	}
	if window := time.Duration(0.9 * float64(class.Window.V)); class.Effect.V == "keyed" && window > 0 && c.last > window {
		findings.add(ChainWindow, c.app.File, line, "attempts", fmt.Sprint(c.attempts), "the last send at most "+window.String()+" after the first",
			fmt.Sprintf("the last attempt for a request of class %s may go out %v after the first along %s; its key is kept for %v",
				c.class, c.last, c.path(), class.Window.V))
	}
}

// line is where the route that allows the most attempts stands, or the classes.
func (c *chain) line() int {
	line, most := c.app.Classes.Line, 0
	for _, o := range c.options {
		if o.attempts > most && o.line > 0 {
			line, most = o.line, o.attempts
		}
	}
	return line
}

// path names the sidecars of a chain, the longest way.
func (c *chain) path() string {
	var all []string
	for ; c != nil; c = c.inner() {
		all = append(all, c.app.Name.V)
	}
	return strings.Join(all, " -> ")
}

// inner is the next sidecar, by the one with the most attempts; nil: there is none.
func (c *chain) inner() *chain {
	if c.next == nil {
		return nil
	}
	return c.next.worst
}

// callers names the sidecars by which the least time comes.
func (c *chain) callers() string {
	var all []string
	for ; c != nil; c = c.caller {
		all = append(all, c.app.Name.V)
	}
	slices.Reverse(all)
	return strings.Join(all, " -> ")
}

// spend takes from the time of a chain what each of its sidecars uses.
func (s *Set) spend(c *chain, findings *Findings) {
	for _, e := range c.entered { // all callers have been here before
		if left := max(0, e.gives-c.app.WorkTime.V); e.caller != nil && left < c.left {
			c.left, c.caller = left, e.caller
		}
	}
	if c.caller != nil {
		left, needs := c.left, time.Duration(0)
		for i := range c.options {
			o := &c.options[i]
			if o.timeout > 0 {
				needs = max(needs, time.Duration(o.attempts)*o.timeout+o.waits)
			}
		}
		line := max(c.line(), 1)
		if least := s.Platform.Limits.AnswerGrace.V + time.Millisecond; left < least {
			findings.add(NoTimeLeft, c.app.File, line, "classes", quote(c.class), "more than "+least.String(),
				fmt.Sprintf("a request of class %s comes to the sidecar with %v along %s", c.class, left, c.callers()))
			return // what lies behind has no more
		}
		if needs > left {
			findings.add(TooLittleTime, c.app.File, line, "attempts", quote(c.class), "in all at most "+left.String(),
				fmt.Sprintf("its attempts take %v, and a request may come with %v along %s", needs, left, c.callers()))
		}
	}
	if c.next == nil {
		return
	}
	for i := range c.options {
		o := &c.options[i]
		if gives := min(o.attempt(), c.left); gives < c.next.gives {
			c.next.gives, c.next.caller = gives, c
		}
	}
}
