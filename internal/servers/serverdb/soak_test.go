package serverdb

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
	"curlewring/internal/servers/orderedset"
)

// soakServers is how many names the servers of a soak have, which is fewer than any limit of tombstones here. A name
// that is free is used again.
const soakServers = 40

// repeatedGenerations is for how many generations a registry may repeat that a server was deleted.
const repeatedGenerations = 16

// registry is a discovery service whose servers come and go. A backup of it answers at times in its place.
type registry struct {
	rng        *rand.Rand
	busyShare  int // one of this many changes may concern any server, the others a busy one
	generation uint64
	servers    [soakServers]endpoints.Entry // removed ones too; no ID: never listed
	changedAt  [soakServers]uint64          // generation of the last change
	backup     *endpoints.List
}

// change lets one server crash, drain or return, under its old name or a new one.
func (g *registry) change(now time.Duration) {
	i := g.rng.IntN(soakServers)
	if g.rng.IntN(g.busyShare) > 0 { // a quarter of the servers makes most of the changes
		i /= 4
	}
	e := &g.servers[i]
	switch {
	case e.ID == "":
		e.Server, e.Address = decide.Server{ID: fmt.Sprintf("s%02d", i), Started: now, Weight: 1}, fmt.Sprint("h:", i)
	case e.Health == decide.Healthy && g.rng.IntN(3) == 0:
		e.Health = decide.Draining
	case e.Health == decide.Healthy:
		e.Health = decide.Removed
	case e.Health == decide.Draining && g.rng.IntN(2) == 0:
		e.Health = decide.Removed
	default: // the same process, or a new one, perhaps at the address of another server
		e.Health = decide.Healthy
		if g.rng.IntN(2) == 0 {
			e.Started, e.Address = now, fmt.Sprint("h:", max(0, i-g.rng.IntN(2)))
		}
	}
	g.generation++
	g.changedAt[i] = g.generation
}

