package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/standin/judge"
)

// entry is a box as discovery lists it, in the protocol's form.
type entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

func (e *entry) state() judge.State {
	switch e.Lifecycle {
	case "DRAINING":
		return judge.Draining
	case "DELETED":
		return judge.Gone
	}
	return judge.Serving
}

// change is one version of the list.
type listVersion struct {
	entry
	publishedAt time.Duration // from when answers hold it
}

// Discovery is the discovery service of one tier: it answers calls for the whole list, and long polls that wait for
// changes. It publishes each change some time after it happened, works through the calls of all nodes in turn at its
// capacity, and may be down for a while.
type Discovery struct {
	clock Clock
	judge *judge.Judge

	mu                sync.Mutex
	versions          []listVersion // version n is changes[n-1]
	publishDelay      time.Duration // from a change to its publication
	publishEvery      time.Duration // changes become visible at multiples of this; 0: each by itself
	capacity          registry.Settings
	queue             *registry.Queue // of the work that calls of all nodes cost
	isDown            bool
	outages           int           // raised each time that it goes down, so that calls under way fail
	outageAnswerDelay time.Duration // a call that comes while it is down is answered 503 after so long; 0: it is cut off
	isEmpty           bool          // answers hold no server
	backupAt          time.Duration // answers are those of this time; 0: of now
	falseListChanges  int           // raised with each false list that begins or ends, so that open long polls are answered
	changed           chan struct{} // closed and replaced with every change of any kind
	endpoints         []*discoveryEndpoint
	callsAnswered     int
	linesSent         int
	faultIntervals    []interval    // when it was down, or its answers were false
	faultySince       time.Duration // 0: it is neither down nor false
	pushed            bool          // each endpoint is an agent beside its node: what it has counts as delivered at once
	silencings        int           // raised each time that the open long polls fall silent
}

// newDiscovery returns a service with an empty list, as a plan has it.
func newDiscovery(clock Clock, j *judge.Judge, p *Plan) *Discovery {
	d := &Discovery{
		clock: clock, judge: j, publishDelay: p.PublishDelay, publishEvery: p.PublishEvery, pushed: p.PushedLists, changed: make(chan struct{}),
	}
	if p.AnswerInOutage {
		d.outageAnswerDelay = p.Registry.QueueTimeout
	}
	capacity := p.Registry
	if p.PushedLists {
		capacity = registry.Settings{}
	}
	d.resetQueue(capacity)
	return d
}

// Endpoint opens an address for one node; one that has an address already has both.
func (d *Discovery) OpenEndpoint(node, host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	e := d.endpointOf(node)
	server := &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0)}
	ended := make(chan struct{})
	d.mu.Lock()
	e.addresses = append(e.addresses, endpointAddress{server, ended})
	d.mu.Unlock()
	go func() { // ends with Close
		defer close(ended)
		server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// endpointOf returns a node's endpoint, a new one if it has none.
func (d *Discovery) endpointOf(node string) *discoveryEndpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if e.node == node {
			return e
		}
	}
	e := &discoveryEndpoint{discovery: d, node: node}
	d.endpoints = append(d.endpoints, e)
	return e
}

// Close ends all endpoints.
func (d *Discovery) Close() {
	d.mu.Lock()
	endpoints := d.endpoints
	d.endpoints = nil
	d.mu.Unlock()
	for _, e := range endpoints {
		for _, a := range e.addresses {
			a.server.Close()
			<-a.done
		}
	}
}

// Put publishes a box's state after the usual delay, or at once.
func (d *Discovery) Publish(e entry, atOnce bool) {
	delay := time.Duration(0)
	if !atOnce {
		d.mu.Lock()
		delay = d.publishDelay
		d.mu.Unlock()
	}
	d.PublishAfter(e, delay)
}

// PutAfter publishes a box's state after a delay.
func (d *Discovery) PublishAfter(e entry, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.clock.Now() + delay
	if every := d.publishEvery; every > 0 && delay > 0 {
		at = (at + every - 1) / every * every
	}
	if n := len(d.versions); n > 0 {
		at = max(at, d.versions[n-1].publishedAt) // in order
	}
	d.versions = append(d.versions, listVersion{e, at})
	d.wakePolls()
}

