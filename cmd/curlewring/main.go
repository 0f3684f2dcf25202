// Command curlewring is a load-balancing node. LB_CONFIG names the file that
// tells it where to listen, where discovery is, and what to go by; --operator
// names a file of timing rules by route, --settings one of the node's own. On
// SIGHUP it reads them again; on SIGTERM it ends in order. With --check it reads
// them, prints what is wrong with them, and ends with 0 or 2 without binding
// anything.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"curlewring/internal/node"
	"curlewring/internal/supervisor"
)

func main() {
	flags := flag.NewFlagSet("curlewring", flag.ExitOnError)
	files := node.Files{Config: os.Getenv("LB_CONFIG")}
	flags.StringVar(&files.Operator, "operator", "", "the operators' `file` of timing rules by route")
	flags.StringVar(&files.Local, "settings", "", "the node's own settings `file`")
	level := slog.LevelInfo
	flags.TextVar(&level, "log", level, "the least `level` that is logged; debug has every request, attempt and call to discovery")
	checkOnly := flags.Bool("check", false, "check the files, print what is wrong, and end with 0 or 2")
	flags.Parse(os.Args[1:])
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "curlewring: unexpected argument %q\n", flags.Arg(0))
		os.Exit(2)
	}
	if *checkOnly {
		os.Exit(check(files, os.Stdout))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if err := run(files, log); err != nil {
		fmt.Fprintln(os.Stderr, "curlewring:", err)
		os.Exit(1)
	}
}

// check prints each fault of the files on a line, and returns the exit code.
func check(files node.Files, out io.Writer) int {
	_, err := files.Read()
	var bad *node.Findings
	switch {
	case errors.As(err, &bad):
		for _, f := range bad.All {
			fmt.Fprintln(out, f.InFile(bad.File))
		}
		fmt.Fprintf(out, "%d faults\n", len(bad.All))
		return 2
	case err != nil:
		fmt.Fprintln(out, err)
		return 2
	}
	fmt.Fprintln(out, "no fault")
	return 0
}

func run(files node.Files, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	config, err := files.Read()
	if err != nil {
		return err
	}
	// One core, which other nodes may share. Memory that the limit leaves over
	// is for stacks, the program itself and the kernel's part. What lives is a few
	// megabytes: collections cost little, and rarer ones would let the heap grow
	// for minutes before the first.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * 2 / 3)
	debug.SetGCPercent(100)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log = log.With("node", config.Name)
	n, err := node.New(config, log)
	if err != nil {
		return err
	}
	serving, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- n.Run(serving) }()
	beside := make(chan error, 1)
	go func() { beside <- accompany(ctx, serving, n, config.Sidecar, log) }()
	var wrong error
	for {
		select {
		case err := <-ended:
			end()
			stop() // its application must not outlive it
			if beside != nil {
				wrong = <-beside
			}
			return errors.Join(err, wrong)
		case wrong = <-beside: // the word to end, or the application's own end
			end()
			beside = nil
		case <-reload:
			n.Reload(files) // it logs what came of it
		}
	}
}

// startPatience is how long an application waits for its sidecar to have a
// server to send to: discovery may be out, and the application has other work.
const startPatience = 5 * time.Second

// accompany returns when the node is to end: with the word to end, or, where the
// node starts its application, once that has ended. The application ends first,
// and its last requests get their answers.
func accompany(ctx, serving context.Context, n *node.Node, s *node.Sidecar, log *slog.Logger) error {
	if s == nil || len(s.Command) == 0 {
		<-ctx.Done()
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, startPatience)
	err := n.WaitReady(waiting)
	cancel()
	if ctx.Err() != nil || serving.Err() != nil {
		return nil
	}
	if err != nil {
		log.Warn("the application starts without a server to send to", "err", err)
	}
	c := supervisor.DefaultConfig(s.Command, log)
	if s.Socket != "" {
		c.Env = append(c.Env, "CURLEWRING_SOCKET="+s.Socket)
	} else {
		c.Env = append(c.Env, "CURLEWRING_ADDRESS="+n.Address().String())
	}
	return supervisor.Run(ctx, c)
}
