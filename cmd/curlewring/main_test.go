package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test's program stands in for the command where this variable is set.
const asCommand = "CURLEWRING_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command prepares the program with a configuration.
func command(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asCommand+"=1", "LB_CONFIG="+path)
	var log bytes.Buffer
	cmd.Stderr = &log
	return cmd, &log
}

// A bad configuration must end the start with one clear line and a code that
// the platform can see, not with a node that can't serve.
func TestBadConfigurationEndsTheStart(t *testing.T) {
	cmd, log := command(t, `{"listen":"nowhere"}`)
	err := cmd.Run()
	if _, failed := err.(*exec.ExitError); !failed {
		t.Errorf("ended with %v, want an exit code other than 0", err)
	}
	if text := log.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("printed %q", text)
	}
}

// The program must serve from its last list, and end in order on SIGTERM.
func TestStartAndPlannedEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	cmd, log := command(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"5",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[
			{"instanceId":"s0","hostPort":"127.0.0.1:1","lifecycle":"SERVING"}]},
		"settings":{"categories":[{"name":"look","semantics":"repeatable","aim_ns":1000000000,
			"deadline_ns":2000000000,"worth":1}]}}`, address))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatalf("never ready: %v", err)
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
}
