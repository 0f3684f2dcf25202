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
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// With this variable set, the test binary acts as the application: it records its start in the file
// named by the variable, and then behaves as the variable says.
const applicationVariable = "CURLEWRING_TEST_APPLICATION"

func TestMain(m *testing.M) {
	if value := os.Getenv(applicationVariable); value != "" {
		application(value)
		return
	}
	goleak.VerifyTestMain(m)
}

func application(value string) {
	file, behaviour, _ := strings.Cut(value, " ")
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	if behaviour == "ignores SIGTERM" {
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
	case behaviour == "dies" && starts < 3:
		os.Exit(3)
	case behaviour == "dies", behaviour == "exits":
		os.Exit(0)
	}
	<-terminated
	fmt.Fprintf(f, "end\n")
	os.Exit(0)
}

func testConfig(t *testing.T, behaviour string) (Config, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "log")
	config := DefaultConfig([]string{os.Args[0]}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	config.Env = []string{applicationVariable + "=" + file + " " + behaviour, "WHERE=127.0.0.1:1"}
	config.InitialBackoff, config.MaxBackoff = time.Millisecond, 4*time.Millisecond
	return config, file
}

func readFile(file string) string {
	text, _ := os.ReadFile(file)
	return string(text)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// An application that dies must be restarted; one that exits with code 0 must not.
func TestRestartsOnlyAfterFailure(t *testing.T) {
	for behaviour, starts := range map[string]int{"dies": 3, "exits": 1} {
		config, file := testConfig(t, behaviour)
		if err := Run(context.Background(), config); err != nil {
			t.Error(behaviour, err)
		}
		if got := readFile(file); got != strings.Repeat("start 127.0.0.1:1\n", starts) {
			t.Errorf("%s: %q", behaviour, got)
		}
	}
}

// When the context ends, the application must get SIGTERM and time to act on it; one that ignores
// SIGTERM must be killed.
func TestStopTerminatesApplication(t *testing.T) {
	for behaviour, want := range map[string]string{"runs on": "start 127.0.0.1:1\nend\n", "ignores SIGTERM": "start 127.0.0.1:1\n"} {
		config, file := testConfig(t, behaviour)
		if behaviour == "ignores SIGTERM" {
			config.StopTimeout = 10 * time.Millisecond
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, config) }()
		waitFor(t, "it has started", func() bool { return strings.Contains(readFile(file), "start") })
		stop()
		if err := <-ended; err != nil {
			t.Error(behaviour, err)
		}
		if got := readFile(file); got != want {
			t.Errorf("%s: %q, want %q", behaviour, got, want)
		}
	}
}

// A command that cannot be started is reported at once.
func TestNoSuchCommand(t *testing.T) {
	config, _ := testConfig(t, "runs on")
	config.Command = []string{"/nowhere/at/all"}
	if err := Run(context.Background(), config); !errors.Is(err, errStartFailed) || !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// lockedLog collects a log that is read while it is written.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedLog) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// A stop must take effect during the backoff before a restart, and there must be no restart after it.
func TestStopDuringBackoff(t *testing.T) {
	config, file := testConfig(t, "dies")
	config.InitialBackoff, config.MaxBackoff = time.Hour, time.Hour
	var log lockedLog
	config.Log = slog.New(slog.NewTextHandler(&log, nil))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config) }()
	waitFor(t, "it has died, so that only the backoff can see the stop", func() bool { return log.contains("the application died") })
	stop()
	waitFor(t, "the stop ends the backoff", func() bool { return len(ended) > 0 })
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := readFile(file); got != "start 127.0.0.1:1\n" {
		t.Errorf("starts: %q, want one", got)
	}
}
