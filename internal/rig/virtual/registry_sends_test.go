package virtual

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

const (
	releaseServers    = shortListLines        // servers of the list
	firstRequests     = 20 * time.Second      // requests before the day that are not counted
	responseTime      = 10 * time.Millisecond // of a server
	acceptsAfterDrain = 2 * time.Second       // a server that rejects work once it drains does so from then on
	sendTolerance     = 50 * time.Millisecond // added to the drain grace
	startGrace        = 2 * time.Second       // a restarted node is not held to undelivered changes for this long
	serverConnTimeout = 10 * time.Second      // idle connections are closed
	requestTTL        = 5 * time.Second
)

// release is the traffic of a fleet while its servers drain and are replaced. Event i is change i of the list.
type release struct {
	events      []serverEvent
	rejectsWork bool    // draining servers reject work; otherwise they go on answering until they are replaced
	requestRate float64 // requests per second of each node
	from, until time.Duration
	outages     []outage // in times of the run
}

// serverEvent is a change of one server's entry.
type serverEvent struct {
	at     time.Duration
	server int
	entry  decide.Server
}

// newRelease returns the release of a day.
func newRelease(day *drainDay, rejectsWork bool, requestRate float64) *release {
	r := &release{rejectsWork: rejectsWork, requestRate: requestRate, from: day.warmUp, until: day.warmUp + day.duration}
	for _, o := range day.outages {
		r.outages = append(r.outages, outage{day.warmUp + o.from, day.warmUp + o.until, o.kind})
	}
	for i, c := range day.changes {
		if c.at > day.lastDrainAt {
			break
		}
		server, at := 1+3*i, day.warmUp+c.at
		ended := at + replacementDelay
		r.events = append(r.events, serverEvent{at, server, releaseEntry(server, decide.Draining, 0)},
			serverEvent{ended, server, releaseEntry(server, decide.Removed, 0)},
			serverEvent{ended + registrationDelay, server, releaseEntry(server, decide.Healthy, ended)})
	}
	slices.SortStableFunc(r.events, func(x, y serverEvent) int { return cmp.Compare(x.at, y.at) })
	return r
}

// releaseEntry returns an entry of a server.
func releaseEntry(server int, health decide.Health, started time.Duration) decide.Server {
	return decide.Server{ID: strconv.Itoa(server), Zone: strconv.Itoa(server % 2), Cell: server, Health: health, Weight: 1, Started: started}
}

// knownAt returns from when a change is deemed known, whatever calls were open.
func (r *release) knownAt(madeAt time.Duration) time.Duration {
	at := madeAt + deemedKnownAfter
	for _, o := range r.outages {
		if o.from <= at && madeAt < o.until {
			at = max(at, o.until+deemedKnownAfter)
		}
	}
	return at
}

// runsSince returns when the process of a server started, and since when it drains; 0: it does not.
func (r *release) runsSince(server int, now time.Duration) (started, draining time.Duration) {
	for _, e := range r.events {
		if e.server == server && e.entry.Health == decide.Draining && e.at <= now {
			if started = e.at + replacementDelay; started > now {
				started, draining = 0, e.at
			}
		}
	}
	return started, draining
}

// sendCounts counts the requests of a fleet.
type sendCounts struct{ requests, served, breaches int }

// sender sends the requests of one node with the real balancer, and judges its attempts.
type sender struct {
	node         *fleetNode
	release      *release
	rng          *rand.Rand
	balancer     *decide.Balancer
	confirmation *endpoints.Confirmation
	known        int // changes that the balancer has
	lastID       uint64
	attempts     map[uint64]int // by request
	connections  [releaseServers]timeOfConnection
	counts       sendCounts
}

// timeOfConnection says when a connection was opened and last used.
type timeOfConnection struct{ opened, used time.Duration }

// newSender returns the sender of a node, whose requests are scheduled.
func newSender(n *fleetNode, r *release, seed uint64) *sender {
	s := &sender{node: n, release: r, rng: rand.New(rand.NewPCG(seed, uint64(n.position.NodeIndex)))}
	n.registry.events.At(r.from-firstRequests, s.scheduleRequest)
	return s
}

