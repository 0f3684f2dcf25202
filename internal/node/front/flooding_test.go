package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewring/internal/conns/membudget"
	"curlewring/internal/sched/dutycycle"
)

const immediateRequest = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against memory and a queue that grow while clients send small requests faster than they are answered.
func TestPipeliningClientsHoldOneBufferEach(t *testing.T) {
	const clients, requests = 3, 20_000
	h := newHarness(t, 10, 1<<20)
	for range clients {
		h.addClient(strings.Repeat(immediateRequest, requests))
	}
	for h.immediate < clients*requests {
		before := h.immediate
		h.run()
		if h.immediate == before {
			t.Fatalf("%d of %d requests answered", h.immediate, clients*requests)
		}
		if n := h.server.runnable.len(); n > clients {
			t.Fatalf("%d entries for %d connections are queued", n, clients)
		}
		for i := range clients {
			if active := h.server.table.at(int32(i)).active; active != nil && cap(active.buf) > 2*len(h.server.readBuffer) {
				t.Fatalf("a connection holds %d bytes, a read has %d", cap(active.buf), len(h.server.readBuffer))
			}
		}
	}
}

// Guards against clients that send small requests at full speed and leave no time to others, or to the rest of the
// process.
func TestPipeliningClientsLeaveTimeToOthers(t *testing.T) {
	const clients, length = 6, time.Second
	h := newHarness(t, 10, 1<<20)
	h.immediateCost = 50 * time.Microsecond
	for range clients {
		h.addClient(strings.Repeat(immediateRequest, 100_000))
	}
	start, before := h.now, h.immediate
	h.advance(length)
	worked := time.Duration(h.immediate-before) * h.immediateCost
	if limit := (h.now - start) / 2; worked > limit {
		t.Errorf("worked for %v of %v", worked, h.now-start)
	}
	if worked == 0 {
		t.Error("the clients are not served at all")
	}
	h.addClient(post("one"), "one")
	if len(h.open) != 1 {
		t.Error("another client's request was not read at once")
	}
}

// Guards against connections that are refused while clients that were turned away, and go on sending, hold the places.
func TestLingeringConnectionsGiveWay(t *testing.T) {
	const places = 10
	h := newHarness(t, places, 1<<20)
	for range places {
		h.addClient("nonsense\r\n\r\n").malformed = true
	}
	if got := h.server.table.inUse; got != places {
		t.Fatalf("%d connections are open, want %d", got, places)
	}
	h.advance(lingerGrace)
	for n := range places {
		h.addClient(post("one"), "one")
		if len(h.open) != n+1 || h.refused > 0 {
			t.Fatalf("%d of %d requests were read, %d refused", len(h.open), n+1, h.refused)
		}
	}
}

// Guards against memory that heads of very many short fields take without being counted.
func TestHeadsOfManyFieldsAreCounted(t *testing.T) {
	head := func(fields int) string {
		var b strings.Builder
		b.WriteString("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n")
		for n := range fields - 2 {
			fmt.Fprintf(&b, "%x:\r\n", n)
		}
		return b.String() + "\r\n"
	}
	h := newHarness(t, 10, 1<<20)
	accepted := h.addClient(head(maxHeadFields)+"bo", "body")
	if held := h.server.memory.Used(membudget.PartialRequests); held < openRequestBytes+parsedFieldBytes*maxHeadFields+len(head(maxHeadFields)) {
		t.Errorf("an unfinished request of %d fields counts as %d bytes", maxHeadFields, held)
	}
	h.net.send(accepted.id, []byte("dy"))
	h.run()
	if len(h.open) != 1 {
		t.Errorf("a request of %d fields was not read", maxHeadFields)
	}
	if held := h.server.memory.Used(membudget.OpenRequests); held < openRequestBytes+len(head(maxHeadFields)) {
		t.Errorf("an open request of %d fields counts as %d bytes", maxHeadFields, held)
	}
	rejected := h.addClient(head(maxHeadFields+1) + "bo")
	if got := h.written(rejected); !strings.HasPrefix(got, "HTTP/1.1 431 ") {
		t.Errorf("a request of %d fields got %q", maxHeadFields+1, got)
	}
}

// Guards against bytes that are never read because they arrive while their connection waits for its turn.
func TestBytesArrivingInTheQueueAreRead(t *testing.T) {
	h := newHarness(t, 10, 1<<20)
	h.immediateCost = time.Millisecond
	c := h.addClient(strings.Repeat(immediateRequest, 4), "last")
	if h.immediate == 4 {
		t.Fatal("no request waits for its turn")
	}
	h.net.send(c.id, []byte(post("last")))
	h.run()
	h.advance(100 * time.Millisecond)
	if h.immediate != 4 || len(h.open) != 1 {
		t.Errorf("%d of 4 requests answered at once, %d of 1 open", h.immediate, len(h.open))
	}
}

// Guards against requests that are sent on for a client whose close is hidden behind what it has sent.
func TestRequestBeforeMuchUnreadIsNotSentOn(t *testing.T) {
	h := newHarness(t, 10, 1<<20)
	const requests = 1500
	bodies := make([]string, requests)
	for n := range bodies {
		bodies[n] = "body"
	}
	c := h.addClient(strings.Repeat(post("body"), requests), bodies...)
	for len(h.open) == 0 && c.delivered < requests {
		h.run()
	}
	if got := h.written(c); !strings.HasPrefix(got, "HTTP/1.1 429 ") || h.refused == 0 {
		t.Errorf("%d requests refused, the first got %.20q", h.refused, got)
	}
	if unread := len(h.net.state(c.id).unread); len(h.open) != 1 || unread >= hiddenEndBytes || unread < hiddenEndBytes/2 {
		t.Errorf("%d requests open, %d bytes unread", len(h.open), unread)
	}
	h.addClient(strings.Repeat(post("body"), 20), bodies[:20]...)
	if len(h.open) != 2 {
		t.Error("a client with few requests is refused")
	}
}

// Guards against connections that are timed out or evicted while their next request waits for its turn.
func TestRequestsInTheQueueAreNotClosed(t *testing.T) {
	h := newHarness(t, 10, 1<<20)
	h.immediateCost = time.Millisecond
	c := h.addClient(strings.Repeat(immediateRequest, 4)+post("last"), "last")
	h.server.pipelining = dutycycle.New(1, time.Hour) // nothing is read from the queue meanwhile
	h.server.pipelining.RoundEnded(h.now, h.now+time.Hour)
	h.advance(2 * RequestTimeout)
	h.server.runTurn(func() { h.server.evictOne() })
	h.server.pipelining = dutycycle.New(1, 0)
	h.run()
	if h.immediate != 4 || len(h.open) != 1 || h.closed(c) {
		t.Errorf("%d of 4 requests answered at once, %d of 1 open, closed: %v", h.immediate, len(h.open), h.closed(c))
	}
}
