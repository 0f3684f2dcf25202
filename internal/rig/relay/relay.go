// Package relay stands between two processes, for one direction: datagrams and
// one-way streams that come to its address go on to another, and it loses, delays,
// doubles, reorders, damages or swallows them as it is told.
//
// A Relay owns its sockets and goroutines, which end with Close; Set may be called by any
// goroutine. What is drawn comes from its seed. It listens on loopback alone and must not
// know what it carries.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Weather is what happens on the way.
type Conditions struct {
	Cut       bool
	Loss      float64       // part of the datagrams
	Delay     time.Duration // of each, up to half as much again, so that they overtake each other
	Duplicate float64       // part that comes twice
	Corrupt   float64       // part of which a byte is changed
}

// Relay carries what comes to Address on to a target.
type Relay struct {
	Address netip.AddrPort

	target         netip.AddrPort
	udp            *net.UDPConn
	targetConn     *net.UDPConn
	tcp            net.Listener
	cancel         context.CancelFunc
	ctx            context.Context
	workers        sync.WaitGroup
	ForwardedBytes atomic.Int64 // bytes of datagrams that went on

	mu         sync.Mutex // guards what follows
	conditions Conditions
	rng        *rand.Rand
	timers     map[*time.Timer]struct{}
	closed     bool
}

// mostStreams is how many streams are carried at once.
const maxStreams = 32

// New starts a relay on loopback to a loopback target.
func New(target netip.AddrPort, seed uint64) (*Relay, error) {
	if !target.Addr().IsLoopback() {
		return nil, fmt.Errorf("relay: %v is not on loopback", target)
	}
	r := &Relay{target: target, rng: rand.New(rand.NewPCG(seed, 0x5e1a)), timers: map[*time.Timer]struct{}{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for try := 0; ; try++ { // one port for both
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		at := udp.LocalAddr().(*net.UDPAddr).AddrPort()
		tcp, err := net.Listen("tcp", at.String())
		if err == nil {
			r.udp, r.tcp, r.Address = udp, tcp, at
			break
		}
		udp.Close()
		if try == 20 {
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	var err error
	if r.targetConn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(target)); err != nil {
		r.udp.Close()
		r.tcp.Close()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.workers.Go(r.forwardDatagrams)
	r.workers.Go(r.acceptStreams)
	return r, nil
}

// Set says what happens from now on.
func (r *Relay) SetConditions(w Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = w
}

// Close ends the relay and all that is under way in it.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for t := range r.timers {
		t.Stop()
	}
	r.mu.Unlock()
	r.cancel()
	r.udp.Close()
	r.tcp.Close()
	r.workers.Wait()
	r.targetConn.Close()
}

func (r *Relay) forwardDatagrams() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.forwardDatagram(b[:n])
		}
	}
}

// carry draws what becomes of a datagram.
func (r *Relay) forwardDatagram(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.conditions
	if w.Cut || r.rng.Float64() < w.Loss {
		return
	}
	copies := 1
	if r.rng.Float64() < w.Duplicate {
		copies = 2
	}
	b = append([]byte(nil), b...)
	if len(b) > 0 && r.rng.Float64() < w.Corrupt {
		b[r.rng.IntN(len(b))] ^= byte(1 + r.rng.IntN(255))
	}
	for range copies {
		wait := time.Duration((1 + r.rng.Float64()/2) * float64(w.Delay))
		if wait == 0 {
			r.send(b)
			continue
		}
		var t *time.Timer
		t = time.AfterFunc(wait, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if delete(r.timers, t); !r.closed && !r.conditions.Cut {
				r.send(b)
			}
		})
		r.timers[t] = struct{}{}
	}
}

func (r *Relay) send(b []byte) {
	if _, err := r.targetConn.Write(b); err == nil { // nobody may listen there
		r.ForwardedBytes.Add(int64(len(b)))
	}
}

// streams carries streams one way.
func (r *Relay) acceptStreams() {
	places := make(chan struct{}, maxStreams)
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			c.Close()
			continue
		}
		r.workers.Go(func() {
			defer func() { <-places }()
			defer c.Close()
			end := context.AfterFunc(r.ctx, func() { c.Close() })
			defer end()
			r.forwardStream(c)
		})
	}
}

func (r *Relay) forwardStream(c net.Conn) {
	r.mu.Lock()
	w := r.conditions
	r.mu.Unlock()
	if w.Cut { // swallowed: the sender finds out by its own patience
		io.Copy(io.Discard, c)
		return
	}
	select {
	case <-time.After(2 * w.Delay):
	case <-r.ctx.Done():
		return
	}
	var d net.Dialer
	to, err := d.DialContext(r.ctx, "tcp", r.target.String())
	if err != nil {
		return
	}
	defer to.Close()
	end := context.AfterFunc(r.ctx, func() { to.Close() })
	defer end()
	io.Copy(to, c)
}
