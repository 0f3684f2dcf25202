// Package members simulates the membership protocol of many nodes in virtual time: each node runs the real membership
// core, and the simulated network between them loses, delays, duplicates and, per direction, drops messages. Processes
// can be paused, killed and restarted with or without their persisted state.
//
// A Net owns its nodes and its clock and belongs to one goroutine. All randomness comes from one seed, so the same
// configuration and script give the same run. The Net records every view that any node adopts; its checks use that
// record, never one node's opinion of another. swim.go is the control: plain SWIM as published, on the same network.
//
// The package must not take any membership decision itself.
package members
