package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"curlewring/internal/rig/standin"
)

// fakeNodeEnv makes the test binary run as a node that answers requests itself instead of forwarding them.
const fakeNodeEnv = "CURLEWCTL_TEST_FAKE_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(fakeNodeEnv) != "" {
		runFakeNode()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runFakeNode answers each request with a made-up body, until SIGTERM.
func runFakeNode() {
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		panic(err)
	}
	var config struct{ Listen string }
	if err := json.Unmarshal(text, &config); err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: config.Listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made up\n")
	})}
	context.AfterFunc(ctx, func() { server.Shutdown(context.Background()) })
	server.ListenAndServe()
}

// parse parses a command line as the program does.
func parse(t *testing.T, args ...string) (*cli, error) {
	t.Helper()
	var c cli
	parser, err := kong.New(&c, kong.Vars{"kinds": strings.Join(standin.FaultKinds(), ", ")})
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.Parse(args)
	return &c, err
}

// discardStdout discards what commands print to standard output until the test ends.
func discardStdout(t *testing.T) {
	t.Helper()
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = null
	t.Cleanup(func() {
		os.Stdout = stdout
		null.Close()
	})
}

// If a node breaks a rule, the lab must return errRuleBroken, for which main exits with 1.
func TestLabReturnsErrRuleBroken(t *testing.T) {
	discardStdout(t)
	t.Setenv(fakeNodeEnv, "1")
	for _, asJSON := range []bool{false, true} {
		c, err := parse(t, "lab", "--rate", "50", "--for", "300ms", "--nodes", "1", "--binary", os.Args[0])
		if err != nil {
			t.Fatal(err)
		}
		c.Lab.JSON = asJSON
		if err := c.Lab.Run(context.Background()); !errors.Is(err, errRuleBroken) {
			t.Errorf("lab returned error %v, not that a rule was broken", err)
		}
	}
}

// Flags out of bounds, and flags that exclude each other, must be rejected before the lab starts.
func TestLabFlagBounds(t *testing.T) {
	if c, err := parse(t, "lab"); err != nil || c.Lab.Duration != 8*time.Second || c.Lab.Servers != 8 {
		t.Errorf("defaults: %+v, %v", c.Lab, err)
	}
	for _, args := range []string{
		"--rate=0", "--rate=-1", "--rate=1e9", "--rate=NaN", "--for=0s", "--for=2h", "--boxes=0", "--boxes=3201", "--tiers=2 --boxes=201",
		"--nodes=0", "--nodes=1000", "--tiers=0", "--tiers=9", "--work=0", "--work=inf", "--cores=0", "--retries=9",
		"--advice=-1s", "--control --tiers=2", "--operator=/does/not/exist", "--no-such-flag", "--for=8",
	} {
		if _, err := parse(t, append([]string{"lab"}, strings.Fields(args)...)...); err == nil {
			t.Errorf("%s was accepted", args)
		}
	}
	if _, err := parse(t, "lab", "--boxes=3200"); err != nil {
		t.Errorf("--boxes=3200: %v", err)
	}
	c, err := parse(t, "lab", "--fault", "slow:box=1,by=2", "--fault", "outage")
	if err != nil {
		t.Fatal(err)
	}
	if options, err := c.Lab.options(); err != nil || len(options.Faults) != 2 {
		t.Errorf("faults %+v, %v", options.Faults, err)
	}
	c.Lab.Faults = []string{"nonsense"}
	if _, err := c.Lab.options(); err == nil {
		t.Error("\"nonsense\" was accepted as a fault")
	}
}
