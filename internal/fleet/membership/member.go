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

// Member is one life of a node. A life begins when the node's process starts, and again when
// the node finds that it was removed from the view.
type Member struct {
	Name string
	Site string
	Addr netip.AddrPort // address that other nodes send to
	Life uint64         // random per life, never 0; distinguishes two processes of one name
	// Incarnation counts the lives of a name, from 1.
	Incarnation uint64
}

// maxNameBytes bounds the names of nodes and sites.
const maxNameBytes = 64

// Check returns an error if the member is invalid.
func (m *Member) Check() error {
	switch {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return fmt.Errorf("member: name must have 1 to %d bytes, has %d", maxNameBytes, len(m.Name))
	case len(m.Site) > maxNameBytes:
		return fmt.Errorf("member %q: site must have at most %d bytes, has %d", m.Name, maxNameBytes, len(m.Site))
	case !m.Addr.IsValid() || m.Addr.Port() == 0:
		return fmt.Errorf("member %q: address is missing or has no port", m.Name)
	case m.Life == 0:
		return fmt.Errorf("member %q: life is 0", m.Name)
	}
	return nil
}

// View is the agreed set of live members. It is immutable.
type View struct {
	FleetID uint64   // random, assigned when the fleet was founded, never 0
	Number  uint64   // grows with each change
	Members []Member // sorted by name, then by life
	Digest  uint64   // hash of the fields above

	byLife        map[uint64]uint32
	byName        map[string]uint32
	rings         [][]uint32 // pseudo-random orders of the members; nil if all members watch each other
	watchers      [][]uint32 // watchers of each member
	watchedBy     [][]uint32 // members watched by each member
	proposerOrder []uint32   // order in which members may propose
}

// NewView returns a view of the given members, each with the given number of watchers, or
// fewer if there are not enough members. It sorts members in place.
func NewView(fleetID, number uint64, members []Member, watchers int) (*View, error) {
	if len(members) == 0 {
		return nil, fmt.Errorf("view %d: no members", number)
	}
	v := &View{FleetID: fleetID, Number: number, Members: members}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life))
	})
	n := len(members)
	v.byLife, v.byName = make(map[uint64]uint32, n), make(map[string]uint32, n)
	h := xxhash.New()
	var buf [8]byte
	writeUint := func(x uint64) {
		binary.LittleEndian.PutUint64(buf[:], x)
		h.Write(buf[:])
	}
	writeUint(fleetID)
	writeUint(number)
	for i := range v.Members {
		m := &v.Members[i]
		if err := m.Check(); err != nil {
			return nil, fmt.Errorf("view %d: %w", number, err)
		}
		if _, duplicate := v.byName[m.Name]; duplicate {
			return nil, fmt.Errorf("view %d: more than one member has the name %q", number, m.Name)
		}
		if _, duplicate := v.byLife[m.Life]; duplicate {
			return nil, fmt.Errorf("view %d: member %q has the life of another member", number, m.Name)
		}
		v.byLife[m.Life], v.byName[m.Name] = uint32(i), uint32(i)
		writeUint(m.Life)
		writeUint(m.Incarnation)
		h.WriteString(m.Name)
		h.WriteString(m.Addr.String())
		h.WriteString(m.Site)
	}
	v.Digest = h.Sum64()
	v.assignWatchers(watchers)
	return v, nil
}

// hashLife hashes a life with a different function for each ring (the splitmix64 finalizer).
func hashLife(life uint64, ring int) uint64 {
	x := life + uint64(ring+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// assignWatchers determines who watches whom. On each of k rings a member is watched by the
// next one that does not watch it already. The first ring is replaced by one ring per site, so
// that each member has a watcher at its own site, if that site has another member.
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
			for position, subject := range ring {
				for distance := 1; ; distance++ {
					if watcher := ring[(position+distance)%n]; !slices.Contains(v.watchers[subject], watcher) {
						v.watchers[subject] = append(v.watchers[subject], watcher)
						break
					}
				}
			}
		}
	}
	for subject, watchers := range v.watchers {
		for _, watcher := range watchers {
			v.watchedBy[watcher] = append(v.watchedBy[watcher], uint32(subject))
		}
	}
}

// assignSiteWatchers makes each member the watcher of the one before it on its site's ring. A
// member alone at its site is watched by the next one of the whole fleet.
func (v *View) assignSiteWatchers() {
	sites := map[string][]uint32{}
	for _, i := range v.proposerOrder {
		site := v.Members[i].Site
		sites[site] = append(sites[site], i)
	}
	for position, subject := range v.proposerOrder {
		if len(sites[v.Members[subject].Site]) == 1 {
			v.watchers[subject] = append(v.watchers[subject], v.proposerOrder[(position+1)%len(v.proposerOrder)])
		}
	}
	for _, siteMembers := range sites {
		for position, subject := range siteMembers {
			if len(siteMembers) > 1 {
				v.watchers[subject] = append(v.watchers[subject], siteMembers[(position+1)%len(siteMembers)])
			}
		}
	}
}

