package persist

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"curlewring/internal/node/clock"
	"curlewring/internal/node/disk"
	"curlewring/internal/servers/serverdb"
	"curlewring/internal/store"
)

// Settings say where and how much to keep.
type Settings struct {
	Folder string
	MaxMB  int // of rows, in memory and about twice that on the disk; 16 if 0
}

// Known is what was found at the start.
type Restored struct {
	Node    string
	Servers []serverdb.Server
	List    serverdb.List
}

// Keeper is the way to what is remembered. Note, Confirm and Step do not wait, and any goroutine may call them.
type Writer struct {
	log      *slog.Logger
	clock    clock.Clock
	folder   io.Closer // nil: it is not the keeper's
	store    *store.Store
	database *serverdb.DB

	steps chan struct{}
	done  chan struct{}

	mu             sync.Mutex // guards what follows; never held while the disk is waited for
	pendingServers map[string]serverdb.Observation
	pendingList    *serverdb.List
	stepRequested  bool // a step is wanted already
	wake           func(within time.Duration)
	stepTime       time.Duration // of steps since the last grant, not counting the disk
	stats          store.Stats
	lostRows       int
}

// Open reads what there is. An error says why nothing can be kept; the node starts all the same.
func Open(set Settings, node string, c clock.Clock, log *slog.Logger) (*Writer, Restored, error) {
	folder, err := disk.Open(set.Folder)
	if err != nil {
		return nil, Restored{}, err
	}
	k, known := New(folder, set, node, c, log)
	k.folder = folder
	return k, known, nil
}

// New is Open on any folder, which stays its owner's.
func New(folder store.FS, set Settings, node string, c clock.Clock, log *slog.Logger) (*Writer, Restored) {
	s, report := store.Open(folder, store.Settings{MaxBytes: set.MaxMB << 20})
	m, notes := serverdb.Open(s, serverdb.Settings{}, c.Now())
	if len(report.Notes) > 0 || report.DamagedBytes > 0 || report.TruncatedBytes > 0 || report.NoSnapshot {
		log.Warn("the store is damaged; what is sound of it is used", "folder", set.Folder, "report", report.String())
	}
	if len(notes) > 0 {
		log.Warn("rows of the store make no sense and are left out", "rows", len(notes), "first", notes[0])
	}
	k := &Writer{
		log: log, clock: c, store: s, database: m,
		steps: make(chan struct{}, 1), done: make(chan struct{}),
		pendingServers: map[string]serverdb.Observation{}, wake: func(time.Duration) {},
	}
	return k, Restored{Node: node, Servers: m.Servers(), List: m.List()}
}

// OnWork sets what asks the scheduler for a step, before Run.
func (k *Writer) SetWake(wake func(within time.Duration)) { k.wake = wake }

// Note takes what was seen of a server. Two of one server are merged; word of its end stays.
func (k *Writer) RecordServer(n serverdb.Observation) {
	k.mu.Lock()
	old, ok := k.pendingServers[n.ID]
	switch {
	case !ok:
	case n.FromDiscovery:
		if n.LastServed.IsZero() && n.Started <= old.Started {
			n.LastServed = old.LastServed
		}
	default: // it served, whatever was told of it
		old.LastServed = n.LastServed
		n = old
	}
	k.pendingServers[n.ID] = n
	k.requestStep(writeDeadline(&n))
}

// urgency is how soon a note should be written: what was told drained or gone at once.
func writeDeadline(n *serverdb.Observation) time.Duration {
	if n.FromDiscovery && n.State != serverdb.Serving {
		return urgentWriteDelay
	}
	return 0
}

const urgentWriteDelay = 20 * time.Millisecond

// Confirm takes word that discovery has answered.
func (k *Writer) ConfirmList(l serverdb.List) {
	k.mu.Lock()
	k.pendingList = &l
	k.requestStep(0)
}

// want asks for a step, and gives the lock back.
func (k *Writer) requestStep(within time.Duration) {
	asked := k.stepRequested
	k.stepRequested = true
	k.mu.Unlock()
	if !asked || within > 0 {
		k.wake(within)
	}
}

// Step grants the keeper a piece of work, as background work. What it says to have taken is what the last one took
// of a core.
func (k *Writer) Step(time.Duration) (took time.Duration, more bool) {
	select {
	case k.steps <- struct{}{}:
	default:
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	took, k.stepTime = k.stepTime, 0
	return took, false
}

// Stats are what was written, and how many rows did not fit.
func (k *Writer) Stats() (store.Stats, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats, k.lostRows
}

// Run works until the context ends, and then writes what is left.
func (k *Writer) Run(ctx context.Context) {
	defer close(k.done)
	if k.folder != nil {
		defer k.folder.Close()
	}
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			k.recordPending()
			if err := k.store.Close(k.clock.Now()); err != nil {
				k.log.Warn("what the node remembers was not written at its end", "err", err)
			}
			return
		case <-alarm.C:
			k.wake(0)
			continue
		case <-k.steps:
		}
		alarm.Reset(k.runStep())
	}
}

// work does a step, and returns how long to wait for the next.
func (k *Writer) runStep() time.Duration {
	begun := k.clock.Now()
	more := k.recordPending()
	busy := k.clock.Now() - begun
	if err := k.store.Commit(k.clock.Now()); err != nil {
		k.log.Warn("the node goes on without remembering, and tries again", "err", err)
	}
	if k.store.NeedsCompact() {
		again, err := k.store.Compact(k.clock.Now())
		if err != nil {
			k.log.Warn("the node goes on without remembering, and tries again", "err", err)
		}
		more = more || again
	}
	k.mu.Lock()
	k.stepTime += busy
	k.stats, k.lostRows = k.store.Stats(), k.database.DroppedRows()
	k.mu.Unlock()
	now := k.clock.Now()
	wait := time.Hour
	if at, ok := k.store.Due(); ok {
		wait = max(at-now, time.Millisecond)
	}
	if more {
		wait = min(wait, catchUpInterval)
	}
	return wait
}

// catchUp is the wait for the next step where there is more to do than one may.
const catchUpInterval = 50 * time.Millisecond

// take hands the memory what was told, and tells whether it has more to write.
func (k *Writer) recordPending() (more bool) {
	k.mu.Lock()
	notes := make([]serverdb.Observation, 0, len(k.pendingServers))
	for _, n := range k.pendingServers {
		notes = append(notes, n)
	}
	clear(k.pendingServers)
	list := k.pendingList
	k.pendingList, k.stepRequested = nil, false
	k.mu.Unlock()
	now := k.clock.Now()
	k.database.Record(now, notes)
	if list != nil {
		k.database.RecordConfirmation(now, *list)
	}
	return k.database.WritePending(now)
}

// Wait waits for the end of Run, no longer than that.
func (k *Writer) Wait(patience time.Duration) error {
	select {
	case <-k.done:
		return nil
	case <-time.After(patience):
		return fmt.Errorf("the disk has let the node's memory wait for %v at its end", patience)
	}
}
