// Package apps knows the descriptions of applications with sidecars, and of the
// platform that they share. It reads them, checks each alone and all together,
// and derives what a sidecar's node is started with.
//
// It is pure: texts and names come in, findings and texts go out. It opens no
// file: package appdir does. A Set is owned by who made it, and is not written
// to once it is checked.
//
// It must not check again what others check: routes are package routes' matter,
// and what a node makes of its configuration is asked of the node's own reader.
package apps
