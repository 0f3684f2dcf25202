// Command benchlink connects package decide to a simulator. It reads batches of events from standard input
// and writes the actions of each batch to standard output. It only translates and decides nothing itself.
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
