// Package routes reads the operators' timing rules, checks them against the
// platform's settings and the four rules, and yields the bounds that the
// decision module applies.
//
// It is pure: text and settings come in, a table and findings go out. It does
// no I/O, reads no clock, starts no goroutine, and keeps nothing between calls;
// a Table is never written to once it is compiled, so it may be shared.
//
// It must not choose a server, retry or refuse: that is package decide's.
package routes
