package leaselog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Seat is one voter's.
type VoterInfo struct {
	ID   uint64 // drawn with its disk, never 0
	Name string // of the node
	Site string
	Addr string // where it was when it got the seat: after all have ended, nobody has a view that says so
}

// Seats is who votes.
type VoterSet struct {
	Founding uint64      // drawn when the log was founded; 0: nobody votes yet
	Index    uint64      // of the log, at the last change
	Tokens   uint64      // the first token is above it: where a log takes another's place
	Rows     []VoterInfo // by name
}

// Bounds of what an operator may found.
const (
	MinVoters, MaxVoters = 1, 7
	mostName             = 64 // as of members
)

// clone copies them.
func (s VoterSet) clone() VoterSet {
	s.Rows = slices.Clone(s.Rows)
	return s
}

// of finds a node's seat.
func (s *VoterSet) of(name string) (VoterInfo, bool) {
	for _, r := range s.Rows {
		if r.Name == name {
			return r, true
		}
	}
	return VoterInfo{}, false
}

// by finds the seat of a number.
func (s *VoterSet) by(id uint64) (VoterInfo, bool) {
	for _, r := range s.Rows {
		if r.ID == id {
			return r, true
		}
	}
	return VoterInfo{}, false
}

// change gives one seat to another; false if that has been done, or makes no sense.
func (s *VoterSet) change(out uint64, in VoterInfo, index uint64) bool {
	at := slices.IndexFunc(s.Rows, func(r VoterInfo) bool { return r.ID == out })
	if _, there := s.by(in.ID); at < 0 || there || in.ID == 0 {
		return false
	}
	if other, there := s.of(in.Name); there && other.ID != out {
		return false // a node has one seat
	}
	s.Rows[at] = in
	slices.SortFunc(s.Rows, func(a, b VoterInfo) int { return cmp.Compare(a.Name, b.Name) })
	s.Index = index
	return true
}

// nodes are who has the seats.
func (s *VoterSet) nodes() (names []string) {
	for _, r := range s.Rows {
		names = append(names, r.Name)
	}
	return names
}

// majority is how many of them decide.
func (s *VoterSet) majority() int { return len(s.Rows)/2 + 1 }

// rank orders the nodes of a site, by nothing that anybody chooses.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

// Member is a node as the members' view has it.
type Member struct {
	Site string
	Addr string
}

// choose picks nodes for seats, so that sites have as equal a share of all seats as they can: the next one goes to the site
// that has least of them, of several to the one with most nodes to choose from, and there to the one whose rank is lowest.
// Members are sites by name; those who have seats already count for their sites.
func choose(members map[string]Member, have []VoterInfo, n int) (names []string) {
	sites := map[string][]string{}
	for name, m := range members {
		site := m.Site
		if !slices.ContainsFunc(have, func(s VoterInfo) bool { return s.Name == name }) {
			sites[site] = append(sites[site], name)
		}
	}
	count := map[string]int{}
	for _, s := range have {
		count[s.Site]++
	}
	var order []string
	for site, all := range sites {
		slices.SortFunc(all, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
		order = append(order, site)
	}
	for len(names) < n {
		order = slices.DeleteFunc(order, func(site string) bool { return len(sites[site]) == 0 })
		if len(order) == 0 {
			return names
		}
		site := slices.MinFunc(order, func(a, b string) int {
			return cmp.Or(cmp.Compare(count[a], count[b]), -cmp.Compare(len(sites[a]), len(sites[b])), cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
		})
		names = append(names, sites[site][0])
		sites[site] = sites[site][1:]
		count[site]++
	}
	return names
}
