package main

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runCheck runs the program with --check and returns its output and exit code.
func runCheck(t *testing.T, config, operator string) (string, int) {
	t.Helper()
	cmd, log := nodeCommand(t, config)
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(operator), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Args = append(cmd.Args, "--operator", path, "--check")
	out, err := cmd.Output()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		t.Fatal(err)
	}
	return string(out) + log.String(), cmd.ProcessState.ExitCode()
}

// --check must print all faults, exit with 0 or 2, and not bind the address: it is in
// use here, so a start would fail.
func TestCheck(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	config := configText(l.Addr().String(), "127.0.0.1:1")
	const good = "[[route]]\nclass = \"look\"\nattempt_timeout = \"500ms\"\nattempts = 1\n"
	if text, code := runCheck(t, config, good); code != 0 || !strings.Contains(text, "no fault") {
		t.Errorf("valid file: %d %q", code, text)
	}
	const bad = "[[route]]\nclass = \"look\"\nattempt_timeout = \"5s\"\nattempts = 1\n[[route]]\nclass = \"nowhere\"\nattempts = 2\n"
	text, code := runCheck(t, config, bad)
	if code != 2 || !strings.Contains(text, "operator.toml:3: RT031") || !strings.Contains(text, "operator.toml:6: RT021") {
		t.Errorf("file with two faults: %d %q", code, text)
	}
	if text, code := runCheck(t, `{"listen":"nowhere"}`, good); code != 2 || !strings.Contains(text, "listen") {
		t.Errorf("invalid configuration: %d %q", code, text)
	}
	cmd, log := nodeCommand(t, config)
	cmd.Args = append(cmd.Args, "--no-such-flag")
	if err := cmd.Run(); err == nil || !strings.Contains(log.String(), "no-such-flag") {
		t.Errorf("unknown flag: %v %q", err, log)
	}
}

// Signals that arrive during a reload must cause another one, so that the newest file
// is read whatever the order of writes and signals.
func TestSignalsDuringReload(t *testing.T) {
	address := freeAddress(t)
	cmd, log := nodeCommand(t, configText(address, "127.0.0.1:1"))
	path := filepath.Join(t.TempDir(), "operator.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("route_count = 0\n")
	cmd.Args = append(cmd.Args, "--operator", path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitReady(t, address)
	for range 20 {
		for _, text := range []string{"[[route]]\nclass = \"nowhere\"\nattempts = 2\n", "route_count = 0\n"} {
			write(text)
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
	}
	// The last file was valid. An invalid one now must be read and logged.
	write("[[route]]\nclass = \"last\"\nattempts = 2\n")
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); !strings.Contains(log.String(), `\"last\"`); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the newest file was not read: %s", log)
		}
	}
	waitReady(t, address)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, log)
	}
}
