package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// goroutineTransport is a Transport with one goroutine per connection, which waits for bytes
// without a buffer. It serves systems without epoll and is the baseline that epoll is measured
// against: a parked connection takes a goroutine's stack more.
type goroutineTransport struct {
	listener net.Listener
	batchQueue
	wake    chan struct{}
	permits chan struct{} // each allows accepting one connection
	arrived chan acceptResult
	running sync.WaitGroup

	mu      sync.Mutex
	pending []Event

	// Only the transport's owner uses the fields below.
	accepting    bool
	permitIssued bool // a permit is unused, or the connection accepted with it is not taken yet
	closed       bool
	conns        []*goroutineConn // indexed by Socket
	free         []Socket
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// goroutineConn is a connection and the channels of its goroutine.
type goroutineConn struct {
	net.Conn
	raw   syscall.RawConn
	rearm chan struct{} // the last event was handled: wait for the next
	seen  atomic.Int32  // unread bytes that Peek has returned, which make no new event

	closed chan struct{}
}

// NewGoroutineTransport returns a goroutine transport for a listener. The transport owns the
// listener from then on.
func NewGoroutineTransport(l net.Listener) (Transport, error) {
	t := &goroutineTransport{
		listener: l, batchQueue: newBatches(),
		wake: make(chan struct{}, 1), permits: make(chan struct{}, 1), arrived: make(chan acceptResult, 1),
	}
	t.running.Go(t.run)
	t.running.Go(t.accept)
	return t, nil
}

// accept accepts one connection for each permit.
func (t *goroutineTransport) accept() {
	for {
		select {
		case <-t.permits:
		case <-t.stop:
			return
		}
		c, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		t.arrived <- acceptResult{c, err}
		t.post(Event{Token: listenerToken, Ready: Acceptable})
	}
}

// post queues an event. It doesn't block.
func (t *goroutineTransport) post(e Event) {
	t.mu.Lock()
	t.pending = append(t.pending, e)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run delivers batches of events until the transport is shut down.
func (t *goroutineTransport) run() {
	defer close(t.out)
	var batch []Event
	for {
		select {
		case <-t.wake:
		case <-t.stop:
			return
		}
		t.mu.Lock()
		batch, t.pending = t.pending, batch[:0]
		t.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if !t.deliver(batch) {
			return
		}
	}
}

func (t *goroutineTransport) SetAccepting(on bool) {
	t.accepting = on
	switch {
	case !on || t.closed:
	case len(t.arrived) > 0:
		t.post(Event{Token: listenerToken, Ready: Acceptable})
	case !t.permitIssued:
		t.permitIssued = true
		t.permits <- struct{}{}
	}
}

func (t *goroutineTransport) Accept() (Socket, netip.Addr, error) {
	var noAddr netip.Addr
	select {
	case a := <-t.arrived:
		t.permitIssued = false
		t.SetAccepting(t.accepting)
		if a.err != nil {
			return 0, noAddr, fmt.Errorf("accepting a connection: %w", a.err)
		}
		return t.addConn(a.conn)
	default:
		return 0, noAddr, ErrWouldBlock
	}
}

func (t *goroutineTransport) addConn(nc net.Conn) (Socket, netip.Addr, error) {
	var from netip.Addr
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		return 0, from, fmt.Errorf("accepting a connection: %w", err)
	}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		from = a.AddrPort().Addr()
	}
	c := &goroutineConn{Conn: nc, raw: raw, rearm: make(chan struct{}, 1), closed: make(chan struct{})}
	if n := len(t.free); n > 0 {
		s := t.free[n-1]
		t.free = t.free[:n-1]
		t.conns[s] = c
		return s, from, nil
	}
	t.conns = append(t.conns, c)
	return Socket(len(t.conns) - 1), from, nil
}

func (t *goroutineTransport) RemoteAddr(s Socket) netip.Addr {
	if a, ok := t.conns[s].RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// Register starts the connection's goroutine.
func (t *goroutineTransport) Register(s Socket, token uint64) error {
	c := t.conns[s]
	t.running.Go(func() {
		// Peek instead of waiting for readiness alone: bytes that arrive between two waits make no
		// new event.
		hasInput := func(fd uintptr) bool {
			seen := int(c.seen.Load())
			n, err := peekFD(int(fd), make([]byte, seen+1))
			return err != ErrWouldBlock && (err != nil || n > seen)
		}
		for {
			if c.raw.Read(hasInput) != nil {
				return // connection closed
			}
			t.post(Event{Token: token, Ready: Readable})
			select {
			case <-c.rearm:
			case <-c.closed:
				return
			}
		}
	})
	return nil
}

// waitForNext makes the goroutine wait for the next event.
func (c *goroutineConn) waitForNext() {
	select {
	case c.rearm <- struct{}{}:
	default:
	}
}

func (t *goroutineTransport) EnableKeepAlive(Socket) {} // net.Listen enables keepalive by default

func (t *goroutineTransport) Read(s Socket, p []byte) (n int, err error) {
	c := t.conns[s]
	c.seen.Store(0)
	if controlErr := c.raw.Control(func(fd uintptr) { n, err = readFD(int(fd), p) }); controlErr != nil {
		return 0, controlErr
	}
	if n < len(p) && err != io.EOF {
		c.waitForNext()
	}
	return n, err
}

func (t *goroutineTransport) Write(s Socket, p []byte) (n int, err error) {
	if controlErr := t.conns[s].raw.Control(func(fd uintptr) { n, err = writeFD(int(fd), p) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

func (t *goroutineTransport) Peek(s Socket, p []byte) (n int, err error) {
	c := t.conns[s]
	if controlErr := c.raw.Control(func(fd uintptr) { n, err = peekFD(int(fd), p) }); controlErr != nil {
		return 0, controlErr
	}
	if n < len(p) && err != io.EOF {
		c.seen.Store(int32(n))
		c.waitForNext()
	}
	return n, err
}

func (t *goroutineTransport) NotifyWritable(s Socket, token uint64) error {
	c := t.conns[s]
	t.running.Go(func() {
		err := c.raw.Write(func(fd uintptr) bool {
			ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}, 0)
			return ready > 0 || err != nil && err != unix.EINTR
		})
		if err == nil {
			t.post(Event{Token: token, Ready: Writable})
		}
	})
	return nil
}

func (t *goroutineTransport) CloseWrite(s Socket) {
	if c, ok := t.conns[s].Conn.(interface{ CloseWrite() error }); ok {
		c.CloseWrite()
	}
}

func (t *goroutineTransport) Close(s Socket) {
	c := t.conns[s]
	close(c.closed)
	c.Conn.Close()
	t.conns[s] = nil
	t.free = append(t.free, s)
}

func (t *goroutineTransport) CloseListener() error {
	if t.closed {
		return nil
	}
	t.closed = true
	return t.listener.Close()
}

func (t *goroutineTransport) Shutdown() {
	close(t.stop)
	t.running.Wait()
	select {
	case a := <-t.arrived: // accepted but never taken
		if a.conn != nil {
			a.conn.Close()
		}
	default:
	}
}
