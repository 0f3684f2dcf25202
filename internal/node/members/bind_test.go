package members

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// A port that the system chose for one protocol may be taken for the other: another one must be tried, but not where the port
// is named, nor without end.
func TestBindTriesAnotherPort(t *testing.T) {
	const anyPort, named = "127.0.0.1:0", "127.77.0.1:7946" // the second on an address that nobody else here uses
	for name, c := range map[string]struct {
		at          string
		taken, want int // times that TCP's port is taken, and that it is tried
		bound       bool
	}{
		"free at once":    {anyPort, 0, 1, true},
		"taken twice":     {anyPort, 2, 3, true},
		"always taken":    {anyPort, 1000, maxBindAttempts, false},
		"taken and named": {named, 1, 1, false},
	} {
		tried, offered := 0, uint16(0)
		udp, tcp, err := bind(netip.MustParseAddrPort(c.at), func(at netip.AddrPort) (*net.TCPListener, error) {
			if tried++; tried <= c.taken {
				return nil, syscall.EADDRINUSE
			}
			offered = at.Port()
			return listenTCP(netip.MustParseAddrPort(anyPort)) // the port itself may be taken, by whoever else runs here
		})
		if (err == nil) != c.bound || tried != c.want || err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s: %v after %d tries, want bound %v after %d", name, err, tried, c.bound, c.want)
		}
		if err == nil {
			if port := udp.LocalAddr().(*net.UDPAddr).AddrPort().Port(); port != offered {
				t.Errorf("%s: UDP has port %d, TCP was to have %d", name, port, offered)
			}
			udp.Close()
			tcp.Close()
		}
	}
}
