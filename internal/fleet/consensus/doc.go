// Package consensus keeps a log that a majority of voters agrees on. It drives go.etcd.io/raft, with pre-vote and
// check-quorum, and determines what must be on disk before messages are sent.
//
// A Voter is one voter. Its inputs are ticks, messages and proposals. Its output is a Ready, which separates what
// must be saved first from what may only be done afterwards. It is pure: it has no I/O, no clock and no goroutine,
// and election timeouts are drawn from a seed, so that a run can be repeated exactly. A Voter is used by one
// goroutine.
//
// A voter's identity is tied to its disk: its ID is drawn when the disk is initialized. A node whose disk is lost
// returns as a new voter, which has no vote until the others add it. A voter that runs on an older copy of its
// disk detects this before it votes: each start is counted on the voter's own disk and on those of the others, and
// a voter whose count is behind theirs gives up its ID.
//
// It must not know what the entries mean.
//
// Sources: Ongaro, "Consensus: Bridging Theory and Practice", 2014 (the log; pre-vote, 9.6; check-quorum, 6.2;
// single-server membership changes, 4.3).
package consensus
