package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one life of one node.
type Member struct {
	Name string
	Site string
	Addr netip.AddrPort // where others send to it
	Life uint64         // drawn at each start, never 0: two processes of one name differ in it
	// Incarnation counts the lives of the name, from 1.
	Incarnation uint64
}

// The longest name and site, in bytes.
const maxNameBytes = 64

// Check finds what no member can be.
func (m *Member) Check() error {
	switch {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return fmt.Errorf("member: a name has 1 to %d bytes, this one %d", maxNameBytes, len(m.Name))
	case len(m.Site) > maxNameBytes:
		return fmt.Errorf("member %q: a site has %d bytes at most, this one %d", m.Name, maxNameBytes, len(m.Site))
	case !m.Addr.IsValid() || m.Addr.Port() == 0:
		return fmt.Errorf("member %q: no address", m.Name)
	case m.Life == 0:
		return fmt.Errorf("member %q: no life", m.Name)
	}
	return nil
}

// View is who is alive by agreement. It is never written to once it is made.
type View struct {
	FleetID uint64   // drawn when the fleet was founded, never 0
	Number  uint64   // grows by one with each change
	Members []Member // by name, then by life
	Digest  uint64   // of all of the above

	byLife        map[uint64]uint32
	byName        map[string]uint32
	rings         [][]uint32 // each an order of the members; nil: everyone watches everyone
	watchers      [][]uint32 // of each member
	watchedBy     [][]uint32 // by each member
	proposerOrder []uint32   // who proposes, first to last
}

// NewView makes a view of members, each watched by so many others, or by all if
// there are no more. It sorts the members.
func NewView(root, number uint64, members []Member, watchers int) (*View, error) {
	if len(members) == 0 {
		return nil, fmt.Errorf("view %d: nobody is in it", number)
	}
	v := &View{FleetID: root, Number: number, Members: members}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life))
	})
	n := len(members)
	v.byLife, v.byName = make(map[uint64]uint32, n), make(map[string]uint32, n)
	h := xxhash.New()
	var word [8]byte
	put := func(x uint64) {
		binary.LittleEndian.PutUint64(word[:], x)
		h.Write(word[:])
	}
	put(root)
	put(number)
	for i := range v.Members {
		m := &v.Members[i]
		if err := m.Check(); err != nil {
			return nil, fmt.Errorf("view %d: %w", number, err)
		}
		if _, twice := v.byName[m.Name]; twice {
			return nil, fmt.Errorf("view %d: two members are named %q", number, m.Name)
		}
		if _, twice := v.byLife[m.Life]; twice {
			return nil, fmt.Errorf("view %d: two members have one life, the second is %q", number, m.Name)
		}
		v.byLife[m.Life], v.byName[m.Name] = uint32(i), uint32(i)
		put(m.Life)
		put(m.Incarnation)
		h.WriteString(m.Name)
		h.WriteString(m.Addr.String())
		h.WriteString(m.Site)
	}
	v.Digest = h.Sum64()
	v.assignWatchers(watchers)
	return v, nil
}

// mix scatters a life's bits, differently for each ring.
func hashLife(life uint64, ring int) uint64 {
	x := life + uint64(ring+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// draw says who watches whom: on each of some rings a member is watched by the next one
// that does not do so already. The first ring is one for each site, so that one of its own
// site watches a member, if there is one.
func (v *View) assignWatchers(k int) {
	n := len(v.Members)
	v.proposerOrder = v.ring(-1)
	v.watchers, v.watchedBy = make([][]uint32, n), make([][]uint32, n)
	if n-1 <= k {
		for i := range v.watchers {
			for j := range n {
				if i != j {
					v.watchers[i] = append(v.watchers[i], uint32(j))
				}
			}
		}
	} else {
		v.rings = append(v.rings, v.proposerOrder)
		v.assignSiteWatchers()
		for r := 1; r < k; r++ {
			ring := v.ring(r)
			v.rings = append(v.rings, ring)
			for p, subject := range ring {
				for d := 1; ; d++ {
					if o := ring[(p+d)%n]; !slices.Contains(v.watchers[subject], o) {
						v.watchers[subject] = append(v.watchers[subject], o)
						break
					}
				}
			}
		}
	}
	for subject, all := range v.watchers {
		for _, o := range all {
			v.watchedBy[o] = append(v.watchedBy[o], uint32(subject))
		}
	}
}

func (v *View) assignSiteWatchers() {
	sites := map[string][]uint32{}
	for _, i := range v.proposerOrder {
		site := v.Members[i].Site
		sites[site] = append(sites[site], i)
	}
	for p, subject := range v.proposerOrder {
		if len(sites[v.Members[subject].Site]) == 1 {
			v.watchers[subject] = append(v.watchers[subject], v.proposerOrder[(p+1)%len(v.proposerOrder)])
		}
	}
	for _, own := range sites {
		for p, subject := range own {
			if len(own) > 1 {
				v.watchers[subject] = append(v.watchers[subject], own[(p+1)%len(own)])
			}
		}
	}
}

func (v *View) ring(r int) []uint32 {
	type place struct {
		at uint64
		i  uint32
	}
	places := make([]place, len(v.Members))
	for i := range v.Members {
		places[i] = place{hashLife(v.Members[i].Life, r), uint32(i)}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.at, b.at) })
	ring := make([]uint32, len(places))
	for i, p := range places {
		ring[i] = p.i
	}
	return ring
}

