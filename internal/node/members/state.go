package members

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"curlewring/internal/node/clock"
	"curlewring/internal/node/disk"
	"curlewring/internal/store"
)

// savedState is the state that the node's next run resumes from.
type savedState struct {
	Incarnation uint64
	Number      uint64 // of the last view
	Known       []netip.AddrPort
}

const (
	tableSelf         = 1
	rowSelf           = "self"
	maxKnownAddresses = 1024 // their row takes up to 56 kB of the 64 kB that a store row holds
	maxStateBytes     = 1 << 20
)

// stateWriter saves the newest state from a goroutine of its own.
type stateWriter struct {
	log    *slog.Logger
	clock  clock.Clock
	folder *disk.Folder
	store  *store.Store // owned by run once it is started
	loaded savedState

	mu      sync.Mutex
	pending *savedState // nil: nothing is waiting to be written
	wake    chan struct{}
}

func openState(path string, c clock.Clock, log *slog.Logger) (*stateWriter, error) {
	folder, err := disk.Open(path)
	if err != nil {
		return nil, err
	}
	table, report := store.Open(folder, store.Settings{MaxRows: 16, MaxBytes: maxStateBytes})
	if len(report.Notes) > 0 || report.DamagedBytes > 0 || report.NoSnapshot {
		log.Warn("the saved membership state is damaged; using the intact part", "report", report.String())
	}
	w := &stateWriter{log: log, clock: c, folder: folder, store: table, wake: make(chan struct{}, 1)}
	if row := table.Get(tableSelf, rowSelf); row != nil {
		if err := json.Unmarshal(row, &w.loaded); err != nil {
			log.Warn("the saved membership state cannot be decoded; starting without it", "err", err)
			w.loaded = savedState{}
		}
	}
	return w, nil
}

// previous returns the state that the previous run saved.
func (w *stateWriter) previous() savedState { return w.loaded }

// save schedules a state to be written. It does not block.
func (w *stateWriter) save(state savedState) {
	w.mu.Lock()
	if state.Known == nil && w.pending != nil { // while joining there are no new addresses to save
		state.Known, state.Number = w.pending.Known, max(state.Number, w.pending.Number)
	}
	w.pending = &state
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes scheduled states until the context ends.
func (w *stateWriter) run(ctx context.Context) {
	written := w.loaded
	for {
		select {
		case <-ctx.Done():
			w.write(&written)
			return
		case <-w.wake:
			w.write(&written)
		}
	}
}

func (w *stateWriter) write(written *savedState) {
	w.mu.Lock()
	state := w.pending
	w.pending = nil
	w.mu.Unlock()
	if state == nil {
		return
	}
	if state.Known == nil {
		state.Known = written.Known
	}
	state.Number = max(state.Number, written.Number)
	row, err := json.Marshal(state)
	if err == nil {
		_, err = w.store.Put(w.clock.Now(), tableSelf, rowSelf, row, true)
	}
	if err == nil {
		err = w.store.Commit(w.clock.Now())
	}
	if err == nil && w.store.NeedsCompact() {
		for more := true; more && err == nil; {
			more, err = w.store.Compact(w.clock.Now())
		}
	}
	if err != nil {
		w.log.Warn("saving the membership state failed", "err", fmt.Sprint(err))
		return
	}
	*written = *state
}

func (w *stateWriter) close() {
	if err := w.folder.Close(); err != nil {
		w.log.Warn("closing the membership state folder failed", "err", err)
	}
}

// controlTimeout bounds how long an operator's connection may last.
const controlTimeout = 2 * time.Second
