package standin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is one failure to inject: what fails, where, when and for how long.
type Fault struct {
	Kind     string
	Server   string // server ID or index; empty if Site is set
	Site     string // all servers of the site
	Node     string // name or number of a node
	From     string // sending end of links between nodes; "": any
	To       string
	At       time.Duration
	Duration time.Duration
	// Magnitude depends on the kind. slow: slowdown factor; lag: extra seconds; backup: age in seconds; backlog:
	// seconds of work; lose, twice, damage: fraction; late: seconds; repeat: longest delay in milliseconds;
	// unframed: fraction of the answers that are cut off; stall, flood, abandon: number of clients.
	Magnitude float64
	Requests  string // stall, flood: what the clients send, one of StallNames, FloodNames or LeaveNames
}

// faultTargets maps each kind of fault to what it affects.
func faultTargets() map[string]string {
	return map[string]string{
		"slow": "boxes", "stuck": "boxes", "reset": "boxes", "refuse": "boxes", "silent": "boxes", "crash": "boxes",
		"drain": "boxes", "leave": "boxes", "garble": "boxes", "repeat": "boxes", "error": "boxes", "turnaway": "boxes",
		"unframed": "boxes", "replace": "boxes",
		"lag": "discovery", "outage": "discovery", "empty": "discovery", "backup": "discovery", "blackhole": "discovery",
		"backlog": "discovery", "move": "discovery",
		"kill": "node", "stop": "node", "term": "node", "stall": "node", "flood": "node", "abandon": "node",
		"cut": "links", "lose": "links", "late": "links", "twice": "links", "damage": "links",
	}
}