// sponsors are those who try a life that wants in, before it is let in.
func (v *View) sponsors(life uint64) []uint32 {
	if v.rings == nil {
		return v.proposerOrder
	}
	var all []uint32
	for r, ring := range v.rings {
		if r == 0 {
			r = -1 // the order of those who propose
		}
		at := hashLife(life, r)
		p, _ := slices.BinarySearchFunc(ring, at, func(i uint32, at uint64) int { return cmp.Compare(hashLife(v.Members[i].Life, r), at) })
		for d := range ring {
			if o := ring[(p+d)%len(ring)]; !slices.Contains(all, o) {
				all = append(all, o)
				break
			}
		}
	}
	return all
}

// Index is the place of a life among the members; false if it is none.
func (v *View) IndexOfLife(life uint64) (uint32, bool) {
	i, ok := v.byLife[life]
	return i, ok
}

// Named is the place of the member of a name; false if there is none.
func (v *View) IndexOfName(name string) (uint32, bool) {
	i, ok := v.byName[name]
	return i, ok
}

// majority is the number of votes that decide.
func (v *View) majority() int { return len(v.Members)/2 + 1 }

// Thresholds of accusations for a member with so many watchers.
func highWatermark(watchers int) int { return (3*watchers + 3) / 4 }   // all but a few
func lowWatermark(watchers int) int  { return (3*watchers + 9) / 10 }  // below is noise
func halfOf(watchers int) int        { return max(1, (watchers+1)/2) } // of those that see it alive

// Proposal is a change of a view.
type Proposal struct {
	ViewNumber uint64   // the number of the view that it changes
	NextNumber uint64   // of the view that it makes: the next, or beyond all that those who come in have known
	Remove     []uint32 // places in that view, ascending
	Add        []Member // by life
}

// Hash names a proposal; never 0.
func (p *Proposal) Hash() uint64 {
	h := xxhash.New()
	var word [8]byte
	put := func(x uint64) {
		binary.LittleEndian.PutUint64(word[:], x)
		h.Write(word[:])
	}
	put(p.ViewNumber)
	put(p.NextNumber)
	put(uint64(len(p.Remove)))
	for _, i := range p.Remove {
		put(uint64(i))
	}
	for i := range p.Add {
		put(p.Add[i].Life)
		put(p.Add[i].Incarnation)
		h.WriteString(p.Add[i].Name + "\x00" + p.Add[i].Site + "\x00" + p.Add[i].Addr.String())
	}
	return max(1, h.Sum64())
}

// Next is the view that a proposal makes of this one.
func (v *View) Next(p *Proposal, watchers int) (*View, error) {
	if p.ViewNumber != v.Number || p.NextNumber <= v.Number {
		return nil, fmt.Errorf("a proposal of view %d for view %d came to view %d", p.NextNumber, p.ViewNumber, v.Number)
	}
	members := make([]Member, 0, len(v.Members)+len(p.Add))
	at := 0
	for i := range v.Members {
		if at < len(p.Remove) && p.Remove[at] == uint32(i) {
			at++
			continue
		}
		members = append(members, v.Members[i])
	}
	if at < len(p.Remove) {
		return nil, fmt.Errorf("a proposal for view %d takes out place %d of %d, or one twice", p.ViewNumber, p.Remove[at], len(v.Members))
	}
	return NewView(v.FleetID, p.NextNumber, append(members, p.Add...), watchers)
}

// Watchers are the places of those who watch a member.
func (v *View) WatchersOf(i uint32) []uint32 { return v.watchers[i] }
