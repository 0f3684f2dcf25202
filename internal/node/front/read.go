package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"curlewring/internal/conns/membudget"
)

const (
	bands     = 4   // of deferred connections, by the worth of what they last asked for
	mostReads = 4   // of one connection in a row
	resumeMax = 64  // deferred connections taken up in one turn
	leastPool = 16  // works kept for the next use
	mostPool  = 256 // beyond, they are the collector's at once
	openBytes = 4 << 10
	keptBuf   = 4 << 10 // a pooled work keeps no larger buffer
)

// work is what a connection needs beyond its row while it is not parked.
type work struct {
	buf     []byte // bytes that have come and are not used up
	look    int    // where to look on for the head's end
	request *http.Request
	body    []byte // of request, as far as it has come
	open    any    // what the handler names the open request by
	head    bool   // a HEAD request: its answer has no body
	out     []byte // what the client has yet to take
	dropped int    // bytes dropped while lingering
	booked  [2]int // in the ledger, for Reading and for Open
}

func (w *work) bytes() int { return 160 + cap(w.buf) }

// worked returns the connection's work, a new one if it has none.
func (s *Server) worked(c *conn) *work {
	if c.work == nil {
		if n := len(s.pool); n > 0 {
			c.work, s.pool = s.pool[n-1], s.pool[:n-1]
			s.ledger.Add(membudget.PooledBuffers, -c.work.bytes())
		} else {
			c.work = &work{}
		}
	}
	return c.work
}

// book tells the ledger what a work takes for a use: 0 for reading, 1 for what is open.
func (s *Server) book(w *work, which, bytes int) {
	use := [...]membudget.Category{membudget.PartialRequests, membudget.OpenRequests}[which]
	s.ledger.Add(use, bytes-w.booked[which])
	w.booked[which] = bytes
}

// release takes a connection's work from it.
func (s *Server) release(c *conn) {
	w := c.work
	if w == nil {
		return
	}
	c.work = nil
	s.book(w, 0, 0)
	s.book(w, 1, 0)
	s.ledger.Add(membudget.PendingAnswers, -len(w.out))
	if len(s.pool) >= mostPool || cap(w.buf) > keptBuf {
		return
	}
	*w = work{buf: w.buf[:0]}
	s.pool = append(s.pool, w)
	s.ledger.Add(membudget.PooledBuffers, w.bytes())
	if len(s.pool) == leastPool+1 && s.set.Hooks.ReleaseBuffers != nil {
		s.set.Hooks.ReleaseBuffers()
	}
}

// drop ends a connection, whatever it is doing; its open request is the caller's.
func (s *Server) drop(i int32, c *conn, why closeReason) {
	if s.tracing {
		s.set.Log.Debug("client connection closed", "connection", i, "reason", string(why))
	}
	s.release(c)
	s.wheel.Cancel(i)
	s.hold.Remove(i)
	s.set.Transport.Close(c.socket)
	s.ledger.Add(membudget.ConnectionState, -rowBytes)
	s.table.give(i)
	s.freed = true
}

// gone ends a connection whose client has left.
func (s *Server) gone(i int32, c *conn) {
	s.stats.PeerClosed++
	if c.state == open {
		s.set.Handler.ClientGone(c.work.open)
	}
	s.drop(i, c, closeClientLeft)
}

// readable takes what has come on a connection, as far as its state wants it.
func (s *Server) readable(i int32, c *conn) {
	switch c.state {
	case parked:
		if s.ledger.Level() != membudget.Normal {
			s.postpone(i, c)
			return
		}
		s.begin(i, c)
		s.read(i, c)
	case reading:
		if c.work == nil && s.ledger.Level() != membudget.Normal {
			s.postpone(i, c)
			return
		}
		s.read(i, c)
	case open:
		if c.left {
			s.gone(i, c)
			return
		}
		if c.piped {
			c.unread = true
			return
		}
		// Not all transports tell of its end: it is looked for. Bytes wait for their turn, and hide it.
		switch err := s.set.Transport.Peek(c.socket); {
		case err == nil:
			c.piped, c.unread = true, true
		case errors.Is(err, ErrWouldBlock):
		default:
			s.gone(i, c)
		}
	case writing, deferred:
		c.unread = true
	case lingering:
		s.linger(i, c)
	}
}

// begin takes a connection out of its rest: its next request's bytes have come.
func (s *Server) begin(i int32, c *conn) {
	c.state = reading
	s.hold.RequestStarted(s.now, i)
	s.wheel.Arm(i, s.now+RequestTimeout)
}

