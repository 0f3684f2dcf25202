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

// kept is what of a life is of use to the next one.
type savedState struct {
	Incarnation uint64
	Number      uint64 // of the last view
	Known       []netip.AddrPort
}

const (
	tableSelf         = 1
	rowSelf           = "self"
	maxKnownAddresses = 1024 // members; their row takes up to 56 kB of the 64 that a store's row holds
	maxStateBytes     = 1 << 20
)

// keep writes what is kept, the newest alone, on a goroutine of its own.
type stateWriter struct {
	log    *slog.Logger
	clock  clock.Clock
	folder *disk.Folder
	store  *store.Store // run's, once it runs
	loaded savedState

	mu      sync.Mutex
	pending *savedState // nil: all is written
	wake    chan struct{}
}

func openState(path string, c clock.Clock, log *slog.Logger) (*stateWriter, error) {
	folder, err := disk.Open(path)
	if err != nil {
		return nil, err
	}
	s, report := store.Open(folder, store.Settings{MaxRows: 16, MaxBytes: maxStateBytes})
	if len(report.Notes) > 0 || report.DamagedBytes > 0 || report.NoSnapshot {
		log.Warn("what was kept of the members is damaged; what is sound of it is used", "report", report.String())
	}
	k := &stateWriter{log: log, clock: c, folder: folder, store: s, wake: make(chan struct{}, 1)}
	if b := s.Get(tableSelf, rowSelf); b != nil {
		if err := json.Unmarshal(b, &k.loaded); err != nil {
			log.Warn("what was kept of the members makes no sense; the node starts without", "err", err)
			k.loaded = savedState{}
		}
	}
	return k, nil
}

// last is what the life before left.
func (k *stateWriter) previous() savedState { return k.loaded }

// set takes what is to be kept from now on. It does not wait.
func (k *stateWriter) save(x savedState) {
	k.mu.Lock()
	if x.Known == nil && k.pending != nil { // while seeking there is nobody new to remember
		x.Known, x.Number = k.pending.Known, max(x.Number, k.pending.Number)
	}
	k.pending = &x
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run writes until the context ends.
func (k *stateWriter) run(ctx context.Context) {
	had := k.loaded
	for {
		select {
		case <-ctx.Done():
			k.write(&had)
			return
		case <-k.wake:
			k.write(&had)
		}
	}
}

func (k *stateWriter) write(had *savedState) {
	k.mu.Lock()
	x := k.pending
	k.pending = nil
	k.mu.Unlock()
	if x == nil {
		return
	}
	if x.Known == nil {
		x.Known = had.Known
	}
	x.Number = max(x.Number, had.Number)
	b, err := json.Marshal(x)
	if err == nil {
		_, err = k.store.Put(k.clock.Now(), tableSelf, rowSelf, b, true)
	}
	if err == nil {
		err = k.store.Commit(k.clock.Now())
	}
	if err == nil && k.store.NeedsCompact() {
		for more := true; more && err == nil; {
			more, err = k.store.Compact(k.clock.Now())
		}
	}
	if err != nil {
		k.log.Warn("what is known of the members could not be kept", "err", fmt.Sprint(err))
		return
	}
	*had = *x
}

func (k *stateWriter) close() {
	if err := k.folder.Close(); err != nil {
		k.log.Warn("closing the members' folder", "err", err)
	}
}

// controlWait bounds how long an operator's connection may take.
const controlTimeout = 2 * time.Second
