package members

import (
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
)

// maxQueuedClaims bounds the claims waiting to be sent. It allows for one to each node of a planned
// fleet: any node may be an allocator, and one claim covers only a few servers.
const maxQueuedClaims = 8192

// outgoingClaim is a claim on its way to the member that allocates the budget.
type outgoingClaim struct {
	life  uint64 // of the recipient
	claim allowance.Claim
}

// SendClaim queues a claim for the member of a life. It does not block: a claim that does not fit
// is dropped, as it might be on the network.
func (m *Members) SendClaim(life uint64, claim allowance.Claim) {
	select {
	case m.claims <- &outgoingClaim{life, claim}:
	default:
		m.counters.Dropped.Add(1)
	}
}

// OnGrant registers the handler of grants. Run may call it, so the handler must not wait for Run.
// OnGrant must be called before Run.
func (m *Members) OnGrant(handle func(from uint64, g *allowance.Grant)) { m.onGrant = handle }

// deliverClaim passes a claim to its allocator: over the network, or directly if it is this node's
// own.
func (m *Members) deliverClaim(n *membership.Node, claim *outgoingClaim) []membership.Outgoing {
	if claim.life == n.Self().Life {
		if grant, ok := m.allocator.HandleClaim(m.clock.Now(), &claim.claim); ok && m.onGrant != nil {
			m.onGrant(claim.life, &grant)
		}
		return nil
	}
	return m.payloadTo(n, claim.life, wire.TopicClaim, wire.AppendClaim(nil, &claim.claim))
}

// handlePayload processes a received payload and returns the messages that answer it.
func (m *Members) handlePayload(n *membership.Node, message *membership.Message) []membership.Outgoing {
	switch message.Topic {
	case wire.TopicClaim:
		claim, err := wire.ParseClaim(message.Body)
		if err != nil {
			m.counters.Malformed.Add(1)
			return nil
		}
		if grant, ok := m.allocator.HandleClaim(m.clock.Now(), claim); ok {
			return m.payloadTo(n, message.SenderLife, wire.TopicGrant, wire.AppendGrant(nil, &grant))
		}
	case wire.TopicGrant:
		grant, err := wire.ParseGrant(message.Body)
		if err != nil {
			m.counters.Malformed.Add(1)
			return nil
		}
		if m.onGrant != nil {
			m.onGrant(message.SenderLife, grant)
		}
	default:
		if handle := m.handlers[message.Topic]; handle != nil {
			handle(message.Body)
		} else { // from a later version, or for a feature that is off here
			m.counters.OtherVersion.Add(1)
		}
	}
	return nil
}

// payloadTo addresses a payload to the member of a life. It returns nothing if there is no such
// member in the view.
func (m *Members) payloadTo(n *membership.Node, life uint64, topic uint32, body []byte) []membership.Outgoing {
	view := n.View()
	if view == nil {
		return nil
	}
	i, ok := view.IndexOfLife(life)
	if !ok {
		return nil
	}
	return []membership.Outgoing{{To: view.Members[i].Addr, Message: &membership.Message{
		Kind: membership.Payload, SenderLife: n.Self().Life, Topic: topic, Body: body,
	}}}
}
