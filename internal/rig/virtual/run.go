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

// box is one box.
type server struct {
	id       string
	index    int
	tier     int
	site     int
	cores    int
	speed    float64
	slots    int
	maxRequests     int // slots and queue
	started  time.Duration
	down     bool
	rejectsAll    bool
	failsFast     bool
	stuck    bool
	slowdown   float64
	busyCores     int
	inFlight     int
	queue  []*serverAttempt
	backlog  time.Duration // work that waits or runs, at speed 1
	attempts     int
	attemptsThisSecond   int // attempts in this second
	lowerNode     *node
	incarnation     int // raised with every end of its process
	staleKind    int // what stands at its address, as it is no more; 0: it is
	congestedUntil   time.Duration
	meanInFlight float64
	meanUpdatedAt   time.Duration
	coldArrivals     []arrival
	collapsed   bool
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// node is one node with the real module.
type node struct {
	index  int
	tier   int
	site   int
	name   string
	balancer      *decide.Balancer
	requests  map[uint64]*nodeRequest
	actionBuffer    []decide.Action
	dead   bool
	incarnation   int
	connectedSince   map[*server]time.Duration // since when it has connections to a box
	idleConns   map[*server]int           // connections
	nextRequestID uint64
	// While it goes by an old list:
	staleList  *stalelist.Table
	oldEntries    map[string]decide.Server
	priorRate    float64
	nextRetryAt time.Duration
	pool    *poolParticipant // nil: none
}

// call is one request at one node.
type nodeRequest struct {
	id       uint64
	judgeKey      string // as the judge knows it; "": not judged
	class    int
	work     time.Duration
	startedAt    time.Duration
	ttl      time.Duration
	attempts    []*serverAttempt
	answered bool
	done     func(e judge.RequestOutcome, advice time.Duration)
}

// task is one attempt at a box.
type serverAttempt struct {
	request    *nodeRequest
	node    *node
	number  int
	server     *server
	sentAt    time.Duration
	reported    bool // the node has its outcome
	judgeID int  // number at the judge; -1: not judged
	serverIncarnation    int
	started   bool
	endRecorded   bool // the judge has its end
	abandoned    bool // its node has given it up
	work    time.Duration
	lowerCallsLeft   int // calls to the tier below that are still to be made
}

// run is one run.
type run struct {
	config       Config
	settings     decide.Settings
	rng     *rand.Rand
	now     time.Duration
	events  timeline.Events
	nodes   []*node
	lowerNodes   []*node
	servers   [2][]*server
	serversByID    [2]map[string]*server
	judge   *judge.Judge
	keyExecutedAt    map[string]time.Duration // keyed requests, by rack
	result  Result
	rateFactor    float64
	nextRequestKey uint64
	nextServerNumber int
	openRequests    int
	peakLoadRatios []float64
	sitesCut   func(a, b int) bool // sites that a cut parts; nil: none
	answerLoss    float64             // part of the answers that are lost
	resetShare  float64             // part of the answers in whose place the connection is reset
	listSentUntil    [2]time.Duration    // when discovery has sent all that it has to tell, by tier
	staleEntries     []*server              // entries of an old list that are no more
	poolMembers    []allowance.Member  // nodes, as all know them
	worthBySite   [][2]float64        // worth served within the aim, and asked for, where it came in
}

// Run plays a configuration to its end.
func Run(c Config) *Result {
	r := &run{config: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), rateFactor: 1, keyExecutedAt: map[string]time.Duration{}}
	r.result.Classes = make([]ClassResult, len(c.Classes))
	r.worthBySite = make([][2]float64, max(1, c.Sites))
	rules := judge.Rules{MaxAttempts: 4, DrainGrace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond, AllowHedging: c.AllowHedging}
	effects := map[decide.Idempotency]judge.Idempotency{decide.Idempotent: judge.Idempotent, decide.Keyed: judge.Keyed, decide.AtMostOnce: judge.AtMostOnce}
	groups := map[decide.Group]judge.Group{decide.GroupAll: judge.GroupAll, decide.GroupZone: judge.GroupSite, decide.GroupCell: judge.GroupRack}
	for i, x := range c.Classes {
		r.settings.Classes = append(r.settings.Classes, x.Class)
		rules.Classes = append(rules.Classes, judge.Class{
			Name: strconv.Itoa(i), Idempotency: effects[x.Idempotency], Group: groups[x.Group], KeyTTL: x.KeyTTL,
		})
	}
	r.judge = judge.New(rules)
	r.buildSettings()
	r.buildFleet()
	r.addStaleEntries()
	for i := range c.Nodes {
		r.nodes = append(r.nodes, r.newNode(i, 0, i%max(1, c.Sites)))
	}
	for _, s := range c.Steps {
		r.at(s.At, func() { r.applyStep(s) })
	}
	if c.Churn > 0 {
		r.scheduleChurn()
	}
	r.samplePeakLoad()
	r.scheduleArrival()
	for _, more := r.events.Next(); more; _, more = r.events.Next() {
		var do func()
		r.now, do = r.events.Pop()
		r.result.Events++
		do()
		if r.now > c.Duration && r.openRequests == 0 {
			break
		}
	}
	return r.summarize()
}

