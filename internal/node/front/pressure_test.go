package front

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewring/internal/conns/membudget"
	"curlewring/internal/node/nodetest"
)

// stall adds clients that send half of a request until they hold the memory for such requests.
func (h *harness) stall() {
	h.t.Helper()
	body := strings.Repeat("s", 1000)
	whole := post(body)
	for range 100 {
		if h.server.memory.Level() != membudget.Normal {
			return
		}
		h.addClient(whole[:len(whole)-len(body)/2], body)
	}
	h.t.Fatal("stalled clients don't use up the memory")
}

// openAll adds clients until the request of one is not read for want of memory, and returns that client.
func (h *harness) openAll() *scriptedClient {
	h.t.Helper()
	for range 100 {
		if c := h.addClient(post("body"), "body"); c.delivered == 0 {
			return c
		}
	}
	h.t.Fatal("open requests don't use up the memory")
	return nil
}

// advance lets time pass in steps.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+timerTick)
		h.run()
	}
}

func (h *harness) written(c *scriptedClient) string { return string(h.net.state(c.id).written) }

// Guards against whole requests that stay unread behind unfinished ones that hold the memory.
func TestWholeRequestsAreReadBesideUnfinishedOnes(t *testing.T) {
	h := newHarness(t, 100, 128<<10)
	parked := h.addClient(post("one"), "one", "two")
	h.answer(0, 0)
	h.stall()
	h.net.send(parked.id, []byte(post("two")))
	h.run()
	inPieces := h.addClient(post("pieces")[:20], "pieces")
	h.addClient(post("new"), "new")
	h.net.send(inPieces.id, []byte(post("pieces")[20:]))
	h.run()
	if len(h.open) != 3 {
		t.Errorf("%d of 3 whole requests were read", len(h.open))
	}
}

// Guards against requests that wait for memory until their client's time is over, or whose connection is closed
// without an answer.
func TestRequestsWaitingForMemoryAreAnsweredInTime(t *testing.T) {
	request := post("body")
	toTimeout := func(h *harness) { h.advance(h.timeLeft/2 + 2*timerTick) }
	for name, c := range map[string]struct {
		add  func(*harness) *scriptedClient
		wait func(*harness)
	}{
		"memory held by open requests": {(*harness).openAll, toTimeout},
		"memory held by unfinished requests": {func(h *harness) *scriptedClient {
			h.timeLeft = stalledAfter // half of it is over before they give way
			h.stall()
			return h.addClient(request[:len(request)-1], "body")
		}, toTimeout},
		"its rest comes later": {func(h *harness) *scriptedClient {
			h.openAll()
			client := h.addClient(request[:30], "body")
			h.advance(h.timeLeft / 4)
			h.net.send(client.id, []byte(request[30:]))
			h.run()
			return client
		}, toTimeout},
		"evicted for a new connection": {(*harness).openAll, func(h *harness) {
			h.now += NewConnGrace
			h.server.runTurn(func() { h.server.evictOne() })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 110, 64<<10)
			client := c.add(h)
			open := len(h.open)
			if client.delivered > 0 {
				t.Fatal("the request did not wait for memory")
			}
			c.wait(h)
			if got := h.written(client); !strings.HasPrefix(got, "HTTP/1.1 429 ") || len(h.open) != open {
				t.Errorf("got %q, %d requests open, %d before", got, len(h.open), open)
			}
			h.advance(2 * lingerTimeout)
			if !h.closed(client) {
				t.Error("the connection of the refused request stays open")
			}
		})
	}
}

// Guards against requests that are refused for want of memory while stalled ones hold it: those give way, and not the ones of
// which bytes still come.
func TestStalledRequestsGiveWayToWaitingOnes(t *testing.T) {
	h := newHarness(t, 100, 64<<10)
	slow := h.addClient(post("slowly")[:20], "slowly")
	h.stall()
	stalled := h.clients[1]
	waiting := h.addClient(post("body")[:30], "body")
	for n := range 5 {
		h.advance(stalledAfter/5 + timerTick)
		h.net.send(slow.id, []byte(post("slowly")[20+n:21+n]))
		h.run()
	}
	h.net.send(slow.id, []byte(post("slowly")[25:]))
	h.net.send(waiting.id, []byte(post("body")[30:]))
	h.run()
	if len(h.open) != 2 || slow.delivered+waiting.delivered != 2 {
		t.Errorf("%d requests open, want the slow and the waiting one", len(h.open))
	}
	if got := h.written(stalled); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("the stalled request was answered with %q", got)
	}
}

// Guards against answers after the client's time: the time for which a request waited for memory is reported.
func TestWaitForMemoryIsReported(t *testing.T) {
	const wait = 200 * time.Millisecond
	h := newHarness(t, 110, 64<<10)
	client := h.openAll()
	h.advance(wait)
	for client.delivered == 0 && len(h.open) > 0 {
		h.answer(0, 0)
	}
	if last := len(h.waits) - 1; h.waits[last] != wait || h.waits[last-1] != 0 {
		t.Errorf("the last two requests were read with waits of %v, want 0 and %v", h.waits[last-1:], wait)
	}
}

