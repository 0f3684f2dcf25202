// Package membership agrees among the nodes on who is alive.
//
// A Node is one node's part. Each member is watched by several others, drawn by a seed
// as the edges of an expander. A watcher that has no contact for a while accuses, and takes
// that back with the next contact. Accusations spread by gossip; enough of them, from
// different watchers, make a proposal, and a majority of the present view decides on it: so
// views have numbers, and of each number there is one. A minority changes nothing.
//
// Three things are told apart: reachable from here (this node's own edges), alive by
// agreement (in the view), and gone (taken out, with the reason).
//
// It is pure: messages, ticks and time come in; messages and events go out. A Node belongs
// to one goroutine; a View is never written to once it is made, and may be shared. Times
// are of a clock that only grows; the wall clock plays no part.
//
// It must not open a socket, keep a file, or know what the nodes use a view for.
//
// Sources: Das, Gupta, Motivala, "SWIM", 2002 (probing, gossip, refutation); Dadgar,
// Phillips, Currey, "Lifeguard", 2017 (doubt of oneself first); Suresh and others, "Stable
// and Consistent Membership at Scale with Rapid", 2018 (many watchers, two watermarks, views
// by consensus with counted votes); Lamport, "Paxos Made Simple", 2001 (the decision).
package membership
