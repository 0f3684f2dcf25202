package endpoints

import (
	"fmt"

	"curlewring/decide"
)

// admit publishes a server as serving, unless a newer process has its address.
func (v *View) admit(r *serverRecord) {
	v.endSuperseded(r)
	if id, ok := v.addressOwners[r.Address]; ok && id != r.ID {
		other := v.records[id]
		v.reportAnomaly(AddressConflict, r.ID, fmt.Sprintf("%s is at %s too", id, r.Address))
		switch {
		case r.Started > other.Started && other.Started > 0:
			v.publish(other, decide.Draining)
			v.supersede(other, r.ID)
		case r.Started < other.Started && r.Started > 0:
			v.supersede(r, id)
			if r.published != decide.Draining {
				v.publish(r, decide.Draining)
			}
			return
		}
	}
	r.departureGeneration = 0
	v.publish(r, decide.Healthy)
}

// supersede marks a server whose address belongs to a newer process.
func (v *View) supersede(r *serverRecord, by string) {
	r.supersededBy = by
	v.superseded.Add(r.ID)
}

// endSuperseded clears that mark, if it is set.
func (v *View) endSuperseded(r *serverRecord) {
	r.supersededBy = ""
	v.superseded.Delete(r.ID)
}

// restoreSuperseded publishes servers again whose address the newer process has left.
func (v *View) restoreSuperseded() {
	for id := range v.superseded.All() {
		r := v.records[id]
		if v.Health(r.supersededBy) == decide.Healthy && v.records[r.supersededBy].Address == r.Address {
			continue
		}
		v.endSuperseded(r)
		v.publish(r, decide.Healthy)
	}
}
