package endpoints

import (
	"fmt"
	"time"
)

// ReleaseDue publishes the held servers whose delay is over.
func (v *View) ReleaseDue(now time.Duration) []Entry {
	v.changes = v.changes[:0]
	for id := range v.held.All() {
		r := v.records[id]
		if r.heldUntil > now {
			continue
		}
		v.endHold(r)
		r.lastTransition = now
		v.admit(r)
	}
	v.resolveConflicts()
	return v.changes
}

// NextRelease returns when ReleaseDue has work to do next, and false if no server is held.
func (v *View) NextRelease() (at time.Duration, ok bool) {
	for id := range v.held.All() {
		if r := v.records[id]; !ok || r.heldUntil < at {
			at, ok = r.heldUntil, true
		}
	}
	return at, ok
}

// holdReturn holds back a server that a list reports as serving although it departed after that list.
func (v *View) holdReturn(info *listInfo, r *serverRecord) {
	v.reportAnomaly(ReturnInOlderList, r.ID, fmt.Sprintf("held for %v or until a newer list arrives", v.settings.RollbackDelay))
	v.hold(r, info.receivedAt+v.settings.RollbackDelay)
	r.endsWithNewerList = true
}

// admitUnlessFlapping publishes a server whose return is counted already, or holds it back if it returns too often. A
// hold that ended just before counts towards MaxDelay.
func (v *View) admitUnlessFlapping(info *listInfo, r *serverRecord) {
	excess := r.returnCount - v.settings.FlapThreshold
	if excess <= 0 {
		v.admit(r)
		return
	}
	delay := min(v.settings.FlapInitialDelay<<min(excess-1, 16), v.settings.FlapMaxDelay)
	v.reportAnomaly(Flapping, r.ID, fmt.Sprintf("%d returns, held for %v", r.returnCount, delay))
	v.hold(r, min(info.receivedAt+delay, r.lastTransition+v.settings.MaxDelay()))
}

// hold holds back a server until a time.
func (v *View) hold(r *serverRecord, until time.Duration) {
	r.heldUntil = until
	v.held.Add(r.ID)
	v.checkAddress(r)
}

// endHold ends the hold of a server, if there is one.
func (v *View) endHold(r *serverRecord) {
	r.heldUntil, r.endsWithNewerList = 0, false
	v.held.Delete(r.ID)
}
