package members

import (
	"net/netip"

	"curlewring/internal/fleet/membership"
)

const (
	maxQueuedPayloads = 8192 // payloads waiting to be sent: one for each node of a planned fleet
	maxAddresses      = 1 << 14
)

// outgoingPayload is a message of another package that is to be sent to a member.
type outgoingPayload struct {
	member   string         // the member's name
	fallback netip.AddrPort // used if no address of the member is recorded
	topic    uint32
	body     []byte
}

// Send queues a payload for the named member. It goes to the address last recorded for that name,
// or to the given address if there is none. Send does not block and delivery is not guaranteed; it
// returns false if the queue is full.
func (m *Members) Send(member string, addr netip.AddrPort, topic uint32, body []byte) bool {
	select {
	case m.payloads <- &outgoingPayload{member, addr, topic, body}:
		return true
	default:
		m.counters.Dropped.Add(1)
		return false
	}
}

// OnMessage registers the handler of received payloads of a topic. The handler runs on Run's
// goroutine and must not block. OnMessage must be called before Run.
func (m *Members) OnMessage(topic uint32, handle func(body []byte)) { m.handlers[topic] = handle }

// Name returns this node's name.
func (m *Members) Name() string { return m.settings.Name }

// LearnAddress records the address that a node reports for itself, unless one is recorded already;
// later views replace it. Payload handlers call it on Run's goroutine.
func (m *Members) LearnAddress(name string, addr netip.AddrPort) {
	if _, known := m.addresses[name]; !known && len(m.addresses) < maxAddresses {
		m.addresses[name] = addr
	}
}

// recordAddresses records the members' addresses. An address stays after its member has left the
// view, because a lease voter that was removed from the view must still be reachable.
func (m *Members) recordAddresses(view *membership.View) {
	if len(m.addresses) > maxAddresses {
		m.addresses = map[string]netip.AddrPort{}
	}
	for i := range view.Members {
		m.addresses[view.Members[i].Name] = view.Members[i].Addr
	}
}

// addressPayload turns a queued payload into a message for the member's current address.
func (m *Members) addressPayload(n *membership.Node, payload *outgoingPayload) []membership.Outgoing {
	addr, ok := m.addresses[payload.member]
	if !ok {
		addr = payload.fallback
	}
	if !addr.IsValid() || addr.Port() == 0 {
		return nil
	}
	return []membership.Outgoing{{To: addr, Message: &membership.Message{
		Kind: membership.Payload, SenderLife: n.Self().Life, Topic: payload.topic, Body: payload.body,
	}}}
}
