// Package disk implements store.FS with a directory of the operating system.
//
// A Folder is locked by one process at a time. Its calls block on the disk, so they belong in
// background work, never on the node's loop. The package knows nothing of the files' content.
package disk
