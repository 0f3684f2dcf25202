//go:build !linux

package front

import "net"

// NewTransport makes the transport that fits the system.
func NewTransport(l net.Listener) (Transport, error) { return NewGoroutineTransport(l) }
