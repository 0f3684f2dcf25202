package members

import (
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
)

// mostClaims are claims that wait to be sent: as many nodes may deal, and one claim names a few servers.
const maxQueuedClaims = 8192

// claim is one on its way to a member.
type outgoingClaim struct {
	life  uint64 // its life
	claim allowance.Claim
}

// Claim sends a claim to a member. It does not wait: what does not fit is lost, as on the way.
func (m *Members) SendClaim(to uint64, c allowance.Claim) {
	select {
	case m.claims <- &outgoingClaim{to, c}:
	default:
		m.counters.Dropped.Add(1)
	}
}

// OnGrant has grants handed over as they come; it must not wait for Run. It must be called before Run.
func (m *Members) OnGrant(take func(from uint64, g *allowance.Grant)) { m.onGrant = take }

// sendClaim brings a claim to its dealer: by the network, or to this node's own.
func (m *Members) deliverClaim(n *membership.Node, c *outgoingClaim) []membership.Outgoing {
	if c.life == n.Self().Life {
		if g, ok := m.allocator.HandleClaim(m.clock.Now(), &c.claim); ok && m.onGrant != nil {
			m.onGrant(c.life, &g)
		}
		return nil
	}
	return m.payloadTo(n, c.life, wire.TopicClaim, wire.AppendClaim(nil, &c.claim))
}

// carried takes a message that is not the membership's own.
func (m *Members) handlePayload(n *membership.Node, x *membership.Message) []membership.Outgoing {
	switch x.Topic {
	case wire.TopicClaim:
		c, err := wire.ParseClaim(x.Body)
		if err != nil {
			m.counters.Malformed.Add(1)
			return nil
		}
		if g, ok := m.allocator.HandleClaim(m.clock.Now(), c); ok {
			return m.payloadTo(n, x.SenderLife, wire.TopicGrant, wire.AppendGrant(nil, &g))
		}
	case wire.TopicGrant:
		g, err := wire.ParseGrant(x.Body)
		if err != nil {
			m.counters.Malformed.Add(1)
			return nil
		}
		if m.onGrant != nil {
			m.onGrant(x.SenderLife, g)
		}
	default:
		if take := m.handlers[x.Topic]; take != nil {
			take(x.Body)
		} else { // of a later version, or of what is off here
			m.counters.OtherVersion.Add(1)
		}
	}
	return nil
}

// carryTo addresses something to a life; to none, if it is no member here.
func (m *Members) payloadTo(n *membership.Node, life uint64, topic uint32, body []byte) []membership.Outgoing {
	v := n.View()
	if v == nil {
		return nil
	}
	i, ok := v.IndexOfLife(life)
	if !ok {
		return nil
	}
	return []membership.Outgoing{{To: v.Members[i].Addr, Message: &membership.Message{
		Kind: membership.Payload, SenderLife: n.Self().Life, Topic: topic, Body: body,
	}}}
}
