// Package raftstore keeps a voter's disk in a store: number, starts, state, snapshot and log,
// and a note of its user's beside them.
//
// One Save is one commit of the store, which is read back whole or not at all. What is
// found at the start is looked through: where something is missing that was once
// acknowledged, or may be, the disk is not to be trusted, and its voter must give its
// number up. The store's Whole setting must be on.
//
// It is pure: the store's files are an interface, and time comes in. A Ledger belongs to
// one goroutine, which waits for the disk.
//
// It must not decide who votes, and does not know what entries say.
//
// Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, 3.8 (what must be kept),
// 11.7.3 (disks that forget).
package raftstore
