// Package consensus keeps a log that a majority of some voters agrees on. The agreement is
// go.etcd.io/raft's, with pre-vote and check-quorum; this package drives it, and says what
// must be on disk before what leaves.
//
// A Voter is one voter's part: ticks, messages and proposals come in; Work comes out, in
// which what is to be saved stands apart from what may only go out afterwards. It is pure: no
// I/O, no clock, no goroutine, and elections are drawn by a seed, so a schedule plays the same
// again. A Voter belongs to one goroutine.
//
// A voter is its disk: its number is drawn with it, and one whose disk is lost comes back as
// another, which has no vote until the others take it in. One whose disk is older than it was
// finds that out before it votes: each start is counted on the voter's own disk and on the
// others', and a voter whose count is behind theirs gives its number up.
//
// It must not know what the entries say.
//
// Sources: Ongaro, "Consensus: Bridging Theory and Practice", 2014 (the log, pre-vote 9.6,
// check-quorum 6.2, changes of one voter 4.3).
package consensus
