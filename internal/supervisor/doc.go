// Package supervisor runs a sidecar's application as its child process: it starts the
// application once the sidecar serves, restarts it when it dies, and returns when it has ended
// for good.
//
// Run owns the child process. The package knows nothing of nodes, and sends the application
// nothing but signals.
package supervisor
