package lab

import (
	"net/netip"
	"testing"
)

// A picked port is free until its process binds it. Two nodes of a lab must not be given the same one.
func TestPortsArePickedOnce(t *testing.T) {
	var ports portPicker
	picked := map[netip.AddrPort]bool{}
	for range 2000 {
		address, err := ports.pick("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		if picked[address] {
			t.Fatalf("%v was picked twice", address)
		}
		picked[address] = true
	}
}
