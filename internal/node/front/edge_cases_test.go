package front

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"curlewring/internal/conns/idleconns"
)

// client adds one with this stream, all of which is sent.
func (g *harness) addClient(stream string, whole ...string) *scriptedClient {
	c := &scriptedClient{id: g.net.dial(), stream: []byte(stream), bodies: whole}
	g.clients = append(g.clients, c)
	g.net.send(c.id, c.stream)
	c.sent = len(c.stream)
	g.run()
	return c
}

// rest makes connections rest for so long.
func (g *harness) setIdleTimeout(d time.Duration) {
	rules, err := idleconns.Compile([]idleconns.Rule{{Class: -1, Timeout: d}}, 2)
	if err != nil {
		g.t.Fatal(err)
	}
	g.server.config.IdleRules = rules
	g.server.idleConns.SetRules(rules)
}

func (g *harness) closed(c *scriptedClient) bool { return g.net.state(c.id).closed }

// One byte after an hour, then silence: the connection rests no longer, and ends 2 s
// after the byte, whatever time its rule would still give.
func TestPartialRequestTimesOut(t *testing.T) {
	g := newHarness(t, 10, 1<<20)
	g.setIdleTimeout(10 * time.Hour)
	c := g.addClient(post("ab"), "ab")
	g.answer(0, 0)
	g.now += time.Hour
	g.run()
	if g.closed(c) {
		t.Fatal("closed within its rest")
	}
	g.net.send(c.id, []byte("P"))
	g.run()
	g.now += RequestTimeout - 50*time.Millisecond
	g.run()
	if g.closed(c) {
		t.Error("closed before a request could have come")
	}
	g.now += 100 * time.Millisecond
	g.run()
	if !g.closed(c) {
		t.Error("a byte holds the connection")
	}
}