// start starts the node's process with the list of the previous one.
func (s *sender) start(seed uint64) {
	now := s.node.registry.now
	s.attempts, s.connections = map[uint64]int{}, [releaseServers]timeOfConnection{}
	s.balancer = decide.New(decide.Settings{
		Node: s.node.position.NodeIndex, Nodes: s.node.position.NodeCount, Tiers: 1, Zone: strconv.Itoa(s.node.position.NodeIndex % 2), Zones: 2,
		Classes:     []decide.Class{{LatencyTarget: 2 * time.Second, Deadline: requestTTL, Worth: 1}},
		MaxAttempts: 4, DrainGrace: drainGrace, AnswerGrace: 10 * time.Millisecond, ColdCapacity: 0.4, WarmupTime: 5 * time.Second,
		CollapseMultiple: 2.5, CollapseWindow: time.Second,
	}, seed, now)
	s.confirmation = endpoints.NewConfirmation(now)
	entries := make([]decide.Server, releaseServers)
	for i := range entries {
		entries[i] = releaseEntry(i, decide.Healthy, 0)
	}
	for _, e := range s.release.events[:s.known] {
		entries[e.server] = e.entry
	}
	s.update(decide.ListUpdate{Kind: decide.ListStored, Servers: entries})
}

// update passes an update of the list to the balancer.
func (s *sender) update(u decide.ListUpdate) {
	s.perform(s.balancer.HandleList(s.node.registry.now, u, nil))
}

// handleAnswer processes an answer that holds the list up to a version.
func (s *sender) handleAnswer(c *registryCall, version int, paused bool) {
	now := s.node.registry.now
	asOf, until := max(1, s.confirmation.RecordAnswer(now, now-c.startedAt, c.pollEnd-c.startedAt)), time.Duration(0)
	var entries []decide.Server
	for ; s.known < version; s.known++ {
		entries = append(entries, s.release.events[s.known].entry)
	}
	s.update(decide.ListUpdate{Kind: decide.ListDiff, Servers: entries})
	if paused {
		until = s.confirmation.ConfirmedUntil()
	}
	s.update(decide.ListUpdate{Kind: decide.ListLocal, AsOf: asOf, ConfirmedUntil: until})
}

// handleFailure processes a call that failed or timed out.
func (s *sender) handleFailure(c *registryCall, reason endpoints.FailureReason) {
	now := s.node.registry.now
	u := decide.ListUpdate{Kind: decide.ListFailed}
	if reason == endpoints.PollTimedOut {
		u.Kind = decide.ListLocal
	}
	u.ConfirmedUntil = s.confirmation.RecordFailure(now, endpoints.CallFailure{Reason: reason, Took: now - c.startedAt, PollWait: c.pollEnd - c.startedAt})
	s.update(u)
}

// handleMove processes a new address of the registry.
func (s *sender) handleMove() {
	s.update(decide.ListUpdate{Kind: decide.ListLocal, ConfirmedUntil: s.confirmation.RecordMove(s.node.registry.now)})
}

// handleOpenPoll processes that a long poll has been open for so long that the registry must have accepted it.
func (s *sender) handleOpenPoll() {
	asOf, until := s.confirmation.RecordOpenPoll(s.node.registry.now)
	s.update(decide.ListUpdate{Kind: decide.ListLocal, AsOf: max(1, asOf), ConfirmedUntil: until})
}

// scheduleRequest schedules the next request.
func (s *sender) scheduleRequest() {
	registry := s.node.registry
	registry.after(time.Duration(-math.Log(1-s.rng.Float64())/s.release.requestRate*float64(time.Second)), func() {
		if registry.now >= s.release.until {
			return
		}
		s.scheduleRequest()
		if registry.now < s.release.from {
			s.counts = sendCounts{}
		}
		if s.node.alive {
			s.lastID++
			s.counts.requests++
			s.perform(s.balancer.HandleRequest(registry.now, decide.Request{ID: s.lastID, Tenant: -1, TTL: requestTTL}, nil))
		}
	})
}

