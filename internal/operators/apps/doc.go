// Package apps reads and checks the descriptions of applications with sidecars
// and of the platform that they share, and generates the files that a sidecar's
// node is started with.
//
// It does no input or output: it takes texts and file names and returns findings
// and texts. Package appdir reads and writes the files. A Set belongs to its
// creator and is not modified once it is checked.
//
// It leaves some checks to others: package routes checks the route tables, and
// the node's own reader checks a node's configuration.
package apps
