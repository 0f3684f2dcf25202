// Package membudget is the ledger of the memory that clients' connections take, and
// says when no more of it is to be handed out.
//
// It is pure, and belongs to the front's goroutine. It must not free anything, nor
// refuse: it tells how full things are, and whoever holds memory acts on it.
package membudget
