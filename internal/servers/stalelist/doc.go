// Package stalelist determines which servers of a stale list a starting node may try while discovery does not answer.
//
// A Table estimates for each server the probability that it is gone, that is, that no server of its tier is at its
// address any more. The estimate is based on the age of the list, on the results of attempts at other servers, above
// all in the same rack, and on those of attempts at the server itself. The Table offers a few servers at a time, in a
// different order on each node. A server that fails is withdrawn and replaced by the next one. A fresh list is
// offered whole.
//
// The package does no I/O and reads no clock. A Table belongs to the event loop. It doesn't choose the server of a
// request: it determines which servers are available and which of them are untried.
package stalelist
