// Command benchlink runs the decisions of package decide on a simulator's wire:
// batches of events on standard input, one reply a batch on standard output.
// It translates and decides nothing.
package main

import (
	"bufio"
	"fmt"
	"os"
)

func main() {
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	if err := newHost(in, out).run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