// perform carries out the actions of the balancer.
func (s *sender) perform(actions []decide.Action) {
	for _, a := range actions {
		switch a.Kind {
		case decide.Send:
			s.send(a.Request, a.Server)
		case decide.StartTimer:
			s.afterIfRunning(a.Wait, func() {
				s.perform(s.balancer.HandleTimer(s.node.registry.now, decide.Timer{Token: a.Token}, nil))
			})
		}
	}
}

// afterIfRunning schedules an event of the node's present process.
func (s *sender) afterIfRunning(delay time.Duration, do func()) {
	incarnation := s.node.incarnation
	s.node.registry.after(delay, func() {
		if s.node.incarnation == incarnation {
			do()
		}
	})
}

// send judges an attempt, and schedules its outcome.
func (s *sender) send(request uint64, name string) {
	now := s.node.registry.now
	server, _ := strconv.Atoi(name)
	if s.breaksRule(server) {
		s.counts.breaches++
	}
	started, draining := s.release.runsSince(server, now)
	connection := &s.connections[server]
	if connection.opened < started || now-connection.used > serverConnTimeout {
		connection.opened = now
	}
	connection.used = now
	o := decide.Outcome{
		Request: request, Attempt: s.attempts[request], Server: name, Result: decide.Served, Elapsed: responseTime,
		ConnAge: now + responseTime - connection.opened, Final: true,
	}
	if s.release.rejectsWork && draining > 0 && now > draining+acceptsAfterDrain {
		o.Result, o.Final = decide.Rejected, false
	}
	s.attempts[request]++
	s.afterIfRunning(responseTime, func() {
		if o.Final {
			s.counts.served++
		}
		s.perform(s.balancer.HandleOutcome(s.node.registry.now, o, nil))
	})
}

// breaksRule reports whether the node has been deemed to know for longer than the drain grace that the server does
// not serve.
func (s *sender) breaksRule(server int) bool {
	health, since := decide.Healthy, time.Duration(0)
	for i, e := range s.release.events {
		knownAt := s.release.knownAt(e.at)
		if s.node.startedAt > s.release.from { // restarted during the day
			knownAt = max(knownAt, s.node.startedAt+startGrace)
		}
		if e.server == server && (i < s.known || knownAt <= s.node.registry.now) {
			health, since = e.entry.Health, knownAt
		}
	}
	return health != decide.Healthy && s.node.registry.now > since+drainGrace+sendTolerance
}

// Nodes that do not know whether their list is current must neither send to drained servers nor refuse what they
// get, as long as draining servers reject work. Where these go on answering, nothing that a node sees tells a drain
// from an outage of the registry, and nodes that receive a drain late send to the server meanwhile.
func TestUnconfirmedListsServeWithoutBreaches(t *testing.T) {
	const requestRate, minServed = 5, 0.99
	seeds := 3 * registrySeeds()
	for _, nodes := range []int{24, 60} {
		for _, fleetCallTime := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
			for _, day := range drainDays(nodes, fleetCallTime) {
				t.Run(fmt.Sprintf("%d nodes, %v, %s", nodes, fleetCallTime, day.name), func(t *testing.T) {
					day.duration = 30 * time.Second
					day.release = newRelease(&day, true, requestRate)
					var all sendCounts
					for seed := range seeds {
						for _, n := range runFleet(day.fleetDay, seed).nodes {
							all.requests += n.sender.counts.requests
							all.served += n.sender.counts.served
							all.breaches += n.sender.counts.breaches
						}
					}
					served := float64(all.served) / float64(max(1, all.requests))
					t.Logf("%d requests, %.4f served, %d breaches", all.requests, served, all.breaches)
					if all.requests == 0 || served < minServed || all.breaches > 0 {
						t.Errorf("%.3f of %d requests served, want at least %.2f; %d to drained servers", served, all.requests, minServed, all.breaches)
					}
				})
			}
		}
	}
}
