package standin

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Defaults of a fault that does not say otherwise.
const (
	defaultFaultStart     = 2 * time.Second
	defaultFaultLength    = 3 * time.Second
	defaultMagnitude      = 8
	defaultFaultyFraction = 0.3 // of faults whose magnitude is a fraction
	maxMagnitude          = 1000
)

// ParseFault parses a fault such as slow:box=2,at=3s,for=5s,by=8.
func ParseFault(text string) (Fault, error) {
	kind, rest, _ := strings.Cut(text, ":")
	target, ok := faultTargets()[kind]
	f := Fault{Kind: kind, At: defaultFaultStart, Duration: defaultFaultLength, Magnitude: defaultMagnitude, Requests: clientFaults()[kind].usual}
	if target == "links" || kind == "unframed" {
		f.Magnitude = defaultFaultyFraction
	}
	if !ok {
		return f, fmt.Errorf("fault %q: unknown kind; kinds are %s", text, strings.Join(FaultKinds(), ", "))
	}
	for part := range strings.SplitSeq(rest, ",") {
		if part == "" {
			continue
		}
		if err := f.parsePart(target, part); err != nil {
			return f, fmt.Errorf("fault %q: %w", text, err)
		}
	}
	if err := f.check(target); err != nil {
		return f, fmt.Errorf("fault %q: %w", text, err)
	}
	return f, nil
}

// parsePart parses one key=value of a fault.
func (f *Fault) parsePart(target, part string) (err error) {
	key, value, found := strings.Cut(part, "=")
	switch {
	case !found || value == "":
		return fmt.Errorf("want key=value, got %q", part)
	case key == "box" && target == "boxes":
		f.Server = value
	case key == "site" && target == "boxes":
		f.Site = value
	case key == "node" && target == "node":
		f.Node = value
	case key == "from" && target == "links":
		f.From = value
	case key == "to" && target == "links":
		f.To = value
	case key == "with" && f.Requests != "":
		f.Requests = value
	case key == "at":
		f.At, err = parseFaultTime(value)
	case key == "for":
		f.Duration, err = parseFaultTime(value)
	case key == "by":
		f.Magnitude, err = strconv.ParseFloat(value, 64)
		if err == nil && !(f.Magnitude > 0 && f.Magnitude <= maxMagnitude) {
			err = fmt.Errorf("by is %s, allowed: above 0, up to %d", value, maxMagnitude)
		}
	default:
		err = fmt.Errorf("kind %s has no key %q", f.Kind, key)
	}
	return err
}

// check checks a fault as a whole.
func (f *Fault) check(target string) error {
	clients, hasClients := clientFaults()[f.Kind]
	switch {
	case target == "boxes" && (f.Server == "") == (f.Site == ""):
		return errors.New("set either box or site")
	case target == "links" && f.Kind != "late" && f.Kind != "cut" && f.Magnitude > 1:
		return fmt.Errorf("by is %v, allowed: 0 to 1", f.Magnitude)
	case f.Kind == "unframed" && f.Magnitude > 1:
		return fmt.Errorf("by is %v, allowed: above 0, up to 1", f.Magnitude)
	case hasClients && !slices.Contains(clients.requests, f.Requests):
		return fmt.Errorf("with is %q, allowed: %s", f.Requests, strings.Join(clients.requests, ", "))
	case target == "node" && f.Node == "":
		return errors.New("set node")
	}
	return nil
}

func parseFaultTime(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err == nil && (d < 0 || d > time.Hour) {
		err = fmt.Errorf("duration %s, allowed: 0 to 1h", text)
	}
	return d, err
}
