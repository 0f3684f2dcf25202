// Package nodetest is what tests of the node's packages share: servers, discovery and
// waits. No program uses it.
package nodetest

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Patience bounds every wait of a test for a condition; it is not a measure.
const WaitTimeout = 20 * time.Second

// WaitFor waits until a condition holds.
func WaitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// Server is a server of the tier, with a handler of the test's. It keeps
// the requests that came and counts connections.
type Server struct {
	*httptest.Server
	Mu       sync.Mutex // guards what follows
	Requests []*http.Request
	Bodies   []string
	opened   int
	closed   int
}

func NewServer(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	s := &Server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.Mu.Lock()
		s.Requests, s.Bodies = append(s.Requests, r), append(s.Bodies, string(body))
		s.Mu.Unlock()
		handler(w, r)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		s.Mu.Lock()
		defer s.Mu.Unlock()
		switch state {
		case http.StateNew:
			s.opened++
		case http.StateClosed, http.StateHijacked:
			s.closed++
		}
	}
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *Server) Addr() string { return s.Listener.Addr().String() }

func (s *Server) RequestCount() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return len(s.Requests)
}

// Connections are those that came and those that have ended.
func (s *Server) Connections() (came, ended int) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.opened, s.closed
}

func RespondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }
}

// Cut reads the request and breaks the connection.
func BreakConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Hang answers nothing until the node gives up.
func Hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// DiscoveryServer answers watches as the test says, one answer a call.
type DiscoveryServer struct {
	*httptest.Server
	responses chan string // a list, or "" for a call that fails
	mu        sync.Mutex
	queries   []string
}

func NewDiscoveryServer(t *testing.T) *DiscoveryServer {
	t.Helper()
	d := &DiscoveryServer{responses: make(chan string)}
	end := make(chan struct{})
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.queries = append(d.queries, r.URL.RawQuery)
		d.mu.Unlock()
		select {
		case a := <-d.responses:
			if a == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			io.WriteString(w, a)
		case <-r.Context().Done():
		case <-end:
		}
	}))
	t.Cleanup(func() {
		close(end)
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

// Tell answers the node's next call, or the one that waits.
func (d *DiscoveryServer) SendList(t *testing.T, list string) {
	t.Helper()
	select {
	case d.responses <- list:
	case <-time.After(WaitTimeout):
		t.Fatal("the node did not ask discovery")
	}
}

func (d *DiscoveryServer) Query(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i < len(d.queries) {
		return d.queries[i]
	}
	return "none"
}

func (d *DiscoveryServer) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queries)
}

// ListOf makes a list of servers s0, s1 ...; a lifecycle may follow an address.
func ServerList(generation int, whole bool, addrs ...string) string {
	var items []string
	for i, a := range addrs {
		addr, state, found := strings.Cut(a, " ")
		if !found {
			state = "SERVING"
		}
		items = append(items, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","cell":%d,`+
			`"lifecycle":%q,"weight":1.0,"startedAtMs":0}`, i, addr, i, state))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(items, ","))
}

// DeadAddress is one that refuses connections.
func DeadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// NewID is an id that no other request has.
func NewRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// RawServer answers each request on a connection with what answer writes.
func RawServer(t *testing.T, answer func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					answer(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Endless writes a text again and again until the connection is closed, and
// tells how much was taken.
func StreamForever(text string, sent chan<- int) func(net.Conn) {
	return func(c net.Conn) {
		total := 0
		defer func() { sent <- total }()
		c.SetWriteDeadline(time.Now().Add(WaitTimeout))
		for block := []byte(strings.Repeat(text, 1000)); ; {
			n, err := c.Write(block)
			total += n
			if err != nil {
				return
			}
		}
	}
}

func DiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
