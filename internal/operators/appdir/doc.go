// Package appdir reads descriptions from files and writes the sets of files that
// are generated from them to a folder, each set as a whole or not at all.
//
// Sets are stored below the folder's sets, each in a folder named by a hash of its
// content, and current is a symbolic link to the active set. Since the link is
// replaced in one step, a reader that follows it sees the old set or the new one,
// never a mixture. Only one writer at a time may use the folder: it holds the
// folder's lock.
//
// The package doesn't interpret what it reads: package apps checks descriptions,
// and the node's own reader checks a node's configuration.
package appdir
