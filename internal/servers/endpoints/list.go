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

// Entry is a server in a list: what the decide package knows of it, and the address to dial.
type Entry struct {
	decide.Server
	Address string
}

// List is one answer of discovery.
type List struct {
	Generation uint64
	Whole      bool // the list names all servers; otherwise only those that changed
	Entries    []Entry
}

// Servers returns the entries as the decide package takes them.
func (l *List) Servers() []decide.Server {
	servers := make([]decide.Server, len(l.Entries))
	for i := range l.Entries {
		servers[i] = l.Entries[i].Server
	}
	return servers
}

// The JSON encoding of a list (PROTOCOL, discovery).
type (
	wireList struct {
		Generation *uint64     `json:"generation"`
		Reset      bool        `json:"reset"`
		Instances  *[]Instance `json:"instances"`
	}
	// Instance is the JSON encoding of a server.
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

// Encode returns the list in the JSON encoding of discovery.
func (l *List) Encode() ([]byte, error) {
	all := make([]Instance, len(l.Entries))
	states := [...]string{decide.Healthy: "SERVING", decide.Draining: "DRAINING", decide.Removed: "DELETED"}
	for i := range l.Entries {
		e := &l.Entries[i]
		all[i] = Instance{e.ID, e.Address, e.Zone, e.Cell, states[e.Health], e.Weight, e.Started.Milliseconds()}
	}
	return json.Marshal(wireList{&l.Generation, l.Whole, &all})
}

// Parse decodes a list in the JSON encoding of discovery. Any missing or invalid part makes the whole list malformed:
// half a list would drop the servers of the other half.
func Parse(data []byte) (*List, error) {
	var wire wireList
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	if wire.Generation == nil || wire.Instances == nil {
		return nil, errors.New("malformed list: no generation or no instances")
	}
	l := &List{Generation: *wire.Generation, Whole: wire.Reset, Entries: make([]Entry, 0, len(*wire.Instances))}
	for i := range *wire.Instances {
		e, err := (*wire.Instances)[i].Entry()
		if err != nil {
			return nil, err
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

// Entry validates an instance and converts it to an entry.
func (i *Instance) Entry() (Entry, error) {
	e := Entry{
		Server: decide.Server{
			ID: i.ID, Zone: i.Zone, Cell: i.Cell, Weight: i.Weight,
			Started: time.Duration(i.StartedMs) * time.Millisecond,
		},
		Address: i.HostPort,
	}
	switch i.Lifecycle {
	case "SERVING":
		e.Health = decide.Healthy
	case "DRAINING":
		e.Health = decide.Draining
	case "DELETED":
		e.Health = decide.Removed
	default:
		return e, fmt.Errorf("malformed list: unknown lifecycle %q", i.Lifecycle)
	}
	if i.ID == "" {
		return e, errors.New("malformed list: an instance has no id")
	}
	if err := validateHostPort(i.HostPort); err != nil && e.Health != decide.Removed {
		return e, fmt.Errorf("malformed list: instance %s: %w", i.ID, err)
	}
	return e, nil
}

// validateHostPort returns an error unless the text is an address of the form host:port, or [host]:port if the host
// contains colons.
func validateHostPort(address string) error {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 {
		return fmt.Errorf("address %q: missing port", address)
	}
	host := address[:colon]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		if host, ok = strings.CutSuffix(inner, "]"); !ok {
			return fmt.Errorf("address %q: missing ']'", address)
		}
	} else if strings.Contains(host, ":") {
		return fmt.Errorf("address %q: too many colons", address)
	}
	if strings.ContainsAny(host, "[]") {
		return fmt.Errorf("address %q: unexpected bracket", address)
	}
	if _, err := strconv.ParseUint(address[colon+1:], 10, 16); err != nil {
		return fmt.Errorf("address %q: the port is not a number from 0 to 65535", address)
	}
	return nil
}
