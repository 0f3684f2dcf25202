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

const rosters = 16 // list numbers run from 0 to 15

// node is one instance of the module and the names that its settings gave.
type node struct {
	balancer *decide.Balancer
	classes  map[string]int
	tenants  map[string]int
}

// host keeps the instances of one process. They share nothing but the lists of
// servers on their way in.
type host struct {
	in    *bufio.Reader
	out   *bufio.Writer
	nodes map[int]*node
	lists [rosters][]decide.Server
	buf   []decide.Action
	now   time.Duration
	open  bool // inside a batch
}

func newHost(in *bufio.Reader, out *bufio.Writer) *host {
	return &host{in: in, out: out, nodes: map[int]*node{}}
}

// run answers batches until the input ends.
func (h *host) run() error {
	for number := 1; ; number++ {
		line, err := h.line()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if h.open {
				return fmt.Errorf("line %d: input ends inside a batch", number)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: reading input: %w", number, err)
		}
		if err := h.handle(line); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// line reads one line of any length.
func (h *host) line() ([]byte, error) {
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

// handle takes one event.
func (h *host) handle(line []byte) error {
	m, err := parse(line)
	if err != nil {
		return err
	}
	if (m.Turn == nil) != h.open {
		return errors.New("event outside a batch, or a batch inside another")
	}
	switch {
	case m.Turn != nil:
		if m.Turn.Clock == nil || *m.Turn.Clock < h.now {
			return errors.New("a turn needs a clock that does not run backwards")
		}
		h.now, h.open = *m.Turn.Clock, true
		return nil
	case m.Commit != nil:
		h.open = false
		if _, err := h.out.WriteString("{\"done\":{}}\n"); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		return nil
	case m.Census != nil:
		return h.census(m.Census)
	case m.Boot != nil:
		return h.boot(m.Boot)
	case m.Exit != nil:
		if _, _, err := h.node(m.Exit.I); err != nil {
			return err
		}
		delete(h.nodes, *m.Exit.I)
		return nil
	}
	return h.event(&m)
}

// census keeps a numbered list of servers.
func (h *host) census(c *census) error {
	if c.Roster < 0 || c.Roster >= rosters {
		return fmt.Errorf("list number %d is out of range", c.Roster)
	}
	list := make([]decide.Server, 0, len(c.Items))
	for _, e := range c.Items {
		if e.Server == "" {
			return errors.New("a list entry names no server")
		}
		health, err := settings.LookupName(states, "health", e.Health)
		if err != nil {
			return err
		}
		list = append(list, decide.Server{
			ID: e.Server, Zone: e.Zone, Cell: e.Pod, Health: health, Weight: e.Power, Started: e.Start,
		})
	}
	h.lists[c.Roster] = list
	return nil
}

// boot starts an instance.
func (h *host) boot(b *boot) error {
	if b.I == nil || b.Info == nil {
		return errors.New("boot needs an instance and its settings")
	}
	set, err := b.Info.Translate()
	if err != nil {
		return fmt.Errorf("boot of instance %d: %w", *b.I, err)
	}
	n := &node{
		balancer: decide.New(set, b.Seed, h.now),
		classes:  map[string]int{},
		tenants:  map[string]int{},
	}
	for i, c := range b.Info.Categories {
		n.classes[c.Name] = i
	}
	for i, t := range b.Info.Tenants {
		n.tenants[t.Name] = i
	}
	h.nodes[*b.I] = n
	return nil
}

// node finds the instance that an event is for.
func (h *host) node(i *int) (*node, int, error) {
	if i == nil {
		return nil, 0, errors.New("event names no instance")
	}
	n := h.nodes[*i]
	if n == nil {
		return nil, 0, fmt.Errorf("instance %d is not running", *i)
	}
	return n, *i, nil
}

// event hands an event to its instance and writes the actions. A panic in the
// module is reported by the wire's own action.
func (h *host) event(m *message) (err error) {
	var at *int
	switch {
	case m.View != nil:
		at = m.View.I
	case m.Req != nil:
		at = m.Req.I
	case m.Done != nil:
		at = m.Done.I
	case m.Check != nil:
		at = m.Check.I
	case m.Reminder != nil:
		at = m.Reminder.I
	case m.Cancelled != nil:
		at = m.Cancelled.I
	case m.Opened != nil:
		at = m.Opened.I
	case m.Heard != nil:
		at = m.Heard.I
	}
	n, i, err := h.node(at)
	if err != nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			err = h.write("bail_out", text{i, fmt.Sprint(p)})
		}
	}()
	h.buf = h.buf[:0]
	switch {
	case m.View != nil:
		err = h.view(n, m.View)
	case m.Req != nil:
		err = h.request(n, m.Req)
	case m.Done != nil:
		err = h.outcome(n, m.Done)
	case m.Check != nil:
		err = h.probed(n, m.Check)
	case m.Reminder != nil:
		h.buf = n.balancer.HandleTimer(h.now, decide.Timer{Token: m.Reminder.Handle}, h.buf)
	case m.Cancelled != nil:
		if m.Cancelled.ID == nil {
			return errors.New("a departure names no request")
		}
		h.buf = n.balancer.HandleDisconnect(h.now, decide.Disconnect{Request: *m.Cancelled.ID}, h.buf)
	}
	if err != nil {
		return err
	}
	for k := range h.buf {
		if err := h.reply(i, &h.buf[k]); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) view(n *node, v *view) error {
	change, err := settings.LookupName(changes, "kind of list", v.How)
	if err != nil {
		return err
	}
	m := decide.ListUpdate{Kind: change}
	if change != decide.ListFailed {
		if v.Roster < 0 || v.Roster >= rosters || h.lists[v.Roster] == nil {
			return fmt.Errorf("list %d was never given", v.Roster)
		}
		m.Servers = h.lists[v.Roster]
	}
	h.buf = n.balancer.HandleList(h.now, m, h.buf)
	return nil
}

func (h *host) request(n *node, r *req) error {
	class, err := settings.LookupName(n.classes, "class", r.Grade)
	if err != nil {
		return err
	}
	tenant, ok := n.tenants[r.Group]
	if !ok {
		tenant = -1
	}
	if r.ID == nil || r.TTL < 0 || r.Work < 0 {
		return errors.New("a request needs an id and times that are not negative")
	}
	h.buf = n.balancer.HandleRequest(h.now, decide.Request{
		ID: *r.ID, Class: class, Tenant: tenant, TTL: r.TTL, Work: r.Work, IsRetry: r.Repeat,
	}, h.buf)
	return nil
}

func (h *host) outcome(n *node, o *outcome) error {
	result, err := settings.LookupName(results, "outcome", o.State)
	if err != nil {
		return err
	}
	if o.ID == nil || o.Attempt < 0 || o.Server == "" || o.Took < 0 {
		return errors.New("an outcome needs a request, an attempt, a server and a time")
	}
	h.buf = n.balancer.HandleOutcome(h.now, decide.Outcome{
		Request: *o.ID, Attempt: o.Attempt, Server: o.Server, Result: result, Elapsed: o.Took, Final: o.Complete,
	}, h.buf)
	return nil
}

func (h *host) probed(n *node, o *outcome) error {
	result, err := settings.LookupName(results, "outcome", o.State)
	if err != nil {
		return err
	}
	h.buf = n.balancer.HandleProbe(h.now, decide.ProbeResult{Server: o.Server, Result: result, Elapsed: o.Took}, h.buf)
	return nil
}

// reply writes one action of an instance.
func (h *host) reply(i int, a *decide.Action) error {
	switch a.Kind {
	case decide.Send:
		return h.write("issue", issue{i, a.Request, a.Server, a.Wait})
	case decide.Refuse:
		return h.write("shed", ending{i, a.Request, a.Wait})
	case decide.Fail:
		return h.write("lose", ending{i, a.Request, 0})
	case decide.Cancel:
		return h.write("abandon", abandon{i, a.Request, a.Attempt})
	case decide.Probe:
		return h.write("ping", toServer{i, a.Server})
	case decide.WatchList:
		return h.write("stream_changes", streamChanges{i, true})
	case decide.UnwatchList:
		return h.write("stream_changes", streamChanges{i, false})
	case decide.CloseIdle:
		return h.write("hang_up", toServer{i, a.Server})
	case decide.FetchList:
		return h.write("get_list", getList{i})
	case decide.StartTimer:
		return h.write("defer", deferral{i, a.Wait, a.Token})
	case decide.Log:
		return h.write("emit", text{i, a.Text})
	}
	return fmt.Errorf("the module returned an unknown action %d", a.Kind)
}

// write encodes one action under its name.
func (h *host) write(name string, fields any) error {
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
