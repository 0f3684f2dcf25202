// Package endpoints processes the server lists that a node receives from discovery. It decides which changes take
// effect at once, which ones are delayed, and when discovery is called.
//
// View turns lists into changes for the node's event loop. StalenessDetector and CallTiming determine when to fetch a
// list early, when a starting node makes its first call, and how long a call may take. CallPacer and PollSchedule
// determine when the next call starts and how long a long poll may wait. Confirmation tracks until when the node's
// list counts as up to date.
//
// Reports that a server drains or is gone are published in the call that receives them, even if the report is wrong:
// the protocol requires it. Only reports that a server is serving may be delayed, and each delay is bounded.
//
// The package does no I/O and reads no clock: lists and times are passed in, and changes are returned. A View is not
// safe for concurrent use; it belongs to the event loop. The package doesn't choose servers for requests and makes no
// calls.
package endpoints
