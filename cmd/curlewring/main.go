// Command curlewring runs a load-balancing node.
//
// The environment variable LB_CONFIG names its configuration file, with the listen
// address, the address of discovery and the platform's settings. --operator names
// a file of route tables, and --settings a file of the node's own settings. On
// SIGHUP it reloads the files, and on SIGTERM it shuts down gracefully. With
// --check it reads the files, prints their faults, and exits with 0 or 2, without
// binding an address.
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
	flags.StringVar(&files.Operator, "operator", "", "the operators' `file` of route tables")
	flags.StringVar(&files.Local, "settings", "", "the node's own settings `file`")
	level := slog.LevelInfo
	flags.TextVar(&level, "log", level, "the minimum log `level`; debug logs every request, attempt and discovery call")
	checkOnly := flags.Bool("check", false, "check the files, print their faults, and exit with 0 or 2")
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

// check prints the faults of the files, one a line, and returns the exit code.
func check(files node.Files, out io.Writer) int {
	_, err := files.Read()
	var findings *node.Findings
	switch {
	case errors.As(err, &findings):
		for _, f := range findings.All {
			fmt.Fprintln(out, f.InFile(findings.File))
		}
		fmt.Fprintf(out, "%d faults\n", len(findings.All))
		return 2
	case err != nil:
		fmt.Fprintln(out, err)
		return 2
	}
	fmt.Fprintln(out, "no fault")
	return 0
}

// run runs the node, and its application if it starts one, until either ends or a
// signal asks it to shut down.
func run(files node.Files, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	config, err := files.Read()
	if err != nil {
		return err
	}
	// A node uses one core, which it may share with other nodes. A third of the memory
	// limit is left for stacks, the program's code and kernel buffers. The live heap is
	// a few megabytes, so collections are cheap, and a larger GC percentage would let
	// the heap grow for minutes before the first one.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * 2 / 3)
	debug.SetGCPercent(100)

	ctx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	log = log.With("node", config.Name)
	n, err := node.New(config, log)
	if err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	nodeDone := make(chan error, 1)
	go func() { nodeDone <- n.Run(serving) }()
	applicationDone := make(chan error, 1)
	go func() { applicationDone <- superviseApplication(ctx, serving, n, config.Sidecar, log) }()
	var applicationErr error
	for {
		select {
		case err := <-nodeDone:
			stopServing()
			stopSignals() // the application must not outlive its sidecar
			if applicationDone != nil {
				applicationErr = <-applicationDone
			}
			return errors.Join(err, applicationErr)
		case applicationErr = <-applicationDone: // a signal, or the application's exit
			stopServing()
			applicationDone = nil
		case <-reload:
			n.Reload(files) // it logs the result
		}
	}
}

// readyTimeout bounds the wait for a server before the application is started:
// discovery may be down, and the application has other work to do.
const readyTimeout = 5 * time.Second

// superviseApplication starts the sidecar's application, if it has a command, once
// the node is ready. It returns when the node has to shut down: after ctx is done,
// or after the application has exited. The application is stopped before the node,
// so that its last requests are answered.
func superviseApplication(ctx, serving context.Context, n *node.Node, sidecar *node.Sidecar, log *slog.Logger) error {
	if sidecar == nil || len(sidecar.Command) == 0 {
		<-ctx.Done()
		return nil
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	err := n.WaitReady(readyCtx)
	cancel()
	if ctx.Err() != nil || serving.Err() != nil {
		return nil
	}
	if err != nil {
		log.Warn("starting the application although no server is available", "err", err)
	}
	config := supervisor.DefaultConfig(sidecar.Command, log)
	if sidecar.Socket != "" {
		config.Env = append(config.Env, "CURLEWRING_SOCKET="+sidecar.Socket)
	} else {
		config.Env = append(config.Env, "CURLEWRING_ADDRESS="+n.Address().String())
	}
	return supervisor.Run(ctx, config)
}
