package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/internal/node/nodetest"

	"curlewring/internal/conns/idleconns"
)

// socketFixture is a server on real sockets with a test handler.
type socketFixture struct {
	*Server
	network, address string
	mu               sync.Mutex
	open             map[Token]string // bodies of open requests
	gone             atomic.Int64
	holdRequests     bool // requests stay open until answer is called
}

func (s *socketFixture) HandleRequest(t Token, r *http.Request, a Arrival) (any, int, *Response) {
	body, _ := io.ReadAll(r.Body)
	if a.Refuse {
		return nil, 0, &Response{Status: http.StatusTooManyRequests, Text: "crowded", Close: true}
	}
	if !s.holdRequests {
		return nil, 0, &Response{Status: http.StatusOK, ContentType: "text/x", Body: body}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[t] = string(body)
	return t, 0, nil
}

func (s *socketFixture) TimeLeft(*http.Request) time.Duration { return time.Second }

func (s *socketFixture) ClientGone(handle any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, handle.(Token))
	s.gone.Add(1)
}

// answer responds to all open requests with the request's body and more zero bytes.
func (s *socketFixture) answer(more int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, body := range s.open {
		delete(s.open, t)
		s.Respond(t, Response{Status: http.StatusOK, ContentType: "text/x", Body: append([]byte(body), make([]byte, more)...), WriteDeadline: s.config.Now() + 4*time.Second})
	}
}

func (s *socketFixture) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// eachTransport runs a test with every transport of real sockets.
func eachTransport(t *testing.T, play func(t *testing.T, start func(change func(*Config), holdRequests bool) *socketFixture)) {
	kinds := map[string]func(net.Listener) (Transport, error){"system": NewTransport, "goroutines": NewGoroutineTransport}
	for name, make := range kinds {
		for _, network := range []string{"tcp", "unix"} {
			t.Run(name+"/"+network, func(t *testing.T) {
				t.Parallel()
				play(t, func(change func(*Config), holdRequests bool) *socketFixture {
					return startSocketFixture(t, make, network, change, holdRequests)
				})
			})
		}
	}
}

func startSocketFixture(t *testing.T, transport func(net.Listener) (Transport, error), network string, change func(*Config), holdRequests bool) *socketFixture {
	t.Helper()
	address := "127.0.0.1:0"
	if network == "unix" {
		address = filepath.Join(t.TempDir(), "f")
	}
	l, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := transport(l)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	s := &socketFixture{network: network, address: l.Addr().String(), open: map[Token]string{}, holdRequests: holdRequests}
	config := Config{
		Transport: tr, Handler: s, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return time.Since(start) },
		MaxConns: 100, MaxRefusalConns: 4, MemoryBudget: 1 << 20, ClassWorths: []float64{1}, MaxHeadSize: 4 << 10, MaxBodySize: 64 << 10,
	}
	if change != nil {
		change(&config)
	}
	s.Server = New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

type socketClient struct {
	net.Conn
	*bufio.Reader
}

func (p *socketClient) Read(b []byte) (int, error) { return p.Reader.Read(b) }

func (s *socketFixture) dial(t *testing.T) *socketClient {
	t.Helper()
	c, err := net.Dial(s.network, s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nodetest.WaitTimeout))
	return &socketClient{c, bufio.NewReader(c)}
}

