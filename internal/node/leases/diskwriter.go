package leases

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"curlewring/internal/fleet/leaselog"
	"curlewring/internal/fleet/raftstore"
	"curlewring/internal/node/clock"
	"curlewring/internal/store"
)

// keeper writes what the council wants saved, one thing after another, and goes on trying until it is written.
type diskWriter struct {
	fs             store.FS
	store          *raftstore.Store
	log            *slog.Logger
	pending        chan *leaselog.PendingSave
	reopenRequests chan struct{} // read all from the disk again
	saved          chan struct{}
	reopened       chan raftstore.Loaded
	syncs          atomic.Int64
	bytesWritten   atomic.Int64
}

// writeAgain is the wait after a write that failed.
const writeRetryInterval = 250 * time.Millisecond

func openDiskWriter(fs store.FS, log *slog.Logger) (*diskWriter, raftstore.Loaded) {
	k := &diskWriter{
		fs: fs, log: log, pending: make(chan *leaselog.PendingSave, 1), reopenRequests: make(chan struct{}, 1), saved: make(chan struct{}, 1),
		reopened: make(chan raftstore.Loaded, 1),
	}
	return k, k.open()
}

func (k *diskWriter) open() (found raftstore.Loaded) {
	s, report := store.Open(k.fs, raftstore.Settings())
	k.store, found = raftstore.New(s, report)
	return found
}

// put hands something over. What was handed over before must be done.
func (k *diskWriter) submit(s *leaselog.PendingSave) { k.pending <- s }

// reopen has everything read again, once what was handed over is written.
func (k *diskWriter) requestReopen() {
	select {
	case k.reopenRequests <- struct{}{}:
	default:
	}
}

func (k *diskWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.pending:
			if !k.save(ctx, s) {
				return
			}
			k.saved <- struct{}{}
			k.compact()
		case <-k.reopenRequests:
			k.reopened <- k.open()
		}
	}
}

// save writes until it is written; false if the context ended before.
func (k *diskWriter) save(ctx context.Context, s *leaselog.PendingSave) bool {
	wrong := false
	for {
		var err error
		if s.NewState != nil {
			err = k.store.Reset(clock.Boot(), s.NewState, s.UserData)
		} else {
			err = k.store.Save(clock.Boot(), &s.Update, s.UserData)
		}
		if err == nil {
			st := k.store.Stats()
			k.syncs.Store(int64(st.Syncs))
			k.bytesWritten.Store(int64(st.Bytes))
			if wrong {
				k.log.Info("the leases' disk takes writes again")
			}
			return true
		}
		if !wrong {
			wrong = true
			k.log.Error("the leases' disk does not take writes; a voter here says nothing until it does", "err", err)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeRetryInterval):
		}
	}
}

func (k *diskWriter) compact() {
	for more := true; more; {
		var err error
		if more, err = k.store.Compact(clock.Boot()); err != nil {
			k.log.Warn("the leases' files could not be made shorter", "err", err)
			return
		}
	}
}
