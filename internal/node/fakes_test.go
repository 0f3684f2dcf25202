package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
)

// configText is a configuration for classes look (safe), note (keyed) and act (unsafe).
func configText(discovery, known string, sockets int) string {
	class := func(name, semantics string) string {
		return fmt.Sprintf(`{"name":%q,"semantics":%q,"group":"cell","key_ttl_ns":10000000000,`+
			`"aim_ns":20000000000,"deadline_ns":30000000000,"worth":1}`, name, semantics)
	}
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":{
		"categories":[%s,%s,%s],"limits":{"cancel":true,"conn_idle_ns":10000000000,
		"connect_timeout_ns":5000000000,"most_tries":4,"streams_per_conn":1},
		"obligations":{"ask_within_ns":10000000000,"drain_grace_ns":500000000},
		"n_instances":1,"registry_mode":"subscribe","tier":1,"tiers":["front","back"],"zone":"a"}}`,
		discovery, sockets, known, class("look", "repeatable"), class("note", "by_key"), class("act", "once"))
}

func testConfig(t *testing.T, discovery, known string, sockets int) *Config {
	t.Helper()
	c, err := parseConfig([]byte(configText(discovery, known, sockets)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// testNode is a running node and the error that its Run returned.
type testNode struct {
	*Node
	url    string
	cancel context.CancelFunc
	ended  chan error
}

// maxClients returns how many client connections the node accepts.
func (n *testNode) maxClients() int {
	clients, _ := splitSockets(n.config.Sockets)
	return clients
}

// startNode runs a node with a configuration.
func startNode(t *testing.T, c *Config) *testNode {
	t.Helper()
	return startNodeWithLog(t, c, DiscardLogger())
}

// startNodeWithLog runs a node with a configuration and a logger.
func startNodeWithLog(t *testing.T, c *Config, log *slog.Logger) *testNode {
	t.Helper()
	n, err := New(c, log)
	if err != nil {
		t.Fatal(err)
	}
	return runNode(t, n)
}

// runNode runs a node until the end of the test, or until its cancel is called.
func runNode(t *testing.T, n *Node) *testNode {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tn := &testNode{Node: n, url: "http://" + n.Address().String(), cancel: cancel, ended: make(chan error, 1)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		tn.ended <- n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return tn
}

// startWithServers runs a node with these servers in its known list, while discovery is down.
func startWithServers(t *testing.T, servers ...*Server) *testNode {
	t.Helper()
	var addrs []string
	for _, s := range servers {
		addrs = append(addrs, s.Addr())
	}
	return startNode(t, testConfig(t, DeadAddress(t), ServerList(1, true, addrs...), 1024))
}

// request creates a client's request. The first segment of the path is its class.
func request(t *testing.T, url, path, body string, headers ...string) *http.Request {
	t.Helper()
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	method, reader := http.MethodPost, io.Reader(strings.NewReader(body))
	if class == "look" {
		method, reader = http.MethodGet, nil
	}
	r, err := http.NewRequest(method, url+path, reader)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Txn", NewRequestID())
	r.Header.Set("X-Lane", class)
	r.Header.Set("X-Remaining-Ms", "15000")
	if class == "note" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// exchange sends a request over a new connection and returns the response and its body.
func exchange(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := (&http.Client{Transport: tr}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// rawConn is a client connection on which a test writes raw bytes.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, n *testNode) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", n.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(WaitTimeout))
	return &rawConn{c, bufio.NewReader(c)}
}

func (c *rawConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func (c *rawConn) receive(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body = io.NopCloser(strings.NewReader(string(body)))
	return resp
}

// rawLook returns a request of class look in wire format.
func rawLook() string {
	return "GET /look/1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + NewRequestID() +
		"\r\nX-Lane: look\r\nX-Remaining-Ms: 15000\r\n\r\n"
}
