// Command standin2 plays the cases of the second review: it starts real nodes by the command of the deploy file before
// stand-in servers, a stand-in discovery and stand-in clients, and judges by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// verdict is the end of a case: the breaks of the rule that were seen.
type verdict struct {
	breaks []string
	note   string
}

var cases = map[string]func(trouble bool, dir string, rec *record) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	runtime.LockOSThread() // the kernel ends the nodes with the thread that started them
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	v, err := cases[name](trouble, dir, rec)
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.line("%s", v.note)
	fmt.Println(v.note)
	for i, b := range v.breaks {
		rec.line("BROKEN %s", b)
		if i < 10 {
			fmt.Println("BROKEN", b)
		}
	}
	if len(v.breaks) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
