package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
		Generation *uint64        `json:"generation"`
		Reset      bool           `json:"reset"`
		Instances  *[]rawInstance `json:"instances"`
	}
	rawInstance struct {
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
func (l *List) Text() ([]byte, error) {
	all := make([]rawInstance, len(l.Entries))
	states := [...]string{decide.Healthy: "SERVING", decide.Draining: "DRAINING", decide.Removed: "DELETED"}
	for i := range l.Entries {
		e := &l.Entries[i]
		all[i] = rawInstance{e.ID, e.Address, e.Zone, e.Cell, states[e.Health], e.Weight, e.Started.Milliseconds()}
	}
	return json.Marshal(rawList{&l.Generation, l.Whole, &all})
}

// Parse reads a list in discovery's form. Whatever is missing or odd makes
// the whole list malformed: half a list would drop the servers of the other half.
func Parse(text []byte) (*List, error) { return Read(bytes.NewReader(text)) }

// PartialError is an answer that ended early, or went wrong, after its first bytes. Discovery had written it, so what it tells counts
// as told, whether or not the rest comes.
type PartialError struct {
	Bad []Entry // of what came: the servers that drain or are gone
	Err error
}

func (e *PartialError) Error() string {
	return fmt.Sprintf("an answer that came in part, %d servers that drain or are gone: %v", len(e.Bad), e.Err)
}

// Unwrap returns what ended the answer.
func (e *PartialError) Unwrap() error { return e.Err }

// Read reads a list in discovery's form as it comes. Of an answer that breaks off the error is a PartialError.
func Read(r io.Reader) (*List, error) {
	d := decoder{json: json.NewDecoder(r)}
	if err := d.list(); err != nil {
		return nil, &PartialError{Bad: d.bad(), Err: err}
	}
	return &d.read, nil
}

// decoder reads a list entry by entry, so that no more of its text is held than one takes.
type decoder struct {
	json      *json.Decoder
	read      List
	versioned bool // the generation has come
	listed    bool // the instances have
}

// bad lists what came of servers that drain or are gone.
func (d *decoder) bad() (entries []Entry) {
	for _, e := range d.read.Entries {
		if e.Health != decide.Healthy {
			entries = append(entries, e)
		}
	}
	return entries
}

// list reads the one object of an answer.
func (d *decoder) list() error {
	if err := d.expect('{'); err != nil {
		return err
	}
	for d.json.More() {
		key, err := d.json.Token()
		if err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		if err := d.member(key); err != nil {
			return err
		}
	}
	if err := d.expect('}'); err != nil {
		return err
	}
	switch extra, err := d.json.Token(); {
	case err == nil:
		return fmt.Errorf("malformed list: %v follows it", extra)
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("malformed list: %w", err)
	}
	if !d.versioned || !d.listed {
		return errors.New("malformed list: no generation or no instances")
	}
	return nil
}

// member reads the value of a key.
func (d *decoder) member(key json.Token) (err error) {
	switch key {
	case "generation":
		var generation *uint64
		if err = d.json.Decode(&generation); generation != nil {
			d.versioned, d.read.Generation = true, *generation
		}
	case "reset":
		err = d.json.Decode(&d.read.Whole)
	case "instances":
		d.listed = true
		return d.instances()
	default:
		var skipped json.RawMessage
		err = d.json.Decode(&skipped)
	}
	if err != nil {
		return fmt.Errorf("malformed list: %v: %w", key, err)
	}
	return nil
}

// instances reads the servers.
func (d *decoder) instances() error {
	if err := d.expect('['); err != nil {
		return err
	}
	d.read.Entries = []Entry{}
	for d.json.More() {
		var raw rawInstance
		if err := d.json.Decode(&raw); err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		e, err := raw.entry()
		if err != nil {
			return err
		}
		d.read.Entries = append(d.read.Entries, e)
	}
	return d.expect(']')
}

// expect reads a bracket.
func (d *decoder) expect(want json.Delim) error {
	got, err := d.json.Token()
	if err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	if got != want {
		return fmt.Errorf("malformed list: %v in the place of %v", got, want)
	}
	return nil
}

// entry checks what discovery tells of a server.
func (r *rawInstance) entry() (Entry, error) {
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
