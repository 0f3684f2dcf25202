// Package supervisor runs the application that a sidecar stands beside, as its
// child: it starts it once the sidecar serves, starts it again when it dies, and
// tells the sidecar when it has ended for good.
//
// The child's process is owned by Run. The package must not know what a node is,
// and never sends anything to the application but signals.
package supervisor
