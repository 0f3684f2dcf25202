package standin

import "curlewring/internal/rig/standin/judge"

// startSuccessor starts a new server, of the next rack of the site, at the address of one that has crashed, which
// discovery goes on listing.
func (f *Fleet) startSuccessor(old *Server) error {
	location, keys := f.nextRack(old)
	s := &Server{
		ID: old.ID + "-next", Site: location.Site, Rack: location.Rack, Tier: old.Tier, Address: old.Address,
		speed: old.speed, plan: old.plan, clock: old.clock, judge: old.judge, keys: keys, nextTier: old.nextTier,
		cores: make(chan struct{}, cap(old.cores)), slots: make(chan struct{}, cap(old.slots)),
		slowdown: 1, rng: f.Plan.newRand("successor of "+old.ID, 0), callGraph: old.callGraph, startedAt: max(1, f.Clock.Now()),
	}
	f.Judge.AddServer(s.ID, location)
	if err := s.listen(""); err != nil {
		return err
	}
	f.successors = append(f.successors, s)
	f.publishState(s, "SERVING", false)
	return nil
}

// nextRack returns the rack after a server's in its site and tier, and the keys that its servers share. With a single
// rack it is the same.
func (f *Fleet) nextRack(old *Server) (judge.Location, *keyStore) {
	servers := f.Servers
	if old.Tier > 0 {
		servers = f.LowerServers
	}
	first, next := old, old // of the lowest rack, and of the lowest above the old one's
	for _, s := range servers {
		if s.Site != old.Site || s.Tier != old.Tier {
			continue
		}
		if s.Rack < first.Rack {
			first = s
		}
		if s.Rack > old.Rack && (next == old || s.Rack < next.Rack) {
			next = s
		}
	}
	if next == old {
		next = first
	}
	return judge.Location{Site: next.Site, Rack: next.Rack}, next.keys
}
