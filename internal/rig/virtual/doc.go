// Package virtual plays fleets in virtual time: discrete events, seeded, the
// real decision module in every node, boxes with cores, queues, cold starts,
// choking and a tier below, a lagging list, and the judge of package judge.
//
// A run owns all of its state and uses one goroutine; the same configuration
// gives the same result. It does no I/O and reads no clock. It is for what
// sockets on one machine cannot reach: thousands of nodes, ten thousand boxes,
// and many seeds of the same day. It must not decide anything that a node
// decides, nor let a node see what a real one could not.
package virtual
