package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runAsCommand is the environment variable that makes the test binary run as the
// command.
const runAsCommand = "CURLEWRING_TEST_COMMAND"

func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "application" {
		runApplication(os.Args[2])
	}
	if os.Getenv(runAsCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// logBuffer collects the output of a running program.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// nodeCommand prepares the program with a configuration, and returns the buffer that
// takes its log.
func nodeCommand(t *testing.T, config string) (*exec.Cmd, *logBuffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsCommand+"=1", "LB_CONFIG="+path)
	log := &logBuffer{}
	cmd.Stderr = log
	return cmd, log
}

// With an invalid configuration the program must print one line and exit with a code
// other than 0, instead of running without being able to serve.
func TestInvalidConfigurationFailsStart(t *testing.T) {
	cmd, log := nodeCommand(t, `{"listen":"nowhere"}`)
	err := cmd.Run()
	if _, failed := err.(*exec.ExitError); !failed {
		t.Errorf("ended with %v, want an exit code other than 0", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("printed %q", text)
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configText returns a configuration with a first list of one server.
func configText(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[
			{"instanceId":"s0","hostPort":"127.0.0.1:1","lifecycle":"SERVING"}]},
		"settings":{"registry_mode":"subscribe","categories":[{"name":"look","semantics":"repeatable",
			"aim_ns":1000000000,"deadline_ns":2000000000,"worth":1}]}}`, listen, discovery)
}

// waitReady waits until the program at an address is ready.
func waitReady(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatalf("not ready after 20 s: %v", err)
		}
	}
}

// On SIGHUP the program must reload its configuration and call the discovery that
// the new one names; by default the signal would end a Go program. An invalid file
// must only be logged.
func TestReload(t *testing.T) {
	var calls [2]chan string
	var discovery [2]*httptest.Server
	for i := range discovery {
		calls[i] = make(chan string, 100)
		discovery[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls[i] <- r.URL.RawQuery
			<-r.Context().Done() // a watch without changes
		}))
		defer discovery[i].Close()
		defer discovery[i].CloseClientConnections()
	}
	waitForCall := func(i int) {
		t.Helper()
		select {
		case <-calls[i]:
		case <-time.After(20 * time.Second):
			t.Fatalf("discovery %d was not called", i)
		}
	}
	address := freeAddress(t)
	cmd, log := nodeCommand(t, configText(address, discovery[0].Listener.Addr().String()))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "LB_CONFIG=")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitReady(t, address)
	waitForCall(0)

	reload := func(config string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(configText(address, discovery[1].Listener.Addr().String()))
	waitForCall(1)
	reload(`{"listen":"nowhere"}`)
	for end := time.Now().Add(20 * time.Second); !strings.Contains(log.String(), "stays"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the invalid configuration was not logged")
		}
	}
	waitReady(t, address)
	reload(configText(address, discovery[0].Listener.Addr().String()))
	waitForCall(0)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
	if n := strings.Count(log.String(), "stays"); n != 1 {
		t.Errorf("%d lines for one invalid configuration: %s", n, log)
	}
}

// The program must serve from the list in its configuration while discovery is down,
// and shut down gracefully on SIGTERM.
func TestStartAndGracefulShutdown(t *testing.T) {
	address := freeAddress(t)
	cmd, log := nodeCommand(t, configText(address, "127.0.0.1:1"))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitReady(t, address)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
}
