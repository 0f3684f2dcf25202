// Package relay forwards datagrams and one-way streams from one process to another, and on request loses,
// delays, duplicates, reorders, corrupts or drops them.
//
// A Relay owns its sockets and goroutines, which end with Close. SetConditions may be called by any
// goroutine. Random decisions come from the relay's seed. A relay listens on loopback only and does not
// interpret what it forwards.
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

// Conditions describes the faults of a link.
type Conditions struct {
	Cut  bool
	Loss float64 // fraction of the datagrams that is lost
	// Delay is the minimum delay of each datagram. Up to half as much again is added, so that datagrams are
	// reordered.
	Delay     time.Duration
	Duplicate float64 // fraction that is sent twice
	Corrupt   float64 // fraction in which one byte is changed
}

// Relay forwards what arrives at Address to a target.
type Relay struct {
	Address netip.AddrPort

	target         netip.AddrPort
	udp            *net.UDPConn
	targetConn     *net.UDPConn
	tcp            net.Listener
	cancel         context.CancelFunc
	ctx            context.Context
	workers        sync.WaitGroup
	ForwardedBytes atomic.Int64 // bytes of forwarded datagrams

	mu         sync.Mutex // guards the fields below
	conditions Conditions
	rng        *rand.Rand
	timers     map[*time.Timer]struct{}
	closed     bool
}

// maxStreams limits the streams that are forwarded at once.
const maxStreams = 32

// New starts a relay on loopback. The target must be on loopback as well.
func New(target netip.AddrPort, seed uint64) (*Relay, error) {
	if !target.Addr().IsLoopback() {
		return nil, fmt.Errorf("relay: target %v is not on loopback", target)
	}
	r := &Relay{target: target, rng: rand.New(rand.NewPCG(seed, 0x5e1a)), timers: map[*time.Timer]struct{}{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for try := 0; ; try++ { // the same port for UDP and TCP
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		address := udp.LocalAddr().(*net.UDPAddr).AddrPort()
		tcp, err := net.Listen("tcp", address.String())
		if err == nil {
			r.udp, r.tcp, r.Address = udp, tcp, address
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

// SetConditions replaces the conditions from now on.
func (r *Relay) SetConditions(conditions Conditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = conditions
}

// Close stops the relay and drops what is in transit.
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
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			r.forwardDatagram(buffer[:n])
		}
	}
}

// forwardDatagram forwards a datagram, subject to the conditions.
func (r *Relay) forwardDatagram(datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conditions := r.conditions
	if conditions.Cut || r.rng.Float64() < conditions.Loss {
		return
	}
	copies := 1
	if r.rng.Float64() < conditions.Duplicate {
		copies = 2
	}
	datagram = append([]byte(nil), datagram...)
	if len(datagram) > 0 && r.rng.Float64() < conditions.Corrupt {
		datagram[r.rng.IntN(len(datagram))] ^= byte(1 + r.rng.IntN(255))
	}
	for range copies {
		delay := time.Duration((1 + r.rng.Float64()/2) * float64(conditions.Delay))
		if delay == 0 {
			r.send(datagram)
			continue
		}
		var t *time.Timer
		t = time.AfterFunc(delay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if delete(r.timers, t); !r.closed && !r.conditions.Cut {
				r.send(datagram)
			}
		})
		r.timers[t] = struct{}{}
	}
}

func (r *Relay) send(datagram []byte) {
	if _, err := r.targetConn.Write(datagram); err == nil { // the target may not be listening
		r.ForwardedBytes.Add(int64(len(datagram)))
	}
}

// acceptStreams accepts streams and forwards them to the target.
func (r *Relay) acceptStreams() {
	slots := make(chan struct{}, maxStreams)
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		r.workers.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			stop := context.AfterFunc(r.ctx, func() { c.Close() })
			defer stop()
			r.forwardStream(c)
		})
	}
}

func (r *Relay) forwardStream(c net.Conn) {
	r.mu.Lock()
	conditions := r.conditions
	r.mu.Unlock()
	if conditions.Cut { // dropped: the sender notices only by its own timeout
		io.Copy(io.Discard, c)
		return
	}
	select {
	case <-time.After(2 * conditions.Delay):
	case <-r.ctx.Done():
		return
	}
	var d net.Dialer
	upstream, err := d.DialContext(r.ctx, "tcp", r.target.String())
	if err != nil {
		return
	}
	defer upstream.Close()
	stop := context.AfterFunc(r.ctx, func() { upstream.Close() })
	defer stop()
	io.Copy(upstream, c)
}
