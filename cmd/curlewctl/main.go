// Command curlewctl is the operators' tool. Its lab plays a fleet on loopback
// sockets before real nodes, and judges what they do.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"curlewring/internal/rig/standin"
)

// tool is the command line.
type tool struct {
	Write   writeCommand   `cmd:"" help:"Write node configurations from descriptions of applications."`
	Check   checkCommand   `cmd:"" help:"Check descriptions, and what was written of them. Exit code 0, 1 with warnings only, 2 with errors."`
	Explain explainCommand `cmd:"" help:"Say what becomes of a request at a sidecar, and which line says so."`
	Schema  schemaCommand  `cmd:"" help:"Print the JSON schema of a description, for editors."`
	Lab     labCommand     `cmd:"" help:"Run nodes before a stand-in fleet, and judge them."`
	Recall  recallCommand  `cmd:"" help:"Look into what a node keeps over its restarts."`
	Members membersCommand `cmd:"" help:"Show what a node knows of the others. Exit code 0, 1 if a member is silent or the node is in no view, 2 if it does not answer."`
	Lease   leaseCommand   `cmd:"" help:"Do things under the leases of the fleet, and look after them."`
	Scale   scaleCommand   `cmd:"" help:"Measure what the control of a fleet costs as it grows."`
	Idlers  idlersCommand  `cmd:"" hidden:"" help:"Hold idle connections for the lab."`
	Act     actCommand     `cmd:"" hidden:"" help:"Act at a stand-in resource, for the lab."`
	Forward forwardCommand `cmd:"" hidden:"" help:"Forward plainly: the lab's control."`
}

// errBreach says that the run broke a rule, which the report tells.
var errBreach = errors.New("a rule was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var t tool
	parsed := kong.Parse(&t, kong.Name("curlewctl"), kong.Description("The operators' tool of curlewring."),
		kong.UsageOnError(), kong.Vars{"kinds": strings.Join(standin.FaultKinds(), ", ")},
		kong.BindTo(ctx, (*context.Context)(nil)))
	var worst found
	switch err := parsed.Run(); {
	case errors.As(err, &worst):
		os.Exit(int(worst))
	case errors.Is(err, errBreach):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
		os.Exit(2)
	}
}
