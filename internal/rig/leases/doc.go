// Package leases simulates packages lease, leaselog and consensus together in virtual time: voters with disks, lease
// clients with clocks of their own, a network that loses, duplicates, delays and cuts messages, and a protected
// resource that records every access. The same seed and schedule give the same run.
//
// The package must not take any lease decision itself; it only transports what those packages send.
package leases
