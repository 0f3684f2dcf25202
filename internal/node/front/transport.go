package front

import (
	"errors"
	"net/netip"
)

// Ready is what a socket is ready for.
type Readiness uint8

const (
	Readable   Readiness = 1 << iota // bytes or the end of the peer's sending
	Writable                         // only after WantWrite
	PeerEnded                        // the peer has ended its sending, whatever bytes of it are still to be read
	ConnReset                        // reset; nothing more will come
	Acceptable                       // connections wait to be accepted; of the listener
)

// Event tells that a socket became ready. An event comes once for each change: who
// gets one reads until there is nothing left.
type Event struct {
	Token uint64 // as given to Open
	Ready Readiness
}

// listenerToken is the token of Arrivals.
const listenerToken = ^uint64(0)

// ErrAgain says that a socket has nothing for now, or takes nothing.
var ErrWouldBlock = errors.New("front: not ready")

// Socket names an open connection of a Transport.
type Socket int32

// Transport is a listener and its connections, none of whose calls block. All but
// Events are called by one goroutine.
type Transport interface {
	// Events delivers what became ready. The receiver calls Done when it is through
	// with a batch, which is used again then.
	Events() <-chan []Event
	BatchDone()
	// Accept takes a connection that waits: its socket and where it is from, which is
	// not valid for unix sockets. ErrAgain: none waits.
	Accept() (Socket, netip.Addr, error)
	// Listen turns Arrivals on or off. Turned on, it tells of those that wait already.
	SetAccepting(on bool)
	// From is the address that Accept has told of a connection.
	RemoteAddr(s Socket) netip.Addr
	// Open has a connection's events told under a token.
	Register(s Socket, token uint64) error
	// Keep has the system look, seldom, whether an idle peer is still there.
	EnableKeepAlive(s Socket)
	// Read and Write are one call each, and return ErrAgain instead of waiting. Read
	// returns io.EOF at the end of the peer's sending.
	Read(s Socket, p []byte) (int, error)
	Write(s Socket, p []byte) (int, error)
	// Peek is a Read of one byte that leaves it there.
	Peek(s Socket) error
	// WantWrite has Writable told once the socket takes more.
	NotifyWritable(s Socket, token uint64) error
	CloseWrite(s Socket)
	Close(s Socket)
	// CloseListener ends the listening; what waits in the backlog is reset.
	CloseListener() error
	// Shut ends Events; all connections have been closed by then.
	Shutdown()
}
