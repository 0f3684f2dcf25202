// Package standin plays the outside of a node on loopback sockets: boxes,
// discovery and callers, as the platform's protocol describes them, with faults
// by script. It is for tests and for curlewctl lab; a node can't tell it from
// the real thing.
//
// A Fleet owns boxes and discovery, and is driven by one goroutine: its owner.
// Each Box, Discovery and the Callers guard their own state. What they see goes
// to package judge. Everything is drawn from one seed, listens on 127.0.0.0/8
// only, and ends with Close; no goroutine outlives that.
//
// It must not know anything of the nodes beyond their address and name, and
// must not share code with them.
package standin