// postpone leaves bytes in the kernel until there is memory for them.
func (s *Server) postpone(i int32, c *conn) {
	if c.state == parked {
		s.begin(i, c)
	}
	c.state = deferred
	s.stats.Deferred++
	s.later[s.hold.WorthBand(i, bands)].push(s.table.token(i))
	if s.set.Hooks.EvictIdle != nil && s.ledger.Level() == membudget.Full {
		s.set.Hooks.EvictIdle()
	}
}

// waiting tells whether a deferred connection could be taken up now.
func (s *Server) waiting() bool {
	if s.ledger.Level() != membudget.Normal {
		return false
	}
	for band := range s.later {
		if s.later[band].len() > 0 {
			return true
		}
	}
	return false
}

// resume takes deferred connections up, those first that last asked for what is worth most.
func (s *Server) resume() {
	for n := 0; n < resumeMax && s.waiting(); n++ {
		for band := bands - 1; band >= 0; band-- {
			if s.later[band].len() == 0 {
				continue
			}
			if i, c := s.table.find(s.later[band].pop()); c != nil && c.state == deferred {
				c.state = reading
				s.read(i, c)
			}
			break
		}
	}
}

// proceed goes on with the connections that have bytes of a next request, each for
// one request or a few reads.
func (s *Server) proceed() {
	for n := min(s.again.len(), resumeMax); n > 0; n-- {
		i, c := s.table.find(s.again.pop())
		if c == nil || c.state != reading {
			continue
		}
		turn := c.turn
		if w := c.work; w != nil && w.request == nil && len(w.buf) > 0 {
			rest := w.buf
			w.buf, w.look = nil, 0
			s.consume(i, c, rest)
		}
		if c.turn == turn && c.state == reading && c.unread {
			c.unread = false
			s.read(i, c)
		}
		if c.turn == turn && c.state == reading && !c.unread && (c.work == nil || len(c.work.buf) == 0 && c.work.request == nil) {
			s.park(i, c) // nothing was there after all
		}
	}
}

// read takes bytes until a whole request has come or there are no more.
func (s *Server) read(i int32, c *conn) {
	turn := c.turn
	for reads := 0; c.turn == turn && c.state == reading; reads++ {
		if reads == mostReads {
			c.unread = true
			s.again.push(s.table.token(i))
			return
		}
		n, err := s.set.Transport.Read(c.socket, s.scratch)
		full := n == len(s.scratch)
		c.unread = full // then there may be more, of which no event tells again
		if n > 0 {
			s.consume(i, c, s.scratch[:n])
		}
		switch {
		case err == nil && full:
			if c.turn == turn && c.state == reading {
				c.unread = false
			}
			continue
		case err == nil:
			return
		case errors.Is(err, ErrWouldBlock):
		case errors.Is(err, io.EOF) && c.work != nil && (len(c.work.buf) > 0 || c.work.request != nil):
			// It ended in the midst of a request, and may still read.
			s.stats.PeerClosed++
			s.fail(i, c, &fault{http.StatusBadRequest, "the request ends early"})
		default:
			s.gone(i, c)
		}
		return
	}
}

