package node

import (
	"context"
	"time"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/node/persist"
	"curlewring/internal/servers/endpoints"
	"curlewring/internal/servers/serverdb"
)

// Events of the loop that have to do with lists of other nodes.
type (
	discoveryAllowed struct{} // discovery may be asked
	listHandedOver   struct { // a list of another node's
		list  *endpoints.List
		about bootstrap.List
	}
	listRequested struct{ reply chan<- *endpoints.List } // room for one
)

// recordLoop is what the record of lists needs of the loop.
func (l *loop) bootstrapHooks() (ask func(), hand func([]byte, bootstrap.List), list func(context.Context) []byte) {
	ask = func() { l.post(discoveryAllowed{}) }
	hand = func(text []byte, about bootstrap.List) {
		m, err := endpoints.Parse(text)
		if err != nil || !m.Whole || m.Generation != about.Generation {
			l.log.Warn("a list that another node handed on makes no sense", "err", err)
			l.bootstrap.ListRejected()
			return
		}
		l.post(listHandedOver{m, about})
	}
	list = func(ctx context.Context) []byte {
		reply := make(chan *endpoints.List, 1)
		l.post(listRequested{reply})
		select {
		case m := <-reply:
			if m == nil {
				return nil
			}
			text, err := m.Encode()
			if err != nil {
				l.log.Error("the list can't be written for another node", "err", err)
				return nil
			}
			return text
		case <-ctx.Done():
			return nil
		}
	}
	return ask, hand, list
}

// handed begins with a list of another node's, as with an old one of this node's own: it is doubted by its age, until
// discovery has spoken to this node itself.
func (l *loop) adoptHandedList(h listHandedOver) {
	p := l.saved
	if l.lastGeneration > 0 || len(p.restored.Servers) > 0 || len(h.list.Entries) == 0 {
		return // discovery has spoken, or there is a list of this node's own
	}
	wall := l.clock.WallTime(l.now)
	known := persist.Restored{Node: p.restored.Node, List: serverdb.List{
		Generation: h.list.Generation, Discovery: h.about.Discovery, Confirmed: wall.Add(-h.about.Age), ServingCount: len(h.list.Entries), Consistent: true,
	}}
	for i := range h.list.Entries {
		known.Servers = append(known.Servers, toRow(&h.list.Entries[i], wall))
	}
	p.restored, p.fromOtherNode = known, true
	l.log.Info("another node has handed its list on", "servers", len(known.Servers), "generation", h.list.Generation, "age", h.about.Age.Round(time.Millisecond).String())
	if h.about.Discovery == l.discovery.Address() { // else its generations may be others
		l.discovery.ResumeFrom(h.list.Generation)
	}
	l.loadSavedState()
}

// present is the list as discovery told it, or another node; nil: there is none.
func (l *loop) currentList() *endpoints.List {
	if l.lastGeneration == 0 && !l.saved.fromOtherNode {
		return nil
	}
	return l.view.LatestList()
}
