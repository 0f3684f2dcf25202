package front

import (
	"errors"
	"net/netip"
)

// Readiness is a set of flags that say what a socket is ready for.
type Readiness uint8

const (
	Readable   Readiness = 1 << iota // bytes have arrived, or the peer has closed its sending side
	Writable                         // only after NotifyWritable
	PeerEnded                        // the peer has closed its sending side; earlier bytes may still be unread
	ConnReset                        // the connection was reset
	Acceptable                       // connections are waiting to be accepted (listener only)
)

// Event reports that a socket became ready. Events are edge-triggered: the receiver has to read
// until nothing is left.
type Event struct {
	Token uint64 // as passed to Register
	Ready Readiness
}

// listenerToken is the token of Acceptable events.
const listenerToken = ^uint64(0)

// ErrWouldBlock is returned by an operation that would have to wait for the socket.
var ErrWouldBlock = errors.New("front: operation would block")

// Socket identifies an open connection of a Transport.
type Socket int32

// Transport is a listener and its connections. No method blocks. All methods but Events are called
// by one goroutine.
type Transport interface {
	// Events delivers batches of events. The receiver calls BatchDone when it has finished with a
	// batch, whose memory is then reused.
	Events() <-chan []Event
	BatchDone()
	// Accept accepts a waiting connection and returns its socket and remote address, which is
	// invalid for unix sockets. If none is waiting, it returns ErrWouldBlock.
	Accept() (Socket, netip.Addr, error)
	// SetAccepting turns Acceptable events on or off. When turned on, it also reports connections
	// that are already waiting.
	SetAccepting(on bool)
	// RemoteAddr returns the remote address of a connection, as returned by Accept.
	RemoteAddr(s Socket) netip.Addr
	// Register makes Events report a connection's events with a token.
	Register(s Socket, token uint64) error
	// EnableKeepAlive turns on infrequent TCP keepalive probes.
	EnableKeepAlive(s Socket)
	// Read and Write make one system call each and return ErrWouldBlock instead of waiting. Read
	// returns io.EOF once the peer has closed its sending side.
	Read(s Socket, p []byte) (int, error)
	Write(s Socket, p []byte) (int, error)
	// Peek is Read without consuming the bytes. If it does not fill p, Events reports it when more
	// bytes have arrived.
	Peek(s Socket, p []byte) (int, error)
	// NotifyWritable requests a Writable event for when the socket accepts more bytes.
	NotifyWritable(s Socket, token uint64) error
	CloseWrite(s Socket)
	Close(s Socket)
	// CloseListener closes the listener. Connections still in its backlog are reset.
	CloseListener() error
	// Shutdown closes the channel of Events. All connections must have been closed before.
	Shutdown()
}
