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

// diskWriter writes the saves that the node requests, one after another. It retries each until it
// is written.
type diskWriter struct {
	fs             store.FS
	store          *raftstore.Store
	log            *slog.Logger
	pending        chan *leaselog.PendingSave
	reopenRequests chan struct{} // requests to load everything from the disk again
	saved          chan struct{}
	reopened       chan raftstore.Loaded
	syncs          atomic.Int64
	bytesWritten   atomic.Int64
}

// writeRetryInterval is the wait after a failed write.
const writeRetryInterval = 250 * time.Millisecond

func openDiskWriter(fs store.FS, log *slog.Logger) (*diskWriter, raftstore.Loaded) {
	w := &diskWriter{
		fs: fs, log: log, pending: make(chan *leaselog.PendingSave, 1), reopenRequests: make(chan struct{}, 1), saved: make(chan struct{}, 1),
		reopened: make(chan raftstore.Loaded, 1),
	}
	return w, w.open()
}

func (w *diskWriter) open() (loaded raftstore.Loaded) {
	table, report := store.Open(w.fs, raftstore.Settings())
	w.store, loaded = raftstore.New(table, report)
	return loaded
}

// submit passes on a save. The previous one must be complete.
func (w *diskWriter) submit(save *leaselog.PendingSave) { w.pending <- save }

// requestReopen has everything loaded from the disk again, once a pending save is written.
func (w *diskWriter) requestReopen() {
	select {
	case w.reopenRequests <- struct{}{}:
	default:
	}
}

func (w *diskWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case save := <-w.pending:
			if !w.save(ctx, save) {
				return
			}
			w.saved <- struct{}{}
			w.compact()
		case <-w.reopenRequests:
			w.reopened <- w.open()
		}
	}
}

// save retries a write until it succeeds. It returns false if the context ends first.
func (w *diskWriter) save(ctx context.Context, save *leaselog.PendingSave) bool {
	failing := false
	for {
		var err error
		if save.NewState != nil {
			err = w.store.Reset(clock.Boot(), save.NewState, save.UserData)
		} else {
			err = w.store.Save(clock.Boot(), &save.Update, save.UserData)
		}
		if err == nil {
			stats := w.store.Stats()
			w.syncs.Store(int64(stats.Syncs))
			w.bytesWritten.Store(int64(stats.Bytes))
			if failing {
				w.log.Info("the lease log's disk accepts writes again")
			}
			return true
		}
		if !failing {
			failing = true
			w.log.Error("writing to the lease log's disk failed; a voter on this node sends nothing until it succeeds", "err", err)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeRetryInterval):
		}
	}
}

func (w *diskWriter) compact() {
	for more := true; more; {
		var err error
		if more, err = w.store.Compact(clock.Boot()); err != nil {
			w.log.Warn("compacting the lease log's files failed", "err", err)
			return
		}
	}
}
