// Package timerwheel manages millions of timers in a hierarchical timer wheel.
//
// It reports which timers are due. The caller identifies timers by small numbers of its
// own (a slot in a table, for example). A timer takes eight bytes, and the cost of setting,
// resetting or cancelling one does not depend on the number of timers.
//
// It is pure: times come in, timer numbers go out. A Wheel must be used by one goroutine.
//
// It calls nothing when a timer is due and gives timers no meaning.
package timerwheel
