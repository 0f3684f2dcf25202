package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"curlewring/decide"
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/rig/standin/judge"
	"curlewring/internal/rig/timeline"
	"curlewring/internal/servers/stalelist"
)

// server is a simulated server.
type server struct {
	id                 string
	index              int
	tier               int
	site               int
	cores              int
	speed              float64
	slots              int
	maxRequests        int           // limit of inFlight: slots and queue
	started            time.Duration // balancer time of the process start; 0: warm from the beginning
	down               bool
	rejectsAll         bool
	failsFast          bool
	stuck              bool // calls to the lower tier get no response
	slowdown           float64
	busyCores          int
	inFlight           int
	queue              []*serverAttempt
	backlog            time.Duration // queued and running work, at speed 1
	attempts           int
	attemptsThisSecond int   // reset every second, see samplePeakLoad
	lowerNode          *node // nil: there is no lower tier
	incarnation        int   // incremented whenever its process ends
	staleKind          int   // what answers at the address of a server that no longer exists; 0: it exists
	congestedUntil     time.Duration
	meanInFlight       float64
	meanUpdatedAt      time.Duration
	coldArrivals       []arrival
	collapsed          bool
}

// arrival is work that reached a cold server.
type arrival struct {
	at   time.Duration
	work time.Duration
}

// node is a simulated node that runs the real balancer.
type node struct {
	index          int
	tier           int
	site           int
	name           string
	balancer       *decide.Balancer
	requests       map[uint64]*nodeRequest
	actionBuffer   []decide.Action
	dead           bool
	incarnation    int
	connectedSince map[*server]time.Duration // servers with connections, and since when
	idleConns      map[*server]int           // idle connections to each server
	nextRequestID  uint64
	// The next four fields are used only while the node works from a stale list.
	staleList        *stalelist.Table
	staleListEntries map[string]decide.Server
	priorRate        float64
	nextRetryAt      time.Duration
	pool             *poolParticipant // nil: budgets are not pooled
}

// nodeRequest is a request at one node.
type nodeRequest struct {
	id        uint64
	judgeKey  string // the request's key at the judge; "": not judged
	class     int
	work      time.Duration
	startedAt time.Duration
	ttl       time.Duration
	attempts  []*serverAttempt
	answered  bool
	done      func(outcome judge.RequestOutcome, retryAfter time.Duration)
}

// serverAttempt is an attempt of a request at a server.
type serverAttempt struct {
	request           *nodeRequest
	node              *node
	number            int
	server            *server
	sentAt            time.Duration
	latency           time.Duration // one-way, between its node and its server
	nodeIncarnation   int           // of the process that sent it
	reported          bool          // the node has its outcome
	arrived           bool          // it has reached a running server
	judgeID           int           // number of the attempt at the judge; -1: not judged; -2: the server stopped
	serverIncarnation int           // of the process that it has reached
	started           bool
	endRecorded       bool // the judge has been given the outcome
	abandoned         bool // its node no longer waits for it
	work              time.Duration
	lowerCallsLeft    int // calls to the lower tier that remain to be made
}

// run is the state of a simulation.
type run struct {
	config           Config
	settings         decide.Settings
	rng              *rand.Rand
	now              time.Duration
	events           timeline.Events
	nodes            []*node
	lowerNodes       []*node
	servers          [2][]*server
	serversByID      [2]map[string]*server
	judge            *judge.Judge
	keyExecutedAt    map[string]time.Duration // keyed requests, by tier, rack and key
	result           Result
	rateFactor       float64
	nextRequestKey   uint64
	nextServerNumber int
	openRequests     int
	peakLoadRatios   []float64
	sitesCut         func(a, b int) bool // whether a partition separates two sites; nil: no partition
	answerLoss       float64             // fraction of responses that are lost
	resetShare       float64             // fraction of responses replaced by a connection reset
	listSentUntil    [2]time.Duration    // when discovery finishes sending its queued lines, by tier
	staleEntries     []*server           // servers of a stale list that no longer exist
	poolMembers      []allowance.Member  // members of the pool, the same view for all nodes
	worthBySite      [][2]float64        // by site of entry: worth served in time, and worth requested
}

