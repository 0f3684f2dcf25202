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

// The test's program stands in for a node that makes its answers up.
const asRogue = "CURLEWCTL_TEST_ROGUE"

func TestMain(m *testing.M) {
	if os.Getenv(asRogue) != "" {
		rogue()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func rogue() {
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

// parse reads a command line as the program does.
func parse(t *testing.T, args ...string) (*tool, error) {
	t.Helper()
	var c tool
	p, err := kong.New(&c, kong.Vars{"kinds": strings.Join(standin.FaultKinds(), ", ")})
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.Parse(args)
	return &c, err
}

// quietly keeps what a test makes the command print out of the test's own output.
func quietly(t *testing.T) {
	t.Helper()
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	was := os.Stdout
	os.Stdout = null
	t.Cleanup(func() {
		os.Stdout = was
		null.Close()
	})
}

// A broken rule must end the lab with its own error, which main turns into 1.
func TestBreachEndsWithOne(t *testing.T) {
	quietly(t)
	t.Setenv(asRogue, "1")
	for _, json := range []bool{false, true} {
		c, err := parse(t, "lab", "--rate", "50", "--for", "300ms", "--nodes", "1", "--binary", os.Args[0])
		if err != nil {
			t.Fatal(err)
		}
		c.Lab.JSON = json
		if err := c.Lab.Run(context.Background()); !errors.Is(err, errBreach) {
			t.Errorf("ended with %v", err)
		}
	}
}

func TestBoundsOfTheLab(t *testing.T) {
	if c, err := parse(t, "lab"); err != nil || c.Lab.For != 8*time.Second || c.Lab.Boxes != 8 {
		t.Errorf("defaults: %+v, %v", c.Lab, err)
	}
	for _, args := range []string{
		"--rate=0", "--rate=-1", "--rate=1e9", "--rate=NaN", "--for=0s", "--for=2h", "--boxes=0", "--boxes=3201", "--tiers=2 --boxes=201",
		"--nodes=0", "--nodes=1000", "--tiers=0", "--tiers=9", "--work=0", "--work=inf", "--cores=0", "--retries=9",
		"--advice=-1s", "--control --tiers=2", "--operator=/does/not/exist", "--no-such-flag", "--for=8",
	} {
		if _, err := parse(t, append([]string{"lab"}, strings.Fields(args)...)...); err == nil {
			t.Errorf("%s was taken", args)
		}
	}
	if _, err := parse(t, "lab", "--boxes=3200"); err != nil {
		t.Errorf("3200 boxes: %v", err)
	}
	c, err := parse(t, "lab", "--fault", "slow:box=1,by=2", "--fault", "outage")
	if err != nil {
		t.Fatal(err)
	}
	if o, err := c.Lab.options(); err != nil || len(o.Faults) != 2 {
		t.Errorf("faults %+v, %v", o.Faults, err)
	}
	c.Lab.Fault = []string{"nonsense"}
	if _, err := c.Lab.options(); err == nil {
		t.Error("nonsense was taken for a fault")
	}
}
