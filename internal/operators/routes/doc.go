// Package routes parses the operators' timing rules, checks them against the platform's
// settings and the four rules, and compiles them into the policies that package decide
// applies.
//
// It is pure: text and settings come in, a table and findings go out. It does no I/O, reads
// no clock, starts no goroutines and keeps no state between calls. A Table is immutable once
// compiled and may be shared.
//
// Choosing servers, retrying and refusing requests is left to package decide.
package routes
