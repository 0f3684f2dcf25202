package front

import (
	"io"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// memoryTransport is a Transport without sockets: its connections are rows of a table, and the test
// acts as every client. Like edge-triggered epoll, it reports one event for each change.
type memoryTransport struct {
	mu          sync.Mutex
	conns       []memoryConn
	queue       []int32 // waiting to be accepted
	ready       []Event
	spare       []Event
	accepting   bool
	wake        chan struct{}
	out         chan []Event
	done        chan struct{}
	stop        chan struct{}
	closes      int
	offeredAt   int                      // closes when the present batch was offered
	selectedAt  int                      // closes when the server last began to wait for a batch
	closeTime   time.Duration            // how long a close takes
	onDelivered func(closes int)         // called with the connections closed while a batch waited
	onWrite     func(id int32, p []byte) // if set, receives what the server writes, in place of memoryConn.written
}

type memoryConn struct {
	unread        []byte // sent by the client, not yet read by the server
	written       []byte // written by the server
	token         uint64
	window        int // bytes that the client's receive window takes; negative: any number
	registered    bool
	fin           bool // the client has closed its sending side
	reset         bool
	writeClosed   bool // the server has closed its sending side
	closed        bool
	wantsWritable bool
}

func newMemory() *memoryTransport {
	return &memoryTransport{
		wake: make(chan struct{}, 1), out: make(chan []Event, 1), done: make(chan struct{}), stop: make(chan struct{}),
	}
}

// run delivers batches of events to a running server. Tests that run the server's turns themselves
// call take instead.
func (m *memoryTransport) run() {
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
		m.offer(batch)
		select {
		case <-m.done:
		case <-m.stop:
			return
		}
	}
}

// offer gives a batch to the server, which has finished the last one, so that the channel is empty. The count of
// closes belongs to the moment of the offer, however long this goroutine had to wait for a processor before it.
func (m *memoryTransport) offer(batch []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offeredAt = m.closes
	m.out <- batch
}

// take returns the events since the last call.
func (m *memoryTransport) take() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(m.ready), 256)
	batch := append(m.spare[:0], m.ready[:n]...)
	m.spare = batch
	m.ready = append(m.ready[:0], m.ready[n:]...)
	if m.accepting && len(m.queue) > 0 {
		batch = append(batch, Event{listenerToken, Acceptable})
	}
	return batch
}

func (m *memoryTransport) post(c *memoryConn, r Readiness) {
	if c.registered && !c.closed {
		m.ready = append(m.ready, Event{c.token, r})
	}
	m.signal()
}

func (m *memoryTransport) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Methods for the client side.

func (m *memoryTransport) dial() int32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, memoryConn{window: -1})
	id := int32(len(m.conns) - 1)
	m.queue = append(m.queue, id)
	m.signal()
	return id
}

func (m *memoryTransport) send(id int32, p []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[id]
	if c.fin || c.reset || c.closed {
		return
	}
	c.unread = append(c.unread, p...)
	m.post(c, Readable)
}

func (m *memoryTransport) end(id int32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[id].fin = true
	m.post(&m.conns[id], Readable|PeerEnded)
}

func (m *memoryTransport) abort(id int32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[id]
	c.reset, c.unread = true, nil
	m.post(c, Readable|ConnReset)
}

func (m *memoryTransport) window(id int32, size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[id]
	if c.window = size; c.wantsWritable && size != 0 {
		c.wantsWritable = false
		m.post(c, Writable|Readable)
	}
}

func (m *memoryTransport) state(id int32) memoryConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[id]
}

// Methods for the server side, which implement Transport.

// Events is called whenever the server begins to wait: from then until it has taken a batch it closes nothing.
func (m *memoryTransport) Events() <-chan []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selectedAt = m.closes
	return m.out
}

// BatchDone reports to onDelivered the closes between the offer of the batch and the server's taking it.
func (m *memoryTransport) BatchDone() {
	m.mu.Lock()
	if m.onDelivered != nil {
		m.onDelivered(max(0, m.selectedAt-m.offeredAt))
	}
	m.mu.Unlock()
	select {
	case m.done <- struct{}{}:
	case <-m.stop:
	}
}

func (m *memoryTransport) Accept() (Socket, netip.Addr, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return 0, netip.Addr{}, ErrWouldBlock
	}
	id := m.queue[0]
	m.queue = m.queue[1:]
	return Socket(id), m.addressOf(id), nil
}

// addressOf spreads the clients over 2^16 addresses.
func (m *memoryTransport) addressOf(id int32) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)})
}

func (m *memoryTransport) RemoteAddr(s Socket) netip.Addr { return m.addressOf(int32(s)) }

func (m *memoryTransport) SetAccepting(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepting = on
	m.signal()
}

func (m *memoryTransport) Register(s Socket, token uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	c.token, c.registered = token, true
	if len(c.unread) > 0 || c.fin || c.reset {
		m.post(c, Readable)
	}
	return nil
}

func (m *memoryTransport) EnableKeepAlive(Socket) {}

func (m *memoryTransport) Read(s Socket, p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	switch {
	case c.reset:
		return 0, syscall.ECONNRESET
	case len(c.unread) > 0:
		n := copy(p, c.unread)
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil
		}
		return n, nil
	case c.fin:
		return 0, io.EOF
	}
	return 0, ErrWouldBlock
}

func (m *memoryTransport) Write(s Socket, p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	switch {
	case c.reset || c.writeClosed:
		return 0, syscall.EPIPE
	case c.window == 0:
		return 0, ErrWouldBlock
	case c.window > 0:
		p = p[:min(len(p), c.window)]
		c.window -= len(p)
	}
	if m.onWrite != nil {
		m.onWrite(int32(s), p)
	} else {
		c.written = append(c.written, p...)
	}
	return len(p), nil
}

func (m *memoryTransport) Peek(s Socket, p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c := &m.conns[s]; {
	case c.reset:
		return 0, syscall.ECONNRESET
	case len(c.unread) > 0:
		return copy(p, c.unread), nil
	case c.fin:
		return 0, io.EOF
	}
	return 0, ErrWouldBlock
}

func (m *memoryTransport) NotifyWritable(s Socket, _ uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	if c.wantsWritable = true; c.window != 0 {
		c.wantsWritable = false
		m.post(c, Writable)
	}
	return nil
}

func (m *memoryTransport) CloseWrite(s Socket) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[s].writeClosed = true
}

func (m *memoryTransport) Close(s Socket) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.conns[s]
	if c.closed {
		panic("connection closed twice")
	}
	c.closed, c.unread = true, nil
	m.closes++
	for started := time.Now(); m.closeTime > 0 && time.Since(started) < m.closeTime; {
	}
}

func (m *memoryTransport) CloseListener() error { return nil }
func (m *memoryTransport) Shutdown()            { close(m.stop) }
