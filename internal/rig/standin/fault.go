package standin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is one thing that goes wrong: what, where, when and for how long.
type Fault struct {
	Kind      string
	Server    string // its id, or a number; with Site and Node empty
	Site      string // all boxes of a site
	Node      string // a node's name or number
	From      string // of a link between nodes; "": any
	To        string
	At        time.Duration
	Duration  time.Duration
	Magnitude float64 // slow: times slower; lag: seconds more; backup: seconds back; backlog: seconds of work; lose, twice, damage: part; late: seconds
}

// faultKinds are the kinds, and what they happen to.
func faultTargets() map[string]string {
	return map[string]string{
		"slow": "boxes", "stuck": "boxes", "reset": "boxes", "refuse": "boxes", "silent": "boxes", "crash": "boxes",
		"drain": "boxes", "leave": "boxes", "garble": "boxes", "error": "boxes", "turnaway": "boxes",
		"lag": "discovery", "outage": "discovery", "empty": "discovery", "backup": "discovery", "blackhole": "discovery",
		"backlog": "discovery", "move": "discovery",
		"kill": "node", "stop": "node", "term": "node",
		"cut": "links", "lose": "links", "late": "links", "twice": "links", "damage": "links",
	}
}

// FaultKinds lists the kinds in order.
func FaultKinds() []string {
	var all []string
	for kind := range faultTargets() {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// ParseFault reads a fault, as slow:box=2,at=3s,for=5s,by=8.
func ParseFault(text string) (Fault, error) {
	kind, rest, _ := strings.Cut(text, ":")
	f := Fault{Kind: kind, At: 2 * time.Second, Duration: 3 * time.Second, Magnitude: 8}
	what, ok := faultTargets()[kind]
	if what == "links" {
		f.Magnitude = 0.3
	}
	if !ok {
		return f, fmt.Errorf("fault %q: no such kind; there are %s", text, strings.Join(FaultKinds(), ", "))
	}
	for part := range strings.SplitSeq(rest, ",") {
		if part == "" {
			continue
		}
		key, value, found := strings.Cut(part, "=")
		var err error
		switch {
		case !found || value == "":
			err = fmt.Errorf("want key=value, got %q", part)
		case key == "box" && what == "boxes":
			f.Server = value
		case key == "site" && what == "boxes":
			f.Site = value
		case key == "node" && what == "node":
			f.Node = value
		case key == "from" && what == "links":
			f.From = value
		case key == "to" && what == "links":
			f.To = value
		case key == "at":
			f.At, err = parseFaultTime(value)
		case key == "for":
			f.Duration, err = parseFaultTime(value)
		case key == "by":
			f.Magnitude, err = strconv.ParseFloat(value, 64)
			if err == nil && !(f.Magnitude > 0 && f.Magnitude <= 1000) {
				err = fmt.Errorf("by: %s is not in 0 to 1000", value)
			}
		default:
			err = fmt.Errorf("%s takes no %q", kind, key)
		}
		if err != nil {
			return f, fmt.Errorf("fault %q: %w", text, err)
		}
	}
	if what == "boxes" && (f.Server == "") == (f.Site == "") {
		return f, fmt.Errorf("fault %q: name a box or a site", text)
	}
	if what == "links" && kind != "late" && kind != "cut" && f.Magnitude > 1 {
		return f, fmt.Errorf("fault %q: by: %v is no part, 0 to 1", text, f.Magnitude)
	}
	if what == "node" && f.Node == "" {
		return f, fmt.Errorf("fault %q: name a node", text)
	}
	return f, nil
}

func parseFaultTime(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err == nil && (d < 0 || d > time.Hour) {
		err = fmt.Errorf("%s is not in 0 to 1h", text)
	}
	return d, err
}

// hit lists the boxes that a fault is about.
func (f *Fleet) serversOf(x *Fault) ([]*Server, error) {
	if x.Site != "" {
		if !slices.Contains(f.Plan.Sites, x.Site) {
			return nil, fmt.Errorf("no site %q; there are %s", x.Site, strings.Join(f.Plan.Sites, ", "))
		}
		var all []*Server
		for _, b := range f.Servers {
			if b.Site == x.Site {
				all = append(all, b)
			}
		}
		return all, nil
	}
	for i, b := range f.Servers {
		if b.ID == x.Server || strconv.Itoa(i) == x.Server {
			return []*Server{b}, nil
		}
	}
	for _, b := range f.LowerServers { // of lower tiers by name alone
		if b.ID == x.Server {
			return []*Server{b}, nil
		}
	}
	return nil, fmt.Errorf("no box %q; there are 0 to %d, and lower ones by name, as box-100", x.Server, len(f.Servers)-1)
}

// CheckFault tells whether a fault is about something that the fleet has. Nodes
// are their owner's.
func (f *Fleet) ValidateFault(x Fault) error {
	if faultTargets()[x.Kind] != "boxes" {
		return nil
	}
	_, err := f.serversOf(&x)
	return err
}

// Nodes is what a fault may do to nodes; whoever runs them provides it.
type NodeController interface {
	Kill(name string) error
	Terminate(name string) error // it is told to end, and has its time for that
	Start(name string) error
	Pause(name string) error  // it stands still ...
	Resume(name string) error // ... and goes on
	// Move has discovery at another address from now on, of which nodes hear as of any change of their configuration.
	MoveDiscovery() error
	// Link makes or ends a fault of the links between nodes.
	SetLinkFault(f *Fault, on bool) error
}

// Play plays faults until all are over or the context ends; then what is still
// wrong is put right. An error of one fault does not stop the others.
func (f *Fleet) RunFaults(ctx context.Context, faults []Fault, nodes NodeController) []error {
	type step struct {
		at  time.Duration
		do  func() error
		end bool
	}
	var steps []step
	for i := range faults {
		x := faults[i]
		steps = append(steps,
			step{x.At, func() error { return f.startFault(&x, nodes) }, false},
			step{x.At + x.Duration, func() error { return f.endFault(&x, nodes) }, true})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	var errs []error
	begun := time.Now()
	open := 0
	for _, s := range steps {
		select {
		case <-time.After(s.at - time.Since(begun)):
		case <-ctx.Done():
			if !s.end || open == 0 {
				continue
			}
		}
		if s.end {
			open--
		} else {
			open++
		}
		if err := s.do(); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// begin makes a fault happen.
func (f *Fleet) startFault(x *Fault, nodes NodeController) error {
	switch x.Kind {
	case "lag":
		f.Discovery.SetPublishDelay(f.Plan.PublishDelay + time.Duration(x.Magnitude*float64(time.Second)))
		return nil
	case "outage":
		f.Discovery.SetDown(true)
		return nil
	case "empty":
		f.Discovery.SetEmpty(true)
		return nil
	case "backup":
		f.Discovery.RestoreBackup(time.Duration(x.Magnitude * float64(time.Second)))
		return nil
	case "blackhole":
		f.Discovery.SilencePolls()
		return nil
	case "backlog":
		f.Discovery.AddBacklog(time.Duration(x.Magnitude * float64(time.Second)))
		return nil
	case "move":
		return nodes.MoveDiscovery()
	case "kill":
		return nodes.Kill(x.Node)
	case "term":
		return nodes.Terminate(x.Node)
	case "stop":
		return nodes.Pause(x.Node)
	case "cut", "lose", "late", "twice", "damage":
		return nodes.SetLinkFault(x, true)
	}
	boxes, err := f.serversOf(x)
	if err != nil {
		return err
	}
	for _, b := range boxes {
		switch x.Kind {
		case "slow":
			b.setFailure(healthy, x.Magnitude)
		case "stuck":
			b.setFailure(hanging, 1)
		case "reset":
			b.setFailure(resetting, 1)
		case "refuse":
			b.setFailure(refusing, 1)
			b.close()
		case "silent":
			b.setFailure(unresponsive, 1)
		case "garble":
			b.setFailure(malformed, 1)
		case "error":
			b.setFailure(failing, 1)
		case "turnaway":
			b.setFailure(rejecting, 1)
		case "crash":
			b.setFailure(crashed, 1)
			b.close()
			f.publishCrash(b)
		case "drain":
			f.publishState(b, "DRAINING", false)
			b.setDraining(true)
		case "leave": // it is announced as leaving, and serves on: nothing but the list tells
			f.publishState(b, "DRAINING", false)
		}
	}
	return nil
}

// end puts a fault right.
func (f *Fleet) endFault(x *Fault, nodes NodeController) error {
	switch x.Kind {
	case "lag":
		f.Discovery.SetPublishDelay(f.Plan.PublishDelay)
		return nil
	case "outage":
		f.Discovery.SetDown(false)
		return nil
	case "empty":
		f.Discovery.SetEmpty(false)
		return nil
	case "backup":
		f.Discovery.RestoreBackup(0)
		return nil
	case "blackhole", "backlog", "move": // what was swallowed stays so, the queue is worked off, and nothing moves back
		return nil
	case "kill", "term":
		return nodes.Start(x.Node)
	case "stop":
		return nodes.Resume(x.Node)
	case "cut", "lose", "late", "twice", "damage":
		return nodes.SetLinkFault(x, false)
	}
	boxes, err := f.serversOf(x)
	if err != nil {
		return err
	}
	for _, b := range boxes {
		switch x.Kind {
		case "refuse":
			b.setFailure(healthy, 1)
			err = b.listen("")
		case "crash":
			err = b.restart()
			f.publishState(b, "SERVING", false)
		case "drain", "leave": // a new process takes the place of the drained one
			f.publishState(b, "DELETED", true)
			b.close()
			err = b.restart()
			f.publishState(b, "SERVING", false)
		default:
			b.setFailure(healthy, 1)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