func (r *run) buildSettings() {
	c := &r.config
	tiers := 1
	if len(c.LowerKinds) > 0 {
		tiers = 2
	}
	told := c.Nodes
	if c.ReportedNodes != 0 {
		told = max(0, c.ReportedNodes)
	}
	r.settings.Nodes, r.settings.Tiers, r.settings.Zones = told, tiers, c.Sites
	r.settings.MaxAttempts, r.settings.MayCancel, r.settings.MayHedge = 4, true, c.AllowHedging
	r.settings.MayAdviseRetry, r.settings.MaxRetryAfter = c.MaxRetryAfter > 0, c.MaxRetryAfter
	r.settings.ColdCapacity, r.settings.WarmupTime, r.settings.CollapseMultiple, r.settings.CollapseWindow = c.ColdCapacity, c.WarmupTime, 2.5, time.Second
	r.settings.DrainGrace, r.settings.AnswerGrace, r.settings.ConnIdleTimeout = 500*time.Millisecond, 10*time.Millisecond, 10*time.Second
	r.settings.MarksRetries, r.settings.PropagatesDeadline, r.settings.LimitMode = true, true, c.LimitMode
	r.settings.Penalties.Handshake = c.HandshakePenalty
}

func (r *run) buildFleet() {
	for tier, kinds := range [][]ServerKind{r.config.Kinds, r.config.LowerKinds} {
		r.serversByID[tier] = map[string]*server{}
		for _, k := range kinds {
			for range k.Count {
				r.newServer(tier, k, len(r.servers[tier])%max(1, r.config.Sites))
			}
		}
	}
	if len(r.config.LowerKinds) == 0 {
		return
	}
	for i, b := range r.servers[0] {
		b.lowerNode = r.newNode(i, 1, b.site)
		r.lowerNodes = append(r.lowerNodes, b.lowerNode)
	}
}

func (r *run) newServer(tier int, k ServerKind, site int) *server {
	b := &server{
		id: fmt.Sprintf("t%d-%05d-%08x", tier, r.nextServerNumber, r.rng.Uint32()), index: len(r.servers[tier]), tier: tier, site: site,
		cores: k.Cores, speed: k.Speed, slots: k.Slots, slowdown: 1,
	}
	r.nextServerNumber++
	if b.slots == 0 {
		b.slots = 16 * k.Cores
	}
	waiting := k.Queue
	if waiting == 0 {
		waiting = 32 * k.Cores
	}
	b.maxRequests = b.slots + waiting
	r.servers[tier] = append(r.servers[tier], b)
	r.serversByID[tier][b.id] = b
	r.judge.AddServer(b.id, r.location(b))
	return b
}

func (r *run) location(b *server) judge.Location {
	return judge.Location{Site: strconv.Itoa(b.site), Rack: r.rack(b)}
}

// cell is a box's rack: four boxes of one site.
func (r *run) rack(b *server) int { return b.site*100000 + b.index/max(1, r.config.Sites)/4 }

// entry is a box as the list tells it.
func (r *run) listEntry(b *server, h decide.Health) decide.Server {
	return decide.Server{ID: b.id, Zone: strconv.Itoa(b.site), Cell: r.rack(b), Health: h, Weight: 1, Started: b.started}
}

func (r *run) newNode(i, tier, site int) *node {
	n := &node{index: i, tier: tier, site: site, name: fmt.Sprintf("n%d-%d", tier, i), connectedSince: map[*server]time.Duration{}}
	r.startNode(n)
	return n
}

