// Package standin simulates the environment of a node on loopback sockets: servers, discovery and clients
// that follow the platform's protocol, with scripted faults. Tests and curlewctl lab use it; a node cannot
// tell it from the real environment.
//
// A Fleet owns the servers and the discovery services, and one goroutine drives it. Server, Discovery and
// LoadGenerator synchronize their own state. They report what they observe to package judge. All random draws
// derive from one seed, all sockets listen on 127.0.0.0/8 only, and Close ends every goroutine.
//
// The package must know nothing about the nodes except their addresses and names, and must not share code
// with them.
package standin
