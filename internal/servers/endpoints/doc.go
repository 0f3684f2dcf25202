// Package endpoints judges what discovery says of the servers: which of its word to
// believe at once, which to let wait, and when to ask again.
//
// A View is between the lists that come and the loop that carries them out. Word that a
// server drains or is gone is passed on in the same call, whoever is wrong: the protocol
// leaves no doubt about it. Only good news may wait, and always ends doing so by itself.
// Signs say when to ask early, Asking when to ask first and how long to wait.
//
// It is pure: lists and time come in, changes go out. A View belongs to the loop. It must
// not choose servers, nor make calls.
package endpoints
