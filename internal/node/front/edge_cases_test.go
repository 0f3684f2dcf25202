package front

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"curlewring/internal/conns/idleconns"
)

// addClient adds a client that sends a whole stream at once.
func (h *harness) addClient(stream string, bodies ...string) *scriptedClient {
	c := &scriptedClient{id: h.net.dial(), stream: []byte(stream), bodies: bodies}
	h.clients = append(h.clients, c)
	h.net.send(c.id, c.stream)
	c.sent = len(c.stream)
	h.run()
	return c
}

// setIdleTimeout sets the idle timeout of all connections.
func (h *harness) setIdleTimeout(d time.Duration) {
	rules, err := idleconns.Compile([]idleconns.Rule{{Class: -1, Timeout: d}}, 2)
	if err != nil {
		h.t.Fatal(err)
	}
	h.server.config.IdleRules = rules
	h.server.idleConns.SetRules(rules)
}

func (h *harness) closed(c *scriptedClient) bool { return h.net.state(c.id).closed }

// Guards against a client that sends a single byte after an hour of silence and then holds its
// connection for the rest of its idle timeout: from that byte on, it has RequestTimeout to complete
// a request.
func TestPartialRequestTimesOut(t *testing.T) {
	h := newHarness(t, 10, 1<<20)
	h.setIdleTimeout(10 * time.Hour)
	c := h.addClient(post("ab"), "ab")
	h.answer(0, 0)
	h.now += time.Hour
	h.run()
	if h.closed(c) {
		t.Fatal("closed within its idle timeout")
	}
	h.net.send(c.id, []byte("P"))
	h.run()
	h.now += RequestTimeout - 50*time.Millisecond
	h.run()
	if h.closed(c) {
		t.Error("closed before a request could have come")
	}
	h.now += 100 * time.Millisecond
	h.run()
	if !h.closed(c) {
		t.Error("a single byte keeps the connection open")
	}
}

// Guards against losing a request whose bytes have arrived when its connection is about to be
// closed, because it expired or was evicted. Such a request is served.
func TestRequestArrivingBeforeCloseIsServed(t *testing.T) {
	for name, end := range map[string]func(*harness, *scriptedClient){
		"expired": func(h *harness, _ *scriptedClient) {
			h.now += 20 * time.Second
			h.server.runTurn(func() {}) // run the timers before the event is handled
		},
		"evicted": func(h *harness, _ *scriptedClient) { h.server.runTurn(func() { h.server.evictOne() }) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 10, 1<<20)
			h.server.config.EvictionPolicy = idleconns.LRU
			c := h.addClient(post("one"), "one", "two")
			h.answer(0, 0)
			h.net.mu.Lock() // the bytes have arrived, but their event has not
			h.net.conns[c.id].unread = []byte(post("two"))
			h.net.mu.Unlock()
			end(h, c)
			if h.closed(c) || len(h.open) != 1 {
				t.Fatalf("closed: %v, %d requests open", h.closed(c), len(h.open))
			}
			h.answer(0, 0)
			if got := string(h.net.state(c.id).written); strings.Count(got, "200 OK") != 2 {
				t.Errorf("got %q", got)
			}
		})
	}
}

// When accepting fails for lack of descriptors, the server logs it once, continues, and accepts the
// waiting connections once descriptors are available.
func TestAcceptRecoversFromDescriptorExhaustion(t *testing.T) {
	h := newHarness(t, 10, 1<<20)
	broken := &failingAccept{memoryTransport: h.net, fails: 5}
	h.server.config.Transport = broken
	c := h.addClient(post("x"), "x")
	for range 20 {
		h.now += acceptRetryInterval
		h.run()
	}
	if broken.fails != 0 || len(h.open) != 1 {
		t.Fatalf("%d accept failures left, %d requests open", broken.fails, len(h.open))
	}
	h.answer(0, 0)
	if len(h.net.state(c.id).written) == 0 {
		t.Error("no response")
	}
}

type failingAccept struct {
	*memoryTransport
	fails int
}

func (b *failingAccept) Accept() (Socket, netip.Addr, error) {
	if b.fails > 0 {
		b.fails--
		return 0, netip.Addr{}, errors.New("too many open files")
	}
	return b.memoryTransport.Accept()
}

