package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"curlewring/decide"
	"curlewring/internal/operators/settings"
)

const maxLists = 16 // lists are numbered from 0 to 15

// node is one instance of the Balancer, with the indices of the names in its settings.
type node struct {
	balancer *decide.Balancer
	classes  map[string]int
	tenants  map[string]int
}

// host runs the instances of one process. They share nothing but the server lists that they are given.
type host struct {
	in      *bufio.Reader
	out     *bufio.Writer
	nodes   map[int]*node
	lists   [maxLists][]decide.Server
	actions []decide.Action
	now     time.Duration
	inBatch bool // between the start of a batch and its commit
}

func newHost(in *bufio.Reader, out *bufio.Writer) *host {
	return &host{in: in, out: out, nodes: map[int]*node{}}
}

// run processes batches until the input ends.
func (h *host) run() error {
	for number := 1; ; number++ {
		line, err := h.readLine()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if h.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", number)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: reading input: %w", number, err)
		}
		if err := h.handleLine(line); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// readLine reads one line of any length.
func (h *host) readLine() ([]byte, error) {
	line, err := h.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = h.in.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// handleLine processes one event.
func (h *host) handleLine(line []byte) error {
	m, err := parse(line)
	if err != nil {
		return err
	}
	if (m.Turn == nil) != h.inBatch {
		return errors.New("event outside a batch, or start of a batch inside another one")
	}
	switch {
	case m.Turn != nil:
		if m.Turn.Clock == nil || *m.Turn.Clock < h.now {
			return errors.New("a batch needs a clock value that does not run backwards")
		}
		h.now, h.inBatch = *m.Turn.Clock, true
		return nil
	case m.Commit != nil:
		h.inBatch = false
		if _, err := h.out.WriteString("{\"done\":{}}\n"); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		return nil
	case m.Census != nil:
		return h.storeList(m.Census)
	case m.Boot != nil:
		return h.boot(m.Boot)
	case m.Exit != nil:
		if _, _, err := h.instance(m.Exit.I); err != nil {
			return err
		}
		delete(h.nodes, *m.Exit.I)
		return nil
	}
	return h.dispatch(&m)
}

// storeList stores a numbered list of servers.
func (h *host) storeList(c *serverList) error {
	if c.Number < 0 || c.Number >= maxLists {
		return fmt.Errorf("list number %d is out of range", c.Number)
	}
	list := make([]decide.Server, 0, len(c.Items))
	for _, e := range c.Items {
		if e.Server == "" {
			return errors.New("list entry without a server name")
		}
		health, err := settings.LookupName(healthStates, "health", e.Health)
		if err != nil {
			return err
		}
		list = append(list, decide.Server{
			ID: e.Server, Zone: e.Zone, Cell: e.Cell, Health: health, Weight: e.Weight, Started: e.Started,
		})
	}
	h.lists[c.Number] = list
	return nil
}

// boot starts an instance.
func (h *host) boot(b *bootEvent) error {
	if b.I == nil || b.Settings == nil {
		return errors.New("boot needs an instance number and settings")
	}
	set, err := b.Settings.Translate()
	if err != nil {
		return fmt.Errorf("boot of instance %d: %w", *b.I, err)
	}
	n := &node{
		balancer: decide.New(set, b.Seed, h.now),
		classes:  map[string]int{},
		tenants:  map[string]int{},
	}
	for i, c := range b.Settings.Categories {
		n.classes[c.Name] = i
	}
	for i, t := range b.Settings.Tenants {
		n.tenants[t.Name] = i
	}
	h.nodes[*b.I] = n
	return nil
}

// instance returns the instance that an event is for.
func (h *host) instance(i *int) (*node, int, error) {
	if i == nil {
		return nil, 0, errors.New("event without an instance number")
	}
	n := h.nodes[*i]
	if n == nil {
		return nil, 0, fmt.Errorf("instance %d is not running", *i)
	}
	return n, *i, nil
}

// dispatch passes an event to its instance and writes the returned actions. A panic of the Balancer is
// reported as a bail_out.
func (h *host) dispatch(m *message) (err error) {
	var target *int
	switch {
	case m.View != nil:
		target = m.View.I
	case m.Req != nil:
		target = m.Req.I
	case m.Done != nil:
		target = m.Done.I
	case m.Check != nil:
		target = m.Check.I
	case m.Reminder != nil:
		target = m.Reminder.I
	case m.Cancelled != nil:
		target = m.Cancelled.I
	case m.Opened != nil:
		target = m.Opened.I
	case m.Heard != nil:
		target = m.Heard.I
	}
	n, i, err := h.instance(target)
	if err != nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			err = h.writeObject("bail_out", textAction{i, fmt.Sprint(p)})
		}
	}()
	h.actions = h.actions[:0]
	switch {
	case m.View != nil:
		err = h.listUpdate(n, m.View)
	case m.Req != nil:
		err = h.request(n, m.Req)
	case m.Done != nil:
		err = h.outcome(n, m.Done)
	case m.Check != nil:
		err = h.probeResult(n, m.Check)
	case m.Reminder != nil:
		h.actions = n.balancer.HandleTimer(h.now, decide.Timer{Token: m.Reminder.Token}, h.actions)
	case m.Cancelled != nil:
		if m.Cancelled.ID == nil {
			return errors.New("cancellation without a request id")
		}
		h.actions = n.balancer.HandleDisconnect(h.now, decide.Disconnect{Request: *m.Cancelled.ID}, h.actions)
	}
	if err != nil {
		return err
	}
	for k := range h.actions {
		if err := h.writeAction(i, &h.actions[k]); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) listUpdate(n *node, v *listEvent) error {
	kind, err := settings.LookupName(listKinds, "kind of list", v.Kind)
	if err != nil {
		return err
	}
	update := decide.ListUpdate{Kind: kind}
	if kind != decide.ListFailed {
		if v.Number < 0 || v.Number >= maxLists || h.lists[v.Number] == nil {
			return fmt.Errorf("list %d does not exist", v.Number)
		}
		update.Servers = h.lists[v.Number]
	}
	h.actions = n.balancer.HandleList(h.now, update, h.actions)
	return nil
}

