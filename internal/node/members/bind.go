package members

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// maxBindAttempts bounds the search for a port that is free for both UDP and TCP.
const maxBindAttempts = 16

// bind opens a UDP and a TCP socket at the same address. A port that the system chooses for UDP may
// be in use for TCP; bind then retries with another one. An explicitly named port is tried once.
func bind(addr netip.AddrPort, listenTCP func(netip.AddrPort) (*net.TCPListener, error)) (*net.UDPConn, *net.TCPListener, error) {
	for attempt := 1; ; attempt++ {
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return nil, nil, fmt.Errorf("members: %w", err)
		}
		tcp, err := listenTCP(udp.LocalAddr().(*net.UDPAddr).AddrPort())
		if err == nil {
			return udp, tcp, nil
		}
		udp.Close()
		if addr.Port() != 0 || attempt == maxBindAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, fmt.Errorf("members: %w", err)
		}
	}
}

// listenTCP opens a TCP listener.
func listenTCP(addr netip.AddrPort) (*net.TCPListener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}
