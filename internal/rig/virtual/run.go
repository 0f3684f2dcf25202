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
type box struct {
	id       string
	index    int
	tier     int
	site     int
	cores    int
	speed    float64
	slots    int
	room     int // slots and queue
	started  time.Duration
	down     bool
	turns    bool
	errs     bool
	stuck    bool
	slower   float64
	busy     int
	held     int
	waiting  []*task
	backlog  time.Duration // work that waits or runs, at speed 1
	sent     int
	second   int // attempts in this second
	node     *node
	life     int // raised with every end of its process
	stale    int // what stands at its address, as it is no more; 0: it is
	choked   time.Duration
	meanHeld float64
	meanAt   time.Duration
	fall     []arrival
	fallen   bool
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
	b      *decide.Balancer
	calls  map[uint64]*call
	buf    []decide.Action
	dead   bool
	life   int
	used   map[*box]time.Duration // since when it has connections to a box
	idle   map[*box]int           // connections
	nextID uint64
	// While it goes by an old list:
	doubts  *stalelist.Table
	past    map[string]decide.Server
	rate    float64
	againAt time.Duration
	pool    *pooling // nil: none
}

// call is one request at one node.
type call struct {
	id       uint64
	key      string // as the judge knows it; "": not judged
	class    int
	work     time.Duration
	asked    time.Duration
	ttl      time.Duration
	tries    []*task
	answered bool
	done     func(e judge.RequestOutcome, advice time.Duration)
}

// task is one attempt at a box.
type task struct {
	call    *call
	node    *node
	number  int
	box     *box
	sent    time.Duration
	over    bool // the node has its outcome
	arrived int  // number at the judge; -1: not judged
	life    int
	begun   bool
	ended   bool // the judge has its end
	left    bool // its node has given it up
	work    time.Duration
	below   int // calls to the tier below that are still to be made
}

// run is one run.
type run struct {
	c       Config
	set     decide.Settings
	rng     *rand.Rand
	now     time.Duration
	events  timeline.Events
	nodes   []*node
	inner   []*node
	boxes   [2][]*box
	byID    [2]map[string]*box
	judge   *judge.Judge
	seen    map[string]time.Duration // keyed requests, by rack
	result  Result
	rate    float64
	nextKey uint64
	nextBox int
	open    int
	busiest []float64
	apart   func(a, b int) bool // sites that a cut parts; nil: none
	mute    float64             // part of the answers that are lost
	resets  float64             // part of the answers in whose place the connection is reset
	free    [2]time.Duration    // when discovery has sent all that it has to tell, by tier
	old     []*box              // entries of an old list that are no more
	roll    []allowance.Member  // nodes, as all know them
	sites   [][2]float64        // worth served within the aim, and asked for, where it came in
}

// Run plays a configuration to its end.
func Run(c Config) *Result {
	r := &run{c: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), rate: 1, seen: map[string]time.Duration{}}
	r.result.Classes = make([]ClassResult, len(c.Classes))
	r.sites = make([][2]float64, max(1, c.Sites))
	rules := judge.Rules{MaxAttempts: 4, DrainGrace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond, AllowHedging: c.AllowHedging}
	effects := map[decide.Idempotency]judge.Idempotency{decide.Idempotent: judge.Idempotent, decide.Keyed: judge.Keyed, decide.AtMostOnce: judge.AtMostOnce}
	groups := map[decide.Group]judge.Group{decide.GroupAll: judge.GroupAll, decide.GroupZone: judge.GroupSite, decide.GroupCell: judge.GroupRack}
	for i, x := range c.Classes {
		r.set.Classes = append(r.set.Classes, x.Class)
		rules.Classes = append(rules.Classes, judge.Class{
			Name: strconv.Itoa(i), Idempotency: effects[x.Idempotency], Group: groups[x.Group], KeyTTL: x.KeyTTL,
		})
	}
	r.judge = judge.New(rules)
	r.settings()
	r.fleet()
	r.remember()
	for i := range c.Nodes {
		r.nodes = append(r.nodes, r.newNode(i, 0, i%max(1, c.Sites)))
	}
	for _, s := range c.Steps {
		r.at(s.At, func() { r.step(s) })
	}
	if c.Churn > 0 {
		r.churn()
	}
	r.everySecond()
	r.arrive()
	for _, more := r.events.Next(); more; _, more = r.events.Next() {
		var do func()
		r.now, do = r.events.Pop()
		r.result.Events++
		do()
		if r.now > c.Duration && r.open == 0 {
			break
		}
	}
	return r.finish()
}

