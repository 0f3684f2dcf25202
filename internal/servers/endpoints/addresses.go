package endpoints

import (
	"fmt"
	"slices"

	"curlewring/decide"
)

// Which process answers at an address. A lost server stays listed until its loss is noticed, and by then another
// process may be listed at its address. A process can only take an address whose earlier process has ended, so the one
// that started last answers there, whether it serves or drains. A start time of 0 means long ago and is earlier than
// any other.

// setEntry replaces the entry of a server and keeps the index by address.
func (v *View) setEntry(r *serverRecord, e Entry) {
	if stays := r.Health != decide.Removed && e.Health != decide.Removed && r.Address == e.Address; stays {
		r.Entry = e
		return
	}
	v.leaveAddress(r)
	r.Entry = e
	if e.Health != decide.Removed {
		v.listedAt[e.Address] = append(v.listedAt[e.Address], r)
	}
}

// leaveAddress takes a server out of the index by address. resolveConflicts checks those that are left there.
func (v *View) leaveAddress(r *serverRecord) {
	listed := v.listedAt[r.Address]
	at := slices.Index(listed, r)
	switch {
	case at < 0:
	case len(listed) == 1:
		delete(v.listedAt, r.Address)
	default:
		v.listedAt[r.Address] = slices.Delete(listed, at, at+1)
		v.conflicts.Add(r.Address)
	}
}

// admit publishes a server as serving. If others are listed at its address, resolveConflicts does so, unless a newer
// process has the address.
func (v *View) admit(r *serverRecord) {
	if listed := v.listedAt[r.Address]; len(listed) > 1 {
		other := listed[0]
		if other == r {
			other = listed[1]
		}
		v.reportAnomaly(AddressConflict, r.ID, fmt.Sprintf("%s is at %s too", other.ID, r.Address))
		v.conflicts.Add(r.Address)
		return
	}
	r.ZoneUnknown, r.CellUnknown = false, false
	v.publishServing(r)
}

// publishServing publishes a server as serving.
func (v *View) publishServing(r *serverRecord) {
	r.departureGeneration = 0
	v.publish(r, decide.Healthy)
}

// checkAddress has resolveConflicts check the address of a server that is not admitted, if others are listed there.
func (v *View) checkAddress(r *serverRecord) {
	if len(v.listedAt[r.Address]) > 1 {
		v.conflicts.Add(r.Address)
	}
}

// resolveConflicts publishes the servers of shared addresses that have changed. It ends each update.
func (v *View) resolveConflicts() {
	for address := range v.conflicts.All() {
		v.resolveAddress(address, true)
		v.conflicts.Delete(address)
	}
}

// withdrawConflicts does the same for the departures of a list that was cut off: the part that is missing may have more
// of them, so that no server comes back before the next list.
func (v *View) withdrawConflicts() {
	for address := range v.conflicts.All() {
		v.resolveAddress(address, false)
	}
}

// newestProcesses describes the servers of an address that started last. If several started at the same time, any of
// them may answer; the first is one that drains, if there is one.
type newestProcesses struct {
	first, second            *serverRecord // second: nil if there is one only
	zonesDiffer, cellsDiffer bool
}

// findNewest returns the servers that started last.
func findNewest(listed []*serverRecord) (n newestProcesses) {
	for _, r := range listed {
		switch {
		case n.first == nil || r.Started > n.first.Started:
			n = newestProcesses{first: r}
		case r.Started == n.first.Started:
			n.zonesDiffer = n.zonesDiffer || r.Zone != n.first.Zone
			n.cellsDiffer = n.cellsDiffer || r.Cell != n.first.Cell
			if n.second = r; r.Health == decide.Draining {
				n.first, n.second = n.second, n.first
			}
		}
	}
	return n
}

// rivalOf returns another process that may answer for a server, or nil.
func (n *newestProcesses) rivalOf(r *serverRecord) *serverRecord {
	if r == n.first {
		return n.second
	}
	return n.first
}

// resolveAddress publishes the servers of an address: superseded ones as draining, and the newest processes as listed,
// if servers may come back.
func (v *View) resolveAddress(address string, mayComeBack bool) {
	listed := v.listedAt[address]
	newest := findNewest(listed)
	for _, r := range listed {
		v.setRival(r, newest.rivalOf(r))
		zoneUnknown := newest.zonesDiffer || r.Zone != newest.first.Zone
		cellUnknown := newest.cellsDiffer || r.Cell != newest.first.Cell
		health := v.healthToPublish(r)
		unchanged := health == r.published && zoneUnknown == r.ZoneUnknown && cellUnknown == r.CellUnknown
		r.ZoneUnknown, r.CellUnknown = zoneUnknown, cellUnknown
		switch {
		case unchanged || health == decide.Removed:
		case health == decide.Healthy && r.published != decide.Healthy && !mayComeBack:
		case health == decide.Healthy:
			v.publishServing(r)
		default:
			v.publish(r, health)
		}
	}
}

// healthToPublish returns the health of a listed server, taking holds and newer processes at its address into account.
func (v *View) healthToPublish(r *serverRecord) decide.Health {
	switch {
	case r.Health != decide.Healthy || r.heldUntil > 0:
		return r.published
	case v.isSuperseded(r):
		return decide.Draining
	}
	return decide.Healthy
}

// setRival records which other process may answer for a server that would be published as serving; nil: none.
func (v *View) setRival(r, other *serverRecord) {
	if other == nil || r.Health != decide.Healthy || r.heldUntil > 0 {
		v.endRivalry(r)
		return
	}
	r.rival = other.ID
	v.rivals.Add(r.ID)
}

// endRivalry clears that record, if there is one.
func (v *View) endRivalry(r *serverRecord) {
	r.rival = ""
	v.rivals.Delete(r.ID)
}

// currentRival returns the process that was found at the address of a server, if it is still listed there.
func (v *View) currentRival(r *serverRecord) *serverRecord {
	other := v.records[r.rival]
	if other == nil || other.Health == decide.Removed || other.Address != r.Address || other.Started < r.Started {
		return nil
	}
	return other
}

// isSuperseded reports whether a newer process has the address of a server, or one that may be newer drains there.
func (v *View) isSuperseded(r *serverRecord) bool {
	other := v.currentRival(r)
	return other != nil && (other.Started > r.Started || other.Health == decide.Draining)
}

// Withholds reports whether a server that the newest list reports as serving may be published as something else.
func (v *View) Withholds() bool { return v.held.Len() > 0 || v.rivals.Len() > 0 }
