// Package persist keeps what a node remembers on its disk.
//
// Its goroutine, in Run, owns the store and the memory on it, and is the only one that waits
// for the disk. It works when the scheduler grants it a step, so that writing is background
// work like any other; a sync that takes seconds holds up neither the loop nor other jobs.
// What the loop tells waits in a table by server, the newest of each, so it is bounded.
//
// It must not decide what is worth remembering, nor what a memory means: that is package
// recall's and doubt's.
package persist
