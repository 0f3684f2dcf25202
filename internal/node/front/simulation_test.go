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

// game plays a front in one goroutine and virtual time, with a script in the place
// of clients, node and clock, and checks what holds whatever comes.
type harness struct {
	t       testing.TB
	net     *memoryTransport
	server  *Server
	now     time.Duration
	clients []*scriptedClient
	open    []*openRequest // requests with the node, oldest first
	answers int
	gone    int
}

type scriptedClient struct {
	id        int32
	stream    []byte // what it sends in the end
	sent      int
	bodies    []string // bodies of its requests, in order
	delivered int      // of these, how many the node has got
	answered  []string // what the node has answered, in order
	ended     bool
	malformed bool // its stream holds what is no request
}

type openRequest struct {
	client *scriptedClient
	token  Token
	body   string
}

func newHarness(t testing.TB, most, memoryBytes int) *harness {
	g := &harness{t: t, net: newMemory(), now: time.Hour}
	g.net.accepting = true
	g.server = New(Config{
		Transport: g.net, Handler: g, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return g.now },
		MaxConns: most, MaxRefusalConns: 2, MemoryBudget: memoryBytes, ClassWorths: []float64{1, 12}, EvictionPolicy: idleconns.LowestValue,
		MaxHeadSize: 1 << 10, MaxBodySize: 1 << 10,
	})
	return g
}

// Request is the node's: it may answer at once.
func (g *harness) HandleRequest(t Token, r *http.Request, crowded bool) (any, int, *Response) {
	i, c := g.server.table.lookup(uint64(t))
	if c == nil || c.state != stateOpen {
		g.t.Fatalf("a request of connection %d, which is %v", i, c)
	}
	client := g.clients[c.socket]
	body, err := io.ReadAll(r.Body)
	if err != nil || len(r.TransferEncoding) > 0 || r.ContentLength > 1<<10 {
		if !client.malformed {
			g.t.Fatalf("the body of a good request can't be read: %v", err)
		}
		return nil, -1, &Response{Status: http.StatusBadRequest, Text: "odd", Close: true}
	}
	if r.URL.Path == "/now" {
		return nil, -1, &Response{Status: http.StatusOK, Text: "now"}
	}
	if client.delivered >= len(client.bodies) || client.bodies[client.delivered] != string(body) {
		g.t.Fatalf("client %d: request %d has the body %q, sent were %q", client.id, client.delivered, body, client.bodies)
	}
	client.delivered++
	if crowded {
		return nil, 0, &Response{Status: http.StatusTooManyRequests, Text: "crowded", Close: true}
	}
	for _, o := range g.open {
		if o.client == client {
			g.t.Fatalf("client %d has two requests open on one connection", client.id)
		}
	}
	o := &openRequest{client, t, string(body)}
	g.open = append(g.open, o)
	return o, len(body) % 2, nil
}

func (g *harness) ClientGone(open any) {
	for i, o := range g.open {
		if o == open {
			g.open = append(g.open[:i], g.open[i+1:]...)
			g.gone++
			return
		}
	}
	g.t.Fatal("a client is told gone whose request is not open")
}

// answer answers an open request.
func (g *harness) answer(n, size int) {
	if len(g.open) == 0 {
		return
	}
	o := g.open[n%len(g.open)]
	g.open = append(g.open[:n%len(g.open)], g.open[n%len(g.open)+1:]...)
	text := o.body + strings.Repeat("+", size)
	o.client.answered = append(o.client.answered, text)
	g.server.Respond(o.token, Response{Status: http.StatusOK, ContentType: "text/x", Body: []byte(text), WriteDeadline: g.now + time.Second})
	g.answers++
	g.run()
}

// turn lets the front do what it can.
func (g *harness) run() {
	for range 100 {
		batch := g.net.take()
		g.server.runTurn(func() { g.server.handleEvents(batch); g.server.writeResponses() })
		if at, ok := g.server.nextWake(); len(batch) == 0 && (!ok || at > g.now) {
			return
		}
	}
}

// dial opens a client with a stream of requests of its own.
func (g *harness) dialRandom(r *rand.Rand) {
	c := &scriptedClient{id: g.net.dial()}
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
			break // what follows is not for the node
		}
		body := fmt.Sprintf("%d/%d", c.id, n) + strings.Repeat(".", r.IntN(2)*r.IntN(900))
		c.bodies = append(c.bodies, body)
		c.stream = append(c.stream, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body...)
	}
	g.clients = append(g.clients, c)
}