// Guards against running out of memory when all parked connections send a request at the same
// instant: the memory for open requests stays within its limit, every request is eventually served,
// and those of the highest worth are served first.
func TestMemoryStaysBoundedWhenAllConnectionsWake(t *testing.T) {
	const n, memoryLimit = 400, 120 << 10
	h := newHarness(t, n+10, memoryLimit)
	h.setIdleTimeout(time.Hour)
	var all []*scriptedClient
	for k := range n { // bodies of odd length are of class 1, with worth 12
		body := strings.Repeat("b", 10+k%2)
		all = append(all, h.addClient(post(body), body, body))
		h.answer(0, 0)
	}
	for _, c := range all {
		h.net.send(c.id, []byte(post(c.bodies[0])))
	}
	h.run()
	if len(h.open) >= n/2 || h.server.stats.Deferred == 0 {
		t.Fatalf("%d requests are open at the same time", len(h.open))
	}
	// Deferred requests are served by worth, after the first ones, which were read as they arrived.
	openBefore := len(h.open)
	order := []int{}
	for len(h.open) > 0 {
		h.answer(0, 0)
		if len(h.open) >= openBefore {
			order = append(order, len(h.open[len(h.open)-1].body)%2)
		}
	}
	highWorth := 0
	for _, class := range order[:len(order)/2] {
		highWorth += class
	}
	if highWorth < len(order)/2*9/10 {
		t.Errorf("of the first %d resumed requests, %d are of the higher worth", len(order)/2, highWorth)
	}
	for _, c := range all {
		if c.delivered != 2 {
			t.Fatalf("client %d: %d of 2 requests were delivered", c.id, c.delivered)
		}
	}
	if peak := h.server.memory.Peak(); peak > memoryLimit+3*openRequestBytes {
		t.Errorf("peak memory is %d bytes, want at most %d", peak, memoryLimit)
	}
	h.now += 2 * time.Hour
	h.finish()
}

// On shutdown parked connections are closed in time slices, while those with an open or a partly
// read request are kept.
func TestShutdownKeepsActiveConnections(t *testing.T) {
	h := newHarness(t, 400, 1<<20)
	var parked []*scriptedClient
	for range 300 {
		parked = append(parked, h.addClient(post("x"), "x"))
		h.answer(0, 0)
	}
	busy := h.addClient(post("y"), "y")
	partial := h.addClient(post("zz")[:30], "zz")
	h.server.shuttingDown = true
	steps := 0
	for more := true; more; steps++ {
		more = h.server.closeParked(func() func() bool {
			left := 50
			return func() bool { left--; return left >= 0 }
		}())
	}
	if steps < 5 {
		t.Errorf("closed all in %d steps, want at least 5", steps)
	}
	for _, c := range parked {
		if !h.closed(c) {
			t.Fatal("a parked connection was not closed")
		}
	}
	if h.closed(busy) || h.closed(partial) {
		t.Fatal("a connection with a request was closed")
	}
	h.net.send(partial.id, []byte(post("zz")[30:]))
	h.run()
	h.answer(0, 0)
	h.answer(0, 0)
	for _, c := range []*scriptedClient{busy, partial} {
		if got := string(h.net.state(c.id).written); !strings.Contains(got, "200 OK") || !strings.Contains(got, "Connection: close") || !h.net.state(c.id).writeClosed {
			t.Errorf("got %q, write side closed: %v", got, h.net.state(c.id).writeClosed)
		}
	}
	// One is closed when its client closes, the other half a second later all the same.
	h.net.end(busy.id)
	h.run()
	if !h.closed(busy) || h.closed(partial) {
		t.Errorf("closed: %v and %v, want true and false", h.closed(busy), h.closed(partial))
	}
	h.now += lingerTimeout + 2*timerTick
	h.run()
	if !h.closed(partial) {
		t.Error("a client that doesn't close keeps its connection")
	}
}

// Bytes may arrive between the last look at a connection and its close. Closing then resets the
// connection, and the client may lose a response that it has not read yet. So the close lingers:
// the bytes are read and discarded, and never passed to the handler.
func TestBytesAfterFinalResponseAreDiscarded(t *testing.T) {
	for name, last := range map[string]func(h *harness, c *scriptedClient){
		"shutdown":          func(h *harness, _ *scriptedClient) { h.server.shuttingDown = true; h.answer(0, 0) },
		"Connection: close": func(h *harness, _ *scriptedClient) { h.answer(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 10, 1<<20)
			text := post("one")
			if name == "Connection: close" {
				text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
			}
			c := h.addClient(text, "one")
			last(h, c)
			if h.closed(c) || !h.net.state(c.id).writeClosed {
				t.Fatalf("closed at once: %v; write side closed: %v", h.closed(c), h.net.state(c.id).writeClosed)
			}
			h.net.send(c.id, []byte(post("two"))) // the harness fails if this is passed to the handler
			h.run()
			if h.closed(c) || len(h.net.state(c.id).unread) > 0 {
				t.Errorf("closed: %v, with %d unread bytes", h.closed(c), len(h.net.state(c.id).unread))
			}
			h.net.end(c.id)
			h.run()
			if got := string(h.net.state(c.id).written); !h.closed(c) || strings.Count(got, "200 OK") != 1 {
				t.Errorf("closed: %v, got %q", h.closed(c), got)
			}
		})
	}
}

