// Package appdir reads descriptions from files, and writes sets of configurations
// to a folder: the whole set or nothing.
//
// What is written stands below the folder's sets, each set under a name made of
// its content, and current is a link to the one that holds. A reader goes by
// current and sees one set or the other, never a half. The folder is owned by
// one writer at a time, which holds its lock.
//
// The package must not judge: what a description means is for package apps, and
// what a node makes of a configuration for the node's own reader.
package appdir
