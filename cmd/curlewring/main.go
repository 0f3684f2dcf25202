// Command curlewring is a load-balancing node. LB_CONFIG names the file that
// tells it where to listen, where discovery is, and what to go by. On SIGHUP it
// reads that file again; on SIGTERM it ends in order.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"curlewring/internal/node"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "curlewring:", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	path := os.Getenv("LB_CONFIG")
	config, err := node.ReadConfig(path)
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
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-reload:
			if config, err := node.ReadConfig(path); err != nil {
				log.Error("the new configuration is bad; the old one stays", "err", err)
			} else {
				n.Reload(config)
			}
		}
	}
}
