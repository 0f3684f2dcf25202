package serverdb

import (
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// A server that was removed at a generation must not be published as serving, without the delay for returns, by a list
// of an older generation, whichever list of the older copy of discovery names it and whatever the node did in between.
func TestOlderCopyBringsNobodyBack(t *testing.T) {
	entry := func(id string, h decide.Health) endpoints.Entry {
		return endpoints.Entry{Server: decide.Server{ID: id, Health: h, Started: time.Second, Weight: 1}, Address: id + ":1"}
	}
	whole := func(generation uint64, ids ...string) *endpoints.List {
		l := &endpoints.List{Generation: generation, Whole: true}
		for _, id := range ids {
			l.Entries = append(l.Entries, entry(id, decide.Healthy))
		}
		return l
	}
	removal := func(generation uint64, id string) *endpoints.List {
		return &endpoints.List{Generation: generation, Entries: []endpoints.Entry{entry(id, decide.Removed)}}
	}
	for name, play := range map[string]func(n *soakNode){
		"its second list": func(n *soakNode) {
			n.takeList(removal(20, "a"), false)
			n.takeList(whole(9, "b"), true) // from before a was listed
			n.takeList(whole(10, "a", "b"), true)
		},
		"the same list after a restart": func(n *soakNode) {
			n.takeList(removal(20, "a"), false)
			n.takeList(whole(10, "a", "b"), true)
			n.now += 6 * time.Second
			n.save()
			n.restart()
			n.takeList(whole(10, "a", "b"), true)
		},
		"a removal in an answer that was cut off": func(n *soakNode) {
			gone := entry("a", decide.Removed)
			n.told(&gone, 11, false)
			n.publish(n.view.ApplyPartial(n.now, 0, []endpoints.Entry{gone}))
			n.takeList(whole(10, "a", "b"), true)
		},
		"more removals than are remembered, and a restart": func(n *soakNode) {
			for i, id := range []string{"d", "c", "b", "a"} {
				n.takeList(removal(uint64(20+i), id), false)
				n.now += time.Second
			}
			n.restart()
			n.takeList(removal(30, "e"), false) // a is the newest but for this one
			n.takeList(whole(10, "a"), true)
		},
	} {
		n := newSoakNode(t, endpoints.Settings{MaxTombstones: 4})
		n.now = time.Second
		n.takeList(whole(10, "a", "b", "c", "d", "e"), false)
		n.now += time.Second
		play(n)
		if len(n.breaches) > 0 {
			t.Errorf("%s: %v", name, n.breaches)
		}
	}
}
