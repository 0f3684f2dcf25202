// Package virtual is a seeded discrete-event simulation of fleets in virtual time. Every node runs the real
// balancer of package decide. Servers are modelled with cores, queues, cold starts, congestion and an optional
// lower tier; nodes receive the server list with a delay; package judge checks the rules.
//
// A run owns all of its state and uses one goroutine; the same configuration gives the same result. It does no
// I/O and reads no clock. It covers what sockets on one machine cannot: thousands of nodes, ten thousand
// servers, and many seeds of the same scenario. The simulation must not make decisions that belong to a node,
// nor show a node anything that a real one could not see.
package virtual
