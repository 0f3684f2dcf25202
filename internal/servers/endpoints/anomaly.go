package endpoints

import "fmt"

// AnomalyKind classifies an anomaly of a list.
type AnomalyKind string

// The kinds of anomalies. Logs and operators' tools use these texts.
const (
	GenerationRollback AnomalyKind = "the generation runs backwards"
	MassRemoval        AnomalyKind = "most servers are gone at once"
	EmptyList          AnomalyKind = "the whole list is empty"
	Flapping           AnomalyKind = "a server comes and goes"
	DuplicateEntry     AnomalyKind = "a server stands in one list twice"
	AddressConflict    AnomalyKind = "two servers are said to be at one address"
	ReturnInOlderList  AnomalyKind = "an older list brings a server back"
)

// Anomaly is an inconsistency in a list, or between a list and those before it.
type Anomaly struct {
	Kind AnomalyKind
	ID   string // of the server; "": concerns the list as a whole
	Text string
}

// String formats the anomaly for logs.
func (a Anomaly) String() string {
	if a.ID == "" {
		return fmt.Sprintf("%s: %s", a.Kind, a.Text)
	}
	return fmt.Sprintf("%s: %s: %s", a.Kind, a.ID, a.Text)
}

// reportAnomaly adds an anomaly to the current update.
func (v *View) reportAnomaly(k AnomalyKind, id, text string) {
	v.anomalies = append(v.anomalies, Anomaly{k, id, text})
}
