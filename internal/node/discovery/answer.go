package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// PartialError reports an answer that ended early, or became invalid, after its first bytes. The
// discovery service has written the whole answer, so all of it counts as delivered to this node,
// even if the rest never arrives.
type PartialError struct {
	Generation  uint64            // of the list; 0 if it was not in the part that arrived
	Unavailable []endpoints.Entry // the draining and removed servers in that part
	Err         error
}

func (e *PartialError) Error() string {
	return fmt.Sprintf("partial answer with %d draining or removed servers: %v", len(e.Unavailable), e.Err)
}

// Unwrap returns the error that ended the answer.
func (e *PartialError) Unwrap() error { return e.Err }

// readList decodes a list while it is being received. All its errors are PartialErrors.
func readList(r io.Reader) (*endpoints.List, error) {
	d := listDecoder{json: json.NewDecoder(r)}
	if err := d.decode(); err != nil {
		return nil, &PartialError{Generation: d.result.Generation, Unavailable: d.unavailable(), Err: err}
	}
	return &d.result, nil
}

// listDecoder decodes a list entry by entry, so that it holds the text of only one entry at a time.
type listDecoder struct {
	json          *json.Decoder
	result        endpoints.List
	hasGeneration bool // the generation was read
	hasInstances  bool // the instances were read
}

// unavailable returns the draining and removed servers read so far.
func (d *listDecoder) unavailable() (entries []endpoints.Entry) {
	for _, e := range d.result.Entries {
		if e.Health != decide.Healthy {
			entries = append(entries, e)
		}
	}
	return entries
}

// decode reads the JSON object of an answer.
func (d *listDecoder) decode() error {
	if err := d.readDelim('{'); err != nil {
		return err
	}
	for d.json.More() {
		key, err := d.json.Token()
		if err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		if err := d.readMember(key); err != nil {
			return err
		}
	}
	if err := d.readDelim('}'); err != nil {
		return err
	}
	switch extra, err := d.json.Token(); {
	case err == nil:
		return fmt.Errorf("malformed list: unexpected %v after it", extra)
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("malformed list: %w", err)
	}
	if !d.hasGeneration || !d.hasInstances {
		return errors.New("malformed list: no generation or no instances")
	}
	return nil
}

// readMember reads the value of a key.
func (d *listDecoder) readMember(key json.Token) (err error) {
	switch key {
	case "generation":
		var generation *uint64
		if err = d.json.Decode(&generation); generation != nil {
			d.hasGeneration, d.result.Generation = true, *generation
		}
	case "reset":
		err = d.json.Decode(&d.result.Whole)
	case "instances":
		d.hasInstances = true
		return d.readInstances()
	default:
		var skipped json.RawMessage
		err = d.json.Decode(&skipped)
	}
	if err != nil {
		return fmt.Errorf("malformed list: %v: %w", key, err)
	}
	return nil
}

// readInstances reads the array of servers.
func (d *listDecoder) readInstances() error {
	if err := d.readDelim('['); err != nil {
		return err
	}
	d.result.Entries = []endpoints.Entry{}
	for d.json.More() {
		var raw endpoints.Instance
		if err := d.json.Decode(&raw); err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		e, err := raw.Entry()
		if err != nil {
			return err
		}
		d.result.Entries = append(d.result.Entries, e)
	}
	return d.readDelim(']')
}

// readDelim reads a delimiter.
func (d *listDecoder) readDelim(want json.Delim) error {
	got, err := d.json.Token()
	if err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	if got != want {
		return fmt.Errorf("malformed list: got %v, want %v", got, want)
	}
	return nil
}