// consume takes bytes of a connection that is reading. Unless a request is whole,
// they are kept.
func (s *Server) consume(i int32, c *conn, data []byte) {
	w := c.work
	if w != nil && w.request != nil {
		n := min(len(data), cap(w.body)-len(w.body))
		w.body = append(w.body, data[:n]...)
		if data = data[n:]; len(w.body) == cap(w.body) {
			s.whole(i, c, w.request, w.body, data)
		}
		return
	}
	look := 0
	if w != nil && len(w.buf) > 0 {
		w.buf = append(w.buf, data...)
		data, look = w.buf, w.look
	}
	if c.posted { // RFC 9112, 2.2: an empty line may follow an old client's POST
		n := 0
		for n < min(len(data), 4) && (data[n] == '\r' || data[n] == '\n') {
			n++
		}
		data, look = data[n:], max(0, look-n)
	}
	end, next := headEnd(data, look)
	if end == 0 {
		if len(data) > s.set.MaxHeadSize+headSlop {
			s.fail(i, c, &fault{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"})
			return
		}
		if len(data) == 0 {
			return
		}
		w = s.worked(c)
		c.posted = false
		w.buf = append(w.buf[:0], data...)
		w.look = next
		s.book(w, 0, w.bytes())
		return
	}
	if end > s.set.MaxHeadSize+headSlop {
		s.fail(i, c, &fault{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"})
		return
	}
	r, wrong := s.parser.head(data[:end])
	if wrong != nil {
		s.fail(i, c, wrong)
		return
	}
	c.posted = r.Method == http.MethodPost
	s.headed(i, c, r, data[end:])
}

// headed takes a request whose head has come, with the bytes that follow it.
func (s *Server) headed(i int32, c *conn, r *http.Request, rest []byte) {
	length := r.ContentLength
	if len(r.TransferEncoding) > 0 || length < 0 || length > s.set.MaxBodySize {
		// Nobody waits for such a body: the handler turns it away by its head, and
		// what follows on the connection is nothing that could be read.
		r.Body = io.NopCloser(strings.NewReader(""))
		c.unread = true
		s.whole(i, c, r, nil, rest)
		return
	}
	if int64(len(rest)) >= length {
		s.whole(i, c, r, rest[:length], rest[length:])
		return
	}
	switch expect := r.Header.Get("Expect"); {
	case strings.EqualFold(expect, "100-continue"):
		if _, err := s.set.Transport.Write(c.socket, []byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			s.gone(i, c)
			return
		}
	case expect != "":
		s.fail(i, c, &fault{http.StatusExpectationFailed, "the expectation can't be met"})
		return
	}
	w := s.worked(c)
	w.request = r
	w.body = append(make([]byte, 0, length), rest...)
	w.buf, w.look = w.buf[:0], 0
	s.book(w, 0, w.bytes()+cap(w.body)+openBytes)
}

// whole hands a request over. rest is what came behind it.
func (s *Server) whole(i int32, c *conn, r *http.Request, body, rest []byte) {
	if c.left { // nobody waits for the answer
		s.gone(i, c)
		return
	}
	if s.wary && len(rest) == 0 {
		// It came while the process stood still; who has left since then is not to be worked for.
		if err := s.set.Transport.Peek(c.socket); err != nil && !errors.Is(err, ErrWouldBlock) {
			s.gone(i, c)
			return
		}
	}
	s.stats.Requests++
	w := s.worked(c)
	w.request, w.body = nil, nil
	if r.Body == http.NoBody || r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		r.Body = http.NoBody
	} else if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	w.head = r.Method == http.MethodHead
	c.closing = r.Close || !r.ProtoAtLeast(1, 1) || c.crowded
	s.wheel.Cancel(i)
	c.state = open
	name, class, answer := s.set.Handler.HandleRequest(Token(s.table.token(i)), r, c.crowded)
	if class >= 0 {
		s.hold.RequestReceived(i, class)
	} else {
		s.hold.UnclassifiedReceived(i)
	}
	// The body has been used by now, and may stand where the rest goes.
	w.buf, w.look = append(w.buf[:0], rest...), 0
	c.piped = len(rest) > 0 // bytes of the next request hide the client's end
	s.book(w, 0, 0)
	s.book(w, 1, openBytes+len(body)+cap(w.buf))
	if answer != nil {
		s.write(i, c, answer)
		return
	}
	w.open = name
}

// fail answers what is no request, for the last time on its connection.
func (s *Server) fail(i int32, c *conn, f *fault) {
	s.stats.Refused++
	s.worked(c)
	c.unread = true
	s.hold.UnclassifiedReceived(i)
	s.write(i, c, &Response{Status: f.status, Text: f.text, Close: true})
}

// late ends a request that has not come whole in time.
func (s *Server) late(i int32, c *conn) {
	token := s.table.token(i)
	if c.work != nil && c.work.request != nil {
		s.fail(i, c, &fault{http.StatusRequestTimeout, "the body did not come"})
		return
	}
	if s.looks(i, c) { // the first bytes came just now
		if i, c = s.table.find(token); c != nil && c.state == reading && !s.wheel.Armed(i) {
			s.wheel.Arm(i, s.now+RequestTimeout)
		}
		return
	}
	s.drop(i, c, closeNoRequest)
}

// linger drops what comes behind a last answer, so that no reset takes the answer
// away, until the peer ends. What is more than a little stays in the kernel.
func (s *Server) linger(i int32, c *conn) {
	w := s.worked(c)
	for w.dropped < mostLingering {
		n, err := s.set.Transport.Read(c.socket, s.scratch)
		w.dropped += n
		if errors.Is(err, ErrWouldBlock) {
			return
		}
		if err != nil {
			s.drop(i, c, closeLingered)
			return
		}
	}
}