// Run simulates a configuration to its end.
func Run(config Config) *Result {
	r := newRun(config)
	for _, step := range config.Steps {
		r.at(step.At, func() { r.applyStep(step) })
	}
	if config.Churn > 0 {
		r.scheduleChurn()
	}
	r.samplePeakLoad()
	r.scheduleArrival()
	r.processEvents(func() bool { return r.now > config.Duration && r.openRequests == 0 })
	return r.summarize()
}

// processEvents processes the events in the order of their times until there are none, or until ended reports true.
func (r *run) processEvents(ended func() bool) {
	for _, more := r.events.Next(); more; _, more = r.events.Next() {
		var do func()
		r.now, do = r.events.Pop()
		r.result.Events++
		do()
		if ended() {
			break
		}
	}
}

// newRun returns a run with its servers and nodes, without traffic.
func newRun(config Config) *run {
	r := &run{config: config, rng: rand.New(rand.NewPCG(config.Seed, 77)), rateFactor: 1, keyExecutedAt: map[string]time.Duration{}}
	r.result.Classes = make([]ClassResult, len(config.Classes))
	r.worthBySite = make([][2]float64, max(1, config.Sites))
	rules := judge.Rules{MaxAttempts: 4, DrainGrace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond, AllowHedging: config.AllowHedging}
	idempotencies := map[decide.Idempotency]judge.Idempotency{decide.Idempotent: judge.Idempotent, decide.Keyed: judge.Keyed, decide.AtMostOnce: judge.AtMostOnce}
	groups := map[decide.Group]judge.Group{decide.GroupAll: judge.GroupAll, decide.GroupZone: judge.GroupSite, decide.GroupCell: judge.GroupRack}
	for i, class := range config.Classes {
		r.settings.Classes = append(r.settings.Classes, class.Class)
		rules.Classes = append(rules.Classes, judge.Class{
			Name: strconv.Itoa(i), Idempotency: idempotencies[class.Idempotency], Group: groups[class.Group], KeyTTL: class.KeyTTL,
		})
	}
	r.judge = judge.New(rules)
	r.buildSettings()
	r.buildFleet()
	r.addStaleEntries()
	for i := range config.Nodes {
		r.nodes = append(r.nodes, r.newNode(i, 0, i%max(1, config.Sites)))
	}
	return r
}

// buildSettings fills in the settings that all nodes share.
func (r *run) buildSettings() {
	c := &r.config
	tiers := 1
	if len(c.LowerKinds) > 0 {
		tiers = 2
	}
	reportedNodes := c.Nodes
	if c.ReportedNodes != 0 {
		reportedNodes = max(0, c.ReportedNodes)
	}
	r.settings.Nodes, r.settings.Tiers, r.settings.Zones = reportedNodes, tiers, c.Sites
	r.settings.MaxAttempts, r.settings.MayCancel, r.settings.MayHedge = 4, true, c.AllowHedging
	r.settings.MayAdviseRetry, r.settings.MaxRetryAfter = c.MaxRetryAfter > 0, c.MaxRetryAfter
	r.settings.ColdCapacity, r.settings.WarmupTime, r.settings.CollapseMultiple, r.settings.CollapseWindow = c.ColdCapacity, c.WarmupTime, 2.5, time.Second
	r.settings.DrainGrace, r.settings.AnswerGrace, r.settings.ConnIdleTimeout = 500*time.Millisecond, 10*time.Millisecond, 10*time.Second
	r.settings.MarksRetries, r.settings.PropagatesDeadline, r.settings.LimitMode = true, true, c.LimitMode
	r.settings.Penalties.Handshake = c.HandshakePenalty
}

