// Package scale measures what a fleet's control costs at several sizes, fits how each cost grows, and compares what follows
// at a planned size with what is allowed there.
//
// The samples come from the real pure cores: membership in virtual time, the view of the servers and the module over lists
// of growing length, long polls before a registry of fixed capacity. A Fit says which growth describes the samples best and
// how far off it is; a Report holds all rows, and says of each whether the plan holds, does not, or is not known.
//
// The package must not decide anything of the fleet, and opens no sockets.
package scale
