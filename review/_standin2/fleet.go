package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cell is a group of servers that drops repeats of a key.
type cell struct {
	mu  sync.Mutex
	ran map[string]time.Time
}

// addIfNew reports whether a key runs: it is unknown, or the window is over.
func (c *cell) addIfNew(key string, window time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.ran[key]; ok && time.Since(at) < window {
		return false
	}
	c.ran[key] = time.Now()
	return true
}

// effects counts how often the effect of a key has happened, over all cells.
type effects struct {
	mu    sync.Mutex
	count map[string]int
	where map[string]string
}

func newEffects() *effects { return &effects{count: map[string]int{}, where: map[string]string{}} }

func (e *effects) happened(key, server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[key]++
	e.where[key] += " " + server
}

// twice returns the keys whose effect has happened more than once.
func (e *effects) twice() (keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, n := range e.count {
		if n > 1 {
			keys = append(keys, key+" at"+e.where[key])
		}
	}
	return keys
}

// server is a sound server, but for the answers that come a second time.
type server struct {
	id, zone string
	cellNo   int
	address  string
	rec      *record
	cell     *cell
	effects  *effects

	cores, most int    // most: requests that it holds at once, in work and waiting
	unsafe      string // class whose requests have an effect each time that they run
	alike       string // class whose requests are all answered "accepted"
	work        func(r *http.Request) time.Duration
	// again returns how late the answer of a status comes a second time; 0: it does not.
	again func(status int) time.Duration

	mu     sync.Mutex
	held   int
	tokens chan struct{}
}

func (s *server) start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	s.address, s.tokens = l.Addr().String(), make(chan struct{}, s.cores)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

func (s *server) entry(state string) entry {
	return entry{ID: s.id, HostPort: s.address, Zone: s.zone, Kind: "empfang-mittel", Cell: s.cellNo, Lifecycle: state, Weight: 1}
}

// connWriter serializes answers on a connection, as a second one may come late.
type connWriter struct {
	mu     sync.Mutex
	c      net.Conn
	closed bool
}

func (w *connWriter) write(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		io.WriteString(w.c, text)
	}
}

func (s *server) serve(c net.Conn) {
	w := &connWriter{c: c}
	defer func() {
		w.mu.Lock()
		w.closed = true
		w.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		status, text := s.handle(r)
		answer := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
		if status == http.StatusServiceUnavailable {
			answer += "X-Turned-Away: 1\r\n"
		}
		answer += "Content-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
		id := r.Header.Get("X-Txn")
		s.rec.line("server-answer server=%s conn=%s txn=%s status=%d", s.id, c.RemoteAddr(), id, status)
		w.write(answer)
		if s.again == nil {
			continue
		}
		if late := s.again(status); late > 0 {
			time.AfterFunc(late, func() {
				s.rec.line("server-second-answer server=%s conn=%s txn=%s status=%d late=%v", s.id, c.RemoteAddr(), id, status, late)
				w.write(answer)
			})
		}
	}
}

func (s *server) handle(r *http.Request) (int, string) {
	id, key := r.Header.Get("X-Txn"), r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	full := s.held >= s.most
	if !full {
		s.held++
	}
	s.mu.Unlock()
	if full {
		s.rec.line("server-turns-away server=%s txn=%s key=%s", s.id, id, key)
		return http.StatusServiceUnavailable, "full\n"
	}
	defer func() {
		s.mu.Lock()
		s.held--
		s.mu.Unlock()
	}()
	s.tokens <- struct{}{}
	defer func() { <-s.tokens }()
	runs := key == "" || s.cell.addIfNew(key, 10*time.Second)
	s.rec.line("server-runs server=%s cell=%d txn=%s key=%s effect=%v", s.id, s.cellNo, id, key, runs)
	if runs && key != "" {
		s.effects.happened(key, s.id)
	} else if s.unsafe != "" && strings.HasPrefix(r.URL.Path, "/"+s.unsafe+"/") {
		s.effects.happened(id, s.id)
	}
	time.Sleep(s.work(r))
	if s.alike != "" && strings.HasPrefix(r.URL.Path, "/"+s.alike+"/") {
		return http.StatusOK, "accepted\n"
	}
	return http.StatusOK, s.id + " " + id + "\n"
}

// clientPool is a sound client: it keeps connections, sends one request at a time on each, and opens more when all are busy.
type clientPool struct {
	address string
	rec     *record

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	took   time.Duration
	err    error
}

// take returns an idle connection, or opens one if there is none or a new one is wanted.
func (p *clientPool) take(fresh bool) (*clientConn, bool, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{c, bufio.NewReader(c)}, false, nil
}

// ask sends a request and waits for its answer.
func (p *clientPool) ask(c class, path, key, id, body string, wait time.Duration) answer {
	method := "GET"
	if c.semantics != "repeatable" {
		method = "POST"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n", method, path, id, c.name, wait.Milliseconds())
	if key != "" {
		head += "Idempotency-Key: " + key + "\r\n"
	}
	if method == "POST" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	a := answer{}
	for try := range 2 { // a connection that the node closed between two requests: once more, on a new one
		conn, reused, err := p.take(try > 0)
		if err != nil {
			return answer{err: err}
		}
		start := time.Now()
		p.rec.line("client-sends txn=%s %s %s key=%s", id, method, path, key)
		conn.SetDeadline(start.Add(wait + 2*time.Second))
		io.WriteString(conn, head+"\r\n"+body)
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			conn.Close()
			a = answer{err: err, took: time.Since(start)}
			if reused && (strings.Contains(err.Error(), "EOF") || strings.Contains(err.Error(), "reset")) && a.took < 100*time.Millisecond {
				continue
			}
			break
		}
		text, err := io.ReadAll(resp.Body)
		a = answer{status: resp.StatusCode, body: string(text), took: time.Since(start), err: err}
		if err != nil || resp.Close {
			conn.Close()
		} else {
			p.mu.Lock()
			p.idle = append(p.idle, conn)
			p.mu.Unlock()
		}
		break
	}
	p.rec.line("client-gets txn=%s status=%d took=%v err=%v body=%q", id, a.status, a.took.Round(time.Millisecond), a.err, shorten(a.body))
	return a
}

func shorten(text string) string {
	if len(text) > 60 {
		return text[:60] + "..."
	}
	return text
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// every calls a function at a mean rate until the end, at random times, and waits for the calls.
func every(rate float64, until time.Time, f func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if time.Now().After(until) {
			return
		}
		calls.Go(f)
	}
}
