// Package lease implements leases: exclusive, time-limited rights to a task that only one node of the fleet does at a
// time.
//
// A StateMachine is the replicated state. It applies commands in the order of an agreed log, so the same commands
// give the same state on each voter, and it knows nothing of time. An ExpiryTracker runs on the leader: by its own
// clock it finds the leases and waiters that have expired and returns commands for the log. A Guard runs at the
// holder: by its own clock it decides whether an act may begin. A Client drives a holder's side of one lease, and a
// Watchdog decides when a command that runs under a lease must end.
//
// All of them are pure: no I/O, no goroutines. A StateMachine belongs to the goroutine that applies the log, an
// ExpiryTracker to the leader's loop, a Guard to the owner of the task. Clocks are never compared with each other;
// the only assumption is that the speeds of any two differ by less than Timing.ClockDrift.
//
// The package opens no socket, writes no file and reaches no agreement: another package owns the log.
//
// Sources: Gray, Cheriton, "Leases", 1989 (terms; the holder counts from before its request); Burrows, "The Chubby
// lock service", 2006 (sequencers, lock-delay); Kleppmann, "How to do distributed locking", 2016 (fencing tokens);
// Ongaro, "Consensus: Bridging Theory and Practice", 2014, 6.3 (client sessions, repeated requests).
package lease
