package members

import (
	"net/netip"

	"curlewring/internal/fleet/membership"
)

const (
	mostLoads = 8192 // messages of others that wait to be sent
	mostBook  = 1 << 14
)

// load is something for a member, of another user of the sockets.
type load struct {
	to    string         // its name
	at    netip.AddrPort // where it was, if nothing newer is known
	topic uint32
	body  []byte
}

// Carry sends something to the member of a name: where it is now, or was last; at, where nothing is known of it here. It
// does not wait, and it may be lost: what does not fit is, as on the way. False tells that it did not fit.
func (m *Members) Send(to string, at netip.AddrPort, topic uint32, body []byte) bool {
	select {
	case m.loads <- &load{to, at, topic, body}:
		return true
	default:
		m.counts.Dropped.Add(1)
		return false
	}
}

// OnCarry has what others carry here under a topic handed over; it must not wait. It must be called before Run.
func (m *Members) OnMessage(topic uint32, take func(body []byte)) { m.takers[topic] = take }

// Name is this node's.
func (m *Members) Name() string { return m.set.Name }

// Met tells where a name is by its own word, which holds until a view says so. The taker of carried messages calls it, on
// Run's goroutine.
func (m *Members) LearnAddress(name string, at netip.AddrPort) {
	if _, known := m.book[name]; !known && len(m.book) < mostBook {
		m.book[name] = at
	}
}

// enter remembers where the members are: a voter that has been taken out of the view is still one.
func (m *Members) enter(v *membership.View) {
	if len(m.book) > mostBook {
		m.book = map[string]netip.AddrPort{}
	}
	for i := range v.Members {
		m.book[v.Members[i].Name] = v.Members[i].Addr
	}
}

// loaded addresses something.
func (m *Members) loaded(n *membership.Node, c *load) []membership.Outgoing {
	to, ok := m.book[c.to]
	if !ok {
		to = c.at
	}
	if !to.IsValid() || to.Port() == 0 {
		return nil
	}
	return []membership.Outgoing{{To: to, Message: &membership.Message{
		Kind: membership.Payload, SenderLife: n.Self().Life, Topic: c.topic, Body: c.body,
	}}}
}