// wake has all open long polls look again; d.mu is held.
func (d *Discovery) wakePolls() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Lag changes how long after it happened a change is published.
func (d *Discovery) SetPublishDelay(publishDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishDelay = publishDelay
}

// Out puts discovery out of order, or ends that. All calls under way fail with it, and their work is dropped.
func (d *Discovery) SetDown(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && !d.isDown {
		d.outages++
		d.queue.Clear(d.clock.Now())
	}
	d.isDown = on
	d.recordFault(on)
	d.wakePolls()
}

// Swallow has all open long polls fall silent, as a network may: their connections stay, and nothing comes any more.
func (d *Discovery) SilencePolls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silencings++
	d.wakePolls()
}

// Empty has discovery answer that there is no box, as a whole list and of no generation's own, or ends that.
func (d *Discovery) SetEmpty(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isEmpty = on
	d.recordFault(on)
	d.falseListChanges++
	d.wakePolls()
}

// Back has discovery go on from a backup of that age: its generations run backwards, and its answers hold what was true
// then. 0 ends that.
func (d *Discovery) RestoreBackup(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backupAt = 0
	if age > 0 {
		d.backupAt = max(1, d.clock.Now()-age)
	}
	d.recordFault(age > 0)
	d.falseListChanges++
	d.wakePolls()
}

// Pace sets how many lines a second it can send from now on, where a call costs one; 0: any number.
func (d *Discovery) SetLineRate(linesPerSecond int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetQueue(registry.Settings{LinesPerSecond: float64(linesPerSecond), LinesPerCall: 1})
}

// Crowd queues so much work of callers outside the fleet at once. Without a bound on its capacity there is no queue.
func (d *Discovery) AddBacklog(work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.EnqueueLines(d.clock.Now(), int(d.capacity.LinesPerSecond*work.Seconds()))
}

// Limit sets its capacity from now on.
func (d *Discovery) SetCapacity(capacity registry.Settings) error {
	if err := validateCapacity(capacity); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetQueue(capacity)
	return nil
}

// limit begins with an empty queue; d.mu is held, or nobody else has d yet.
func (d *Discovery) resetQueue(capacity registry.Settings) {
	d.capacity, d.queue = capacity, registry.New(capacity)
	d.queue.Clear(d.clock.Now())
}

// version is the newest published one, and how long until the next is; d.mu is held.
func (d *Discovery) publishedVersion(now time.Duration) (int, time.Duration) {
	if d.backupAt > 0 {
		now = d.backupAt
	}
	n := len(d.versions)
	for n > 0 && d.versions[n-1].publishedAt > now {
		n--
	}
	if n < len(d.versions) {
		return n, d.versions[n].publishedAt - now
	}
	return n, time.Hour
}

// upTo lists the newest entry of each box among versions (after, n]; d.mu is held.
func (d *Discovery) changedEntries(after, n int) []entry {
	var entries []entry
	at := map[string]int{}
	for _, c := range d.versions[after:n] {
		if i, ok := at[c.ID]; ok {
			entries[i] = c.entry
			continue
		}
		at[c.ID] = len(entries)
		entries = append(entries, c.entry)
	}
	return entries
}

// missing lists the boxes that a whole list of version n leaves out; d.mu is held.
func (d *Discovery) removedServers(n int, entries []entry) []string {
	named := map[string]bool{}
	for i := range entries {
		named[entries[i].ID] = true
	}
	var gone []string
	for _, c := range d.versions[:n] {
		if !named[c.ID] {
			named[c.ID] = true
			gone = append(gone, c.ID)
		}
	}
	return gone
}

// known is the whole list as a node last had it, and keeps it from its last life: up to what was written to it.
func (d *Discovery) knownList(node string) json.RawMessage {
	e := d.endpointOf(node)
	d.mu.Lock()
	defer d.mu.Unlock()
	n, _ := d.publishedVersion(d.clock.Now())
	if had := e.counts.WrittenVersion; had > 0 {
		n = min(n, had)
	}
	list := listAnswer{Generation: n, Reset: true, Instances: withoutDeleted(d.changedEntries(0, n))}
	text, err := list.encode()
	if err != nil {
		return nil
	}
	return text
}

func withoutDeleted(entries []entry) []entry {
	return slices.DeleteFunc(entries, func(e entry) bool { return e.Lifecycle == "DELETED" })
}