// buildFleet creates the servers of all tiers, and a node of the lower tier for each server of the first.
func (r *run) buildFleet() {
	for tier, kinds := range [][]ServerKind{r.config.Kinds, r.config.LowerKinds} {
		r.serversByID[tier] = map[string]*server{}
		for _, kind := range kinds {
			for range kind.Count {
				r.newServer(tier, kind, len(r.servers[tier])%max(1, r.config.Sites))
			}
		}
	}
	if len(r.config.LowerKinds) == 0 {
		return
	}
	for i, srv := range r.servers[0] {
		srv.lowerNode = r.newNode(i, 1, srv.site)
		r.lowerNodes = append(r.lowerNodes, srv.lowerNode)
	}
}

// newServer creates a server at the end of its tier.
func (r *run) newServer(tier int, kind ServerKind, site int) *server {
	srv := &server{
		id: fmt.Sprintf("t%d-%05d-%08x", tier, r.nextServerNumber, r.rng.Uint32()), index: len(r.servers[tier]), tier: tier, site: site,
		cores: kind.Cores, speed: kind.Speed, slots: kind.Slots, slowdown: 1,
	}
	r.nextServerNumber++
	if srv.slots == 0 {
		srv.slots = 16 * kind.Cores
	}
	queueLength := kind.Queue
	if queueLength == 0 {
		queueLength = 32 * kind.Cores
	}
	srv.maxRequests = srv.slots + queueLength
	r.servers[tier] = append(r.servers[tier], srv)
	r.serversByID[tier][srv.id] = srv
	r.judge.AddServer(srv.id, r.location(srv))
	return srv
}

// location returns a server's location as the judge knows it.
func (r *run) location(srv *server) judge.Location {
	return judge.Location{Site: strconv.Itoa(srv.site), Rack: r.rack(srv)}
}

// rack returns the number of a server's rack, which holds four servers of a site.
func (r *run) rack(srv *server) int { return srv.site*100000 + srv.index/max(1, r.config.Sites)/4 }

// listEntry returns a server's entry in the list.
func (r *run) listEntry(srv *server, health decide.Health) decide.Server {
	return decide.Server{ID: srv.id, Zone: strconv.Itoa(srv.site), Cell: r.rack(srv), Health: health, Weight: 1, Started: srv.started}
}

// newNode creates a node and starts its process.
func (r *run) newNode(i, tier, site int) *node {
	n := &node{index: i, tier: tier, site: site, name: fmt.Sprintf("n%d-%d", tier, i), connectedSince: map[*server]time.Duration{}}
	r.startNode(n)
	return n
}

// startNode starts a node's process with the current list, or with an old one if so configured.
func (r *run) startNode(n *node) {
	settings := r.settings
	settings.Node, settings.Tier, settings.Zone = n.index, n.tier, strconv.Itoa(n.site)
	if n.tier > 0 {
		settings.Nodes = len(r.servers[0])
	}
	n.balancer = decide.New(settings, r.rng.Uint64(), r.balancerTime(r.now))
	n.requests = map[uint64]*nodeRequest{}
	n.idleConns = map[*server]int{}
	n.dead = false
	r.joinPool(n)
	if r.config.StaleList != nil && n.tier == 0 {
		r.startOnStaleList(n)
		return
	}
	var servers []decide.Server
	for _, srv := range r.servers[n.tier] {
		if !srv.down {
			servers = append(servers, r.listEntry(srv, decide.Healthy))
		}
	}
	r.perform(n, n.balancer.HandleList(r.balancerTime(r.now), decide.ListUpdate{Kind: decide.ListFull, Servers: servers}, n.actionBuffer[:0]))
}

// balancerTime converts virtual time to the balancer's time, which starts at one hour so that no server's
// start time is 0.
func (r *run) balancerTime(t time.Duration) time.Duration { return t + time.Hour }

// at schedules an event at a time, but not in the past.
func (r *run) at(t time.Duration, do func()) {
	r.events.At(max(t, r.now), do)
}

