package main

import (
	"context"
	"os"
	"strconv"
	"time"

	"curlewring/internal/rig/resource"
)

// actCommand accesses a stand-in resource with the fencing token that lease run passes in the environment.
type actCommand struct {
	Address       string        `arg:"" name:"at" help:"The resource's address."`
	Duration      time.Duration `name:"for" default:"1s" help:"How long the access lasts."`
	IgnoreSignals bool          `name:"deaf" help:"Continue after SIGTERM or an interrupt."`
	Token         uint64        `help:"Use this token instead of the one from lease run, to simulate a client that ignores its lease."`
}

// Run holds the access for the given time, or until the context ends.
func (c *actCommand) Run(ctx context.Context) error {
	if c.IgnoreSignals {
		ctx = context.Background()
	}
	token := c.Token
	if token == 0 {
		token, _ = strconv.ParseUint(os.Getenv("CURLEWRING_TOKEN"), 10, 64)
	}
	access, err := resource.Begin(c.Address, strconv.Itoa(os.Getppid()), token)
	if err != nil {
		return err
	}
	defer access.End()
	select {
	case <-time.After(c.Duration):
	case <-ctx.Done():
	}
	return nil
}
