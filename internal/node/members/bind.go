package members

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// bindTries bounds the search for a port that is free for both protocols.
const maxBindAttempts = 16

// bind opens a UDP and a TCP socket at one address. A port that the system chooses for UDP may be taken for TCP: then another
// one is tried. A port that is named is tried once.
func bind(at netip.AddrPort, listenTCP func(netip.AddrPort) (*net.TCPListener, error)) (*net.UDPConn, *net.TCPListener, error) {
	for tries := 1; ; tries++ {
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return nil, nil, fmt.Errorf("members: %w", err)
		}
		tcp, err := listenTCP(udp.LocalAddr().(*net.UDPAddr).AddrPort())
		if err == nil {
			return udp, tcp, nil
		}
		udp.Close()
		if at.Port() != 0 || tries == maxBindAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, fmt.Errorf("members: %w", err)
		}
	}
}

// listenTCP opens a TCP socket.
func listenTCP(at netip.AddrPort) (*net.TCPListener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
}
