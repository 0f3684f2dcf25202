package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// sendRequest sends a request through a sidecar, and returns the status code or the
// error as text.
func sendRequest(address, txn string) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/look/"+txn, nil)
	if err != nil {
		return err.Error()
	}
	r.Header.Set("X-Txn", txn)
	r.Header.Set("X-Remaining-Ms", "2000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return strconv.Itoa(resp.StatusCode)
}

// runApplication is the application of a sidecar. It sends a request at its start and
// another one on SIGTERM, writes the results to a file, and exits.
func runApplication(file string) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		os.Exit(9)
	}
	address := os.Getenv("CURLEWRING_ADDRESS")
	fmt.Fprintf(f, "start %d %s\n", os.Getpid(), sendRequest(address, "first"))
	<-ended
	fmt.Fprintf(f, "end %s\n", sendRequest(address, "last"))
	os.Exit(0)
}

// sidecarConfig returns the configuration of a sidecar with an application and one
// server.
func sidecarConfig(t *testing.T, listen, server, discovery string, command []string) string {
	t.Helper()
	var config map[string]any
	if err := json.Unmarshal([]byte(configText(listen, discovery)), &config); err != nil {
		t.Fatal(err)
	}
	config["schema"] = 1
	config["sidecar"] = map[string]any{"application": "leitstand", "command": command}
	config["known"].(map[string]any)["instances"] = []any{map[string]any{"instanceId": "s0", "hostPort": server, "lifecycle": "SERVING"}}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The application must be started once its sidecar serves, be restarted by the same
// sidecar when it is killed, and have its last request answered when the sidecar is
// stopped.
func TestSidecarSupervisesApplication(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "state") }))
	defer server.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	file := filepath.Join(t.TempDir(), "application")
	address := freeAddress(t)
	cmd, log := nodeCommand(t, sidecarConfig(t, address, server.Listener.Addr().String(), discovery.Listener.Addr().String(),
		[]string{os.Args[0], "application", file}))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitForLines := func(what string, n int) []string {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(2 * time.Millisecond) {
			text, _ := os.ReadFile(file)
			if all := strings.Split(strings.TrimSpace(string(text)), "\n"); len(all) >= n && all[0] != "" {
				return all
			}
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for %s: %q\n%s", what, text, log)
			}
		}
	}
	first := strings.Fields(waitForLines("the start", 1)[0])
	if len(first) != 3 || first[2] != "200" {
		t.Fatalf("the application started before its sidecar served: %v", first)
	}
	// A second sidecar on the port must report it and exit, without an effect on the
	// first.
	second, secondLog := nodeCommand(t, sidecarConfig(t, address, server.Listener.Addr().String(), discovery.Listener.Addr().String(), nil))
	if err := second.Run(); err == nil || !strings.Contains(secondLog.String(), "another process listens on "+address) {
		t.Errorf("second sidecar: %v %q", err, secondLog)
	}
	if got := sendRequest(address, "between"); got != "200" {
		t.Errorf("the first sidecar answers %s", got)
	}
	// The application is killed.
	pid, err := strconv.Atoi(first[1])
	if err != nil || syscall.Kill(pid, syscall.SIGKILL) != nil {
		t.Fatal("killing the application:", err)
	}
	if restarted := strings.Fields(waitForLines("the restart", 2)[1]); len(restarted) != 3 || restarted[1] == first[1] || restarted[2] != "200" {
		t.Errorf("after the restart: %v", restarted)
	}
	// On SIGTERM the application is stopped first, and its last request is answered.
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, log)
	}
	if last := waitForLines("the end", 3)[2]; last != "end 200" {
		t.Errorf("last request: %q", last)
	}
}

// A sidecar must exit when its application exits by itself.
func TestSidecarExitsWithApplication(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	cmd, log := nodeCommand(t, sidecarConfig(t, freeAddress(t), "127.0.0.1:1", discovery.Listener.Addr().String(), []string{"/bin/sh", "-c", "exit 0"}))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("%v\n%s", err, log)
		}
	case <-time.After(20 * time.Second):
		cmd.Process.Kill()
		<-ended
		t.Errorf("the sidecar did not exit\n%s", log)
	}
}
