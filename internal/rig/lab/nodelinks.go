package lab

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"curlewring/internal/node/members"
	"curlewring/internal/rig/relay"
	"curlewring/internal/rig/standin"
)

// nodeLinks holds the addresses of the nodes for each other, and a relay for each ordered pair of nodes
// unless relays are turned off.
type nodeLinks struct {
	addresses []netip.AddrPort
	relays    map[[2]int]*relay.Relay // by sender and receiver; empty without relays
	faults    []*standin.Fault        // active link faults
}

// maxLinkedNodes limits the nodes that are connected by relays: each pair takes four sockets and as many
// goroutines.
const maxLinkedNodes = 32

// newNodeLinks picks the nodes' addresses at a host.
func newNodeLinks(nodes int, host string, ports *portPicker, seed uint64, relays bool) (_ *nodeLinks, err error) {
	if relays && nodes > maxLinkedNodes {
		return nil, fmt.Errorf("%d nodes with relays between them, at most %d", nodes, maxLinkedNodes)
	}
	links := &nodeLinks{relays: map[[2]int]*relay.Relay{}}
	defer func() {
		if err != nil {
			links.close()
		}
	}()
	for range nodes {
		address, err := ports.pick(host)
		if err != nil {
			return nil, err
		}
		links.addresses = append(links.addresses, address)
	}
	if !relays {
		return links, nil
	}
	for from := range nodes {
		for to := range nodes {
			if from == to {
				continue
			}
			r, err := relay.New(links.addresses[to], seed<<16+uint64(from*nodes+to))
			if err != nil {
				return nil, err
			}
			links.relays[[2]int{from, to}] = r
		}
	}
	return links, nil
}

func (links *nodeLinks) close() {
	if links == nil {
		return
	}
	for _, r := range links.relays {
		r.Close()
	}
}

// writeSettings writes a node's own settings file. Without other seeds, the first three nodes are the seeds.
// Each other node is reached through its relay.
func (links *nodeLinks) writeSettings(node int, path, folder string, o *Options) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[state]\nfolder = %q\n\n[members]\nfleet = \"lab\"\nlisten = %q\nseeds = [", folder, links.addresses[node].String())
	seeds := o.Seeds
	if len(seeds) == 0 {
		seeds = links.addresses[:min(3, len(links.addresses))]
	}
	for i, seed := range seeds {
		if i > 0 {
			text.WriteString(", ")
		}
		fmt.Fprintf(&text, "%q", seed.String())
	}
	fmt.Fprintf(&text, "]\npool = %v\n\n[members.via]\n", !o.DisableBudgetPooling)
	for to, address := range links.addresses {
		if to != node && len(links.relays) > 0 {
			fmt.Fprintf(&text, "%q = %q\n", address.String(), links.relays[[2]int{node, to}].Address.String())
		}
	}
	if o.ReplaceVoterAfter > 0 {
		fmt.Fprintf(&text, "\n[leases]\nreplace_after = %q\nrecord = %v\n\n[trial]\nfolder = %q\n", o.ReplaceVoterAfter.String(), o.ShareLists, folder+".trial")
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}

func (links *nodeLinks) index(name string) (int, error) {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 0 || i >= len(links.addresses) {
		return 0, fmt.Errorf("no node %q; there are 0 to %d", name, len(links.addresses)-1)
	}
	return i, nil
}

// applyFaults sets every relay to the combined effect of the active faults.
func (links *nodeLinks) applyFaults() {
	for pair, r := range links.relays {
		var conditions relay.Conditions
		for _, f := range links.faults {
			if !links.matches(f.From, pair[0]) || !links.matches(f.To, pair[1]) {
				continue
			}
			switch f.Kind {
			case "cut":
				conditions.Cut = true
			case "lose":
				conditions.Loss = 1 - (1-conditions.Loss)*(1-f.Magnitude)
			case "late":
				conditions.Delay += time.Duration(f.Magnitude * float64(time.Second))
			case "twice":
				conditions.Duplicate = max(conditions.Duplicate, f.Magnitude)
			case "damage":
				conditions.Corrupt = max(conditions.Corrupt, f.Magnitude)
			}
		}
		r.SetConditions(conditions)
	}
}

func (links *nodeLinks) matches(name string, i int) bool {
	index, err := links.index(name)
	return name == "" || err == nil && index == i
}

// SetLinkFault starts or ends a fault of the links between nodes.
func (l *Lab) SetLinkFault(f *standin.Fault, on bool) error {
	if l.links == nil {
		return errors.New("link faults need Options.Membership")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	links := l.links
	if on {
		links.faults = append(links.faults, f)
	} else {
		for i, active := range links.faults {
			if active == f {
				links.faults = append(links.faults[:i:i], links.faults[i+1:]...)
				break
			}
		}
	}
	links.applyFaults()
	return nil
}

// SetLinkConditions sets the conditions of each link between nodes by a function, independently of faults.
func (l *Lab) SetLinkConditions(rule func(from, to int) relay.Conditions) {
	for pair, r := range l.links.relays {
		r.SetConditions(rule(pair[0], pair[1]))
	}
}

// Pause stops a node's process with SIGSTOP.
func (l *Lab) Pause(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.pausedAt[p.name] = l.Fleet.Clock.Now()
	l.mu.Unlock()
	return l.sendSignal(name, syscall.SIGSTOP)
}

// Resume continues a paused node with SIGCONT.
func (l *Lab) Resume(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	err = l.sendSignal(name, syscall.SIGCONT)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Fleet.Judge.NodePaused(l.pausedAt[p.name], l.Fleet.Clock.Now(), p.name)
	return err
}

func (l *Lab) sendSignal(name string, sig syscall.Signal) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	return p.signal(sig, false)
}

// StateFolder returns the path of a node's state folder.
func (l *Lab) StateFolder(node string) string { return filepath.Join(l.dir, node+".state") }

// RemoveState removes a node's state folder. The node must not be running.
func (l *Lab) RemoveState(node string) error { return os.RemoveAll(l.StateFolder(node)) }

// SetTrialFile writes a file into a node's trial folder, which makes the node fail on purpose in the way that
// the file's name says. An empty text removes the file.
func (l *Lab) SetTrialFile(node, name, text string) error {
	folder := l.StateFolder(node) + ".trial"
	if text == "" {
		return os.RemoveAll(filepath.Join(folder, name))
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600)
}

// MembershipOf requests a node's membership report.
func (l *Lab) MembershipOf(ctx context.Context, node string) (members.Report, error) {
	return members.RequestReport(ctx, l.StateFolder(node))
}