func (h *host) request(n *node, r *requestEvent) error {
	class, err := settings.LookupName(n.classes, "class", r.Class)
	if err != nil {
		return err
	}
	tenant, ok := n.tenants[r.Tenant]
	if !ok {
		tenant = -1
	}
	if r.ID == nil || r.TTL < 0 || r.Work < 0 {
		return errors.New("a request needs an id and non-negative times")
	}
	h.actions = n.balancer.HandleRequest(h.now, decide.Request{
		ID: *r.ID, Class: class, Tenant: tenant, TTL: r.TTL, Work: r.Work, IsRetry: r.IsRetry,
	}, h.actions)
	return nil
}

func (h *host) outcome(n *node, o *outcomeEvent) error {
	result, err := settings.LookupName(results, "outcome", o.Result)
	if err != nil {
		return err
	}
	if o.ID == nil || o.Attempt < 0 || o.Server == "" || o.Elapsed < 0 {
		return errors.New("an outcome needs a request id, an attempt, a server and a non-negative time")
	}
	h.actions = n.balancer.HandleOutcome(h.now, decide.Outcome{
		Request: *o.ID, Attempt: o.Attempt, Server: o.Server, Result: result, Elapsed: o.Elapsed, Final: o.Final,
	}, h.actions)
	return nil
}

func (h *host) probeResult(n *node, o *outcomeEvent) error {
	result, err := settings.LookupName(results, "outcome", o.Result)
	if err != nil {
		return err
	}
	h.actions = n.balancer.HandleProbe(h.now, decide.ProbeResult{Server: o.Server, Result: result, Elapsed: o.Elapsed}, h.actions)
	return nil
}

// writeAction writes one action of an instance.
func (h *host) writeAction(i int, a *decide.Action) error {
	switch a.Kind {
	case decide.Send:
		return h.writeObject("issue", sendAction{i, a.Request, a.Server, a.Wait})
	case decide.Refuse:
		return h.writeObject("shed", finalAction{i, a.Request, a.Wait})
	case decide.Fail:
		return h.writeObject("lose", finalAction{i, a.Request, 0})
	case decide.Cancel:
		return h.writeObject("abandon", cancelAction{i, a.Request, a.Attempt})
	case decide.Probe:
		return h.writeObject("ping", serverAction{i, a.Server})
	case decide.WatchList:
		return h.writeObject("stream_changes", watchAction{i, true})
	case decide.UnwatchList:
		return h.writeObject("stream_changes", watchAction{i, false})
	case decide.CloseIdle:
		return h.writeObject("hang_up", serverAction{i, a.Server})
	case decide.FetchList:
		return h.writeObject("get_list", fetchListAction{i})
	case decide.StartTimer:
		return h.writeObject("defer", timerAction{i, a.Wait, a.Token})
	case decide.Log:
		return h.writeObject("emit", textAction{i, a.Text})
	}
	return fmt.Errorf("unknown action kind %d", a.Kind)
}

// writeObject writes an object with a single key, the name of the action.
func (h *host) writeObject(name string, fields any) error {
	h.out.WriteString(`{"`)
	h.out.WriteString(name)
	h.out.WriteString(`":`)
	body, err := json.Marshal(fields)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", name, err)
	}
	h.out.Write(body)
	if _, err := h.out.WriteString("}\n"); err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}
