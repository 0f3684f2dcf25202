package members

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// A port that the system chose for UDP may be in use for TCP: bind must retry with another port,
// but only a bounded number of times, and not if the port was named.
func TestBindRetriesOnAnotherPort(t *testing.T) {
	const anyPort, named = "127.0.0.1:0", "127.77.0.1:7946" // no other test uses the second address
	for name, c := range map[string]struct {
		addr                string
		inUse, wantAttempts int // how often TCP's port is in use, and how often bind tries
		wantBound           bool
	}{
		"free at once":     {anyPort, 0, 1, true},
		"in use twice":     {anyPort, 2, 3, true},
		"always in use":    {anyPort, 1000, maxBindAttempts, false},
		"named and in use": {named, 1, 1, false},
	} {
		attempts, offered := 0, uint16(0)
		udp, tcp, err := bind(netip.MustParseAddrPort(c.addr), func(addr netip.AddrPort) (*net.TCPListener, error) {
			if attempts++; attempts <= c.inUse {
				return nil, syscall.EADDRINUSE
			}
			offered = addr.Port()
			return listenTCP(netip.MustParseAddrPort(anyPort)) // another process may use the offered port by now
		})
		if (err == nil) != c.wantBound || attempts != c.wantAttempts || err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s: error %v after %d attempts, want bound %v after %d", name, err, attempts, c.wantBound, c.wantAttempts)
		}
		if err == nil {
			if port := udp.LocalAddr().(*net.UDPAddr).AddrPort().Port(); port != offered {
				t.Errorf("%s: UDP has port %d, TCP was offered port %d", name, port, offered)
			}
			udp.Close()
			tcp.Close()
		}
	}
}
