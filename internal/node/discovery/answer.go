package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// PartialError is an answer that ended early, or went wrong, after its first bytes. Discovery had written it, so what it tells counts
// as told, whether or not the rest comes.
type PartialError struct {
	Unavailable []endpoints.Entry // of what came: the servers that drain or are gone
	Err         error
}

func (e *PartialError) Error() string {
	return fmt.Sprintf("an answer that came in part, %d servers that drain or are gone: %v", len(e.Unavailable), e.Err)
}

// Unwrap returns what ended the answer.
func (e *PartialError) Unwrap() error { return e.Err }

// read reads a list in discovery's form as it comes. Of an answer that breaks off the error is a PartialError.
func readList(r io.Reader) (*endpoints.List, error) {
	d := listDecoder{json: json.NewDecoder(r)}
	if err := d.decode(); err != nil {
		return nil, &PartialError{Unavailable: d.unavailable(), Err: err}
	}
	return &d.result, nil
}

// decoder reads a list entry by entry, so that no more of its text is held than one takes.
type listDecoder struct {
	json          *json.Decoder
	result        endpoints.List
	hasGeneration bool // the generation has come
	hasInstances  bool // the instances have
}

// bad lists what came of servers that drain or are gone.
func (d *listDecoder) unavailable() (entries []endpoints.Entry) {
	for _, e := range d.result.Entries {
		if e.Health != decide.Healthy {
			entries = append(entries, e)
		}
	}
	return entries
}

// list reads the one object of an answer.
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
		return fmt.Errorf("malformed list: %v follows it", extra)
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("malformed list: %w", err)
	}
	if !d.hasGeneration || !d.hasInstances {
		return errors.New("malformed list: no generation or no instances")
	}
	return nil
}

// member reads the value of a key.
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

// instances reads the servers.
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

// expect reads a bracket.
func (d *listDecoder) readDelim(want json.Delim) error {
	got, err := d.json.Token()
	if err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	if got != want {
		return fmt.Errorf("malformed list: %v in the place of %v", got, want)
	}
	return nil
}
