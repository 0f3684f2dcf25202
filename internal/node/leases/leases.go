package leases

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/leaselog"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/raftstore"
	"curlewring/internal/fleet/wire"
	"curlewring/internal/node/accept"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/disk"
	"curlewring/internal/store"
)

// Settings say where a node's leases are kept and how soon a voter is replaced.
type Settings struct {
	Name, Site   string
	Folder       string        // of the node's state
	ReplaceAfter time.Duration // 0: 5 min
	ShareLists   bool          // a node without a list of servers gets one from others, and one of a site asks for all
	// Disk wraps the folder's files; nil: they are used as they are. For trials.
	WrapFS func(store.FS) store.FS
}

// Fleet is what this package needs of the membership.
type Fleet interface {
	View() *membership.View
	Address() netip.AddrPort
	Send(to string, at netip.AddrPort, topic uint32, body []byte) bool
	LearnAddress(name string, at netip.AddrPort)
	OnMessage(topic uint32, take func(body []byte))
}

const (
	tickInterval        = 100 * time.Millisecond
	sessionTickInterval = 50 * time.Millisecond
	inboxSize           = 1024
	reopenDelay         = 5 * time.Second
	dialTimeout         = 2 * time.Second
)

// Leases is one node's part in the fleet's leases.
type Leases struct {
	settings        Settings
	fleet           Fleet
	log             *slog.Logger
	folder          *disk.Folder
	controlListener net.Listener
	writer          *diskWriter
	loaded          raftstore.Loaded

	inbox      chan *leaselog.Message
	calls      chan func()
	done       chan struct{}
	node       *leaselog.Node // Run's, with all below
	view       *membership.View
	sessions   map[uint64]*session
	queries    map[uint64]*query
	lastRef    uint64
	lastStatus leaselog.StatusSummary
	// The disk is read again: what the present council wants saved is not handed over any more.
	reopening bool
}

// Open opens the folder and the operators' socket. It must be called before the members run.
func Open(set Settings, fleet Fleet, log *slog.Logger) (_ *Leases, err error) {
	l := &Leases{
		settings: set, fleet: fleet, log: log, inbox: make(chan *leaselog.Message, inboxSize), calls: make(chan func()), done: make(chan struct{}),
		sessions: map[uint64]*session{}, queries: map[uint64]*query{},
	}
	defer func() {
		if err != nil {
			l.close()
			err = fmt.Errorf("leases: %w", err)
		}
	}()
	if l.folder, err = disk.Open(filepath.Join(set.Folder, "leases")); err != nil {
		return nil, err
	}
	var fs store.FS = l.folder
	if set.WrapFS != nil {
		fs = set.WrapFS(fs)
	}
	l.writer, l.loaded = openDiskWriter(fs, log)
	l.startNode()
	if l.controlListener, err = accept.ListenUnix(SocketPath(set.Folder), dialTimeout); err != nil {
		return nil, err
	}
	fleet.OnMessage(wire.TopicLease, l.receive)
	return l, nil
}

// SocketIn is where operators ask a node that keeps its state in a folder.
func SocketPath(folder string) string { return filepath.Join(folder, "leases.sock") }

// begin makes a council of what the disk holds.
func (l *Leases) startNode() {
	if l.loaded.DistrustReason != "" {
		l.log.Error("what was kept of the leases' log is not to be trusted; a voter here gives its number up", "voter", fmt.Sprintf("%x", l.loaded.State.ID), "why", l.loaded.DistrustReason)
	}
	set := leaselog.Settings{Name: l.settings.Name, Site: l.settings.Site, ReplaceAfter: l.settings.ReplaceAfter}
	set.Consensus.TickInterval = tickInterval
	l.node = leaselog.New(set, &l.loaded.State, l.loaded.UserData, l.loaded.DistrustReason, rand.Uint64(), clock.Boot())
	l.view, l.reopening = nil, false
}

func (l *Leases) close() {
	if l.controlListener != nil {
		l.controlListener.Close()
	}
	if l.folder != nil {
		if err := l.folder.Close(); err != nil {
			l.log.Warn("closing the leases' folder", "err", err)
		}
	}
}

// take reads what came by the members' sockets.
func (l *Leases) receive(body []byte) {
	m, err := leaselog.ParseMessage(body)
	if err != nil {
		return // of another version, or made up
	}
	if at, err := netip.ParseAddrPort(m.Addr); err == nil && at.Port() != 0 {
		l.fleet.LearnAddress(m.From, at)
	}
	select {
	case l.inbox <- m:
	default: // it comes again, or is asked for again
	}
}