// answer returns what has changed since a generation, or the whole list. repeatDeleted: it also names again what was
// deleted lately.
func (g *registry) answer(since uint64, whole, repeatDeleted bool) *endpoints.List {
	l := &endpoints.List{Generation: g.generation, Whole: whole}
	for i, e := range g.servers {
		gone := e.Health == decide.Removed
		changed := g.changedAt[i] > since || gone && repeatDeleted && g.changedAt[i]+repeatedGenerations > g.generation
		if e.ID != "" && (whole && !gone || !whole && changed) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l
}

// withdrawal is the newest report, to the node, that a server drains or is removed.
type withdrawal struct {
	generation uint64
	started    time.Duration
	at         time.Duration
	listIndex  int // number of the list that reported it
}

// soakNode is the view and the database of a node, with what it has been told.
type soakNode struct {
	t          testing.TB
	settings   endpoints.Settings
	view       *endpoints.View
	db         process
	fs         *memoryFS
	now        time.Duration
	since      uint64 // the generation that the node has; 0: it asks for the whole list
	listCount  int
	known      map[string]bool
	withdrawn  map[string]withdrawal
	broughtBy  map[string]uint64        // by server: generation of the newest list that reports it as serving
	broughtAt  map[string]time.Duration // and its time
	breaches   []string
	largest    map[string]int // by field: most entries at any time
	firstAbove string         // first field above the bound, and when
}

func newSoakNode(t testing.TB, settings endpoints.Settings) *soakNode {
	n := &soakNode{
		t: t, settings: settings, fs: newMemoryFS(), known: map[string]bool{}, withdrawn: map[string]withdrawal{},
		broughtBy: map[string]uint64{}, broughtAt: map[string]time.Duration{}, largest: map[string]int{},
	}
	n.restart()
	return n
}

// restart kills the node and starts it with what its store has.
func (n *soakNode) restart() {
	n.db, _ = open(n.fs, Settings{MaxTombstones: n.settings.MaxTombstones}, n.now)
	n.view = endpoints.New(n.settings)
	stored := &endpoints.List{Generation: n.db.List().Generation, Whole: true}
	clear(n.known)
	for _, s := range n.db.Servers() {
		server := decide.Server{ID: s.ID, Weight: s.Weight, Started: s.Started, Health: decide.Health(s.State)}
		stored.Entries = append(stored.Entries, endpoints.Entry{Server: server, Address: s.Address})
		n.known[s.ID] = true
	}
	saved := n.db.List()
	n.view.Restore(stored, saved.DeparturesUpTo())
	if n.since = stored.Generation; !n.db.List().Consistent {
		n.since = 0
	}
}

// takeList applies a list and saves its changes, as the loop of a node does.
func (n *soakNode) takeList(l *endpoints.List, fromBackup bool) {
	n.listCount++
	listed := map[string]bool{}
	for i := range l.Entries {
		e := &l.Entries[i]
		listed[e.ID], n.known[e.ID] = true, true
		n.told(e, l.Generation, fromBackup)
	}
	for id := range n.known {
		if w, ok := n.withdrawn[id]; l.Whole && !listed[id] && !fromBackup && (!ok || w.generation < l.Generation) {
			n.withdrawn[id] = withdrawal{l.Generation, max(w.started, n.startOf(id)), n.now, n.listCount}
		}
	}
	n.publish(n.view.Apply(n.now, l).Changes)
	n.since = l.Generation
	_, held := n.view.NextRelease()
	n.db.RecordConfirmation(n.now, List{
		Generation: l.Generation, HighestGeneration: n.view.HighestGeneration(), Confirmed: noon.Add(n.now), Incomplete: held,
	})
	n.save()
}

// startOf returns when the newest process of a server started that the node has recorded.
func (n *soakNode) startOf(id string) time.Duration {
	if r := n.db.rows[id]; r != nil {
		return r.Started
	}
	return 0
}

// told records what a list says of a server.
func (n *soakNode) told(e *endpoints.Entry, generation uint64, fromBackup bool) {
	w, isWithdrawn := n.withdrawn[e.ID]
	switch {
	case e.Health == decide.Healthy:
		n.broughtBy[e.ID], n.broughtAt[e.ID] = generation, n.now
		if !fromBackup || e.Started > w.started {
			delete(n.withdrawn, e.ID)
		}
	case !fromBackup && !isWithdrawn:
		n.withdrawn[e.ID] = withdrawal{generation, e.Started, n.now, n.listCount}
	}
}

// publish saves changes, and checks those that publish a server as serving.
func (n *soakNode) publish(changes []endpoints.Entry) {
	var observations []Observation
	for _, e := range changes {
		observations = append(observations, Observation{FromDiscovery: true, Server: Server{
			ID: e.ID, Address: e.Address, Weight: e.Weight, Started: e.Started, State: State(e.Health),
			StateSince: noon.Add(n.now),
		}})
		w, ok := n.withdrawn[e.ID]
		held := n.now < n.broughtAt[e.ID]+n.settings.MaxDelay()
		if ok && e.Health == decide.Healthy && n.broughtBy[e.ID] < w.generation && held {
			n.breaches = append(n.breaches, fmt.Sprintf(
				"%s: withdrawn by list %d (generation %d) at %v, published as serving by list %d (generation %d) at %v",
				e.ID, w.listIndex, w.generation, w.at, n.listCount, n.broughtBy[e.ID], n.now))
		}
	}
	n.db.Record(n.now, observations)
}

// save writes what is due to the store, and records the sizes.
func (n *soakNode) save() {
	n.db.WritePending(n.now)
	if err := n.db.store.Commit(n.now); err != nil {
		n.t.Fatal(err)
	}
	for n.db.store.NeedsCompact() {
		if _, err := n.db.store.Compact(n.now); err != nil {
			n.t.Fatal(err)
		}
	}
	for _, value := range []reflect.Value{reflect.ValueOf(n.view).Elem(), reflect.ValueOf(n.db.DB).Elem()} {
		for i := range value.NumField() {
			field, name := value.Field(i), value.Type().Name()+"."+value.Type().Field(i).Name
			if field.Type() == reflect.TypeFor[orderedset.Set]() {
				field = field.FieldByName("elements")
			}
			isList := field.Kind() == reflect.Slice && field.Type().Elem().Kind() != reflect.Uint8
			if !isList && field.Kind() != reflect.Map {
				continue
			}
			n.largest[name] = max(n.largest[name], field.Len())
			if field.Len() > n.bound() && n.firstAbove == "" {
				n.firstAbove = fmt.Sprintf("%s has %d entries after list %d", name, field.Len(), n.listCount)
			}
		}
	}
}

// bound is the most entries that a field may have: two for each server that is listed or remembered.
func (n *soakNode) bound() int { return 2 * (soakServers + n.settings.MaxTombstones) }

// soak runs a node for a while beside a registry.
func soak(t testing.TB, seed uint64, maxTombstones int, length time.Duration) *soakNode {
	rng := rand.New(rand.NewPCG(seed, 3))
	g := &registry{rng: rng, busyShare: maxTombstones / 16}
	n := newSoakNode(t, endpoints.Settings{MaxTombstones: maxTombstones})
	for n.now < length {
		n.now += time.Duration(500+rng.IntN(5000)) * time.Millisecond
		if at, ok := n.view.NextRelease(); ok && at <= n.now {
			n.publish(n.view.ReleaseDue(n.now))
		}
		for range rng.IntN(3) {
			g.change(n.now)
		}
		// The backup is old, restarts are rare, and the servers that aren't busy are stable, compared with the time in
		// which servers are removed maxTombstones times.
		switch kind := rng.IntN(1000); {
		case g.backup == nil || rng.IntN(16*maxTombstones) == 0:
			g.backup = g.answer(0, true, false)
		case rng.IntN(4*maxTombstones) == 0 && n.since > g.backup.Generation:
			n.takeList(g.backup, true)
			n.now += time.Second
			n.takeList(g.answer(0, true, false), false)
		case rng.IntN(4*maxTombstones) == 0:
			n.restart()
		case kind < 20: // an answer that was cut off
			partial := slices.DeleteFunc(g.answer(n.since, false, false).Entries, func(e endpoints.Entry) bool {
				return e.Health == decide.Healthy
			})
			for i := range partial {
				n.told(&partial[i], n.since, false)
			}
			n.publish(n.view.ApplyPartial(n.now, 0, partial))
			n.save()
		default:
			n.takeList(g.answer(n.since, n.since == 0 || kind < 70, kind > 950), false)
		}
	}
	return n
}

// A server that was withdrawn long ago must not be published as serving by an older list because other servers have
// been removed many times since, and nothing may grow with the number of reports. With CURLEWRING_LONG set, it
// simulates a week with the default limit.
func TestServersComeAndGoForDays(t *testing.T) {
	seeds, maxTombstones, length := uint64(8), 64, 24*time.Hour
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds, maxTombstones, length = 50, 4096, 7*24*time.Hour
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := soak(t, seed, maxTombstones, length)
			if len(n.breaches) > 0 {
				t.Errorf("%d breaches in %d lists, the first: %s", len(n.breaches), n.listCount, n.breaches[0])
			}
			if n.firstAbove != "" {
				t.Errorf("more than %d entries: %s; most: %v", n.bound(), n.firstAbove, n.largest)
			}
		})
	}
}