func (r *run) settings() {
	c := &r.c
	tiers := 1
	if len(c.LowerKinds) > 0 {
		tiers = 2
	}
	told := c.Nodes
	if c.ReportedNodes != 0 {
		told = max(0, c.ReportedNodes)
	}
	r.set.Nodes, r.set.Tiers, r.set.Zones = told, tiers, c.Sites
	r.set.MaxAttempts, r.set.MayCancel, r.set.MayHedge = 4, true, c.AllowHedging
	r.set.MayAdviseRetry, r.set.MaxRetryAfter = c.MaxRetryAfter > 0, c.MaxRetryAfter
	r.set.ColdCapacity, r.set.WarmupTime, r.set.CollapseMultiple, r.set.CollapseWindow = c.ColdCapacity, c.WarmupTime, 2.5, time.Second
	r.set.DrainGrace, r.set.AnswerGrace, r.set.ConnIdleTimeout = 500*time.Millisecond, 10*time.Millisecond, 10*time.Second
	r.set.MarksRetries, r.set.PropagatesDeadline, r.set.LimitMode = true, true, c.LimitMode
	r.set.Penalties.Handshake = c.HandshakePenalty
}

func (r *run) fleet() {
	for tier, kinds := range [][]ServerKind{r.c.Kinds, r.c.LowerKinds} {
		r.byID[tier] = map[string]*box{}
		for _, k := range kinds {
			for range k.Count {
				r.newBox(tier, k, len(r.boxes[tier])%max(1, r.c.Sites))
			}
		}
	}
	if len(r.c.LowerKinds) == 0 {
		return
	}
	for i, b := range r.boxes[0] {
		b.node = r.newNode(i, 1, b.site)
		r.inner = append(r.inner, b.node)
	}
}

func (r *run) newBox(tier int, k ServerKind, site int) *box {
	b := &box{
		id: fmt.Sprintf("t%d-%05d-%08x", tier, r.nextBox, r.rng.Uint32()), index: len(r.boxes[tier]), tier: tier, site: site,
		cores: k.Cores, speed: k.Speed, slots: k.Slots, slower: 1,
	}
	r.nextBox++
	if b.slots == 0 {
		b.slots = 16 * k.Cores
	}
	waiting := k.Queue
	if waiting == 0 {
		waiting = 32 * k.Cores
	}
	b.room = b.slots + waiting
	r.boxes[tier] = append(r.boxes[tier], b)
	r.byID[tier][b.id] = b
	r.judge.AddServer(b.id, r.place(b))
	return b
}

func (r *run) place(b *box) judge.Location {
	return judge.Location{Site: strconv.Itoa(b.site), Rack: r.cell(b)}
}

// cell is a box's rack: four boxes of one site.
func (r *run) cell(b *box) int { return b.site*100000 + b.index/max(1, r.c.Sites)/4 }

// entry is a box as the list tells it.
func (r *run) entry(b *box, h decide.Health) decide.Server {
	return decide.Server{ID: b.id, Zone: strconv.Itoa(b.site), Cell: r.cell(b), Health: h, Weight: 1, Started: b.started}
}

func (r *run) newNode(i, tier, site int) *node {
	n := &node{index: i, tier: tier, site: site, name: fmt.Sprintf("n%d-%d", tier, i), used: map[*box]time.Duration{}}
	r.begin(n)
	return n
}

// begin starts a node's process with the list of now.
func (r *run) begin(n *node) {
	set := r.set
	set.Node, set.Tier, set.Zone = n.index, n.tier, strconv.Itoa(n.site)
	if n.tier > 0 {
		set.Nodes = len(r.boxes[0])
	}
	n.b = decide.New(set, r.rng.Uint64(), r.start(r.now))
	n.calls = map[uint64]*call{}
	n.idle = map[*box]int{}
	n.dead = false
	r.enroll(n)
	if r.c.OldList != nil && n.tier == 0 {
		r.beginOld(n)
		return
	}
	var all []decide.Server
	for _, b := range r.boxes[n.tier] {
		if !b.down {
			all = append(all, r.entry(b, decide.Healthy))
		}
	}
	r.carry(n, n.b.HandleList(r.start(r.now), decide.ListUpdate{Kind: decide.ListFull, Servers: all}, n.buf[:0]))
}

