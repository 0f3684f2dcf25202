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
func (g *game) client(stream string, whole ...string) *gameClient {
	c := &gameClient{id: g.net.dial(), stream: []byte(stream), whole: whole}
	g.clients = append(g.clients, c)
	g.net.send(c.id, c.stream)
	c.sent = len(c.stream)
	g.turn()
	return c
}

// rest makes connections rest for so long.
func (g *game) rest(d time.Duration) {
	rules, err := idleconns.Compile([]idleconns.Rule{{Class: -1, Timeout: d}}, 2)
	if err != nil {
		g.t.Fatal(err)
	}
	g.server.set.IdleRules = rules
	g.server.hold.SetRules(rules)
}

func (g *game) closed(c *gameClient) bool { return g.net.state(c.id).closed }

// One byte after an hour, then silence: the connection rests no longer, and ends 2 s
// after the byte, whatever time its rule would still give.
func TestOneByteAfterAnHour(t *testing.T) {
	g := newGame(t, 10, 1<<20)
	g.rest(10 * time.Hour)
	c := g.client(post("ab"), "ab")
	g.answer(0, 0)
	g.now += time.Hour
	g.turn()
	if g.closed(c) {
		t.Fatal("closed within its rest")
	}
	g.net.send(c.id, []byte("P"))
	g.turn()
	g.now += RequestTimeout - 50*time.Millisecond
	g.turn()
	if g.closed(c) {
		t.Error("closed before a request could have come")
	}
	g.now += 100 * time.Millisecond
	g.turn()
	if !g.closed(c) {
		t.Error("a byte holds the connection")
	}
}

