// Package lab runs real node processes against a stand-in fleet: it builds and starts the node binary, sends
// traffic, injects faults and reports the results.
//
// A Lab owns its child processes, tracks them by process id and terminates each of them. Its methods must be
// called from one goroutine, except Kill, Start and Reload, which faults and tests call while traffic runs.
// The lab does not decide whether the rules held: package judge does, from what the stand-ins observed.
package lab
