// Package raftstore keeps a voter's persistent state in a store: its ID, starts, hard state, snapshot and log, and
// a record of the user's beside them.
//
// One Save is one commit of the store, which is read back completely or not at all. The state is checked when it
// is loaded: if something that was acknowledged is missing, or may be, the state must not be trusted, and its
// voter must give up its ID. The store's AtomicCommits setting must be on.
//
// It is pure: the store's files are an interface, and time is an argument. A Store is used by one goroutine, which
// waits for the disk.
//
// It must not decide who votes, and does not know what the entries mean.
//
// Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, 3.8 (persisted state), 11.7.3 (disks that lose
// data).
package raftstore
