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

// Settings say where a node keeps its lease log and how soon a voter is replaced.
type Settings struct {
	Name, Site   string
	Folder       string        // of the node's state
	ReplaceAfter time.Duration // 0: 5 min
	ShareLists   bool          // server lists are passed between nodes; one node per site queries discovery
	// WrapFS wraps the folder's files; nil: they are used as they are. For fault trials.
	WrapFS func(store.FS) store.FS
}

// Fleet is the part of the membership that this package uses.
type Fleet interface {
	View() *membership.View
	Address() netip.AddrPort
	Send(to string, addr netip.AddrPort, topic uint32, body []byte) bool
	LearnAddress(name string, addr netip.AddrPort)
	OnMessage(topic uint32, handle func(body []byte))
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
	node       *leaselog.Node // owned by Run, like all fields below
	view       *membership.View
	sessions   map[uint64]*session
	queries    map[uint64]*query
	lastRef    uint64
	lastStatus leaselog.StatusSummary
	// The disk is being loaded again: saves of the present node are no longer passed on.
	reopening bool
	leaving   bool // the node's own leases are not requested any more
}

// Open opens the folder and the operators' socket. It must be called before the members run.
func Open(settings Settings, fleet Fleet, log *slog.Logger) (_ *Leases, err error) {
	l := &Leases{
		settings: settings, fleet: fleet, log: log, inbox: make(chan *leaselog.Message, inboxSize), calls: make(chan func()), done: make(chan struct{}),
		sessions: map[uint64]*session{}, queries: map[uint64]*query{},
	}
	defer func() {
		if err != nil {
			l.close()
			err = fmt.Errorf("leases: %w", err)
		}
	}()
	if l.folder, err = disk.Open(filepath.Join(settings.Folder, "leases")); err != nil {
		return nil, err
	}
	var fs store.FS = l.folder
	if settings.WrapFS != nil {
		fs = settings.WrapFS(fs)
	}
	l.writer, l.loaded = openDiskWriter(fs, log)
	l.startNode()
	if l.controlListener, err = accept.ListenUnix(SocketPath(settings.Folder), dialTimeout); err != nil {
		return nil, err
	}
	fleet.OnMessage(wire.TopicLease, l.receive)
	return l, nil
}

// SocketPath is the path of the operators' socket of a node whose state is in the given folder.
func SocketPath(folder string) string { return filepath.Join(folder, "leases.sock") }

// startNode creates a leaselog.Node from what was loaded from the disk.
func (l *Leases) startNode() {
	if l.loaded.DistrustReason != "" {
		l.log.Error("the saved lease log cannot be trusted; a voter on this node gives up its ID", "voter", fmt.Sprintf("%x", l.loaded.State.ID), "why", l.loaded.DistrustReason)
	}
	config := leaselog.Settings{Name: l.settings.Name, Site: l.settings.Site, ReplaceAfter: l.settings.ReplaceAfter}
	config.Consensus.TickInterval = tickInterval
	l.node = leaselog.New(config, &l.loaded.State, l.loaded.UserData, l.loaded.DistrustReason, rand.Uint64(), clock.Boot())
	l.view, l.reopening = nil, false
}

func (l *Leases) close() {
	if l.controlListener != nil {
		l.controlListener.Close()
	}
	if l.folder != nil {
		if err := l.folder.Close(); err != nil {
			l.log.Warn("closing the lease log's folder failed", "err", err)
		}
	}
}

// receive decodes a message that came over the members' sockets and queues it.
func (l *Leases) receive(body []byte) {
	message, err := leaselog.ParseMessage(body)
	if err != nil {
		return // of another version, or malformed
	}
	if addr, err := netip.ParseAddrPort(message.Addr); err == nil && addr.Port() != 0 {
		l.fleet.LearnAddress(message.From, addr)
	}
	select {
	case l.inbox <- message:
	default: // dropped: the sender repeats it, or it is requested again
	}
}

// Run takes part until the context ends.
func (l *Leases) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer close(l.done)
	defer l.close()
	defer workers.Wait()
	defer l.controlListener.Close()
	defer stop()
	workers.Go(func() { l.writer.run(ctx) })
	workers.Go(func() {
		accept.Serve(ctx, l.controlListener, accept.Limits{MaxConnections: maxOperatorConnections}, func(conn net.Conn) { l.serveConnection(ctx, conn) })
	})
	defer l.abandonSessions()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	sessionTick := time.NewTicker(sessionTickInterval)
	defer sessionTick.Stop()
	sessionTicking := true
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
		case <-sessionTick.C:
			l.tickSessions()
			if len(l.sessions) == 0 {
				sessionTick.Stop() // restarted when there are sessions again
				sessionTicking = false
			}
		case message := <-l.inbox:
			l.node.Receive(clock.Boot(), message)
			for draining := true; draining; { // messages that have queued up meanwhile share a log entry
				select {
				case message := <-l.inbox:
					l.node.Receive(clock.Boot(), message)
				default:
					draining = false
				}
			}
		case call := <-l.calls:
			call()
			l.tickSessions()
		case <-l.writer.saved:
			l.node.Saved(clock.Boot())
		case l.loaded = <-l.writer.reopened:
			l.startNode()
		case <-reopen.C:
			if l.node.Busy() { // a save under way is completed first
				reopen.Reset(tickInterval)
				continue
			}
			l.reopening = true
			l.writer.requestReopen()
		}
		if len(l.sessions) > 0 && !sessionTicking {
			sessionTick.Reset(sessionTickInterval)
			sessionTicking = true
		}
		l.flush()
		if l.logChanges() {
			reopen.Reset(reopenDelay)
		}
	}
}

