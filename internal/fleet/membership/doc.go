// Package membership maintains an agreed view of which nodes of a fleet are alive.
//
// Each node runs one Node. Every member is monitored by several watchers, assigned
// pseudo-randomly as the edges of an expander graph. A watcher that has had no contact for a
// while sends an alert that accuses the member, and withdraws it on the next contact. Alerts
// spread by gossip. Enough alerts from different watchers lead to a proposal, which a majority
// of the current view decides by Paxos. So views are numbered, there is one view per number,
// and a minority can change nothing.
//
// Three states of a member are kept apart: reachable from this node (this node's own
// monitoring edges), alive by agreement (in the view), and removed (with the reason).
//
// The package is pure: messages, ticks and the current time are inputs, messages and events
// are outputs. A Node belongs to one goroutine. A View is immutable and may be shared. Times
// are readings of a monotonic clock; the wall clock is not used.
//
// The package must not open sockets, write files, or know what the view is used for.
//
// Sources: Das, Gupta, Motivala, "SWIM", 2002 (probing, gossip, refutation); Dadgar,
// Phillips, Currey, "Lifeguard", 2017 (local health: suspect oneself first); Suresh and
// others, "Stable and Consistent Membership at Scale with Rapid", 2018 (many watchers, two
// watermarks, views by consensus with counted votes); Lamport, "Paxos Made Simple", 2001
// (the decision).
package membership
