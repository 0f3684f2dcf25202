//go:build !linux

package front

import "net"

// NewTransport returns the transport for this operating system.
func NewTransport(l net.Listener) (Transport, error) { return NewGoroutineTransport(l) }
