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
type waiting struct {
	listener net.Listener
	batches
	wake    chan struct{}
	permits chan struct{} // to accept one connection ahead
	arrived chan arrival
	ended   sync.WaitGroup

	mu   sync.Mutex
	told []Event

	// The owner's.
	listens bool
	granted bool // a permit is out, or what came of it waits
	closed  bool
	conns   []*waitingConn // by socket
	free    []Socket
}

type arrival struct {
	conn net.Conn
	err  error
}

// waitingConn is a connection and what its goroutine goes by.
type waitingConn struct {
	net.Conn
	raw   syscall.RawConn
	again chan struct{} // the last event has been used up: wait for the next

	gone chan struct{}
}

// NewWaiting makes a transport of a listener, which it owns from then on.
func NewGoroutineTransport(l net.Listener) (Transport, error) {
	t := &waiting{
		listener: l, batches: newBatches(),
		wake: make(chan struct{}, 1), permits: make(chan struct{}, 1), arrived: make(chan arrival, 1),
	}
	t.ended.Go(t.run)
	t.ended.Go(t.accept)
	return t, nil
}

// accept takes one connection for each permit.
func (t *waiting) accept() {
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
		t.arrived <- arrival{c, err}
		t.tell(Event{Token: listenerToken, Ready: Acceptable})
	}
}

// tell queues an event. It does not block.
func (t *waiting) tell(e Event) {
	t.mu.Lock()
	t.told = append(t.told, e)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run brings batches until the transport is shut.
func (t *waiting) run() {
	defer close(t.out)
	var batch []Event
	for {
		select {
		case <-t.wake:
		case <-t.stop:
			return
		}
		t.mu.Lock()
		batch, t.told = t.told, batch[:0]
		t.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if !t.deliver(batch) {
			return
		}
	}
}

func (t *waiting) SetAccepting(on bool) {
	t.listens = on
	switch {
	case !on || t.closed:
	case len(t.arrived) > 0:
		t.tell(Event{Token: listenerToken, Ready: Acceptable})
	case !t.granted:
		t.granted = true
		t.permits <- struct{}{}
	}
}

func (t *waiting) Accept() (Socket, netip.Addr, error) {
	var none netip.Addr
	select {
	case a := <-t.arrived:
		t.granted = false
		t.SetAccepting(t.listens)
		if a.err != nil {
			return 0, none, fmt.Errorf("accepting: %w", a.err)
		}
		return t.enter(a.conn)
	default:
		return 0, none, ErrWouldBlock
	}
}

func (t *waiting) enter(nc net.Conn) (Socket, netip.Addr, error) {
	var from netip.Addr
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		return 0, from, fmt.Errorf("accepting: %w", err)
	}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		from = a.AddrPort().Addr()
	}
	c := &waitingConn{Conn: nc, raw: raw, again: make(chan struct{}, 1), gone: make(chan struct{})}
	if n := len(t.free); n > 0 {
		s := t.free[n-1]
		t.free = t.free[:n-1]
		t.conns[s] = c
		return s, from, nil
	}
	t.conns = append(t.conns, c)
	return Socket(len(t.conns) - 1), from, nil
}

func (t *waiting) RemoteAddr(s Socket) netip.Addr {
	if a, ok := t.conns[s].RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// Open starts the connection's goroutine.
func (t *waiting) Register(s Socket, token uint64) error {
	c := t.conns[s]
	t.ended.Go(func() {
		// Whether there is something is looked at, not waited for alone: what came
		// between two waits makes no new event.
		look := func(fd uintptr) bool { return peek(int(fd)) != ErrWouldBlock }
		for {
			if c.raw.Read(look) != nil {
				return // closed
			}
			t.tell(Event{Token: token, Ready: Readable})
			select {
			case <-c.again:
			case <-c.gone:
				return
			}
		}
	})
	return nil
}

// usedUp lets the goroutine wait for the next event.
func (c *waitingConn) usedUp() {
	select {
	case c.again <- struct{}{}:
	default:
	}
}

func (t *waiting) EnableKeepAlive(Socket) {} // net.Listen's own probes hold

func (t *waiting) Read(s Socket, p []byte) (n int, err error) {
	c := t.conns[s]
	if wrong := c.raw.Control(func(fd uintptr) { n, err = read(int(fd), p) }); wrong != nil {
		return 0, wrong
	}
	if n < len(p) && err != io.EOF {
		c.usedUp()
	}
	return n, err
}

func (t *waiting) Write(s Socket, p []byte) (n int, err error) {
	if wrong := t.conns[s].raw.Control(func(fd uintptr) { n, err = write(int(fd), p) }); wrong != nil {
		return 0, wrong
	}
	return n, err
}

func (t *waiting) Peek(s Socket) (err error) {
	c := t.conns[s]
	if wrong := c.raw.Control(func(fd uintptr) { err = peek(int(fd)) }); wrong != nil {
		return wrong
	}
	if err == ErrWouldBlock {
		c.usedUp()
	}
	return err
}

func (t *waiting) NotifyWritable(s Socket, token uint64) error {
	c := t.conns[s]
	t.ended.Go(func() {
		err := c.raw.Write(func(fd uintptr) bool {
			ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}, 0)
			return ready > 0 || err != nil && err != unix.EINTR
		})
		if err == nil {
			t.tell(Event{Token: token, Ready: Writable})
		}
	})
	return nil
}

func (t *waiting) CloseWrite(s Socket) {
	if c, ok := t.conns[s].Conn.(interface{ CloseWrite() error }); ok {
		c.CloseWrite()
	}
}

func (t *waiting) Close(s Socket) {
	c := t.conns[s]
	close(c.gone)
	c.Conn.Close()
	t.conns[s] = nil
	t.free = append(t.free, s)
}

func (t *waiting) CloseListener() error {
	if t.closed {
		return nil
	}
	t.closed = true
	return t.listener.Close()
}

func (t *waiting) Shutdown() {
	close(t.stop)
	t.ended.Wait()
	select {
	case a := <-t.arrived: // accepted for nobody
		if a.conn != nil {
			a.conn.Close()
		}
	default:
	}
}
