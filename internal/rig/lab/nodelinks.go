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

// between is what stands between the nodes: a relay for each ordered pair, unless they are part of a larger fleet.
type nodeLinks struct {
	addresses []netip.AddrPort
	relays    map[[2]int]*relay.Relay // from, to; none in a larger fleet
	faults    []*standin.Fault        // that are on
}

// mostLinked bounds the nodes that know each other: each pair takes four sockets and as many goroutines.
const maxLinkedNodes = 32

func newNodeLinks(nodes int, host string, seed uint64, relays bool) (_ *nodeLinks, err error) {
	if relays && nodes > maxLinkedNodes {
		return nil, fmt.Errorf("%d nodes with members, at most %d", nodes, maxLinkedNodes)
	}
	b := &nodeLinks{relays: map[[2]int]*relay.Relay{}}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	for range nodes {
		at, err := freePort(host)
		for err == nil && slices.Contains(b.addresses, at) { // it is free, and another node's already
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

// freePort finds a port that is free for both datagrams and streams. It is below those that the system hands out, so
// that none of the sockets made meanwhile takes it.
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

// write writes a node's own settings: the first three are the seeds, if there are no others, and each other one is reached by
// its relay.
func (b *nodeLinks) writeSettings(node int, path, folder string, o *Options) error {
	var s strings.Builder
	fmt.Fprintf(&s, "[state]\nfolder = %q\n\n[members]\nfleet = \"lab\"\nlisten = %q\nseeds = [", folder, b.addresses[node].String())
	seeds := o.Seeds
	if len(seeds) == 0 {
		seeds = b.addresses[:min(3, len(b.addresses))]
	}
	for i, seed := range seeds {
		if i > 0 {
			s.WriteString(", ")
		}
		fmt.Fprintf(&s, "%q", seed.String())
	}
	fmt.Fprintf(&s, "]\npool = %v\n\n[members.via]\n", !o.NoPooling)
	for to, at := range b.addresses {
		if to != node && len(b.relays) > 0 {
			fmt.Fprintf(&s, "%q = %q\n", at.String(), b.relays[[2]int{node, to}].Address.String())
		}
	}
	if o.ReplaceVoterAfter > 0 {
		fmt.Fprintf(&s, "\n[leases]\nreplace_after = %q\nrecord = %v\n\n[trial]\nfolder = %q\n", o.ReplaceVoterAfter.String(), o.ListFromPeers, folder+".trial")
	}
	return os.WriteFile(path, []byte(s.String()), 0o600)
}

func (b *nodeLinks) index(name string) (int, error) {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 0 || i >= len(b.addresses) {
		return 0, fmt.Errorf("no node %q; there are 0 to %d", name, len(b.addresses)-1)
	}
	return i, nil
}

// apply brings every relay to what the faults that are on say together.
func (b *nodeLinks) applyFaults() {
	for pair, r := range b.relays {
		var w relay.Conditions
		for _, f := range b.faults {
			if !b.matches(f.From, pair[0]) || !b.matches(f.To, pair[1]) {
				continue
			}
			switch f.Kind {
			case "cut":
				w.Cut = true
			case "lose":
				w.Loss = 1 - (1-w.Loss)*(1-f.Magnitude)
			case "late":
				w.Delay += time.Duration(f.Magnitude * float64(time.Second))
			case "twice":
				w.Duplicate = max(w.Duplicate, f.Magnitude)
			case "damage":
				w.Corrupt = max(w.Corrupt, f.Magnitude)
			}
		}
		r.SetConditions(w)
	}
}

func (b *nodeLinks) matches(name string, i int) bool {
	at, err := b.index(name)
	return name == "" || err == nil && at == i
}

// Link makes or ends a fault of the links between nodes.
func (l *Lab) SetLinkFault(f *standin.Fault, on bool) error {
	if l.links == nil {
		return errors.New("nodes have links between them with members alone")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.links
	if on {
		b.faults = append(b.faults, f)
	} else {
		for i, x := range b.faults {
			if x == f {
				b.faults = append(b.faults[:i:i], b.faults[i+1:]...)
				break
			}
		}
	}
	b.applyFaults()
	return nil
}

// Weather sets what happens between all nodes by a rule of one's own, in the place of faults.
func (l *Lab) SetLinkConditions(rule func(from, to int) relay.Conditions) {
	for pair, r := range l.links.relays {
		r.SetConditions(rule(pair[0], pair[1]))
	}
}

// Stop has a node stand still.
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

// Cont lets it go on.
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

func (l *Lab) sendSignal(name string, s syscall.Signal) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	return p.signal(s, false)
}

// StateOf is the folder of what a node keeps.
func (l *Lab) StateFolder(node string) string { return filepath.Join(l.dir, node+".state") }

// Forget removes what a node keeps. It must not run.
func (l *Lab) RemoveState(node string) error { return os.RemoveAll(l.StateFolder(node)) }

// Trial has a node fail on purpose from now on, as a file of this name in its trial's folder says; an empty text ends that.
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

// MembersOf asks a node what it knows of the others.
func (l *Lab) MembershipOf(ctx context.Context, node string) (members.Report, error) {
	return members.RequestReport(ctx, l.StateFolder(node))
}