// ring returns the members in the pseudo-random order of ring r.
func (v *View) ring(r int) []uint32 {
	type ringEntry struct {
		hash  uint64
		index uint32
	}
	entries := make([]ringEntry, len(v.Members))
	for i := range v.Members {
		entries[i] = ringEntry{hashLife(v.Members[i].Life, r), uint32(i)}
	}
	slices.SortFunc(entries, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
	ring := make([]uint32, len(entries))
	for i, entry := range entries {
		ring[i] = entry.index
	}
	return ring
}

// sponsors returns the members that probe a joining life before it is admitted: its successors
// on the rings, or all members of a small view.
func (v *View) sponsors(life uint64) []uint32 {
	if v.rings == nil {
		return v.proposerOrder
	}
	var sponsors []uint32
	for r, ring := range v.rings {
		if r == 0 {
			r = -1 // the first ring is proposerOrder
		}
		target := hashLife(life, r)
		start, _ := slices.BinarySearchFunc(ring, target, func(i uint32, target uint64) int { return cmp.Compare(hashLife(v.Members[i].Life, r), target) })
		for distance := range ring {
			if sponsor := ring[(start+distance)%len(ring)]; !slices.Contains(sponsors, sponsor) {
				sponsors = append(sponsors, sponsor)
				break
			}
		}
	}
	return sponsors
}

// IndexOfLife returns the index of the member with the given life, and whether there is one.
func (v *View) IndexOfLife(life uint64) (uint32, bool) {
	i, ok := v.byLife[life]
	return i, ok
}

// IndexOfName returns the index of the member with the given name, and whether there is one.
func (v *View) IndexOfName(name string) (uint32, bool) {
	i, ok := v.byName[name]
	return i, ok
}

// majority returns the number of votes needed for a decision.
func (v *View) majority() int { return len(v.Members)/2 + 1 }

// Thresholds of accusations for a member with the given number of watchers. A member is
// removed at the high watermark, three quarters of its watchers; below the low watermark, three
// tenths of them, accusations are noise; halfOf applies to members that refute, which other
// watchers still reach.
func highWatermark(watchers int) int { return (3*watchers + 3) / 4 }
func lowWatermark(watchers int) int  { return (3*watchers + 9) / 10 }
func halfOf(watchers int) int        { return max(1, (watchers+1)/2) }

// Proposal is a change to a view.
type Proposal struct {
	ViewNumber uint64   // the view that it changes
	NextNumber uint64   // the resulting view: the next number, above all view numbers known to the joiners
	Remove     []uint32 // member indexes of the changed view, ascending
	Add        []Member // sorted by life
}

// Hash returns the identifier of a proposal; never 0.
func (p *Proposal) Hash() uint64 {
	h := xxhash.New()
	var buf [8]byte
	writeUint := func(x uint64) {
		binary.LittleEndian.PutUint64(buf[:], x)
		h.Write(buf[:])
	}
	writeUint(p.ViewNumber)
	writeUint(p.NextNumber)
	writeUint(uint64(len(p.Remove)))
	for _, i := range p.Remove {
		writeUint(uint64(i))
	}
	for i := range p.Add {
		writeUint(p.Add[i].Life)
		writeUint(p.Add[i].Incarnation)
		h.WriteString(p.Add[i].Name + "\x00" + p.Add[i].Site + "\x00" + p.Add[i].Addr.String())
	}
	return max(1, h.Sum64())
}

// Next returns the view that results from applying a proposal to this one.
func (v *View) Next(p *Proposal, watchers int) (*View, error) {
	if p.ViewNumber != v.Number || p.NextNumber <= v.Number {
		return nil, fmt.Errorf("proposal of view %d from view %d can't be applied to view %d", p.NextNumber, p.ViewNumber, v.Number)
	}
	members := make([]Member, 0, len(v.Members)+len(p.Add))
	nextRemoved := 0
	for i := range v.Members {
		if nextRemoved < len(p.Remove) && p.Remove[nextRemoved] == uint32(i) {
			nextRemoved++
			continue
		}
		members = append(members, v.Members[i])
	}
	if nextRemoved < len(p.Remove) {
		return nil, fmt.Errorf("proposal for view %d: removed index %d is out of range (%d members) or not ascending", p.ViewNumber, p.Remove[nextRemoved], len(v.Members))
	}
	return NewView(v.FleetID, p.NextNumber, append(members, p.Add...), watchers)
}

// WatchersOf returns the indexes of the watchers of a member.
func (v *View) WatchersOf(i uint32) []uint32 { return v.watchers[i] }
