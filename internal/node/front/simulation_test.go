package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/conns/membudget"
)

// harness runs a server in one goroutine and virtual time. A script stands in for the clients, the
// handler and the clock, and the harness checks invariants after any sequence of events.
type harness struct {
	t       testing.TB
	net     *memoryTransport
	server  *Server
	now     time.Duration
	clients []*scriptedClient
	open    []*openRequest // requests that the handler has, oldest first
	answers int
	gone    int

	timeLeft time.Duration   // of every client
	waits    []time.Duration // how long each request waited for memory, in the order of their arrival
	refused  int

	immediateCost time.Duration // time that a request takes which the handler answers at once
	immediate     int           // such requests
}

type scriptedClient struct {
	id        int32
	stream    []byte // everything that it will send
	sent      int
	bodies    []string // bodies of its requests, in order
	delivered int      // number of requests that the handler has received
	answered  []string // bodies of the handler's responses, in order
	ended     bool
	malformed bool // its stream contains an invalid request
}

type openRequest struct {
	client *scriptedClient
	token  Token
	body   string
}

func newHarness(t testing.TB, maxConns, memoryBytes int) *harness {
	h := &harness{t: t, net: newMemory(), now: time.Hour, timeLeft: time.Second}
	h.net.accepting = true
	h.server = New(Config{
		Transport: h.net, Handler: h, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return h.now },
		MaxConns: maxConns, MaxRefusalConns: 2, MemoryBudget: memoryBytes, ClassWorths: []float64{1, 12}, EvictionPolicy: idleconns.LowestValue,
		MaxHeadSize: 1 << 10, MaxBodySize: 1 << 10,
	})
	return h
}

// HandleRequest implements Handler. It answers some requests at once.
func (h *harness) HandleRequest(t Token, r *http.Request, a Arrival) (any, int, *Response) {
	i, c := h.server.table.lookup(uint64(t))
	if c == nil || c.state != stateOpen {
		h.t.Fatalf("got a request of connection %d in state %v", i, c)
	}
	client := h.clients[c.socket]
	body, err := io.ReadAll(r.Body)
	if err != nil || len(r.TransferEncoding) > 0 || r.ContentLength > 1<<10 {
		if !client.malformed {
			h.t.Fatalf("reading the body of a valid request: %v", err)
		}
		return nil, -1, &Response{Status: http.StatusBadRequest, Text: "malformed", Close: true}
	}
	if r.URL.Path == "/now" {
		h.now += h.immediateCost
		h.immediate++
		return nil, -1, &Response{Status: http.StatusOK, Text: "now"}
	}
	bodyUnread := a.Refuse && len(body) == 0
	if client.delivered >= len(client.bodies) || client.bodies[client.delivered] != string(body) && !bodyUnread {
		h.t.Fatalf("client %d: request %d has the body %q, the client sent %q", client.id, client.delivered, body, client.bodies)
	}
	client.delivered++
	h.waits = append(h.waits, a.Waited)
	if a.Refuse || a.EndHidden {
		h.refused++
		return nil, 0, &Response{Status: http.StatusTooManyRequests, Text: "crowded", Close: a.Refuse}
	}
	for _, o := range h.open {
		if o.client == client {
			h.t.Fatalf("client %d has two requests open on one connection", client.id)
		}
	}
	o := &openRequest{client, t, string(body)}
	h.open = append(h.open, o)
	return o, len(body) % 2, nil
}

func (h *harness) TimeLeft(*http.Request) time.Duration { return h.timeLeft }

func (h *harness) ClientGone(handle any) {
	for i, o := range h.open {
		if o == handle {
			h.open = append(h.open[:i], h.open[i+1:]...)
			h.gone++
			return
		}
	}
	h.t.Fatal("ClientGone for a request that is not open")
}

// answer responds to an open request.
func (h *harness) answer(n, size int) {
	if len(h.open) == 0 {
		return
	}
	o := h.open[n%len(h.open)]
	h.open = append(h.open[:n%len(h.open)], h.open[n%len(h.open)+1:]...)
	text := o.body + strings.Repeat("+", size)
	o.client.answered = append(o.client.answered, text)
	h.server.Respond(o.token, Response{Status: http.StatusOK, ContentType: "text/x", Body: []byte(text), WriteDeadline: h.now + time.Second})
	h.answers++
	h.run()
}

// run runs the server until there is nothing more to do.
func (h *harness) run() {
	for range 100 {
		batch := h.net.take()
		h.server.runTurn(func() { h.server.handleEvents(batch); h.server.writeResponses() })
		if at, ok := h.server.nextWake(); len(batch) == 0 && (!ok || at > h.now) {
			return
		}
	}
}

// dialRandom opens a client with a random stream of requests.
func (h *harness) dialRandom(r *rand.Rand) {
	c := &scriptedClient{id: h.net.dial()}
	for n := range r.IntN(4) + 1 {
		switch r.IntN(12) {
		case 0:
			c.stream = append(c.stream, "GET /now HTTP/1.1\r\nHost: a\r\n\r\n"...)
			continue
		case 1:
			c.malformed = true
			c.stream = append(c.stream, [...]string{
				"nonsense\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
				"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", strings.Repeat("y", 9000),
				"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
			}[r.IntN(6)]...)
		}
		if c.malformed {
			break // what follows must not reach the handler
		}
		body := fmt.Sprintf("%d/%d", c.id, n) + strings.Repeat(".", r.IntN(2)*r.IntN(900))
		c.bodies = append(c.bodies, body)
		c.stream = append(c.stream, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body...)
	}
	h.clients = append(h.clients, c)
}

