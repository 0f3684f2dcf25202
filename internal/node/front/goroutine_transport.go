package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// waiting is a Transport with a goroutine a connection, which waits for bytes without
// a buffer. It is for systems that have no epoll, and what epoll is measured against:
// a parked connection costs a stack more.
type goroutineTransport struct {
	listener net.Listener
	batchQueue
	wake    chan struct{}
	permits chan struct{} // to accept one connection ahead
	arrived chan acceptResult
	running sync.WaitGroup

	mu      sync.Mutex
	pending []Event

	// The owner's.
	accepting    bool
	permitIssued bool // a permit is out, or what came of it waits
	closed       bool
	conns        []*goroutineConn // by socket
	free         []Socket
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// waitingConn is a connection and what its goroutine goes by.
type goroutineConn struct {
	net.Conn
	raw   syscall.RawConn
	rearm chan struct{} // the last event has been used up: wait for the next

	closed chan struct{}
}

// NewWaiting makes a transport of a listener, which it owns from then on.
func NewGoroutineTransport(l net.Listener) (Transport, error) {
	t := &goroutineTransport{
		listener: l, batchQueue: newBatches(),
		wake: make(chan struct{}, 1), permits: make(chan struct{}, 1), arrived: make(chan acceptResult, 1),
	}
	t.running.Go(t.run)
	t.running.Go(t.accept)
	return t, nil
}

// accept takes one connection for each permit.
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

// tell queues an event. It does not block.
func (t *goroutineTransport) post(e Event) {
	t.mu.Lock()
	t.pending = append(t.pending, e)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run brings batches until the transport is shut.
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
	var none netip.Addr
	select {
	case a := <-t.arrived:
		t.permitIssued = false
		t.SetAccepting(t.accepting)
		if a.err != nil {
			return 0, none, fmt.Errorf("accepting: %w", a.err)
		}
		return t.addConn(a.conn)
	default:
		return 0, none, ErrWouldBlock
	}
}

func (t *goroutineTransport) addConn(nc net.Conn) (Socket, netip.Addr, error) {
	var from netip.Addr
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		return 0, from, fmt.Errorf("accepting: %w", err)
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

// Open starts the connection's goroutine.
func (t *goroutineTransport) Register(s Socket, token uint64) error {
	c := t.conns[s]
	t.running.Go(func() {
		// Whether there is something is looked at, not waited for alone: what came
		// between two waits makes no new event.
		look := func(fd uintptr) bool { return peekFD(int(fd)) != ErrWouldBlock }
		for {
			if c.raw.Read(look) != nil {
				return // closed
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

// usedUp lets the goroutine wait for the next event.
func (c *goroutineConn) waitForNext() {
	select {
	case c.rearm <- struct{}{}:
	default:
	}
}

func (t *goroutineTransport) EnableKeepAlive(Socket) {} // net.Listen's own probes hold

func (t *goroutineTransport) Read(s Socket, p []byte) (n int, err error) {
	c := t.conns[s]
	if wrong := c.raw.Control(func(fd uintptr) { n, err = readFD(int(fd), p) }); wrong != nil {
		return 0, wrong
	}
	if n < len(p) && err != io.EOF {
		c.waitForNext()
	}
	return n, err
}

func (t *goroutineTransport) Write(s Socket, p []byte) (n int, err error) {
	if wrong := t.conns[s].raw.Control(func(fd uintptr) { n, err = writeFD(int(fd), p) }); wrong != nil {
		return 0, wrong
	}
	return n, err
}

func (t *goroutineTransport) Peek(s Socket) (err error) {
	c := t.conns[s]
	if wrong := c.raw.Control(func(fd uintptr) { err = peekFD(int(fd)) }); wrong != nil {
		return wrong
	}
	if err == ErrWouldBlock {
		c.waitForNext()
	}
	return err
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
	case a := <-t.arrived: // accepted for nobody
		if a.conn != nil {
			a.conn.Close()
		}
	default:
	}
}
