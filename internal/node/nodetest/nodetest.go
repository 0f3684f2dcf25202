// Package nodetest has helpers for tests of the node's packages: fake servers, a fake discovery
// service and waits. Only tests use it.
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
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds every wait of a test for a condition. It is generous, and no measure of how
// fast the node must be.
const WaitTimeout = 20 * time.Second

// WaitFor waits until a condition holds, and fails the test after WaitTimeout.
func WaitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Server is a fake server with a handler of the test. It records requests and counts
// connections.
type Server struct {
	*httptest.Server
	Mu       sync.Mutex // guards the fields below
	Requests []*http.Request
	Bodies   []string
	opened   int
	closed   int
}

// NewServer starts a server until the end of the test.
func NewServer(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return NewServerOn(t, l, handler)
}

// NewServerOn is NewServer with a listener.
func NewServerOn(t *testing.T, l net.Listener, handler http.HandlerFunc) *Server {
	t.Helper()
	s := &Server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.Mu.Lock()
		s.Requests, s.Bodies = append(s.Requests, r), append(s.Bodies, string(body))
		s.Mu.Unlock()
		handler(w, r)
	}))
	s.Listener.Close()
	s.Listener = l
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

// Addr returns the server's host:port.
func (s *Server) Addr() string { return s.Listener.Addr().String() }

// RequestCount returns how many requests the server has received.
func (s *Server) RequestCount() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return len(s.Requests)
}

// Connections returns how many connections have been opened, and how many of them closed.
func (s *Server) Connections() (opened, closed int) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.opened, s.closed
}

// RespondWith returns a handler that answers 200 with a text.
func RespondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }
}

// BreakConnection is a handler that resets the connection.
func BreakConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Hang is a handler that doesn't answer until the node gives up.
func Hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// DiscoveryServer is a fake discovery service. Each call waits for an answer from SendList.
type DiscoveryServer struct {
	*httptest.Server
	responses chan string // a list, or "" to fail the call
	mu        sync.Mutex
	queries   []string
}

// NewDiscoveryServer starts a discovery service until the end of the test.
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

// SendList answers the node's pending call or, if there is none, its next one.
func (d *DiscoveryServer) SendList(t *testing.T, list string) {
	t.Helper()
	select {
	case d.responses <- list:
	case <-time.After(WaitTimeout):
		t.Fatal("the node did not call discovery")
	}
}

// Query returns the raw query of call number i, or "none".
func (d *DiscoveryServer) Query(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i < len(d.queries) {
		return d.queries[i]
	}
	return "none"
}

// Calls returns how many calls have been received.
func (d *DiscoveryServer) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queries)
}

// ServerList returns the JSON of a list of servers s0, s1, ... An address may be followed by a
// space and a lifecycle; the default is SERVING.
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

// DeadAddress returns an address at which nobody listens, until the end of the test.
func DeadAddress(t *testing.T) string {
	t.Helper()
	return ReserveAddress(t).Address
}

// ReservedAddress is an address of this test alone, at which connections are refused until Listen. An address that is
// merely free may be given to a listener of another test.
type ReservedAddress struct {
	Address string
	file    *os.File // a socket that is bound to it
}

// ReserveAddress reserves an address until the end of the test.
func ReserveAddress(t *testing.T) *ReservedAddress {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "reserved address")
	t.Cleanup(func() { file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return &ReservedAddress{Address: net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), file: file}
}

// Listen begins to listen at the address.
func (a *ReservedAddress) Listen(t *testing.T) net.Listener {
	t.Helper()
	if err := syscall.Listen(int(a.file.Fd()), syscall.SOMAXCONN); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(a.file)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// NewRequestID returns a unique id for a request.
func NewRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// RawServer starts a server that answers each request with the bytes that answer writes.
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

// StreamForever returns a function that writes a text repeatedly until the connection fails, and
// then sends the number of bytes written.
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

// DiscardLogger returns a logger that discards everything.
func DiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