func post(body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (p *socketClient) expect(t *testing.T, status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(p.Reader, nil)
	if err != nil {
		t.Fatalf("reading the response: %v", err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || body != "" && string(got) != body {
		t.Fatalf("got status %s, %d bytes, %.60q (%v), want %d, %d bytes, %.60q", resp.Status, len(got), got, err, status, len(body), body)
	}
}

// Requests that arrive in one piece, byte by byte, pipelined, or with 100-continue each get their
// own response, in order.
func TestRequestsOverSockets(t *testing.T) {
	eachTransport(t, func(t *testing.T, start func(func(*Config), bool) *socketFixture) {
		s := start(nil, false)
		p := s.dial(t)
		io.WriteString(p, post("one"))
		p.expect(t, 200, "one")
		for _, b := range []byte(post("slow")) {
			p.Write([]byte{b})
		}
		p.expect(t, 200, "slow")
		many := strings.Builder{}
		for n := range 500 {
			many.WriteString(post(fmt.Sprint("n", n)))
		}
		go io.WriteString(p.Conn, many.String())
		for n := range 500 {
			p.expect(t, 200, fmt.Sprint("n", n))
		}
		io.WriteString(p, "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		if line, err := p.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("%q %v", line, err)
		}
		p.ReadString('\n')
		io.WriteString(p, "body")
		p.expect(t, 200, "body")
		nodetest.WaitFor(t, "the connection is parked", func() bool { return s.Stats().Parked == 1 })
	})
}

// A client that closes its sending side or its connection while its request is open is reported as
// gone. One that has sent more bytes is not, until its response was sent.
func TestClientLeavesOverSockets(t *testing.T) {
	eachTransport(t, func(t *testing.T, start func(func(*Config), bool) *socketFixture) {
		s := start(nil, true)
		halfClosed, closed, pipelined := s.dial(t), s.dial(t), s.dial(t)
		for _, p := range []*socketClient{halfClosed, closed} {
			io.WriteString(p, post("x"))
		}
		io.WriteString(pipelined, post("first")+post("second"))
		nodetest.WaitFor(t, "all requests are open", func() bool { return s.openCount() == 3 })
		halfClosed.Conn.(interface{ CloseWrite() error }).CloseWrite()
		closed.Close()
		nodetest.WaitFor(t, "two clients are gone", func() bool { return s.gone.Load() == 2 })
		if rest, _ := io.ReadAll(halfClosed); len(rest) > 0 {
			t.Errorf("the client that closed its sending side got %q", rest)
		}
		s.answer(0)
		pipelined.expect(t, 200, "first")
		nodetest.WaitFor(t, "the second request is open", func() bool { return s.openCount() == 1 })
		s.answer(0)
		pipelined.expect(t, 200, "second")
		if s.gone.Load() != 2 {
			t.Errorf("%d clients are gone, want 2", s.gone.Load())
		}
	})
}

// A response larger than the socket's buffers is sent as its client reads. A client that doesn't
// read is cut off, and no other client has to wait for it.
func TestSlowReadersAreCutOffOverSockets(t *testing.T) {
	eachTransport(t, func(t *testing.T, start func(func(*Config), bool) *socketFixture) {
		s := start(func(c *Config) { c.MemoryBudget = 64 << 20 }, true)
		reads, never := s.dial(t), s.dial(t)
		const more = 12 << 20
		for _, p := range []*socketClient{reads, never} {
			io.WriteString(p, post("x"))
		}
		nodetest.WaitFor(t, "both requests are open", func() bool { return s.openCount() == 2 })
		s.answer(more)
		other := s.dial(t)
		io.WriteString(other, post("y"))
		nodetest.WaitFor(t, "the other request is open", func() bool { return s.openCount() == 1 })
		s.answer(0)
		other.expect(t, 200, "y")
		reads.expect(t, 200, "x"+string(bytes.Repeat([]byte{0}, more)))
		nodetest.WaitFor(t, "the client that doesn't read is cut off", func() bool { return s.Stats().WriteTimeouts == 1 })
		if st := s.Stats(); st.Responses != 3 || st.PeerClosed != 0 {
			t.Errorf("%+v", st)
		}
	})
}

// Above the connection limit, idle connections are closed for new ones. If all have open requests,
// a few more are accepted and refused, and the others wait.
func TestConnectionLimitOverSockets(t *testing.T) {
	eachTransport(t, func(t *testing.T, start func(func(*Config), bool) *socketFixture) {
		s := start(func(c *Config) { c.MaxConns, c.MaxRefusalConns = 8, 2 }, true)
		var idle []*socketClient
		for range 8 {
			p := s.dial(t)
			io.WriteString(p, post("x"))
			nodetest.WaitFor(t, "the request is open", func() bool { return s.openCount() == 1 })
			s.answer(0)
			p.expect(t, 200, "x")
			idle = append(idle, p)
		}
		var busy []*socketClient
		for n := range 8 {
			p := s.dial(t)
			io.WriteString(p, post("x"))
			nodetest.WaitFor(t, "the request is open", func() bool { return s.openCount() == n+1 })
			busy = append(busy, p)
		}
		for _, p := range idle {
			if _, err := p.ReadByte(); err != io.EOF {
				t.Errorf("reading from an idle connection: %v, want EOF", err)
			}
		}
		over := s.dial(t)
		io.WriteString(over, post("x"))
		over.expect(t, 429, "")
		s.answer(0)
		for _, p := range busy {
			p.expect(t, 200, "x")
		}
	})
}

// Changed idle rules apply to connections that are parked already.
func TestChangedIdleRulesOverSockets(t *testing.T) {
	eachTransport(t, func(t *testing.T, start func(func(*Config), bool) *socketFixture) {
		rules := func(d time.Duration) *idleconns.Rules {
			r, err := idleconns.Compile([]idleconns.Rule{{Class: -1, Timeout: d}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		var s *socketFixture
		s = start(func(c *Config) {
			c.IdleRules = rules(time.Hour)
			c.Hooks.ReapplyRules = func() { go s.ReapplyRules(time.Second) }
		}, false)
		p := s.dial(t)
		io.WriteString(p, post("x"))
		p.expect(t, 200, "x")
		nodetest.WaitFor(t, "the connection is parked", func() bool { return s.Stats().Parked == 1 })
		started := time.Now()
		s.SetIdleRules(rules(time.Second))
		if _, err := p.ReadByte(); err != io.EOF || time.Since(started) > 4*time.Second {
			t.Errorf("closed with %v after %v, want EOF within 4s", err, time.Since(started))
		}
	})
}
