// Command curlewctl is the operators' command line tool. It generates and checks node configurations, inspects nodes,
// manages leases, and tests real nodes on loopback sockets against stand-in servers.
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

// cli is the command line. Names of commands are derived from the names of its fields.
type cli struct {
	Write   writeCommand   `cmd:"" help:"Generate node configurations from descriptions of applications."`
	Check   checkCommand   `cmd:"" help:"Check descriptions and the files generated from them. Exit code 0, 1 with warnings only, 2 with errors."`
	Explain explainCommand `cmd:"" help:"Show how a sidecar handles a request, and which line of the descriptions sets each value."`
	Schema  schemaCommand  `cmd:"" help:"Print the JSON schema of a description, for editors."`
	Lab     labCommand     `cmd:"" help:"Run nodes in front of stand-in servers, and check what the nodes do."`
	Recall  recallCommand  `cmd:"" help:"Inspect the state that a node keeps across restarts."`
	Members membersCommand `cmd:"" help:"Show what a node knows of the other members. Exit code 0, 1 if a member is silent or the node is in no view, 2 if it does not answer."`
	Lease   leaseCommand   `cmd:"" help:"Run commands under leases of the fleet, and manage the leases."`
	Scale   scaleCommand   `cmd:"" help:"Measure how the control traffic and state of a fleet grow with its size."`
	Idlers  idlersCommand  `cmd:"" hidden:"" help:"Hold idle connections for the lab."`
	Act     actCommand     `cmd:"" hidden:"" help:"Access a stand-in resource under a lease token, for the lab."`
	Forward forwardCommand `cmd:"" hidden:"" help:"Forward requests round robin, as the baseline of the lab."`
}

// errRuleBroken is returned after a run that broke a rule. The printed report names the rule.
var errRuleBroken = errors.New("a rule was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parsed := kong.Parse(&c, kong.Name("curlewctl"), kong.Description("The operators' tool of curlewring."),
		kong.UsageOnError(), kong.Vars{"kinds": strings.Join(standin.FaultKinds(), ", ")},
		kong.BindTo(ctx, (*context.Context)(nil)))
	var code exitCode
	switch err := parsed.Run(); {
	case errors.As(err, &code):
		os.Exit(int(code))
	case errors.Is(err, errRuleBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
		os.Exit(2)
	}
}
