// Package timerwheel keeps timers by the million.
//
// Its job is to say which timers are due. The owner names them by small numbers of
// its own (a slot in a table, say), so that a timer costs eight bytes, and arming,
// arming anew and cancelling cost the same few writes however many there are.
//
// It is pure: time comes in, numbers go out. It belongs to one goroutine.
//
// It must not call anything when a timer is due, nor decide what a timer means.
package timerwheel
