package front

import (
	"io"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// memory is a Transport without sockets: its connections are rows of a table, and a
// test is every client. Events are told as epoll tells edges: once for each change.
type memory struct {
	mu     sync.Mutex
	conns  []memoryConn
	queue  []int32 // to be accepted
	ready  []Event
	spare  []Event
	on     bool
	wake   chan struct{}
	out    chan []Event
	done   chan struct{}
	stop   chan struct{}
	closes int
	slow   time.Duration            // a close takes this
	waited func(closes int)         // told how many connections were closed while a batch waited for the front
	heard  func(id int32, p []byte) // instead of conn.got
}

type memoryConn struct {
	in     []byte // sent by the client, not yet read
	got    []byte // written by the front
	token  uint64
	room   int // what the client's window takes; below 0: all
	opened bool
	fin    bool // the client has ended its sending
	reset  bool
	half   bool // the front has ended its sending
	closed bool
	wants  bool
}

func newMemory() *memory {
	return &memory{
		wake: make(chan struct{}, 1), out: make(chan []Event), done: make(chan struct{}), stop: make(chan struct{}),
	}
}

// run brings batches where a server runs; tests that take turns themselves use take.
func (m *memory) run() {
	defer close(m.out)
	for {
		batch := m.take()
		if len(batch) == 0 {
			select {
			case <-m.wake:
				continue
			case <-m.stop:
				return
			}
		}
		before := m.closed()
		select {
		case m.out <- batch:
		case <-m.stop:
			return
		}
		m.delivered(before)
		select {
		case <-m.done:
		case <-m.stop:
			return
		}
	}
}

// delivered tells of a batch that the front has taken, offered after so many closes.
func (m *memory) delivered(before int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waited != nil {
		m.waited(m.closes - before)
	}
}

// take returns what became ready since the last time.
func (m *memory) take() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(m.ready), 256)
	batch := append(m.spare[:0], m.ready[:n]...)
	m.spare = batch
	m.ready = append(m.ready[:0], m.ready[n:]...)
	if m.on && len(m.queue) > 0 {
		batch = append(batch, Event{listenerToken, Acceptable})
	}
	return batch
}

func (m *memory) tell(c *memoryConn, r Readiness) {
	if c.opened && !c.closed {
		m.ready = append(m.ready, Event{c.token, r})
	}
	m.rouse()
}

func (m *memory) rouse() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// The clients' side.

func (m *memory) dial() int32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, memoryConn{room: -1})
	id := int32(len(m.conns) - 1)
	m.queue = append(m.queue, id)
	m.rouse()
	return id
}

func (m *memory) send(id int32, p []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[id]
	if c.fin || c.reset || c.closed {
		return
	}
	c.in = append(c.in, p...)
	m.tell(c, Readable)
}

func (m *memory) end(id int32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[id].fin = true
	m.tell(&m.conns[id], Readable|PeerEnded)
}

func (m *memory) abort(id int32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[id]
	c.reset, c.in = true, nil
	m.tell(c, Readable|ConnReset)
}

func (m *memory) window(id int32, room int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[id]
	if c.room = room; c.wants && room != 0 {
		c.wants = false
		m.tell(c, Writable|Readable)
	}
}

func (m *memory) state(id int32) memoryConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[id]
}

// The front's side.

func (m *memory) Events() <-chan []Event { return m.out }
func (m *memory) BatchDone() {
	select {
	case m.done <- struct{}{}:
	case <-m.stop:
	}
}

func (m *memory) Accept() (Socket, netip.Addr, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return 0, netip.Addr{}, ErrWouldBlock
	}
	id := m.queue[0]
	m.queue = m.queue[1:]
	return Socket(id), m.from(id), nil
}

// from spreads clients over 2^16 addresses.
func (m *memory) from(id int32) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)})
}

func (m *memory) RemoteAddr(s Socket) netip.Addr { return m.from(int32(s)) }

func (m *memory) SetAccepting(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.on = on
	m.rouse()
}

func (m *memory) Register(s Socket, token uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	c.token, c.opened = token, true
	if len(c.in) > 0 || c.fin || c.reset {
		m.tell(c, Readable)
	}
	return nil
}

func (m *memory) EnableKeepAlive(Socket) {}

func (m *memory) Read(s Socket, p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	switch {
	case c.reset:
		return 0, syscall.ECONNRESET
	case len(c.in) > 0:
		n := copy(p, c.in)
		if c.in = c.in[n:]; len(c.in) == 0 {
			c.in = nil
		}
		return n, nil
	case c.fin:
		return 0, io.EOF
	}
	return 0, ErrWouldBlock
}

func (m *memory) Write(s Socket, p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	switch {
	case c.reset || c.half:
		return 0, syscall.EPIPE
	case c.room == 0:
		return 0, ErrWouldBlock
	case c.room > 0:
		p = p[:min(len(p), c.room)]
		c.room -= len(p)
	}
	if m.heard != nil {
		m.heard(int32(s), p)
	} else {
		c.got = append(c.got, p...)
	}
	return len(p), nil
}

func (m *memory) Peek(s Socket) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c := &m.conns[s]; {
	case c.reset:
		return syscall.ECONNRESET
	case len(c.in) > 0:
		return nil
	case c.fin:
		return io.EOF
	}
	return ErrWouldBlock
}

func (m *memory) NotifyWritable(s Socket, _ uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	if c.wants = true; c.room != 0 {
		c.wants = false
		m.tell(c, Writable)
	}
	return nil
}

func (m *memory) CloseWrite(s Socket) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[s].half = true
}

func (m *memory) Close(s Socket) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	if c.closed {
		panic("a connection is closed twice")
	}
	c.closed, c.in = true, nil
	m.closes++
	for begun := time.Now(); m.slow > 0 && time.Since(begun) < m.slow; {
	}
}

func (m *memory) CloseListener() error { return nil }
func (m *memory) Shutdown()            { close(m.stop) }
