// Package membudget accounts for the memory that client connections use and reports when
// it runs short.
//
// It is pure, and a Budget must be used by one goroutine, the front's. It frees no memory
// and refuses no request: it only reports the level of use, and the code that holds the
// memory acts on it.
package membudget
