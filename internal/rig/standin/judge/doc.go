// Package judge records what clients, servers and discovery observe, and checks these records against the
// four rules. It takes no input from the nodes.
//
// Times are passed in, relative to any common start, so the same judge works on sockets and in virtual time.
// All methods may be called from any goroutine; one mutex guards the records. The judge must not guess: a
// missed time limit that the machine's own delay, as reported by MachineDelayed, may explain is excused and
// counted.
package judge