// A client that has closed its sending side no longer waits for a response. Its close may arrive in
// the same event as its request, behind the start of the next request, or while the request waits
// for memory. No work may be done for it then.
func TestClientCloseArrivingWithRequest(t *testing.T) {
	t.Run("in the same event", func(t *testing.T) {
		h := newHarness(t, 10, 1<<20)
		c := &scriptedClient{id: h.net.dial(), bodies: []string{"one"}}
		h.clients = append(h.clients, c)
		h.run()
		h.net.mu.Lock()
		h.net.conns[c.id].unread, h.net.conns[c.id].fin = []byte(post("one")), true
		h.net.post(&h.net.conns[c.id], Readable|PeerEnded)
		h.net.mu.Unlock()
		h.run()
		if c.delivered != 0 || !h.closed(c) {
			t.Errorf("%d requests delivered, closed: %v", c.delivered, h.closed(c))
		}
	})
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("in the same event as a part of a request, reset: %v", reset), func(t *testing.T) {
			h := newHarness(t, 10, 1<<20)
			c := &scriptedClient{id: h.net.dial()}
			h.clients = append(h.clients, c)
			h.run()
			h.net.mu.Lock()
			row := &h.net.conns[c.id]
			row.unread, row.fin, row.reset = []byte("P"), !reset, reset
			ready := Readable | PeerEnded
			if reset {
				ready |= ConnReset
			}
			h.net.post(row, ready)
			h.net.mu.Unlock()
			h.run()
			h.advance(lingerTimeout)
			if !h.closed(c) {
				t.Error("the connection is open")
			}
		})
	}
	t.Run("behind the next request", func(t *testing.T) {
		h := newHarness(t, 10, 1<<20)
		c := h.addClient(post("one")+post("two"), "one", "two")
		if len(h.open) != 1 {
			t.Fatalf("%d open", len(h.open))
		}
		h.net.end(c.id)
		h.run()
		if len(h.open) != 0 || h.gone != 1 || !h.closed(c) {
			t.Errorf("%d requests open, %d reported as gone, closed: %v", len(h.open), h.gone, h.closed(c))
		}
	})
	t.Run("behind unread bytes", func(t *testing.T) {
		h := newHarness(t, 10, 1<<20)
		c := h.addClient(post("one"), "one")
		h.net.send(c.id, []byte("P"))
		h.run()
		h.net.end(c.id)
		h.run()
		if len(h.open) != 0 || h.gone != 1 || !h.closed(c) {
			t.Errorf("%d requests open, %d reported as gone, closed: %v", len(h.open), h.gone, h.closed(c))
		}
	})
	t.Run("between two pipelined requests", func(t *testing.T) {
		h := newHarness(t, 10, 1<<20)
		c := h.addClient(post("one")+post("two"), "one", "two")
		h.net.window(c.id, 0) // the response can't be sent yet
		h.answer(0, 0)
		h.net.end(c.id)
		h.run()
		h.net.window(c.id, -1)
		h.run()
		if c.delivered != 1 {
			t.Errorf("%d requests delivered, want 1", c.delivered)
		}
	})
}

// A connection on which the first bytes have just arrived is neither evicted nor timed out.
func TestFirstBytesArrivingBeforeCloseAreRead(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"timeout": func(h *harness) {
			h.now += RequestTimeout + timerTick
			h.server.runTurn(func() {})
		},
		"eviction": func(h *harness) {
			h.now += 2 * NewConnGrace
			h.server.runTurn(func() { h.server.evictOne() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 10, 1<<20)
			c := &scriptedClient{id: h.net.dial(), bodies: []string{"one"}}
			h.clients = append(h.clients, c)
			h.run()
			h.net.mu.Lock() // the bytes have arrived, but their event has not
			h.net.conns[c.id].unread = []byte(post("one"))
			h.net.mu.Unlock()
			end(h)
			if h.closed(c) || len(h.open) != 1 {
				t.Fatalf("closed: %v, %d requests open", h.closed(c), len(h.open))
			}
		})
	}
	h := newHarness(t, 10, 1<<20) // half a request extends the timeout no more than other bytes do
	c := h.addClient("", "one")
	h.now += RequestTimeout - timerTick
	h.net.mu.Lock()
	h.net.conns[c.id].unread = []byte("PO")
	h.net.mu.Unlock()
	h.now += 2 * timerTick
	h.server.runTurn(func() {})
	if h.closed(c) {
		t.Error("closed although its first bytes had arrived")
	}
	h.now += RequestTimeout + 2*timerTick
	h.run()
	if !h.closed(c) {
		t.Error("half a request keeps the connection open")
	}
}

// headEnd finds the end of a head by the rules of net/http's parser, wherever the data is split.
func FuzzHeadEnd(f *testing.F) {
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\nrest", "a\n\nb", "\r\n\r\n", "a\r\n\rb\n\n", "\n", "x\n\r\n"} {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		wholeEnd, _ := headEnd(data, 0)
		cut = min(max(cut, 0), len(data))
		end, next := headEnd(data[:cut], 0)
		if end == 0 {
			end, _ = headEnd(data, next)
		}
		if end != wholeEnd {
			t.Fatalf("%q cut at %d: ends at %d and %d", data, cut, end, wholeEnd)
		}
		if wholeEnd == 0 {
			return
		}
		var p headParser
		r, requestErr := p.parseHead(data[:wholeEnd])
		if requestErr != nil && strings.Contains(requestErr.text, "two ends") {
			return // rejected with status 400, so no request can be smuggled
		}
		if requestErr == nil && (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
			t.Fatalf("%q: length %d", data, r.ContentLength)
		}
	})
}