// Whatever holds the memory, a whole request is read or refused within half of its client's time, its connection is not closed
// without an answer, and memory stays within its limit.
func TestRequestsAreReadOrRefusedInTimeUnderMemoryPressure(t *testing.T) {
	const memory, clients, step = 40 << 10, 8, 20 * time.Millisecond
	refused, served := 0, 0
	for seed := range uint64(60) {
		h := newHarness(t, 200, memory)
		h.timeLeft = 300 * time.Millisecond // its half is over before stalled requests give way
		r := rand.New(rand.NewPCG(seed, 11))
		usual, sentAt := make([]*scriptedClient, clients), make([]time.Duration, clients)
		for range 200 {
			if r.IntN(3) == 0 { // stalls, or goes on after a while
				whole := post(strings.Repeat("s", 1000))
				h.addClient(whole[:r.IntN(len(whole))], strings.Repeat("s", 1000))
			}
			for k, c := range usual {
				unanswered := c != nil && len(h.written(c)) == 0
				switch {
				case unanswered && h.closed(c):
					t.Fatalf("seed %d: the connection was closed without an answer", seed)
				case c == nil || h.closed(c) || h.net.state(c.id).writeClosed:
					body := fmt.Sprint(k, strings.Repeat(".", r.IntN(900)))
					usual[k], sentAt[k] = h.addClient(post(body), body), h.now
				case unanswered && c.delivered == 0 && h.now > sentAt[k]+h.timeLeft/2+2*timerTick:
					t.Fatalf("seed %d: neither read nor refused after %v", seed, h.now-sentAt[k])
				case !unanswered && r.IntN(4) == 0:
					h.net.end(c.id)
					h.run()
				}
			}
			for len(h.open) > 0 && r.IntN(3) > 0 {
				h.answer(0, 0)
				served++
			}
			h.advance(step)
			if peak := h.server.memory.Peak(); peak > memory+3*openRequestBytes {
				t.Fatalf("seed %d: peak memory is %d bytes, want at most %d", seed, peak, memory)
			}
		}
		refused += h.refused
		h.finish()
	}
	if refused < 50 || served < 1000 {
		t.Errorf("%d refused and %d served: the draws do not cover enough", refused, served)
	}
}

// A request that waits for memory in the kernel is read once its last bytes have come, with every transport.
func TestRestOfDeferredRequestIsNoticedOverSockets(t *testing.T) {
	eachTransport(t, func(t *testing.T, start func(func(*Config), bool) *socketFixture) {
		const announced, stalling = 64 << 10, 2
		s := start(func(c *Config) { c.MemoryBudget = stalling * (announced + 2*openRequestBytes) * 100 / 90 }, false)
		for n := range stalling {
			stalled := s.dial(t)
			fmt.Fprintf(stalled, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nhalf", announced)
			nodetest.WaitFor(t, "the half request is read", func() bool { return s.Stats().Memory > (n+1)*announced })
		}
		client := s.dial(t)
		whole := post("body")
		for n := range 3 {
			io.WriteString(client, whole[n*10:(n+1)*10])
			nodetest.WaitFor(t, "the part waits for memory", func() bool { return s.Stats().Deferred == 1 })
		}
		io.WriteString(client, whole[30:])
		client.expect(t, 200, "body")
		if st := s.Stats(); st.RequestTimeouts+st.MemoryTimeouts > 0 {
			t.Errorf("answered only after others had timed out: %+v", st)
		}
	})
}

// Guards against ending a request although its rest has arrived: for another connection, as its time is over, or as it seems
// to have stalled.
func TestRestArrivingBeforeEndIsRead(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"eviction": func(h *harness) {
			h.now += NewConnGrace
			h.server.runTurn(func() { h.server.evictOne() })
		},
		"timeout": func(h *harness) {
			h.now += RequestTimeout + 2*timerTick
			h.server.runTurn(func() {})
		},
		"reclaim": func(h *harness) {
			h.stall()
			h.addClient(post("waits")[:20], "waits")
			h.now += stalledAfter
			h.server.runTurn(func() {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 100, 64<<10)
			c := h.addClient(post("one")[:20], "one")
			h.net.mu.Lock() // the bytes have arrived, but their event has not
			h.net.conns[c.id].unread = []byte(post("one")[20:])
			h.net.mu.Unlock()
			end(h)
			if h.closed(c) || len(h.open) != 1 {
				t.Errorf("closed: %v, %d requests open", h.closed(c), len(h.open))
			}
		})
	}
}

// Guards against closing a connection whose request has arrived because requests have arrived on several others too.
func TestEvictionClosesNoConnectionWithUnreadBytes(t *testing.T) {
	h := newHarness(t, 20, 1<<20)
	const clients = 10
	for range clients {
		h.clients = append(h.clients, &scriptedClient{id: h.net.dial(), bodies: []string{"one"}})
	}
	h.run()
	h.net.mu.Lock() // the bytes have arrived, but their events have not
	for i := range h.net.conns {
		h.net.conns[i].unread = []byte(post("one"))
	}
	h.net.mu.Unlock()
	h.now += NewConnGrace
	h.server.runTurn(func() { h.server.evictOne() })
	if len(h.open) != clients || h.server.stats.Evicted > 0 {
		t.Errorf("%d of %d requests read, %d connections evicted", len(h.open), clients, h.server.stats.Evicted)
	}
}