// play runs a script. Each two bytes are a step.
func (g *harness) play(script []byte) {
	r := rand.New(rand.NewPCG(uint64(len(script)), 7))
	for n := 0; n+1 < len(script) && n < 600; n += 2 {
		what, arg := script[n]%16, int(script[n+1])
		var c *scriptedClient
		if len(g.clients) > 0 {
			c = g.clients[max(0, len(g.clients)-1-arg%8)]
		}
		switch {
		case what == 0 || c == nil:
			if len(g.clients) < 64 {
				g.dialRandom(r)
			}
		case what <= 5 && !c.ended: // some bytes, or all
			n := min(len(c.stream)-c.sent, [...]int{1, 7, 40, 300, 5000}[arg%5])
			g.net.send(c.id, c.stream[c.sent:c.sent+n])
			c.sent += n
		case what == 6:
			c.ended = true
			g.net.end(c.id)
		case what == 7:
			c.ended = true
			g.net.abort(c.id)
		case what <= 10:
			g.answer(arg, arg%3*400)
		case what == 11:
			g.now += time.Duration(arg) * 10 * time.Millisecond
		case what == 12:
			g.now += time.Duration(arg) * time.Second / 4
		case what == 13:
			g.net.window(c.id, [...]int{0, 1, 50, -1}[arg%4])
		case what == 14: // events lost ones' tokens, doubled, and for rows used again
			g.net.mu.Lock()
			token := g.net.conns[c.id].token
			g.net.ready = append(g.net.ready, Event{token, Readable}, Event{token, Readable | Writable},
				Event{token + 1<<32, Readable | ConnReset}, Event{token ^ 1<<20, ConnReset})
			g.net.mu.Unlock()
		case what == 15:
			g.server.runTurn(func() { g.server.evictOne() })
		}
		g.run()
	}
}

// finish ends everything and checks what each client got and what is left.
func (g *harness) finish() {
	for len(g.open) > 0 {
		g.answer(0, 0)
	}
	for _, c := range g.clients {
		g.net.window(c.id, -1)
		g.run()
	}
	for range 64 { // longer than all that wait for room may stay, one after another
		g.now += 3 * time.Second
		g.run()
		for len(g.open) > 0 {
			g.answer(0, 0)
		}
	}
	for _, c := range g.clients {
		g.checkResponses(c)
	}
	s := g.server
	if s.table.inUse != 0 || s.wheel.Len() != 0 || s.idleConns.Idle() != 0 || s.idleConns.Incomplete() != 0 {
		g.t.Fatalf("left over: %d connections, %d timers, %d idle, %d fresh", s.table.inUse, s.wheel.Len(), s.idleConns.Idle(), s.idleConns.Incomplete())
	}
	if g.net.closes != len(g.clients) {
		g.t.Fatalf("%d connections, %d closed", len(g.clients), g.net.closes)
	}
	if sum, pool := s.memory.Total(), s.memory.Used(membudget.PooledBuffers); sum != pool {
		g.t.Fatalf("%d bytes booked, %d of them pooled", sum, pool)
	}
}

// read takes a client's bytes apart: whole answers in the order of its requests, each
// the node's, with at most one for each request and the last perhaps cut.
func (g *harness) checkResponses(c *scriptedClient) {
	got := g.net.state(c.id).written
	reader := bufio.NewReader(bytes.NewReader(got))
	next, closed := 0, false
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return // nothing more, or cut
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		if closed {
			g.t.Fatalf("client %d got %q after an answer that closes", c.id, body)
		}
		closed = resp.Close
		if resp.Header.Get("Content-Type") != "text/x" {
			continue // the front's own
		}
		if next >= len(c.answered) || c.answered[next] != string(body) {
			g.t.Fatalf("client %d: answer %d is %q, the node gave %q", c.id, next, body, c.answered)
		}
		next++
	}
}

// Whatever bytes, ends, expiries, answers and odd events come in whatever order: no
// request is handed over twice or with other bytes, no answer is lost, doubled or
// given to another, and nothing stays behind.
func FuzzParkAndWake(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(script(seed), uint8(seed))
	}
	f.Fuzz(func(t *testing.T, script []byte, room uint8) {
		g := newHarness(t, 2+int(room%16), 1<<20)
		g.play(script)
		g.finish()
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
			memoryBytes = 12 << 10 // short of memory for most of the time
		}
		g := newHarness(t, 2+int(seed%16), memoryBytes)
		g.play(script(seed))
		g.finish()
		requests, gone = requests+g.answers, gone+g.gone
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if requests < 5000 || gone < 100 {
		t.Errorf("only %d answers and %d clients that left: the scripts do nothing", requests, gone)
	}
}
