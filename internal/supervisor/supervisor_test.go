package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// The test's program stands in for an application where this variable is set:
// it notes its start in the file that it names, and does what comes behind.
const asApplication = "CURLEWRING_TEST_APPLICATION"

func TestMain(m *testing.M) {
	if text := os.Getenv(asApplication); text != "" {
		application(text)
		return
	}
	goleak.VerifyTestMain(m)
}

func application(text string) {
	file, way, _ := strings.Cut(text, " ")
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	if way == "deaf" {
		signal.Ignore(syscall.SIGTERM)
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		os.Exit(9)
	}
	fmt.Fprintf(f, "start %s\n", os.Getenv("WHERE"))
	starts := 0
	if text, err := os.ReadFile(file); err == nil {
		starts = strings.Count(string(text), "start")
	}
	switch {
	case way == "dies" && starts < 3:
		os.Exit(3)
	case way == "dies", way == "ends":
		os.Exit(0)
	}
	<-ended
	fmt.Fprintf(f, "end\n")
	os.Exit(0)
}

func config(t *testing.T, way string) (Config, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "log")
	c := DefaultConfig([]string{os.Args[0]}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.Env = []string{asApplication + "=" + file + " " + way, "WHERE=127.0.0.1:1"}
	c.InitialBackoff, c.MaxBackoff = time.Millisecond, 4*time.Millisecond
	return c, file
}

func text(file string) string {
	text, _ := os.ReadFile(file)
	return string(text)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// An application that dies must be started again; one that ends well ends it all.
func TestDeathAndEnd(t *testing.T) {
	for way, starts := range map[string]int{"dies": 3, "ends": 1} {
		c, file := config(t, way)
		if err := Run(context.Background(), c); err != nil {
			t.Error(way, err)
		}
		if got := text(file); got != strings.Repeat("start 127.0.0.1:1\n", starts) {
			t.Errorf("%s: %q", way, got)
		}
	}
}

// With the word to end the application gets SIGTERM and time for what it does
// then; one that does not hear is killed.
func TestWordToEnd(t *testing.T) {
	for way, want := range map[string]string{"stays": "start 127.0.0.1:1\nend\n", "deaf": "start 127.0.0.1:1\n"} {
		c, file := config(t, way)
		if way == "deaf" {
			c.StopTimeout = 10 * time.Millisecond
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, c) }()
		waitFor(t, "it has started", func() bool { return strings.Contains(text(file), "start") })
		stop()
		if err := <-ended; err != nil {
			t.Error(way, err)
		}
		if got := text(file); got != want {
			t.Errorf("%s: %q, want %q", way, got, want)
		}
	}
}

// A command that cannot be run is told at once.
func TestNoSuchCommand(t *testing.T) {
	c, _ := config(t, "stays")
	c.Command = []string{"/nowhere/at/all"}
	if err := Run(context.Background(), c); !errors.Is(err, errStartFailed) || !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// The word to end must come through while the wait before a new start runs.
func TestWordToEndBetweenStarts(t *testing.T) {
	c, file := config(t, "dies")
	c.InitialBackoff, c.MaxBackoff = time.Hour, time.Hour
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c) }()
	waitFor(t, "it has started", func() bool { return strings.Contains(text(file), "start") })
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
