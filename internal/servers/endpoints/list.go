package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"curlewring/decide"
)

// Entry is a server in a list: what the module is told, and where to dial it.
type Entry struct {
	decide.Server
	Address string
}

// List is one answer of discovery.
type List struct {
	Generation uint64
	Whole      bool
	Entries    []Entry
}

// Servers is the list in the module's form.
func (l *List) Servers() []decide.Server {
	servers := make([]decide.Server, len(l.Entries))
	for i := range l.Entries {
		servers[i] = l.Entries[i].Server
	}
	return servers
}

// The form of a list on the wire (PROTOCOL, discovery).
type (
	rawList struct {
		Generation *uint64     `json:"generation"`
		Reset      bool        `json:"reset"`
		Instances  *[]Instance `json:"instances"`
	}
	// Instance is a server.
	Instance struct {
		ID        string  `json:"instanceId"`
		HostPort  string  `json:"hostPort"`
		Zone      string  `json:"zone"`
		Cell      int     `json:"cell"`
		Lifecycle string  `json:"lifecycle"`
		Weight    float64 `json:"weight"`
		StartedMs int64   `json:"startedAtMs"`
	}
)

// Text writes a list in discovery's form.
func (l *List) Encode() ([]byte, error) {
	all := make([]Instance, len(l.Entries))
	states := [...]string{decide.Healthy: "SERVING", decide.Draining: "DRAINING", decide.Removed: "DELETED"}
	for i := range l.Entries {
		e := &l.Entries[i]
		all[i] = Instance{e.ID, e.Address, e.Zone, e.Cell, states[e.Health], e.Weight, e.Started.Milliseconds()}
	}
	return json.Marshal(rawList{&l.Generation, l.Whole, &all})
}

// Parse reads a list in discovery's form. Whatever is missing or odd makes
// the whole list malformed: half a list would drop the servers of the other half.
func Parse(text []byte) (*List, error) {
	var raw rawList
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	if raw.Generation == nil || raw.Instances == nil {
		return nil, errors.New("malformed list: no generation or no instances")
	}
	l := &List{Generation: *raw.Generation, Whole: raw.Reset, Entries: make([]Entry, 0, len(*raw.Instances))}
	for i := range *raw.Instances {
		e, err := (*raw.Instances)[i].Entry()
		if err != nil {
			return nil, err
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

// Entry checks what discovery tells of a server.
func (r *Instance) Entry() (Entry, error) {
	e := Entry{
		Server: decide.Server{
			ID: r.ID, Zone: r.Zone, Cell: r.Cell, Weight: r.Weight,
			Started: time.Duration(r.StartedMs) * time.Millisecond,
		},
		Address: r.HostPort,
	}
	switch r.Lifecycle {
	case "SERVING":
		e.Health = decide.Healthy
	case "DRAINING":
		e.Health = decide.Draining
	case "DELETED":
		e.Health = decide.Removed
	default:
		return e, fmt.Errorf("malformed list: unknown lifecycle %q", r.Lifecycle)
	}
	if r.ID == "" {
		return e, errors.New("malformed list: an instance has no id")
	}
	if err := hostPort(r.HostPort); err != nil && e.Health != decide.Removed {
		return e, fmt.Errorf("malformed list: instance %s: %w", r.ID, err)
	}
	return e, nil
}

// hostPort tells what is wrong with an address: host:port, or [host]:port where the host
// holds colons.
func hostPort(text string) error {
	at := strings.LastIndexByte(text, ':')
	if at < 0 {
		return fmt.Errorf("address %q: missing port", text)
	}
	host := text[:at]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		if host, ok = strings.CutSuffix(inner, "]"); !ok {
			return fmt.Errorf("address %q: missing ']'", text)
		}
	} else if strings.Contains(host, ":") {
		return fmt.Errorf("address %q: too many colons", text)
	}
	if strings.ContainsAny(host, "[]") {
		return fmt.Errorf("address %q: unexpected bracket", text)
	}
	if _, err := strconv.ParseUint(text[at+1:], 10, 16); err != nil {
		return fmt.Errorf("address %q: the port is no number up to 65535", text)
	}
	return nil
}
