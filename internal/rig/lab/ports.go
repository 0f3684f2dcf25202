package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Range of the ports that are picked: below the ephemeral ports, so that no socket opened in the meantime is given
// one of them.
const (
	firstPickedPort = 10_000
	pickedPorts     = 20_000
	maxPortAttempts = 50
)

// portPicker picks ports for processes that are started later. It picks no address twice, since a port is free
// until its process binds it.
type portPicker struct {
	mu     sync.Mutex // guards picked
	picked map[netip.AddrPort]bool
}

// pick returns an address of a host whose port is free for both UDP and TCP.
func (p *portPicker) pick(host string) (netip.AddrPort, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxPortAttempts {
		address := netip.AddrPortFrom(ip, uint16(firstPickedPort+rand.IntN(pickedPorts)))
		if p.picked[address] {
			continue
		}
		if err = checkPortFree(address); err == nil {
			if p.picked == nil {
				p.picked = map[netip.AddrPort]bool{}
			}
			p.picked[address] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no free port at %s after %d attempts: %w", host, maxPortAttempts, err)
}

// checkPortFree binds a port for UDP and TCP and releases it.
func checkPortFree(address netip.AddrPort) error {
	// A child forked in the meantime would hold copies of the sockets, and so the port, until its exec.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Join(err, udp.Close())
	}
	return errors.Join(udp.Close(), tcp.Close())
}
