// Package background decides when work runs that nobody waits for: closing what has
// expired, taking in a long list, giving buffers back.
//
// Its job is to share a small part of one core out among jobs, by priority, deadline
// and age, and to make that part smaller when live traffic waits. It is pure: time and
// what was measured come in, grants go out. A Core belongs to one goroutine or lock;
// internal/node/worker drives it.
//
// It must not run anything, and nothing that a client waits for may be a job.
package background
