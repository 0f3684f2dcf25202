package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
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

func newNodeLinks(nodes int, host string, seed uint64, relays bool) (_ *nodeLinks, err error) {
	if relays && nodes > maxLinkedNodes {
		return nil, fmt.Errorf("%d nodes with relays between them, at most %d", nodes, maxLinkedNodes)
	}
	b := &nodeLinks{relays: map[[2]int]*relay.Relay{}}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	for range nodes {
		at, err := freePort(host)
		for err == nil && slices.Contains(b.addresses, at) { // the port is free, but another node already has it
			at, err = freePort(host)
		}
		if err != nil {
			return nil, err
		}
		b.addresses = append(b.addresses, at)
	}
	if !relays {
		return b, nil
	}
	for from := range nodes {
		for to := range nodes {
			if from == to {
				continue
			}
			r, err := relay.New(b.addresses[to], seed<<16+uint64(from*nodes+to))
			if err != nil {
				return nil, err
			}
			b.relays[[2]int{from, to}] = r
		}
	}
	return b, nil
}

// freePort returns an address whose port is free for both UDP and TCP. The port is below the ephemeral range,
// so that no socket opened in the meantime is given it.
func freePort(host string) (netip.AddrPort, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}, err
	}
	for try := 0; ; try++ {
		at := netip.AddrPortFrom(ip, uint16(10_000+rand.IntN(20_000)))
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err == nil {
			var tcp net.Listener
			tcp, err = net.Listen("tcp", at.String())
			udp.Close()
			if err == nil {
				return at, tcp.Close()
			}
		}
		if try == 50 {
			return netip.AddrPort{}, err
		}
	}
}

func (b *nodeLinks) close() {
	if b == nil {
		return
	}
	for _, r := range b.relays {
		r.Close()
	}
}

// writeSettings writes a node's own settings file. Without other seeds, the first three nodes are the seeds.
// Each other node is reached through its relay.
func (b *nodeLinks) writeSettings(node int, path, folder string, o *Options) error {
	var text strings.Builder
	fmt.Fprintf(&text, "[state]\nfolder = %q\n\n[members]\nfleet = \"lab\"\nlisten = %q\nseeds = [", folder, b.addresses[node].String())
	seeds := o.Seeds
	if len(seeds) == 0 {
		seeds = b.addresses[:min(3, len(b.addresses))]
	}
	for i, seed := range seeds {
		if i > 0 {
			text.WriteString(", ")
		}
		fmt.Fprintf(&text, "%q", seed.String())
	}
	fmt.Fprintf(&text, "]\npool = %v\n\n[members.via]\n", !o.NoPooling)
	for to, at := range b.addresses {
		if to != node && len(b.relays) > 0 {
			fmt.Fprintf(&text, "%q = %q\n", at.String(), b.relays[[2]int{node, to}].Address.String())
		}
	}
	if o.ReplaceVoterAfter > 0 {
		fmt.Fprintf(&text, "\n[leases]\nreplace_after = %q\nrecord = %v\n\n[trial]\nfolder = %q\n", o.ReplaceVoterAfter.String(), o.ListFromPeers, folder+".trial")
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}

func (b *nodeLinks) index(name string) (int, error) {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 0 || i >= len(b.addresses) {
		return 0, fmt.Errorf("no node %q; there are 0 to %d", name, len(b.addresses)-1)
	}
	return i, nil
}

// applyFaults sets every relay to the combined effect of the active faults.
func (b *nodeLinks) applyFaults() {
	for pair, r := range b.relays {
		var conditions relay.Conditions
		for _, f := range b.faults {
			if !b.matches(f.From, pair[0]) || !b.matches(f.To, pair[1]) {
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

func (b *nodeLinks) matches(name string, i int) bool {
	at, err := b.index(name)
	return name == "" || err == nil && at == i
}

// SetLinkFault starts or ends a fault of the links between nodes.
func (l *Lab) SetLinkFault(f *standin.Fault, on bool) error {
	if l.links == nil {
		return errors.New("link faults need Options.Membership")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.links
	if on {
		b.faults = append(b.faults, f)
	} else {
		for i, active := range b.faults {
			if active == f {
				b.faults = append(b.faults[:i:i], b.faults[i+1:]...)
				break
			}
		}
	}
	b.applyFaults()
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
