package node

import (
	"context"
	"time"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/node/persist"
	"curlewring/internal/servers/endpoints"
	"curlewring/internal/servers/serverdb"
)

// Events of the loop about lists that nodes hand to each other.
type (
	discoveryAllowed struct{} // bootstrap allows a call to discovery
	listHandedOver   struct { // a list from another node
		list  *endpoints.List
		about bootstrap.List
	}
	listRequested struct{ reply chan<- *endpoints.List } // buffered for one reply
)

// bootstrapHooks returns the functions through which bootstrap uses the loop.
func (l *loop) bootstrapHooks() (allowDiscovery func(),
	deliverList func([]byte, bootstrap.List), currentList func(context.Context) []byte) {
	allowDiscovery = func() { l.post(discoveryAllowed{}) }
	deliverList = func(text []byte, about bootstrap.List) {
		m, err := endpoints.Parse(text)
		if err != nil || !m.Whole || m.Generation != about.Generation {
			l.log.Warn("ignoring an invalid list from another node", "err", err)
			l.bootstrap.ListUnusable()
			return
		}
		l.post(listHandedOver{m, about})
	}
	currentList = func(ctx context.Context) []byte {
		reply := make(chan *endpoints.List, 1)
		l.post(listRequested{reply})
		select {
		case m := <-reply:
			if m == nil {
				return nil
			}
			text, err := m.Encode()
			if err != nil {
				l.log.Error("encoding the list for another node", "err", err)
				return nil
			}
			return text
		case <-ctx.Done():
			return nil
		}
	}
	return allowDiscovery, deliverList, currentList
}

// adoptHandedList starts from a list of another node, like from an old list of this node's
// own: depending on its age it counts as stale until discovery has sent this node a list.
func (l *loop) adoptHandedList(h listHandedOver) {
	saved := l.saved
	if l.lastGeneration > 0 || len(saved.restored.Servers) > 0 || len(h.list.Entries) == 0 {
		return // there is a list from discovery or of this node's own
	}
	l.view.KeepDepartures(h.list.Entries) // a partial answer may be newer
	wall := l.clock.WallTime(l.now)
	restored := persist.Restored{Node: saved.restored.Node, List: serverdb.List{
		Generation: h.list.Generation, Discovery: h.about.Discovery, Confirmed: wall.Add(-h.about.Age), ServingCount: len(h.list.Entries), Consistent: true,
	}}
	for i := range h.list.Entries {
		restored.Servers = append(restored.Servers, toRow(&h.list.Entries[i], wall))
	}
	saved.restored, saved.fromOtherNode = restored, true
	l.log.Info("starting with the list of another node", "servers", len(restored.Servers), "generation", h.list.Generation, "age", h.about.Age.Round(time.Millisecond).String())
	if h.about.Discovery == l.discovery.Address() { // otherwise the generations are not comparable
		l.discovery.ResumeFrom(h.list.Generation)
	}
	l.loadSavedState()
}

// currentList returns the last list from discovery or another node; nil if there is none.
func (l *loop) currentList() *endpoints.List {
	if l.lastGeneration == 0 && !l.saved.fromOtherNode {
		return nil
	}
	return l.view.LatestList()
}