// A request whose bytes have come when its connection is about to be closed, for its
// time or for room, is served.
func TestRequestCrossesTheClose(t *testing.T) {
	for name, end := range map[string]func(*game, *gameClient){
		"expired": func(g *game, _ *gameClient) {
			g.now += 20 * time.Second
			g.server.turn(func() {}) // timers, before the event is seen
		},
		"for room": func(g *game, _ *gameClient) { g.server.turn(func() { g.server.oust() }) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGame(t, 10, 1<<20)
			g.server.set.EvictionPolicy = idleconns.LRU
			c := g.client(post("one"), "one", "two")
			g.answer(0, 0)
			g.net.mu.Lock() // the bytes are there, and their event is not
			g.net.conns[c.id].in = []byte(post("two"))
			g.net.mu.Unlock()
			end(g, c)
			if g.closed(c) || len(g.open) != 1 {
				t.Fatalf("closed %v, %d open", g.closed(c), len(g.open))
			}
			g.answer(0, 0)
			if got := string(g.net.state(c.id).got); strings.Count(got, "200 OK") != 2 {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Accepting fails for want of descriptors: the front says so once, goes on, and takes
// the waiting ones when there are some again.
func TestOutOfDescriptors(t *testing.T) {
	g := newGame(t, 10, 1<<20)
	broken := &brokenAccept{memory: g.net, fails: 5}
	g.server.set.Transport = broken
	c := g.client(post("x"), "x")
	for range 20 {
		g.now += roomLook
		g.turn()
	}
	if broken.fails != 0 || len(g.open) != 1 {
		t.Fatalf("%d failures are left, %d open", broken.fails, len(g.open))
	}
	g.answer(0, 0)
	if len(g.net.state(c.id).got) == 0 {
		t.Error("no answer")
	}
}

type brokenAccept struct {
	*memory
	fails int
}

func (b *brokenAccept) Accept() (Socket, netip.Addr, error) {
	if b.fails > 0 {
		b.fails--
		return 0, netip.Addr{}, errors.New("too many open files")
	}
	return b.memory.Accept()
}

// All parked connections wake in one instant, and the memory for open requests is a
// small part of what they would need: it stays within its bound, each is served in the
// end, and those that ask for what is worth most come first.
func TestWakeOfAllKeepsMemoryFlat(t *testing.T) {
	const n, most = 400, 120 << 10
	g := newGame(t, n+10, most)
	g.rest(time.Hour)
	var all []*gameClient
	for k := range n { // bodies of odd length are of class 1, worth 12
		body := strings.Repeat("b", 10+k%2)
		all = append(all, g.client(post(body), body, body))
		g.answer(0, 0)
	}
	for _, c := range all {
		g.net.send(c.id, []byte(post(c.whole[0])))
	}
	g.turn()
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
		if c.handed != 2 {
			t.Fatalf("client %d: %d of 2 requests", c.id, c.handed)
		}
	}
	if peak := g.server.ledger.Peak(); peak > most+3*openBytes {
		t.Errorf("%d bytes at the peak, %d allowed", peak, most)
	}
	g.now += 2 * time.Hour
	g.finish()
}

// The end closes what is parked by steps, and nothing that is open or read in part.
func TestTheEndSparesWhatIsUnderWay(t *testing.T) {
	g := newGame(t, 400, 1<<20)
	var parkedOnes []*gameClient
	for range 300 {
		parkedOnes = append(parkedOnes, g.client(post("x"), "x"))
		g.answer(0, 0)
	}
	under := g.client(post("y"), "y")
	part := g.client(post("zz")[:30], "zz")
	g.server.leaving = true
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
	g.turn()
	g.answer(0, 0)
	g.answer(0, 0)
	for _, c := range []*gameClient{under, part} {
		if got := string(g.net.state(c.id).got); !strings.Contains(got, "200 OK") || !strings.Contains(got, "Connection: close") || !g.net.state(c.id).half {
			t.Errorf("got %q, its sending ended: %v", got, g.net.state(c.id).half)
		}
	}
	// One is closed as its client ends, the other within half a second all the same.
	g.net.end(under.id)
	g.turn()
	if !g.closed(under) || g.closed(part) {
		t.Errorf("closed: %v and %v", g.closed(under), g.closed(part))
	}
	g.now += lingerFor + 2*timerTick
	g.turn()
	if !g.closed(part) {
		t.Error("a client that does not end keeps its connection")
	}
}

// Bytes may come between the last look at a connection and its close. A close over them is a reset, which takes an answer
// along that the client has not read: so the close lingers, and what comes is read, dropped, and never handed on.
func TestBytesCrossALastAnswer(t *testing.T) {
	for name, last := range map[string]func(g *game, c *gameClient){
		"the node ends":          func(g *game, _ *gameClient) { g.server.leaving = true; g.answer(0, 0) },
		"the client asks for it": func(g *game, _ *gameClient) { g.answer(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGame(t, 10, 1<<20)
			text := post("one")
			if name == "the client asks for it" {
				text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
			}
			c := g.client(text, "one")
			last(g, c)
			if g.closed(c) || !g.net.state(c.id).half {
				t.Fatalf("closed at once: %v; its sending ended: %v", g.closed(c), g.net.state(c.id).half)
			}
			g.net.send(c.id, []byte(post("two"))) // the game fails if that is handed on
			g.turn()
			if g.closed(c) || len(g.net.state(c.id).in) > 0 {
				t.Errorf("closed %v over %d bytes", g.closed(c), len(g.net.state(c.id).in))
			}
			g.net.end(c.id)
			g.turn()
			if got := string(g.net.state(c.id).got); !g.closed(c) || strings.Count(got, "200 OK") != 1 {
				t.Errorf("closed %v, got %q", g.closed(c), got)
			}
		})
	}
}

// A client that has ended its sending has gone. Its end may come in the same event as its request, behind the start of a
// next one, or while its request waits for memory; nothing may be done for it then.
func TestTheClientsEndCrossesItsRequest(t *testing.T) {
	t.Run("in one event", func(t *testing.T) {
		g := newGame(t, 10, 1<<20)
		c := &gameClient{id: g.net.dial(), whole: []string{"one"}}
		g.clients = append(g.clients, c)
		g.turn()
		g.net.mu.Lock()
		g.net.conns[c.id].in, g.net.conns[c.id].fin = []byte(post("one")), true
		g.net.tell(&g.net.conns[c.id], Readable|PeerEnded)
		g.net.mu.Unlock()
		g.turn()
		if c.handed != 0 || !g.closed(c) {
			t.Errorf("%d requests are handed on, closed %v", c.handed, g.closed(c))
		}
	})
	t.Run("behind a next request", func(t *testing.T) {
		g := newGame(t, 10, 1<<20)
		c := g.client(post("one")+post("two"), "one", "two")
		if len(g.open) != 1 {
			t.Fatalf("%d open", len(g.open))
		}
		g.net.end(c.id)
		g.turn()
		if len(g.open) != 0 || g.gone != 1 || !g.closed(c) {
			t.Errorf("%d open, %d told gone, closed %v", len(g.open), g.gone, g.closed(c))
		}
	})
	t.Run("behind bytes that are not read", func(t *testing.T) {
		g := newGame(t, 10, 1<<20)
		c := g.client(post("one"), "one")
		g.net.send(c.id, []byte("P"))
		g.turn()
		g.net.end(c.id)
		g.turn()
		if len(g.open) != 0 || g.gone != 1 || !g.closed(c) {
			t.Errorf("%d open, %d told gone, closed %v", len(g.open), g.gone, g.closed(c))
		}
	})
	t.Run("between two requests of one write", func(t *testing.T) {
		g := newGame(t, 10, 1<<20)
		c := g.client(post("one")+post("two"), "one", "two")
		g.net.window(c.id, 0) // the answer can't go out yet
		g.answer(0, 0)
		g.net.end(c.id)
		g.turn()
		g.net.window(c.id, -1)
		g.turn()
		if c.handed != 1 {
			t.Errorf("%d requests are handed on", c.handed)
		}
	})
}

// A connection on which bytes have just come is not closed for room, nor for its time, though none were read before.
func TestFirstBytesCrossTheClose(t *testing.T) {
	for name, end := range map[string]func(*game){
		"its time": func(g *game) {
			g.now += RequestTimeout + timerTick
			g.server.turn(func() {})
		},
		"for room": func(g *game) {
			g.now += 2 * NewConnGrace
			g.server.turn(func() { g.server.oust() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGame(t, 10, 1<<20)
			c := &gameClient{id: g.net.dial(), whole: []string{"one"}}
			g.clients = append(g.clients, c)
			g.turn()
			g.net.mu.Lock() // the bytes are there, and their event is not
			g.net.conns[c.id].in = []byte(post("one"))
			g.net.mu.Unlock()
			end(g)
			if g.closed(c) || len(g.open) != 1 {
				t.Fatalf("closed %v, %d open", g.closed(c), len(g.open))
			}
		})
	}
	g := newGame(t, 10, 1<<20) // half a request holds it no longer than another would
	c := g.client("", "one")
	g.now += RequestTimeout - timerTick
	g.net.mu.Lock()
	g.net.conns[c.id].in = []byte("PO")
	g.net.mu.Unlock()
	g.now += 2 * timerTick
	g.server.turn(func() {})
	if g.closed(c) {
		t.Error("closed over its first bytes")
	}
	g.now += RequestTimeout + 2*timerTick
	g.turn()
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
		var p parser
		r, wrong := p.head(data[:whole])
		if wrong != nil && strings.Contains(wrong.text, "two ends") {
			return // answered 400: nothing hides
		}
		if wrong == nil && (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
			t.Fatalf("%q: length %d", data, r.ContentLength)
		}
	})
}