// Run takes part until the context ends.
func (l *Leases) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer close(l.done)
	defer l.close()
	defer parts.Wait()
	defer l.controlListener.Close()
	defer stop()
	parts.Go(func() { l.writer.run(ctx) })
	parts.Go(func() {
		accept.Serve(ctx, l.controlListener, accept.Limits{MaxConnections: maxOperatorConnections}, func(c net.Conn) { l.serveConnection(ctx, c) })
	})
	defer l.abandonSessions()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	quick := time.NewTicker(sessionTickInterval)
	defer quick.Stop()
	ticks := true
	reopen := time.NewTimer(0)
	reopen.Stop()
	defer reopen.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.updateMembers()
			l.node.Tick(clock.Boot())
			l.retryQueries()
		case <-quick.C:
			l.tickSessions()
			if len(l.sessions) == 0 {
				quick.Stop() // until there are some again
				ticks = false
			}
		case m := <-l.inbox:
			l.node.Receive(clock.Boot(), m)
			for more := true; more; { // what came meanwhile goes into one entry
				select {
				case m := <-l.inbox:
					l.node.Receive(clock.Boot(), m)
				default:
					more = false
				}
			}
		case do := <-l.calls:
			do()
			l.tickSessions()
		case <-l.writer.saved:
			l.node.Saved(clock.Boot())
		case l.loaded = <-l.writer.reopened:
			l.startNode()
		case <-reopen.C:
			if l.node.Busy() { // what is under way is written first
				reopen.Reset(tickInterval)
				continue
			}
			l.reopening = true
			l.writer.requestReopen()
		}
		if len(l.sessions) > 0 && !ticks {
			quick.Reset(sessionTickInterval)
			ticks = true
		}
		l.flush()
		if l.logChanges() {
			reopen.Reset(reopenDelay)
		}
	}
}

// look takes the present view.
func (l *Leases) updateMembers() {
	v := l.fleet.View()
	if v == l.view && v != nil {
		return
	}
	l.view = v
	var members map[string]leaselog.Member
	if v != nil {
		members = make(map[string]leaselog.Member, len(v.Members))
		for i := range v.Members {
			m := &v.Members[i]
			members[m.Name] = leaselog.Member{Site: m.Site, Addr: m.Addr.String()}
		}
	}
	l.node.SetMembers(clock.Boot(), members)
}

// save hands over what must be on the disk.
func (l *Leases) submitSave() {
	if l.reopening {
		return
	}
	if s := l.node.TakeSave(); s != nil {
		l.writer.submit(s)
	}
}

// carry does what the council wants done.
func (l *Leases) flush() {
	l.submitSave()
	outs, told := l.node.TakeOutgoing()
	for len(outs)+len(told) > 0 {
		for i := range outs {
			outs[i].Message.Addr = l.fleet.Address().String()
			b, err := leaselog.AppendMessage(nil, outs[i].Message)
			if err != nil {
				l.log.Error("a message of the leases can't be written", "err", err)
				continue
			}
			at, _ := netip.ParseAddrPort(outs[i].Addr) // none is none
			l.fleet.Send(outs[i].To, at, wire.TopicLease, b)
		}
		for i := range told {
			l.handleReply(&told[i])
		}
		outs, told = l.node.TakeOutgoing()
	}
	l.submitSave()
}

// note logs what has changed, and tells whether the council must be made anew from the disk.
func (l *Leases) logChanges() (reopen bool) {
	now, was := l.node.StatusSummary(), l.lastStatus
	if now == was {
		return false
	}
	l.lastStatus = now
	s := l.node.Status()
	if now.IsLeader != was.IsLeader {
		l.log.Info("the leases' log", "leads", now.IsLeader, "term", s.Term)
	}
	if now.Index != was.Index {
		var names []string
		for _, r := range s.Seats.Rows {
			names = append(names, r.Name)
		}
		l.log.Info("who votes on leases", "voters", names, "at", now.Index)
	}
	if now.ID != was.ID {
		l.log.Info("this node's voter", "number", fmt.Sprintf("%x", now.ID), "was", fmt.Sprintf("%x", was.ID))
	}
	if now.DiskHung != was.DiskHung {
		l.log.Warn("the leases' disk", "hangs", now.DiskHung)
	}
	if now.Conflict && !was.Conflict {
		l.log.Error("another log of this fleet's leases was met: two were founded, and this node keeps to its own")
	}
	if now.Broken && !was.Broken {
		l.log.Error("the voter can't go on, and is started from its disk again", "err", s.Broken)
		return true
	}
	return false
}

// call runs something on the goroutine that owns the council.
func (l *Leases) call(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case l.calls <- func() { do(); close(done) }:
	case <-l.done:
		return errors.New("the node ends")
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Leave gives up what this node's tenants hold as their users let go of it, and the lead, and waits for that so long at the
// most.
func (l *Leases) Leave(patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if l.call(ctx, func() {
		for _, h := range l.sessions {
			h.client.Stop(clock.Boot(), lease.Holder{})
		}
	}) != nil {
		return
	}
	look := time.NewTicker(sessionTickInterval)
	defer look.Stop()
	for left := 1; left > 0; {
		if l.call(ctx, func() { left = len(l.sessions) }) != nil {
			break
		}
		if left == 0 {
			break
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			left = 0
		}
	}
	ctx, cancel = context.WithTimeout(context.Background(), tickInterval)
	defer cancel()
	if l.call(ctx, func() { l.node.Leave(clock.Boot()) }) == nil {
		select { // a moment for the word to leave
		case <-time.After(tickInterval / 2):
		case <-l.done:
		}
	}
}
