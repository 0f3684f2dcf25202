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

// Settings say where to save state, and how much.
type Settings struct {
	Folder string
	MaxMB  int // limit for rows in memory; the disk holds about twice that; 16 if 0
}

// Restored is the state that was read at the start.
type Restored struct {
	Node    string
	Servers []serverdb.Server
	List    serverdb.List
}

// Writer writes the server list to a store. RecordServer, ConfirmList and Step don't block, and
// any goroutine may call them.
type Writer struct {
	log      *slog.Logger
	clock    clock.Clock
	folder   io.Closer // closed at the end of Run; nil: owned by the caller of New
	store    *store.Store
	database *serverdb.DB

	steps chan struct{}
	done  chan struct{}

	mu             sync.Mutex // guards the fields below; never held during disk operations
	pendingServers map[string]serverdb.Observation
	pendingList    *serverdb.List
	stepRequested  bool // wake has been called since the last step
	wake           func(within time.Duration)
	stepTime       time.Duration // time of the steps since the last call of Step, without disk operations
	stats          store.Stats
	lostRows       int
}

// Open opens the folder and reads the saved state. After an error the node runs without saved
// state.
func Open(set Settings, node string, c clock.Clock, log *slog.Logger) (*Writer, Restored, error) {
	folder, err := disk.Open(set.Folder)
	if err != nil {
		return nil, Restored{}, err
	}
	w, restored := New(folder, set, node, c, log)
	w.folder = folder
	return w, restored, nil
}

// New is like Open for any file system, which the caller closes.
func New(folder store.FS, set Settings, node string, c clock.Clock, log *slog.Logger) (*Writer, Restored) {
	s, report := store.Open(folder, store.Settings{MaxBytes: set.MaxMB << 20})
	database, problems := serverdb.Open(s, serverdb.Settings{}, c.Now())
	if len(report.Notes) > 0 || report.DamagedBytes > 0 || report.TruncatedBytes > 0 || report.NoSnapshot {
		log.Warn("the store is damaged; using its intact rows", "folder", set.Folder, "report", report.String())
	}
	if len(problems) > 0 {
		log.Warn("ignoring invalid rows of the store", "rows", len(problems), "first", problems[0])
	}
	w := &Writer{
		log: log, clock: c, store: s, database: database,
		steps: make(chan struct{}, 1), done: make(chan struct{}),
		pendingServers: map[string]serverdb.Observation{}, wake: func(time.Duration) {},
	}
	return w, Restored{Node: node, Servers: database.Servers(), List: database.List()}
}

// SetWake sets the function that requests a call of Step. It must be called before Run.
func (w *Writer) SetWake(wake func(within time.Duration)) { w.wake = wake }

// RecordServer queues an observation of a server to be written. Two observations of one server
// are merged: one that it has served does not replace a state reported by discovery.
func (w *Writer) RecordServer(n serverdb.Observation) {
	w.mu.Lock()
	queued, ok := w.pendingServers[n.ID]
	switch {
	case !ok:
	case n.FromDiscovery:
		if n.LastServed.IsZero() && n.Started <= queued.Started {
			n.LastServed = queued.LastServed
		}
	default: // it has served; the state that is queued stays
		queued.LastServed = n.LastServed
		n = queued
	}
	w.pendingServers[n.ID] = n
	w.requestStep(writeDeadline(&n))
}

// writeDeadline returns how soon an observation should be written: at once if discovery
// reported the server draining or removed; 0: whenever there is time.
func writeDeadline(n *serverdb.Observation) time.Duration {
	if n.FromDiscovery && n.State != serverdb.Serving {
		return urgentWriteDelay
	}
	return 0
}

const urgentWriteDelay = 20 * time.Millisecond

// ConfirmList queues the latest list from discovery to be written.
func (w *Writer) ConfirmList(l serverdb.List) {
	w.mu.Lock()
	w.pendingList = &l
	w.requestStep(0)
}

// requestStep requests a call of Step, unless one is pending. It unlocks w.mu.
func (w *Writer) requestStep(within time.Duration) {
	alreadyRequested := w.stepRequested
	w.stepRequested = true
	w.mu.Unlock()
	if !alreadyRequested || within > 0 {
		w.wake(within)
	}
}

// Step lets Run do one step of writing. It is a worker.Step that doesn't wait; the time that it
// returns is that of the previous steps.
func (w *Writer) Step(time.Duration) (took time.Duration, more bool) {
	select {
	case w.steps <- struct{}{}:
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	took, w.stepTime = w.stepTime, 0
	return took, false
}

// Stats returns the counters of the store, and how many rows were dropped for lack of space.
func (w *Writer) Stats() (store.Stats, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats, w.lostRows
}

// Run writes until the context is cancelled, and then writes what is still queued.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	if w.folder != nil {
		defer w.folder.Close()
	}
	nextStep := time.NewTimer(time.Hour)
	defer nextStep.Stop()
	for {
		select {
		case <-ctx.Done():
			w.recordPending()
			if err := w.store.Close(w.clock.Now()); err != nil {
				w.log.Warn("writing the saved state at shutdown", "err", err)
			}
			return
		case <-nextStep.C:
			w.wake(0)
			continue
		case <-w.steps:
		}
		nextStep.Reset(w.runStep())
	}
}

// runStep does one step, and returns how long to wait until the next.
func (w *Writer) runStep() time.Duration {
	startTime := w.clock.Now()
	more := w.recordPending()
	busy := w.clock.Now() - startTime
	if err := w.store.Commit(w.clock.Now()); err != nil {
		w.log.Warn("writing the saved state; will retry", "err", err)
	}
	if w.store.NeedsCompact() {
		again, err := w.store.Compact(w.clock.Now())
		if err != nil {
			w.log.Warn("compacting the saved state; will retry", "err", err)
		}
		more = more || again
	}
	w.mu.Lock()
	w.stepTime += busy
	w.stats, w.lostRows = w.store.Stats(), w.database.DroppedRows()
	w.mu.Unlock()
	now := w.clock.Now()
	wait := time.Hour
	if at, ok := w.store.Due(); ok {
		wait = max(at-now, time.Millisecond)
	}
	if more {
		wait = min(wait, catchUpInterval)
	}
	return wait
}

// catchUpInterval is the wait until the next step if one step could not write everything.
const catchUpInterval = 50 * time.Millisecond

// recordPending passes the queued updates to the database, and returns whether there is more to
// write.
func (w *Writer) recordPending() (more bool) {
	w.mu.Lock()
	observations := make([]serverdb.Observation, 0, len(w.pendingServers))
	for _, n := range w.pendingServers {
		observations = append(observations, n)
	}
	clear(w.pendingServers)
	list := w.pendingList
	w.pendingList, w.stepRequested = nil, false
	w.mu.Unlock()
	now := w.clock.Now()
	w.database.Record(now, observations)
	if list != nil {
		w.database.RecordConfirmation(now, *list)
	}
	return w.database.WritePending(now)
}

// Wait waits until Run has returned, for at most the timeout.
func (w *Writer) Wait(timeout time.Duration) error {
	select {
	case <-w.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("the saved state was not written within %v of shutdown", timeout)
	}
}
