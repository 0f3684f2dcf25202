package front

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	batchSize = 128

	// TCP keepalive detects a parked peer that has vanished: after keepAliveIdleSeconds of silence
	// it sends a probe every keepAliveIntervalSeconds, and after keepAliveProbes unanswered ones
	// the connection is reset.
	keepAliveIdleSeconds, keepAliveIntervalSeconds, keepAliveProbes = 300, 30, 4

	edgeTriggered = unix.EPOLLIN | unix.EPOLLRDHUP | 1<<31 // EPOLLET, which package unix defines as a negative number
)

// epollTransport is a Transport over edge-triggered epoll(7): it takes one system call to register
// a connection and none to wait for it. The epoll descriptor itself is registered with Go's poller,
// so no thread blocks in epoll_wait.
type epollTransport struct {
	fd         int
	file       *os.File // owns fd
	raw        syscall.RawConn
	listener   net.Listener
	listenerFD int // the listener's descriptor; -1 once the listener is closed
	accepting  bool
	batchQueue
	running sync.WaitGroup
	events  [batchSize]unix.EpollEvent
	batch   [batchSize]Event
}

// NewEpoll returns an epoll transport for a listener. The transport owns the listener from then on.
func NewEpoll(l net.Listener) (Transport, error) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("front: listener of type %T has no descriptor", l)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("front: getting the listener's descriptor: %w", err)
	}
	t := &epollTransport{listener: l, batchQueue: newBatches()}
	if err := raw.Control(func(fd uintptr) { t.listenerFD = int(fd) }); err != nil {
		return nil, fmt.Errorf("front: getting the listener's descriptor: %w", err)
	}
	if t.fd, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("front: epoll: %w", err)
	}
	if err := unix.SetNonblock(t.fd, true); err != nil { // lets os.NewFile use Go's poller
		unix.Close(t.fd)
		return nil, fmt.Errorf("front: epoll: %w", err)
	}
	t.file = os.NewFile(uintptr(t.fd), "epoll")
	if t.raw, err = t.file.SyscallConn(); err != nil {
		t.file.Close()
		return nil, fmt.Errorf("front: epoll: %w", err)
	}
	if err := t.epollCtl(unix.EPOLL_CTL_ADD, t.listenerFD, 0, listenerToken); err != nil {
		t.file.Close()
		return nil, fmt.Errorf("front: epoll: %w", err)
	}
	t.running.Go(t.run)
	return t, nil
}

func (t *epollTransport) epollCtl(op, fd int, events uint32, token uint64) error {
	return unix.EpollCtl(t.fd, op, fd, &unix.EpollEvent{
		Events: events, Fd: int32(uint32(token)), Pad: int32(uint32(token >> 32)),
	})
}

// run delivers batches of events until the transport is shut down.
func (t *epollTransport) run() {
	defer close(t.out)
	var n int
	var failed error
	wait := func(uintptr) bool {
		for {
			n, failed = unix.EpollWait(t.fd, t.events[:], 0)
			if failed != unix.EINTR {
				return n != 0
			}
		}
	}
	for {
		if err := t.raw.Read(wait); err != nil || failed != nil {
			return // the epoll file is closed
		}
		for i := range n {
			epollEvent := &t.events[i]
			event := Event{Token: uint64(uint32(epollEvent.Fd)) | uint64(uint32(epollEvent.Pad))<<32}
			if event.Token == listenerToken {
				event.Ready = Acceptable
			} else {
				if epollEvent.Events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 {
					event.Ready |= Readable
				}
				if epollEvent.Events&unix.EPOLLRDHUP != 0 {
					event.Ready |= PeerEnded
				}
				if epollEvent.Events&unix.EPOLLOUT != 0 {
					event.Ready |= Writable
				}
				if epollEvent.Events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
					event.Ready |= ConnReset
				}
			}
			t.batch[i] = event
		}
		if !t.deliver(t.batch[:n]) {
			return
		}
	}
}

func (t *epollTransport) SetAccepting(on bool) {
	if t.listenerFD < 0 || on == t.accepting {
		return
	}
	events := uint32(0)
	if on {
		// Level-triggered, so that connections that are already waiting are reported too, as are
		// those that Accept couldn't take for lack of descriptors.
		events = unix.EPOLLIN
	}
	if t.epollCtl(unix.EPOLL_CTL_MOD, t.listenerFD, events, listenerToken) == nil {
		t.accepting = on
	}
}

func (t *epollTransport) Accept() (Socket, netip.Addr, error) {
	for t.listenerFD >= 0 {
		fd, from, err := unix.Accept4(t.listenerFD, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			address := addressOf(from)
			if address.IsValid() {
				// Responses are written in one piece, so there is nothing for Nagle's algorithm to
				// wait for.
				unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
			}
			return Socket(fd), address, nil
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EAGAIN:
			return 0, netip.Addr{}, ErrWouldBlock
		}
		return 0, netip.Addr{}, fmt.Errorf("accepting a connection: %w", err)
	}
	return 0, netip.Addr{}, net.ErrClosed
}

func addressOf(from unix.Sockaddr) netip.Addr {
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(a.Addr)
	}
	return netip.Addr{}
}

func (t *epollTransport) RemoteAddr(s Socket) netip.Addr {
	from, err := unix.Getpeername(int(s))
	if err != nil {
		return netip.Addr{} // the peer has disconnected
	}
	return addressOf(from)
}

func (t *epollTransport) Register(s Socket, token uint64) error {
	return t.epollCtl(unix.EPOLL_CTL_ADD, int(s), edgeTriggered, token)
}

func (t *epollTransport) EnableKeepAlive(s Socket) {
	for _, option := range [...][3]int{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdleSeconds},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalSeconds},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
	} {
		if unix.SetsockoptInt(int(s), option[0], option[1], option[2]) != nil {
			return // unix socket: its peer can't vanish
		}
	}
}

func (t *epollTransport) Read(s Socket, p []byte) (int, error)  { return readFD(int(s), p) }
func (t *epollTransport) Write(s Socket, p []byte) (int, error) { return writeFD(int(s), p) }
func (t *epollTransport) Peek(s Socket, p []byte) (int, error)  { return peekFD(int(s), p) }

// NotifyWritable modifies the registration, which also reports what the socket is ready for
// already.
func (t *epollTransport) NotifyWritable(s Socket, token uint64) error {
	return t.epollCtl(unix.EPOLL_CTL_MOD, int(s), edgeTriggered|unix.EPOLLOUT, token)
}

func (t *epollTransport) CloseWrite(s Socket) { unix.Shutdown(int(s), unix.SHUT_WR) }

// Close closes the connection. The kernel removes its descriptor from the epoll instance.
func (t *epollTransport) Close(s Socket) { unix.Close(int(s)) }

func (t *epollTransport) CloseListener() error {
	if t.listenerFD < 0 {
		return nil
	}
	t.epollCtl(unix.EPOLL_CTL_DEL, t.listenerFD, 0, 0)
	t.listenerFD = -1
	return t.listener.Close()
}

func (t *epollTransport) Shutdown() {
	close(t.stop)
	t.file.Close()
	t.running.Wait()
}
