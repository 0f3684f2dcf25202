// Command review-standin plays clients, servers and discovery for the cases of the review. It uses the standard library
// and loopback addresses only.
//
//	review-standin fleet DIR N              files of N nodes that are members of one fleet; serves discovery and a server until it is ended
//	review-standin worker FILE SECONDS      a program that works for so long and notes each piece in FILE, for case 1
//	review-standin overlap FILE             exit code 1 if FILE shows two tasks at work at a time, for case 1
//	review-standin replace DIR RECORD 0|1   clients, servers and discovery of case 2, without or with its disruption
//	review-standin pressure DIR RECORD 0|1  clients and a server of case 3, without or with its disruption
package main

import (
	"fmt"
	"os"
)

// Exit codes of all commands.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review-standin COMMAND ...")
		os.Exit(cannotRun)
	}
	commands := map[string]func(args []string) (int, error){
		"fleet": fleet, "worker": worker, "overlap": overlap, "replace": replace, "pressure": pressure,
	}
	command, ok := commands[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "review-standin: no such command:", os.Args[1])
		os.Exit(cannotRun)
	}
	code, err := command(os.Args[2:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-standin:", err)
		code = cannotRun
	}
	os.Exit(code)
}
