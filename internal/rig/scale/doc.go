// Package scale measures what the control plane of a fleet costs at several sizes, fits how each cost grows with the
// size, and compares the cost at the planned size with its limit.
//
// The samples come from the real pure cores: the membership protocol and the lease log in virtual time, the server
// view and the balancer with lists of growing length, long polls at a registry of fixed capacity. A Fit names the
// growth that describes the samples best, with its residual. A Report holds all figures with a verdict on each: within
// the limit, over it, or no limit stated. RunFleet measures real node processes among simulated nodes on loopback
// sockets.
//
// The package must not take any decision about the fleet. The samples of a Report need no sockets.
package scale