// FaultKinds returns the kinds in alphabetical order.
func FaultKinds() []string {
	var all []string
	for kind := range faultTargets() {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// serversOf returns the servers that a fault affects.
func (f *Fleet) serversOf(fault *Fault) ([]*Server, error) {
	if fault.Site != "" {
		if !slices.Contains(f.Plan.Sites, fault.Site) {
			return nil, fmt.Errorf("unknown site %q; sites are %s", fault.Site, strings.Join(f.Plan.Sites, ", "))
		}
		var all []*Server
		for _, s := range f.Servers {
			if s.Site == fault.Site {
				all = append(all, s)
			}
		}
		return all, nil
	}
	for i, s := range f.Servers {
		if s.ID == fault.Server || strconv.Itoa(i) == fault.Server {
			return []*Server{s}, nil
		}
	}
	for _, s := range f.LowerServers { // lower tiers by ID only
		if s.ID == fault.Server {
			return []*Server{s}, nil
		}
	}
	return nil, fmt.Errorf("unknown server %q; use 0 to %d, or an ID such as box-100 for lower tiers", fault.Server, len(f.Servers)-1)
}

// ValidateFault checks that the servers a fault names exist. Nodes are checked by their NodeController.
func (f *Fleet) ValidateFault(fault Fault) error {
	if faultTargets()[fault.Kind] != "boxes" {
		return nil
	}
	_, err := f.serversOf(&fault)
	return err
}

// NodeController applies faults to nodes. Whoever runs the nodes implements it.
type NodeController interface {
	Kill(name string) error
	Terminate(name string) error // asks the process to end and gives it time to drain
	Start(name string) error
	Pause(name string) error  // suspends the process
	Resume(name string) error // continues a suspended process
	// SetClientFault starts or stops the clients of a fault that disturb a node.
	SetClientFault(f *Fault, on bool) error
	// MoveDiscovery gives discovery another address. Nodes learn of it through a change of their configuration.
	MoveDiscovery() error
	// SetLinkFault begins or ends a fault of the links between nodes.
	SetLinkFault(f *Fault, on bool) error
}

// RunFaults runs faults until all are over or the context ends, and then ends those still active. An error of
// one fault does not stop the others.
func (f *Fleet) RunFaults(ctx context.Context, faults []Fault, nodes NodeController) []error {
	type step struct {
		at  time.Duration
		do  func() error
		end bool
	}
	var steps []step
	for i := range faults {
		fault := faults[i]
		steps = append(steps,
			step{fault.At, func() error { return f.startFault(&fault, nodes) }, false},
			step{fault.At + fault.Duration, func() error { return f.endFault(&fault, nodes) }, true})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	var errs []error
	start := time.Now()
	active := 0
	for _, s := range steps {
		select {
		case <-time.After(s.at - time.Since(start)):
		case <-ctx.Done():
			if !s.end || active == 0 {
				continue
			}
		}
		if s.end {
			active--
		} else {
			active++
		}
		if err := s.do(); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// startFault begins a fault.
func (f *Fleet) startFault(fault *Fault, nodes NodeController) error {
	switch fault.Kind {
	case "lag":
		f.Discovery.SetPublishDelay(f.Plan.PublishDelay + time.Duration(fault.Magnitude*float64(time.Second)))
		return nil
	case "outage":
		f.Discovery.SetDown(true)
		return nil
	case "empty":
		f.Discovery.SetEmpty(true)
		return nil
	case "backup":
		f.Discovery.RestoreBackup(time.Duration(fault.Magnitude * float64(time.Second)))
		return nil
	case "blackhole":
		f.Discovery.SilencePolls()
		return nil
	case "backlog":
		f.Discovery.AddBacklog(time.Duration(fault.Magnitude * float64(time.Second)))
		return nil
	case "move":
		return nodes.MoveDiscovery()
	case "kill":
		return nodes.Kill(fault.Node)
	case "term":
		return nodes.Terminate(fault.Node)
	case "stop":
		return nodes.Pause(fault.Node)
	case "stall", "flood", "abandon": // see clientFaults
		return nodes.SetClientFault(fault, true)
	case "cut", "lose", "late", "twice", "damage":
		return nodes.SetLinkFault(fault, true)
	}
	servers, err := f.serversOf(fault)
	if err != nil {
		return err
	}
	for _, s := range servers {
		switch fault.Kind {
		case "slow":
			s.setFailure(healthy, fault.Magnitude)
		case "stuck":
			s.setFailure(hanging, 1)
		case "reset":
			s.setFailure(resetting, 1)
		case "refuse":
			s.setFailure(refusing, 1)
			s.close()
		case "silent":
			s.setFailure(unresponsive, 1)
		case "garble":
			s.setFailure(malformed, 1)
		case "repeat":
			s.startRepeating(time.Duration(fault.Magnitude * float64(time.Millisecond)))
		case "unframed":
			s.startUnframed(fault.Magnitude)
		case "error":
			s.setFailure(failing, 1)
		case "turnaway":
			s.setFailure(rejecting, 1)
		case "crash":
			s.setFailure(crashed, 1)
			s.close()
			f.publishCrash(s)
		case "replace":
			s.setFailure(crashed, 1)
			s.close()
		case "drain":
			f.publishState(s, "DRAINING", false)
			s.setDraining(true)
		case "leave": // announced as draining on the list only; the server itself continues to serve
			f.publishState(s, "DRAINING", false)
		}
	}
	return nil
}

// endFault ends a fault.
func (f *Fleet) endFault(fault *Fault, nodes NodeController) error {
	switch fault.Kind {
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
	case "blackhole", "backlog", "move": // not undone: polls stay silent, the queue drains, discovery stays moved
		return nil
	case "kill", "term":
		return nodes.Start(fault.Node)
	case "stop":
		return nodes.Resume(fault.Node)
	case "stall", "flood", "abandon": // see clientFaults
		return nodes.SetClientFault(fault, false)
	case "cut", "lose", "late", "twice", "damage":
		return nodes.SetLinkFault(fault, false)
	}
	servers, err := f.serversOf(fault)
	if err != nil {
		return err
	}
	for _, s := range servers {
		switch fault.Kind {
		case "refuse":
			s.setFailure(healthy, 1)
			err = s.listen("")
		case "crash":
			err = s.restart()
			f.publishState(s, "SERVING", false)
		case "replace":
			err = f.startSuccessor(s)
		case "drain", "leave": // a new process replaces the drained one
			f.publishState(s, "DELETED", true)
			s.close()
			err = s.restart()
			f.publishState(s, "SERVING", false)
		default:
			s.setFailure(healthy, 1)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
