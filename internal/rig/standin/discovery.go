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

// entry is a server in discovery's list, in the protocol's format.
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

// listVersion is one version of the list: the change that made it.
type listVersion struct {
	entry
	publishedAt time.Duration // from when on answers contain it
}

// Discovery is the discovery service of one tier. It answers calls for the whole list and long polls that
// wait for changes. It publishes each change after a delay, handles the calls of all nodes in one queue at
// its capacity, and may be down for a while.
type Discovery struct {
	clock Clock
	judge *judge.Judge

	mu                sync.Mutex
	versions          []listVersion // version n is versions[n-1]
	publishDelay      time.Duration // from a change to its publication
	publishEvery      time.Duration // changes are published at multiples of this; 0: each on its own
	capacity          registry.Settings
	queue             *registry.Queue // work of the calls of all nodes
	isDown            bool
	outages           int           // incremented when it goes down, so that calls in progress fail
	outageAnswerDelay time.Duration // a call in an outage is answered 503 after this; 0: its connection is closed
	isEmpty           bool          // answers contain no server
	backupAt          time.Duration // answers are those of this time; 0: current ones
	falseListChanges  int           // incremented when false answers begin or end, so that open long polls are answered
	changed           chan struct{} // closed and replaced on every change of the state
	endpoints         []*discoveryEndpoint
	callsAnswered     int
	linesSent         int
	faultIntervals    []interval    // when it was down or its answers were false
	faultySince       time.Duration // 0: it is neither down nor answers falsely
	pushed            bool          // each endpoint is an agent beside its node: its changes count as delivered at once
	silencings        int           // incremented when the open long polls become silent
}

// newDiscovery returns a service with an empty list and the plan's settings.
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

// OpenEndpoint opens an address for a node. A node that already has an address can use both.
func (d *Discovery) OpenEndpoint(node, host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	e := d.endpointOf(node)
	server := &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0)}
	done := make(chan struct{})
	d.mu.Lock()
	e.addresses = append(e.addresses, endpointAddress{server, done})
	d.mu.Unlock()
	go func() { // ends with Close
		defer close(done)
		server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// endpointOf returns a node's endpoint and creates it if needed.
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

// Close closes all endpoints.
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

// Publish publishes a server's state after the usual delay, or at once.
func (d *Discovery) Publish(e entry, atOnce bool) {
	delay := time.Duration(0)
	if !atOnce {
		d.mu.Lock()
		delay = d.publishDelay
		d.mu.Unlock()
	}
	d.PublishAfter(e, delay)
}

// PublishAfter publishes a server's state after a delay.
func (d *Discovery) PublishAfter(e entry, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.clock.Now() + delay
	if every := d.publishEvery; every > 0 && delay > 0 {
		at = (at + every - 1) / every * every
	}
	if n := len(d.versions); n > 0 {
		at = max(at, d.versions[n-1].publishedAt) // versions are published in order
	}
	d.versions = append(d.versions, listVersion{e, at})
	d.wakePolls()
}

// wakePolls makes all open long polls check again; d.mu is held.
func (d *Discovery) wakePolls() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetPublishDelay sets the delay from a change to its publication.
func (d *Discovery) SetPublishDelay(publishDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishDelay = publishDelay
}

// SetDown starts or ends an outage. When it starts, all calls in progress fail and their work is dropped.
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

// SilencePolls makes all open long polls silent, as a network fault may: their connections stay open, and
// nothing is sent on them.
func (d *Discovery) SilencePolls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silencings++
	d.wakePolls()
}

// SetEmpty starts or ends answers with a whole list without servers. Their generation is the current one.
func (d *Discovery) SetEmpty(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isEmpty = on
	d.recordFault(on)
	d.falseListChanges++
	d.wakePolls()
}

// RestoreBackup makes discovery answer as of age ago, as after the restore of a backup: generations run
// backwards and answers contain the list of that time. An age of 0 returns to the current list.
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

// SetLineRate sets how many lines a second discovery can send, where a call costs one line; 0: unlimited.
func (d *Discovery) SetLineRate(linesPerSecond int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetQueue(registry.Settings{LinesPerSecond: float64(linesPerSecond), LinesPerCall: 1})
}

// AddBacklog queues work of clients outside the fleet. It has no effect while the capacity is unlimited.
func (d *Discovery) AddBacklog(work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.EnqueueLines(d.clock.Now(), int(d.capacity.LinesPerSecond*work.Seconds()))
}

// SetCapacity sets the capacity and starts with an empty queue.
func (d *Discovery) SetCapacity(capacity registry.Settings) error {
	if err := validateCapacity(capacity); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetQueue(capacity)
	return nil
}

// resetQueue sets the capacity and starts with an empty queue; d.mu is held, or d is not shared yet.
func (d *Discovery) resetQueue(capacity registry.Settings) {
	d.capacity, d.queue = capacity, registry.New(capacity)
	d.queue.Clear(d.clock.Now())
}

// publishedVersion returns the newest published version and the time until the next one; d.mu is held.
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

// changedEntries returns the newest entry of each server among versions (after, n]; d.mu is held.
func (d *Discovery) changedEntries(after, n int) []entry {
	var entries []entry
	index := map[string]int{}
	for _, c := range d.versions[after:n] {
		if i, ok := index[c.ID]; ok {
			entries[i] = c.entry
			continue
		}
		index[c.ID] = len(entries)
		entries = append(entries, c.entry)
	}
	return entries
}

// removedServers returns the servers of versions up to n that entries does not contain; d.mu is held.
func (d *Discovery) removedServers(n int, entries []entry) []string {
	listed := map[string]bool{}
	for i := range entries {
		listed[entries[i].ID] = true
	}
	var removed []string
	for _, c := range d.versions[:n] {
		if !listed[c.ID] {
			listed[c.ID] = true
			removed = append(removed, c.ID)
		}
	}
	return removed
}

// knownList returns the whole list up to the version last written to a node, which is what the node keeps
// across a restart.
func (d *Discovery) knownList(node string) json.RawMessage {
	e := d.endpointOf(node)
	d.mu.Lock()
	defer d.mu.Unlock()
	n, _ := d.publishedVersion(d.clock.Now())
	if written := e.counts.WrittenVersion; written > 0 {
		n = min(n, written)
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