// begin starts a node's process with the list of now.
func (r *run) startNode(n *node) {
	set := r.settings
	set.Node, set.Tier, set.Zone = n.index, n.tier, strconv.Itoa(n.site)
	if n.tier > 0 {
		set.Nodes = len(r.servers[0])
	}
	n.balancer = decide.New(set, r.rng.Uint64(), r.balancerTime(r.now))
	n.requests = map[uint64]*nodeRequest{}
	n.idleConns = map[*server]int{}
	n.dead = false
	r.joinPool(n)
	if r.config.OldList != nil && n.tier == 0 {
		r.startOnOldList(n)
		return
	}
	var all []decide.Server
	for _, b := range r.servers[n.tier] {
		if !b.down {
			all = append(all, r.listEntry(b, decide.Healthy))
		}
	}
	r.perform(n, n.balancer.HandleList(r.balancerTime(r.now), decide.ListUpdate{Kind: decide.ListFull, Servers: all}, n.actionBuffer[:0]))
}

// start makes times of the module: they count from one hour, so that a box's
// start is never 0.
func (r *run) balancerTime(t time.Duration) time.Duration { return t + time.Hour }

func (r *run) at(t time.Duration, do func()) {
	r.events.At(max(t, r.now), do)
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// tell brings word of a box to all nodes of its tier, each somewhat later.
func (r *run) publish(b *server, h decide.Health) {
	e := r.listEntry(b, h)
	nodes := r.nodes
	if b.tier > 0 {
		nodes = r.lowerNodes
	}
	if r.config.ListLineRate > 0 { // no node is always the first
		nodes = slices.Clone(nodes)
		r.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	for _, n := range nodes {
		life := n.incarnation
		wait := time.Duration((0.5 + r.rng.Float64()/2) * float64(r.config.ListDelay))
		if r.config.ListLineRate > 0 { // one line after another
			free := max(r.listSentUntil[b.tier], r.now) + time.Duration(float64(time.Second)/r.config.ListLineRate)
			r.listSentUntil[b.tier] = free
			wait = max(wait, free-r.now)
		}
		r.after(wait, func() {
			if n.dead || n.incarnation != life {
				return
			}
			if r.config.JudgeEvery <= 1 {
				state := map[decide.Health]judge.State{decide.Healthy: judge.Serving, decide.Draining: judge.Draining, decide.Removed: judge.Gone}[h]
				r.judge.StateWritten(r.now, n.name, b.id, state)
			}
			r.perform(n, n.balancer.HandleList(r.balancerTime(r.now), decide.ListUpdate{Kind: decide.ListDiff, Servers: []decide.Server{e}}, n.actionBuffer[:0]))
			if n.pool != nil && h == decide.Healthy { // before the next request
				r.runPoolTick(n)
			}
		})
	}
}

// everySecond books the busiest box of the second.
func (r *run) samplePeakLoad() {
	r.after(time.Second, func() {
		most, sum := 0, 0
		for _, b := range r.servers[0] {
			most, sum = max(most, b.attemptsThisSecond), sum+b.attemptsThisSecond
			b.attemptsThisSecond = 0
		}
		if sum > 0 {
			r.peakLoadRatios = append(r.peakLoadRatios, float64(most)*float64(len(r.servers[0]))/float64(sum))
		}
		if r.now < r.config.Duration {
			r.samplePeakLoad()
		}
	})
}

func (r *run) summarize() *Result {
	res := &r.result
	worth, got := 0.0, 0.0
	tries, wrong, late, asked := 0, 0, 0, 0
	for i, c := range res.Classes {
		w := r.config.Classes[i].Worth
		worth += w * float64(c.Requests)
		got += w * float64(c.Served)
		tries, wrong, late, asked = tries+c.ClientAttempts, wrong+c.WrongRefusals, late+c.Late, asked+c.Requests
	}
	if worth > 0 {
		res.ServedWorth = got / worth
		res.WrongRefusalShare = float64(wrong) / float64(max(1, tries))
		res.LateShare = float64(late) / float64(max(1, asked))
	}
	for _, s := range r.worthBySite {
		res.ServedWorthBySite = append(res.ServedWorthBySite, s[0]/max(s[1], 1))
	}
	pairs := map[*server]int{}
	for _, n := range r.nodes {
		for b := range n.connectedSince {
			pairs[b]++
		}
	}
	sum := 0
	for _, k := range pairs {
		sum += k
	}
	res.ConnsPerServer = float64(sum) / float64(max(1, len(r.servers[0])))
	for _, b := range r.servers[0] {
		res.AttemptsByServer = append(res.AttemptsByServer, b.attempts)
		res.Capacity = append(res.Capacity, float64(b.cores)*b.speed)
	}
	for _, x := range r.peakLoadRatios {
		res.PeakLoadRatio += x / float64(len(r.peakLoadRatios))
	}
	res.AnsweringTime = r.now
	for _, b := range r.judge.Check(r.now).Breaches {
		res.Breaches = append(res.Breaches, b.String())
	}
	return res
}