// updateMembers passes the members of the current view to the node, if the view has changed.
func (l *Leases) updateMembers() {
	view := l.fleet.View()
	if view == l.view && view != nil {
		return
	}
	l.view = view
	var members map[string]leaselog.Member
	if view != nil {
		members = make(map[string]leaselog.Member, len(view.Members))
		for i := range view.Members {
			member := &view.Members[i]
			members[member.Name] = leaselog.Member{Site: member.Site, Addr: member.Addr.String()}
		}
	}
	l.node.SetMembers(clock.Boot(), members)
}

// submitSave passes the node's pending save to the disk writer.
func (l *Leases) submitSave() {
	if l.reopening {
		return
	}
	if save := l.node.TakeSave(); save != nil {
		l.writer.submit(save)
	}
}

// flush sends the node's outgoing messages, delivers local replies and submits its saves.
func (l *Leases) flush() {
	l.submitSave()
	messages, replies := l.node.TakeOutgoing()
	for len(messages)+len(replies) > 0 {
		for i := range messages {
			messages[i].Message.Addr = l.fleet.Address().String()
			body, err := leaselog.AppendMessage(nil, messages[i].Message)
			if err != nil {
				l.log.Error("encoding a message of the lease log failed", "err", err)
				continue
			}
			addr, _ := netip.ParseAddrPort(messages[i].Addr) // the zero address if it has none
			l.fleet.Send(messages[i].To, addr, wire.TopicLease, body)
		}
		for i := range replies {
			l.handleReply(&replies[i])
		}
		messages, replies = l.node.TakeOutgoing()
	}
	l.submitSave()
}

// logChanges logs changes of the node's status, and reports whether the node must be created again
// from the disk.
func (l *Leases) logChanges() (reopen bool) {
	current, previous := l.node.StatusSummary(), l.lastStatus
	if current == previous {
		return false
	}
	l.lastStatus = current
	status := l.node.Status()
	if current.IsLeader != previous.IsLeader {
		l.log.Info("the lease log's leadership has changed", "leads", current.IsLeader, "term", status.Term)
	}
	if current.Index != previous.Index {
		var names []string
		for _, voter := range status.Seats.Rows {
			names = append(names, voter.Name)
		}
		l.log.Info("the lease log's voters have changed", "voters", names, "at", current.Index)
	}
	if current.ID != previous.ID {
		l.log.Info("this node's voter has changed", "number", fmt.Sprintf("%x", current.ID), "was", fmt.Sprintf("%x", previous.ID))
	}
	if current.DiskHung != previous.DiskHung {
		l.log.Warn("the lease log's disk has hung or recovered", "hangs", current.DiskHung)
	}
	if current.Conflict && !previous.Conflict {
		l.log.Error("found another lease log of this fleet: two were founded, and this node keeps its own")
	}
	if current.Broken && !previous.Broken {
		l.log.Error("the voter has failed, and is restarted from its disk", "err", status.Broken)
		return true
	}
	return false
}

// call runs a function on the goroutine that owns the node.
func (l *Leases) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(done) }:
	case <-l.done:
		return errors.New("leases: the node is shutting down")
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Leave stops this node's clients, whose leases are released as their users stop, and then gives up
// leadership. It waits for that up to the timeout.
func (l *Leases) Leave(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if l.call(ctx, func() {
		l.leaving = true
		for _, s := range l.sessions {
			s.client.Stop(clock.Boot(), lease.Holder{})
		}
	}) != nil {
		return
	}
	poll := time.NewTicker(sessionTickInterval)
	defer poll.Stop()
	for remaining := 1; remaining > 0; {
		if l.call(ctx, func() { remaining = len(l.sessions) }) != nil {
			break
		}
		if remaining == 0 {
			break
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			remaining = 0
		}
	}
	ctx, cancel = context.WithTimeout(context.Background(), tickInterval)
	defer cancel()
	if l.call(ctx, func() { l.node.Leave(clock.Boot()) }) == nil {
		select { // time for the message to be sent
		case <-time.After(tickInterval / 2):
		case <-l.done:
		}
	}
}
