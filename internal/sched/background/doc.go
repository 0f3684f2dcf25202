// Package background schedules work that no client waits for: closing expired connections,
// applying a long list, releasing buffers.
//
// It divides a small share of one core among jobs by priority, deadline and waiting time,
// and reduces that share while live traffic is delayed. It is pure: times and measurements
// come in, grants go out. A Scheduler must be used by one goroutine or under a lock;
// internal/node/worker drives it.
//
// It runs nothing itself. Work that a client waits for must not be a job.
package background