// after schedules an event after a delay.
func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// publish sends a server's entry to all nodes of its tier, to each with its own delay.
func (r *run) publish(srv *server, health decide.Health) {
	entry := r.listEntry(srv, health)
	nodes := r.nodes
	if srv.tier > 0 {
		nodes = r.lowerNodes
	}
	if r.config.ListLineRate > 0 { // so that no node is always the first
		nodes = slices.Clone(nodes)
		r.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	for _, n := range nodes {
		incarnation := n.incarnation
		delay := time.Duration((0.5 + r.rng.Float64()/2) * float64(r.config.ListDelay))
		if r.config.ListLineRate > 0 { // lines are sent one after the other
			sentAt := max(r.listSentUntil[srv.tier], r.now) + time.Duration(float64(time.Second)/r.config.ListLineRate)
			r.listSentUntil[srv.tier] = sentAt
			delay = max(delay, sentAt-r.now)
		}
		r.after(delay, func() {
			if n.dead || n.incarnation != incarnation {
				return
			}
			if r.config.JudgeEvery <= 1 {
				state := map[decide.Health]judge.State{decide.Healthy: judge.Serving, decide.Draining: judge.Draining, decide.Removed: judge.Gone}[health]
				r.judge.StateWritten(r.now, n.name, srv.id, state)
			}
			r.perform(n, n.balancer.HandleList(r.balancerTime(r.now), decide.ListUpdate{Kind: decide.ListDiff, Servers: []decide.Server{entry}}, n.actionBuffer[:0]))
			if n.pool != nil && health == decide.Healthy { // it needs a grant before the next request
				r.runPoolTick(n)
			}
		})
	}
}

// samplePeakLoad records, every second, the ratio of the busiest server's attempts to the mean.
func (r *run) samplePeakLoad() {
	r.after(time.Second, func() {
		peak, sum := 0, 0
		for _, srv := range r.servers[0] {
			peak, sum = max(peak, srv.attemptsThisSecond), sum+srv.attemptsThisSecond
			srv.attemptsThisSecond = 0
		}
		if sum > 0 {
			r.peakLoadRatios = append(r.peakLoadRatios, float64(peak)*float64(len(r.servers[0]))/float64(sum))
		}
		if r.now < r.config.Duration {
			r.samplePeakLoad()
		}
	})
}

// summarize fills in the result at the end of a run.
func (r *run) summarize() *Result {
	res := &r.result
	worth, servedWorth := 0.0, 0.0
	clientAttempts, wrongRefusals, late, requests := 0, 0, 0, 0
	for i, c := range res.Classes {
		classWorth := r.config.Classes[i].Worth
		worth += classWorth * float64(c.Requests)
		servedWorth += classWorth * float64(c.Served)
		clientAttempts, wrongRefusals, late, requests = clientAttempts+c.ClientAttempts, wrongRefusals+c.WrongRefusals, late+c.Late, requests+c.Requests
	}
	if worth > 0 {
		res.ServedWorth = servedWorth / worth
		res.WrongRefusalShare = float64(wrongRefusals) / float64(max(1, clientAttempts))
		res.LateShare = float64(late) / float64(max(1, requests))
	}
	for _, s := range r.worthBySite {
		res.ServedWorthBySite = append(res.ServedWorthBySite, s[0]/max(s[1], 1))
	}
	nodesByServer := map[*server]int{}
	for _, n := range r.nodes {
		for srv := range n.connectedSince {
			nodesByServer[srv]++
		}
	}
	sum := 0
	for _, k := range nodesByServer {
		sum += k
	}
	res.ConnsPerServer = float64(sum) / float64(max(1, len(r.servers[0])))
	for _, srv := range r.servers[0] {
		res.AttemptsByServer = append(res.AttemptsByServer, srv.attempts)
		res.Capacity = append(res.Capacity, float64(srv.cores)*srv.speed)
	}
	for _, x := range r.peakLoadRatios {
		res.PeakLoadRatio += x / float64(len(r.peakLoadRatios))
	}
	res.Elapsed = r.now
	for _, breach := range r.judge.Check(r.now).Breaches {
		res.Breaches = append(res.Breaches, breach.String())
	}
	return res
}