// A request whose bytes have come when its connection is about to be closed, for its
// time or for room, is served.
func TestRequestArrivingBeforeCloseIsServed(t *testing.T) {
	for name, end := range map[string]func(*harness, *scriptedClient){
		"expired": func(g *harness, _ *scriptedClient) {
			g.now += 20 * time.Second
			g.server.runTurn(func() {}) // timers, before the event is seen
		},
		"for room": func(g *harness, _ *scriptedClient) { g.server.runTurn(func() { g.server.evictOne() }) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 10, 1<<20)
			g.server.config.EvictionPolicy = idleconns.LRU
			c := g.addClient(post("one"), "one", "two")
			g.answer(0, 0)
			g.net.mu.Lock() // the bytes are there, and their event is not
			g.net.conns[c.id].unread = []byte(post("two"))
			g.net.mu.Unlock()
			end(g, c)
			if g.closed(c) || len(g.open) != 1 {
				t.Fatalf("closed %v, %d open", g.closed(c), len(g.open))
			}
			g.answer(0, 0)
			if got := string(g.net.state(c.id).written); strings.Count(got, "200 OK") != 2 {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Accepting fails for want of descriptors: the front says so once, goes on, and takes
// the waiting ones when there are some again.
func TestAcceptRecoversFromDescriptorExhaustion(t *testing.T) {
	g := newHarness(t, 10, 1<<20)
	broken := &failingAccept{memoryTransport: g.net, fails: 5}
	g.server.config.Transport = broken
	c := g.addClient(post("x"), "x")
	for range 20 {
		g.now += acceptRetryInterval
		g.run()
	}
	if broken.fails != 0 || len(g.open) != 1 {
		t.Fatalf("%d failures are left, %d open", broken.fails, len(g.open))
	}
	g.answer(0, 0)
	if len(g.net.state(c.id).written) == 0 {
		t.Error("no answer")
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

// All parked connections wake in one instant, and the memory for open requests is a
// small part of what they would need: it stays within its bound, each is served in the
// end, and those that ask for what is worth most come first.
func TestMemoryStaysBoundedWhenAllConnectionsWake(t *testing.T) {
	const n, most = 400, 120 << 10
	g := newHarness(t, n+10, most)
	g.setIdleTimeout(time.Hour)
	var all []*scriptedClient
	for k := range n { // bodies of odd length are of class 1, worth 12
		body := strings.Repeat("b", 10+k%2)
		all = append(all, g.addClient(post(body), body, body))
		g.answer(0, 0)
	}
	for _, c := range all {
		g.net.send(c.id, []byte(post(c.bodies[0])))
	}
	g.run()
	if len(g.open) >= n/2 || g.server.stats.Deferred == 0 {
		t.Fatalf("%d requests are open at once", len(g.open))
	}
	// What was deferred comes by worth: after the first, which came as they were read.
	was := len(g.open)
	order := []int{}
	for len(g.open) > 0 {
		g.answer(0, 0)
		if len(g.open) >= was {
			order = append(order, len(g.open[len(g.open)-1].body)%2)
		}
	}
	worthy := 0
	for _, class := range order[:len(order)/2] {
		worthy += class
	}
	if worthy < len(order)/2*9/10 {
		t.Errorf("of the first %d that were taken up, %d are of the higher worth", len(order)/2, worthy)
	}
	for _, c := range all {
		if c.delivered != 2 {
			t.Fatalf("client %d: %d of 2 requests", c.id, c.delivered)
		}
	}
	if peak := g.server.memory.Peak(); peak > most+3*openRequestBytes {
		t.Errorf("%d bytes at the peak, %d allowed", peak, most)
	}
	g.now += 2 * time.Hour
	g.finish()
}

// The end closes what is parked by steps, and nothing that is open or read in part.
func TestShutdownKeepsActiveConnections(t *testing.T) {
	g := newHarness(t, 400, 1<<20)
	var parkedOnes []*scriptedClient
	for range 300 {
		parkedOnes = append(parkedOnes, g.addClient(post("x"), "x"))
		g.answer(0, 0)
	}
	under := g.addClient(post("y"), "y")
	part := g.addClient(post("zz")[:30], "zz")
	g.server.shuttingDown = true
	steps := 0
	for more := true; more; steps++ {
		more = g.server.closeParked(func() func() bool {
			left := 50
			return func() bool { left--; return left >= 0 }
		}())
	}
	if steps < 5 {
		t.Errorf("%d steps", steps)
	}
	for _, c := range parkedOnes {
		if !g.closed(c) {
			t.Fatal("a parked one is left")
		}
	}
	if g.closed(under) || g.closed(part) {
		t.Fatal("one under way was closed")
	}
	g.net.send(part.id, []byte(post("zz")[30:]))
	g.run()
	g.answer(0, 0)
	g.answer(0, 0)
	for _, c := range []*scriptedClient{under, part} {
		if got := string(g.net.state(c.id).written); !strings.Contains(got, "200 OK") || !strings.Contains(got, "Connection: close") || !g.net.state(c.id).writeClosed {
			t.Errorf("got %q, its sending ended: %v", got, g.net.state(c.id).writeClosed)
		}
	}
	// One is closed as its client ends, the other within half a second all the same.
	g.net.end(under.id)
	g.run()
	if !g.closed(under) || g.closed(part) {
		t.Errorf("closed: %v and %v", g.closed(under), g.closed(part))
	}
	g.now += lingerTimeout + 2*timerTick
	g.run()
	if !g.closed(part) {
		t.Error("a client that does not end keeps its connection")
	}
}

// Bytes may come between the last look at a connection and its close. A close over them is a reset, which takes an answer
// along that the client has not read: so the close lingers, and what comes is read, dropped, and never handed on.
func TestBytesAfterFinalResponseAreDiscarded(t *testing.T) {
	for name, last := range map[string]func(g *harness, c *scriptedClient){
		"the node ends":          func(g *harness, _ *scriptedClient) { g.server.shuttingDown = true; g.answer(0, 0) },
		"the client asks for it": func(g *harness, _ *scriptedClient) { g.answer(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 10, 1<<20)
			text := post("one")
			if name == "the client asks for it" {
				text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
			}
			c := g.addClient(text, "one")
			last(g, c)
			if g.closed(c) || !g.net.state(c.id).writeClosed {
				t.Fatalf("closed at once: %v; its sending ended: %v", g.closed(c), g.net.state(c.id).writeClosed)
			}
			g.net.send(c.id, []byte(post("two"))) // the game fails if that is handed on
			g.run()
			if g.closed(c) || len(g.net.state(c.id).unread) > 0 {
				t.Errorf("closed %v over %d bytes", g.closed(c), len(g.net.state(c.id).unread))
			}
			g.net.end(c.id)
			g.run()
			if got := string(g.net.state(c.id).written); !g.closed(c) || strings.Count(got, "200 OK") != 1 {
				t.Errorf("closed %v, got %q", g.closed(c), got)
			}
		})
	}
}

// A client that has ended its sending has gone. Its end may come in the same event as its request, behind the start of a
// next one, or while its request waits for memory; nothing may be done for it then.
func TestClientCloseArrivingWithRequest(t *testing.T) {
	t.Run("in one event", func(t *testing.T) {
		g := newHarness(t, 10, 1<<20)
		c := &scriptedClient{id: g.net.dial(), bodies: []string{"one"}}
		g.clients = append(g.clients, c)
		g.run()
		g.net.mu.Lock()
		g.net.conns[c.id].unread, g.net.conns[c.id].fin = []byte(post("one")), true
		g.net.post(&g.net.conns[c.id], Readable|PeerEnded)
		g.net.mu.Unlock()
		g.run()
		if c.delivered != 0 || !g.closed(c) {
			t.Errorf("%d requests are handed on, closed %v", c.delivered, g.closed(c))
		}
	})
	t.Run("behind a next request", func(t *testing.T) {
		g := newHarness(t, 10, 1<<20)
		c := g.addClient(post("one")+post("two"), "one", "two")
		if len(g.open) != 1 {
			t.Fatalf("%d open", len(g.open))
		}
		g.net.end(c.id)
		g.run()
		if len(g.open) != 0 || g.gone != 1 || !g.closed(c) {
			t.Errorf("%d open, %d told gone, closed %v", len(g.open), g.gone, g.closed(c))
		}
	})
	t.Run("behind bytes that are not read", func(t *testing.T) {
		g := newHarness(t, 10, 1<<20)
		c := g.addClient(post("one"), "one")
		g.net.send(c.id, []byte("P"))
		g.run()
		g.net.end(c.id)
		g.run()
		if len(g.open) != 0 || g.gone != 1 || !g.closed(c) {
			t.Errorf("%d open, %d told gone, closed %v", len(g.open), g.gone, g.closed(c))
		}
	})
	t.Run("between two requests of one write", func(t *testing.T) {
		g := newHarness(t, 10, 1<<20)
		c := g.addClient(post("one")+post("two"), "one", "two")
		g.net.window(c.id, 0) // the answer can't go out yet
		g.answer(0, 0)
		g.net.end(c.id)
		g.run()
		g.net.window(c.id, -1)
		g.run()
		if c.delivered != 1 {
			t.Errorf("%d requests are handed on", c.delivered)
		}
	})
}

// A connection on which bytes have just come is not closed for room, nor for its time, though none were read before.
func TestFirstBytesArrivingBeforeCloseAreRead(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"its time": func(g *harness) {
			g.now += RequestTimeout + timerTick
			g.server.runTurn(func() {})
		},
		"for room": func(g *harness) {
			g.now += 2 * NewConnGrace
			g.server.runTurn(func() { g.server.evictOne() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 10, 1<<20)
			c := &scriptedClient{id: g.net.dial(), bodies: []string{"one"}}
			g.clients = append(g.clients, c)
			g.run()
			g.net.mu.Lock() // the bytes are there, and their event is not
			g.net.conns[c.id].unread = []byte(post("one"))
			g.net.mu.Unlock()
			end(g)
			if g.closed(c) || len(g.open) != 1 {
				t.Fatalf("closed %v, %d open", g.closed(c), len(g.open))
			}
		})
	}
	g := newHarness(t, 10, 1<<20) // half a request holds it no longer than another would
	c := g.addClient("", "one")
	g.now += RequestTimeout - timerTick
	g.net.mu.Lock()
	g.net.conns[c.id].unread = []byte("PO")
	g.net.mu.Unlock()
	g.now += 2 * timerTick
	g.server.runTurn(func() {})
	if g.closed(c) {
		t.Error("closed over its first bytes")
	}
	g.now += RequestTimeout + 2*timerTick
	g.run()
	if !g.closed(c) {
		t.Error("half a request holds the connection")
	}
}

// Where a head ends is told by the parser's own rules, wherever the bytes are cut.
func FuzzHeadEnd(f *testing.F) {
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\nrest", "a\n\nb", "\r\n\r\n", "a\r\n\rb\n\n", "\n", "x\n\r\n"} {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole, _ := headEnd(data, 0)
		cut = min(max(cut, 0), len(data))
		end, next := headEnd(data[:cut], 0)
		if end == 0 {
			end, _ = headEnd(data, next)
		}
		if end != whole {
			t.Fatalf("%q cut at %d: ends at %d and %d", data, cut, end, whole)
		}
		if whole == 0 {
			return
		}
		var p headParser
		r, wrong := p.parseHead(data[:whole])
		if wrong != nil && strings.Contains(wrong.text, "two ends") {
			return // answered 400: nothing hides
		}
		if wrong == nil && (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
			t.Fatalf("%q: length %d", data, r.ContentLength)
		}
	})
}
