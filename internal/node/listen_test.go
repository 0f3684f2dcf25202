package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "curlewring/internal/node/nodetest"
)

// throughSocket returns an HTTP client that connects to a unix socket.
func throughSocket(t *testing.T, path string) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// A sidecar's unix socket must serve like a TCP port. A client whose request is rejected early
// must get the answer, though it is still sending.
func TestUnixSocket(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "c.sock")
	s := NewServer(t, RespondWith("here"))
	c := testConfig(t, DeadAddress(t), ServerList(1, true, s.Addr()), 1024)
	c.Sidecar = &Sidecar{Socket: path}
	n := startNode(t, c)
	resp, err := throughSocket(t, path).Do(request(t, "http://sidecar", "/look/1", ""))
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if string(body) != "here" {
		t.Errorf("got %q", body)
	}
	raw, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	go io.WriteString(raw, "POST /act/1 HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining-Ms: 5\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("x", 900000))
	if resp, err = http.ReadResponse(bufio.NewReader(raw), nil); err != nil || resp.StatusCode != 413 {
		t.Errorf("got %v, %v", resp, err)
	}
	n.cancel()
	<-n.ended
	if _, err := os.Lstat(path); !os.IsNotExist(err) {
		t.Errorf("the socket was left: %v", err)
	}
}

// A second process must fail to listen on a socket and leave the first alone. The socket of a
// dead process must be replaced, and a file that is not a socket must be kept.
func TestUnixSocketHasOneOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	first, err := listenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := listenUnix(path); err == nil || !strings.Contains(err.Error(), "another process listens on "+path) {
			t.Fatalf("the second: %v", err)
		}
	}
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal("the first does not listen any more:", err)
	}
	c.Close()
	// A process that dies leaves its socket behind, and the kernel releases its lock.
	first.(*unixListener).SetUnlinkOnClose(false)
	first.Close()
	if _, err := os.Lstat(path); err != nil {
		t.Fatal("no socket was left behind to take over:", err)
	}
	again, err := listenUnix(path)
	if err != nil {
		t.Fatal("after a death:", err)
	}
	again.Close()
	if err := os.WriteFile(path, []byte("precious"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := listenUnix(path); err == nil {
		t.Error("a regular file was replaced by a socket")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "precious" {
		t.Error("the file was changed", err)
	}
}

// A sidecar's configuration must be rejected if others than its host could reach it. Schemas one
// version older or newer must be accepted.
func TestSidecarConfiguration(t *testing.T) {
	make := func(listen, more string) string {
		return `{"name":"a","listen":"` + listen + `","discovery":"127.0.0.1:1","seed":"1",` + more +
			`"limits":{"memory_mb":32,"sockets":64},"settings":{"categories":[{"name":"look","semantics":"repeatable",
			"aim_ns":1000000000,"deadline_ns":2000000000,"worth":1}]}}`
	}
	long := strings.Repeat("x", 110)
	for _, tc := range []struct{ listen, more, wrong string }{
		{"127.0.0.1:15001", `"sidecar":{},`, ""},
		{"[::1]:15001", `"sidecar":{"application":"a"},`, ""},
		{"[::ffff:127.0.0.1]:15001", `"sidecar":{},`, ""},
		{"", `"sidecar":{"socket":"/run/c.sock"},`, ""},
		{"0.0.0.0:15001", `"sidecar":{},`, "loopback"},
		{"[::]:15001", `"sidecar":{},`, "loopback"},
		{"192.0.2.1:15001", `"sidecar":{},`, "loopback"},
		{"localhost:15001", `"sidecar":{},`, "loopback"},
		{"", `"sidecar":{},`, "loopback"},
		{"", `"sidecar":{"socket":"run/c.sock"},`, "absolute"},
		{"", `"sidecar":{"socket":"/` + long + `"},`, "at most 107 bytes"},
		{"127.0.0.1:15001", `"sidecar":{"socket":"/run/c.sock"},`, "both"},
		{"127.0.0.1:15001", `"sidecar":{"command":[""]},`, "command"},
		{"0.0.0.0:15001", ``, ""},
		{"127.0.0.1:15001", `"schema":0,`, ""},
		{"127.0.0.1:15001", `"schema":1,`, ""},
		{"127.0.0.1:15001", `"schema":2,"what_comes_next":{"a":[1]},"sidecar":{"next":true},`, ""},
		{"127.0.0.1:15001", `"schema":3,`, "schema"},
		{"127.0.0.1:15001", `"schema":-1,`, "schema"},
	} {
		_, err := parseConfig([]byte(make(tc.listen, tc.more)))
		if tc.wrong == "" && err != nil || tc.wrong != "" && (err == nil || !strings.Contains(err.Error(), tc.wrong)) {
			t.Errorf("%s %s: %v, want %q", tc.listen, tc.more, err, tc.wrong)
		}
	}
}
