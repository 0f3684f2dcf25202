package members

import (
	"net/netip"

	"curlewring/internal/fleet/membership"
)

const (
	maxQueuedPayloads = 8192 // messages of others that wait to be sent
	maxAddresses      = 1 << 14
)

// load is something for a member, of another user of the sockets.
type outgoingPayload struct {
	member   string         // its name
	fallback netip.AddrPort // where it was, if nothing newer is known
	topic    uint32
	body     []byte
}

// Carry sends something to the member of a name: where it is now, or was last; at, where nothing is known of it here. It
// does not wait, and it may be lost: what does not fit is, as on the way. False tells that it did not fit.
func (m *Members) Send(to string, at netip.AddrPort, topic uint32, body []byte) bool {
	select {
	case m.payloads <- &outgoingPayload{to, at, topic, body}:
		return true
	default:
		m.counters.Dropped.Add(1)
		return false
	}
}

// OnCarry has what others carry here under a topic handed over; it must not wait. It must be called before Run.
func (m *Members) OnMessage(topic uint32, take func(body []byte)) { m.handlers[topic] = take }

// Name is this node's.
func (m *Members) Name() string { return m.settings.Name }

// Met tells where a name is by its own word, which holds until a view says so. The taker of carried messages calls it, on
// Run's goroutine.
func (m *Members) LearnAddress(name string, at netip.AddrPort) {
	if _, known := m.addresses[name]; !known && len(m.addresses) < maxAddresses {
		m.addresses[name] = at
	}
}

// enter remembers where the members are: a voter that has been taken out of the view is still one.
func (m *Members) recordAddresses(v *membership.View) {
	if len(m.addresses) > maxAddresses {
		m.addresses = map[string]netip.AddrPort{}
	}
	for i := range v.Members {
		m.addresses[v.Members[i].Name] = v.Members[i].Addr
	}
}

// loaded addresses something.
func (m *Members) addressPayload(n *membership.Node, c *outgoingPayload) []membership.Outgoing {
	to, ok := m.addresses[c.member]
	if !ok {
		to = c.fallback
	}
	if !to.IsValid() || to.Port() == 0 {
		return nil
	}
	return []membership.Outgoing{{To: to, Message: &membership.Message{
		Kind: membership.Payload, SenderLife: n.Self().Life, Topic: c.topic, Body: c.body,
	}}}
}