// start makes times of the module: they count from one hour, so that a box's
// start is never 0.
func (r *run) start(t time.Duration) time.Duration { return t + time.Hour }

func (r *run) at(t time.Duration, do func()) {
	r.events.At(max(t, r.now), do)
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// tell brings word of a box to all nodes of its tier, each somewhat later.
func (r *run) tell(b *box, h decide.Health) {
	e := r.entry(b, h)
	nodes := r.nodes
	if b.tier > 0 {
		nodes = r.inner
	}
	if r.c.ListLineRate > 0 { // no node is always the first
		nodes = slices.Clone(nodes)
		r.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	for _, n := range nodes {
		life := n.life
		wait := time.Duration((0.5 + r.rng.Float64()/2) * float64(r.c.ListDelay))
		if r.c.ListLineRate > 0 { // one line after another
			free := max(r.free[b.tier], r.now) + time.Duration(float64(time.Second)/r.c.ListLineRate)
			r.free[b.tier] = free
			wait = max(wait, free-r.now)
		}
		r.after(wait, func() {
			if n.dead || n.life != life {
				return
			}
			if r.c.JudgeEvery <= 1 {
				state := map[decide.Health]judge.State{decide.Healthy: judge.Serving, decide.Draining: judge.Draining, decide.Removed: judge.Gone}[h]
				r.judge.StateWritten(r.now, n.name, b.id, state)
			}
			r.carry(n, n.b.HandleList(r.start(r.now), decide.ListUpdate{Kind: decide.ListDiff, Servers: []decide.Server{e}}, n.buf[:0]))
			if n.pool != nil && h == decide.Healthy { // before the next request
				r.poolStep(n)
			}
		})
	}
}

// everySecond books the busiest box of the second.
func (r *run) everySecond() {
	r.after(time.Second, func() {
		most, sum := 0, 0
		for _, b := range r.boxes[0] {
			most, sum = max(most, b.second), sum+b.second
			b.second = 0
		}
		if sum > 0 {
			r.busiest = append(r.busiest, float64(most)*float64(len(r.boxes[0]))/float64(sum))
		}
		if r.now < r.c.Duration {
			r.everySecond()
		}
	})
}

func (r *run) finish() *Result {
	res := &r.result
	worth, got := 0.0, 0.0
	tries, wrong, late, asked := 0, 0, 0, 0
	for i, c := range res.Classes {
		w := r.c.Classes[i].Worth
		worth += w * float64(c.Requests)
		got += w * float64(c.Served)
		tries, wrong, late, asked = tries+c.Tries, wrong+c.WrongRefusals, late+c.Late, asked+c.Requests
	}
	if worth > 0 {
		res.ServedWorth = got / worth
		res.WrongRefusalShare = float64(wrong) / float64(max(1, tries))
		res.LateShare = float64(late) / float64(max(1, asked))
	}
	for _, s := range r.sites {
		res.ServedWorthBySite = append(res.ServedWorthBySite, s[0]/max(s[1], 1))
	}
	pairs := map[*box]int{}
	for _, n := range r.nodes {
		for b := range n.used {
			pairs[b]++
		}
	}
	sum := 0
	for _, k := range pairs {
		sum += k
	}
	res.ConnsPerServer = float64(sum) / float64(max(1, len(r.boxes[0])))
	for _, b := range r.boxes[0] {
		res.AttemptsByServer = append(res.AttemptsByServer, b.sent)
		res.Capacity = append(res.Capacity, float64(b.cores)*b.speed)
	}
	for _, x := range r.busiest {
		res.PeakLoadRatio += x / float64(len(r.busiest))
	}
	res.AnsweringTime = r.now
	for _, b := range r.judge.Check(r.now).Breaches {
		res.Breaches = append(res.Breaches, b.String())
	}
	return res
}
