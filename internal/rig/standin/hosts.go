package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
)

// Loopback addresses of stand-ins: 127.64.0.1 to 127.191.249.250, in blocks of 250.
const (
	firstHostNetwork  = 64  // second byte of the first block's addresses
	hostNetworks      = 128 // values of the second byte
	blocksPerNetwork  = 250 // values of the third byte
	hostsPerBlock     = 250
	reservationPort   = 9641 // UDP port whose binding at a block's address 0 reserves the block
	maxBlockAttempts  = 1000
	reservedBlockHost = 0 // last byte of the address that reserves a block; it is handed out to nobody
)

// errNoFreeBlock means that all blocks of loopback addresses that were tried are in use.
var errNoFreeBlock = errors.New("no free block of loopback addresses")

// hostBlock is a block of loopback addresses.
type hostBlock struct{ network, subnet int }

// address returns an address of the block.
func (b hostBlock) address(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstHostNetwork+b.network, b.subnet, number)
}

// hostAllocator hands out loopback addresses that nobody else on the machine has until it is closed. It reserves
// whole blocks by a socket that it keeps open, so the kernel keeps the allocators of this process and of others
// apart, and a process that is killed leaves no reservation behind.
type hostAllocator struct {
	mu           sync.Mutex // guards the fields below
	reservations []net.PacketConn
	block        hostBlock // the last block that was reserved
	used         int       // addresses of that block that were handed out
}

// next returns an address that has not been handed out yet.
func (a *hostAllocator) next() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.reservations) == 0 || a.used == hostsPerBlock {
		if err := a.reserveAnyBlock(); err != nil {
			return "", err
		}
	}
	a.used++
	return a.block.address(a.used), nil
}

// reserveAnyBlock reserves a block that is free. The mutex is held.
func (a *hostAllocator) reserveAnyBlock() error {
	for range maxBlockAttempts {
		block := hostBlock{rand.IntN(hostNetworks), rand.IntN(blocksPerNetwork)}
		err := a.reserve(block)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return fmt.Errorf("%w after %d attempts", errNoFreeBlock, maxBlockAttempts)
}

// reserve reserves a block, whose addresses are handed out next. The mutex is held.
func (a *hostAllocator) reserve(block hostBlock) error {
	address := net.JoinHostPort(block.address(reservedBlockHost), fmt.Sprint(reservationPort))
	reservation, err := net.ListenPacket("udp4", address)
	if err != nil {
		return fmt.Errorf("reserving loopback addresses: %w", err)
	}
	a.reservations = append(a.reservations, reservation)
	a.block, a.used = block, 0
	return nil
}

// close gives up all addresses.
func (a *hostAllocator) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, reservation := range a.reservations {
		reservation.Close()
	}
	a.reservations = nil
}
