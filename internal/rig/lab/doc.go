// Package lab runs real node processes before a stand-in fleet: it builds and
// starts the binary, sends traffic, plays faults, and reports what came of it.
//
// A Lab owns its child processes, by id, and ends each of them; its methods are
// for one goroutine but for Kill, Start and Reload, which faults and tests call
// while traffic runs. It must not judge: that is package judge's, from what the
// stand-ins saw.
package lab
