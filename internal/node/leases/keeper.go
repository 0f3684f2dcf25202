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
type keeper struct {
	fs       store.FS
	ledger   *raftstore.Store
	log      *slog.Logger
	todo     chan *leaselog.PendingSave
	again    chan struct{} // read all from the disk again
	done     chan struct{}
	reopened chan raftstore.Loaded
	syncs    atomic.Int64
	bytes    atomic.Int64
}

// writeAgain is the wait after a write that failed.
const writeAgain = 250 * time.Millisecond

func openKeeper(fs store.FS, log *slog.Logger) (*keeper, raftstore.Loaded) {
	k := &keeper{
		fs: fs, log: log, todo: make(chan *leaselog.PendingSave, 1), again: make(chan struct{}, 1), done: make(chan struct{}, 1),
		reopened: make(chan raftstore.Loaded, 1),
	}
	return k, k.open()
}

func (k *keeper) open() (found raftstore.Loaded) {
	s, report := store.Open(k.fs, raftstore.Settings())
	k.ledger, found = raftstore.New(s, report)
	return found
}

// put hands something over. What was handed over before must be done.
func (k *keeper) put(s *leaselog.PendingSave) { k.todo <- s }

// reopen has everything read again, once what was handed over is written.
func (k *keeper) reopen() {
	select {
	case k.again <- struct{}{}:
	default:
	}
}

func (k *keeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.todo:
			if !k.save(ctx, s) {
				return
			}
			k.done <- struct{}{}
			k.tidy()
		case <-k.again:
			k.reopened <- k.open()
		}
	}
}

// save writes until it is written; false if the context ended before.
func (k *keeper) save(ctx context.Context, s *leaselog.PendingSave) bool {
	wrong := false
	for {
		var err error
		if s.NewState != nil {
			err = k.ledger.Reset(clock.Boot(), s.NewState, s.UserData)
		} else {
			err = k.ledger.Save(clock.Boot(), &s.Update, s.UserData)
		}
		if err == nil {
			st := k.ledger.Stats()
			k.syncs.Store(int64(st.Syncs))
			k.bytes.Store(int64(st.Bytes))
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
		case <-time.After(writeAgain):
		}
	}
}

func (k *keeper) tidy() {
	for more := true; more; {
		var err error
		if more, err = k.ledger.Compact(clock.Boot()); err != nil {
			k.log.Warn("the leases' files could not be made shorter", "err", err)
			return
		}
	}
}
