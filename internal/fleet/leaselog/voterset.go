package leaselog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VoterInfo describes one voter.
type VoterInfo struct {
	ID   uint64 // drawn when its disk is initialized, never 0
	Name string // the node's name
	Site string
	Addr string // its address when it became a voter: after a full restart no membership view provides one
}

// VoterSet is the set of voters that the log assigns.
type VoterSet struct {
	Founding uint64      // drawn when the log was founded; 0: there are no voters yet
	Index    uint64      // log index of the last change
	Tokens   uint64      // tokens are issued above it; set if the log replaces a lost one
	Rows     []VoterInfo // sorted by name
}

// Limits of the voter set.
const (
	MinVoters, MaxVoters = 1, 7
	maxNameBytes         = 64 // as in package membership
)

// clone returns a copy.
func (s VoterSet) clone() VoterSet {
	s.Rows = slices.Clone(s.Rows)
	return s
}

// byName returns the voter on a node.
func (s *VoterSet) byName(name string) (VoterInfo, bool) {
	for _, voter := range s.Rows {
		if voter.Name == name {
			return voter, true
		}
	}
	return VoterInfo{}, false
}

// byID returns the voter with an ID.
func (s *VoterSet) byID(id uint64) (VoterInfo, bool) {
	for _, voter := range s.Rows {
		if voter.ID == id {
			return voter, true
		}
	}
	return VoterInfo{}, false
}

// replace replaces one voter by another. It returns false if that was done already or is invalid.
func (s *VoterSet) replace(oldID uint64, replacement VoterInfo, index uint64) bool {
	i := slices.IndexFunc(s.Rows, func(voter VoterInfo) bool { return voter.ID == oldID })
	if _, exists := s.byID(replacement.ID); i < 0 || exists || replacement.ID == 0 {
		return false
	}
	if other, exists := s.byName(replacement.Name); exists && other.ID != oldID {
		return false // a node has at most one voter
	}
	s.Rows[i] = replacement
	slices.SortFunc(s.Rows, func(a, b VoterInfo) int { return cmp.Compare(a.Name, b.Name) })
	s.Index = index
	return true
}

// nodeNames returns the names of the voters' nodes.
func (s *VoterSet) nodeNames() (names []string) {
	for _, voter := range s.Rows {
		names = append(names, voter.Name)
	}
	return names
}

// majority returns the size of a quorum.
func (s *VoterSet) majority() int { return len(s.Rows)/2 + 1 }

// nameHash orders the nodes of a site, so that no naming scheme favours any of them.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// Member is a node in the membership view.
type Member struct {
	Site string
	Addr string
}

// chooseVoters chooses count nodes as voters and spreads all voters evenly over the sites. The next voter goes to the
// site with the fewest voters; among equals to the one with the most candidates; and there to the node with the
// lowest hash. The existing voters count for their sites.
func chooseVoters(members map[string]Member, existing []VoterInfo, count int) (names []string) {
	candidatesBySite := map[string][]string{}
	for name, m := range members {
		site := m.Site
		if !slices.ContainsFunc(existing, func(voter VoterInfo) bool { return voter.Name == name }) {
			candidatesBySite[site] = append(candidatesBySite[site], name)
		}
	}
	votersPerSite := map[string]int{}
	for _, voter := range existing {
		votersPerSite[voter.Site]++
	}
	var siteOrder []string
	for site, candidates := range candidatesBySite {
		slices.SortFunc(candidates, func(a, b string) int { return cmp.Or(cmp.Compare(nameHash(a), nameHash(b)), cmp.Compare(a, b)) })
		siteOrder = append(siteOrder, site)
	}
	for len(names) < count {
		siteOrder = slices.DeleteFunc(siteOrder, func(site string) bool { return len(candidatesBySite[site]) == 0 })
		if len(siteOrder) == 0 {
			return names
		}
		site := slices.MinFunc(siteOrder, func(a, b string) int {
			return cmp.Or(cmp.Compare(votersPerSite[a], votersPerSite[b]), -cmp.Compare(len(candidatesBySite[a]), len(candidatesBySite[b])), cmp.Compare(nameHash(a), nameHash(b)), cmp.Compare(a, b))
		})
		names = append(names, candidatesBySite[site][0])
		candidatesBySite[site] = candidatesBySite[site][1:]
		votersPerSite[site]++
	}
	return names
}
