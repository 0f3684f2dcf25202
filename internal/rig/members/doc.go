// Package members plays many nodes' membership in virtual time: the real core of each,
// and between them a network that loses, delays, doubles and cuts by direction, processes
// that stand still, die and start anew with and without what they kept.
//
// A Net owns its nodes and its clock, and belongs to one goroutine. All is drawn from one
// seed: the same configuration and script give the same run. It keeps a history of every
// view that any node had, which is what its checks go by, and hears no node's opinion of
// another. swim.go is a control: plain SWIM as published, on the same network.
//
// It must not decide anything of the membership.
package members