// play runs a script, in which every two bytes are a step.
func (h *harness) play(script []byte) {
	r := rand.New(rand.NewPCG(uint64(len(script)), 7))
	for n := 0; n+1 < len(script) && n < 600; n += 2 {
		what, arg := script[n]%16, int(script[n+1])
		var c *scriptedClient
		if len(h.clients) > 0 {
			c = h.clients[max(0, len(h.clients)-1-arg%8)]
		}
		switch {
		case what == 0 || c == nil:
			if len(h.clients) < 64 {
				h.dialRandom(r)
			}
		case what <= 5 && !c.ended: // send some of the bytes, or all
			n := min(len(c.stream)-c.sent, [...]int{1, 7, 40, 300, 5000}[arg%5])
			h.net.send(c.id, c.stream[c.sent:c.sent+n])
			c.sent += n
		case what == 6:
			c.ended = true
			h.net.end(c.id)
		case what == 7:
			c.ended = true
			h.net.abort(c.id)
		case what <= 10:
			h.answer(arg, arg%3*400)
		case what == 11:
			h.now += time.Duration(arg) * 10 * time.Millisecond
		case what == 12:
			h.now += time.Duration(arg) * time.Second / 4
		case what == 13:
			h.net.window(c.id, [...]int{0, 1, 50, -1}[arg%4])
		case what == 14: // duplicate events, and events with tokens of unknown connections and reused rows
			h.net.mu.Lock()
			token := h.net.conns[c.id].token
			h.net.ready = append(h.net.ready, Event{token, Readable}, Event{token, Readable | Writable},
				Event{token + 1<<32, Readable | ConnReset}, Event{token ^ 1<<20, ConnReset})
			h.net.mu.Unlock()
		case what == 15:
			h.server.runTurn(func() { h.server.evictOne() })
		}
		h.run()
	}
}

// finish ends everything and checks what each client received and that no resources are left.
func (h *harness) finish() {
	for len(h.open) > 0 {
		h.answer(0, 0)
	}
	for _, c := range h.clients {
		h.net.window(c.id, -1)
		h.run()
	}
	for range 64 { // longer than all connections waiting for room may stay, one after another
		h.now += 3 * time.Second
		h.run()
		for len(h.open) > 0 {
			h.answer(0, 0)
		}
	}
	for _, c := range h.clients {
		h.checkResponses(c)
	}
	s := h.server
	if s.table.inUse != 0 || len(s.deferrals) != 0 || s.wheel.Len() != 0 || s.idleConns.Idle() != 0 || s.idleConns.Incomplete() != 0 {
		h.t.Fatalf("left over: %d connections, %d timers, %d idle, %d incomplete", s.table.inUse, s.wheel.Len(), s.idleConns.Idle(), s.idleConns.Incomplete())
	}
	if h.net.closes != len(h.clients) {
		h.t.Fatalf("opened %d connections, closed %d", len(h.clients), h.net.closes)
	}
	if sum, pool := s.memory.Total(), s.memory.Used(membudget.PooledBuffers); sum != pool {
		h.t.Fatalf("%d bytes accounted, but %d pooled", sum, pool)
	}
}

// checkResponses parses the bytes that a client received: complete responses in the order of its
// requests, at most one for each, with the handler's bodies. The last one may be truncated.
func (h *harness) checkResponses(c *scriptedClient) {
	got := h.net.state(c.id).written
	reader := bufio.NewReader(bytes.NewReader(got))
	next, closed := 0, false
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return // no more responses, or a truncated one
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		if closed {
			h.t.Fatalf("client %d got %q after a response with Connection: close", c.id, body)
		}
		closed = resp.Close
		if resp.Header.Get("Content-Type") != "text/x" {
			continue // generated by the server itself
		}
		if next >= len(c.answered) || c.answered[next] != string(body) {
			h.t.Fatalf("client %d: response %d is %q, the handler sent %q", c.id, next, body, c.answered)
		}
		next++
	}
}

// For any sequence of bytes, closes, timeouts, responses and spurious events: no request is
// delivered twice or with other bytes, no response is lost, duplicated or sent to another client,
// and no resources are left.
func FuzzParkAndWake(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(script(seed), uint8(seed))
	}
	f.Fuzz(func(t *testing.T, script []byte, extraConns uint8) {
		h := newHarness(t, 2+int(extraConns%16), 1<<20)
		h.play(script)
		h.finish()
	})
}

func script(seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	all := make([]byte, 400)
	for i := range all {
		all[i] = byte(r.Uint32())
	}
	return all
}

func TestParkAndWake(t *testing.T) {
	requests, gone := 0, 0
	for seed := range uint64(3000) {
		memoryBytes := 1 << 20
		if seed%4 == 0 {
			memoryBytes = 12 << 10 // memory is short most of the time
		}
		h := newHarness(t, 2+int(seed%16), memoryBytes)
		h.immediateCost = time.Duration(seed%3) * time.Millisecond
		h.play(script(seed))
		h.finish()
		requests, gone = requests+h.answers, gone+h.gone
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if requests < 5000 || gone < 100 {
		t.Errorf("only %d responses and %d disconnected clients: the scripts don't cover enough", requests, gone)
	}
}
