package front

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"curlewring/internal/conns/membudget"
)

// Response is the response to a request.
type Response struct {
	Status        int
	ContentType   string        // Content-Type; "": no such header
	Body          []byte        // kept until it is sent; never modified
	Text          string        // sent as a line of plain text instead of Body
	RetryAfter    time.Duration // 0: no Retry-After header
	HeaderName    string        // name of an additional header; "": none
	HeaderValue   string        // must be a valid header value, as it is written unchecked
	Close         bool          // close the connection after the response
	Deadline      time.Duration // when the client stops waiting; 0: unknown, or it had no time when its request arrived
	WriteDeadline time.Duration // time by which the client must have read the response; 0: after defaultWriteTimeout
}

// dateCache caches the Date header (RFC 9110, 6.6.1) of the current second.
type dateCache struct {
	second int64
	text   []byte
}

func (d *dateCache) at(now time.Duration) []byte {
	if second := int64(now / time.Second); second != d.second || d.text == nil {
		d.second = second
		d.text = time.Unix(second, 0).UTC().AppendFormat(d.text[:0], http.TimeFormat)
	}
	return d.text
}

// encode appends the wire form of a response.
func (s *Server) encode(to []byte, r *Response, head, closes bool) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(r.Status), 10)
	to = append(append(append(to, ' '), http.StatusText(r.Status)...), "\r\n"...)
	length, contentType := len(r.Body), r.ContentType
	if r.Text != "" {
		length, contentType = len(r.Text)+1, "text/plain"
	}
	if contentType != "" {
		to = append(append(append(to, "Content-Type: "...), contentType...), "\r\n"...)
	}
	if r.RetryAfter > 0 {
		to = append(to, "Retry-After: "...)
		to = append(strconv.AppendFloat(to, r.RetryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	if r.HeaderName != "" {
		to = append(append(append(append(to, r.HeaderName...), ": "...), r.HeaderValue...), "\r\n"...)
	}
	if closes {
		to = append(to, "Connection: close\r\n"...)
	}
	to = append(append(append(to, "Date: "...), s.date.at(s.now)...), "\r\n"...)
	to = append(strconv.AppendInt(append(to, "Content-Length: "...), int64(length), 10), "\r\n\r\n"...)
	switch {
	case head:
	case r.Text != "":
		to = append(append(to, r.Text...), '\n')
	default:
		to = append(to, r.Body...)
	}
	return to
}

// sendResponse sends as much of a response as the client accepts now.
func (s *Server) sendResponse(i int32, c *conn, r *Response) {
	s.stats.Responses++
	if r.Deadline > 0 && s.now > r.Deadline {
		s.monitor.current.late++
	}
	active := c.active
	active.handle = nil
	c.closeAfterResponse = c.closeAfterResponse || r.Close || s.shuttingDown
	s.writeBuffer = s.encode(s.writeBuffer[:0], r, active.headOnly, c.closeAfterResponse)
	n, err := s.config.Transport.Write(c.socket, s.writeBuffer)
	if err != nil && !errors.Is(err, ErrWouldBlock) {
		s.closeConn(i, c, closeWriteFailed)
		return
	}
	s.account(active, 1, cap(active.buf))
	if n < len(s.writeBuffer) {
		active.unsent = append([]byte(nil), s.writeBuffer[n:]...)
		s.memory.Add(membudget.PendingAnswers, len(active.unsent))
		c.state = stateWriting
		until := r.WriteDeadline
		if until == 0 {
			until = s.now + defaultWriteTimeout
		}
		s.wheel.Arm(i, until)
		if s.config.Transport.NotifyWritable(c.socket, s.table.token(i)) != nil {
			s.closeConn(i, c, closeTransport)
		}
	} else {
		s.responseSent(i, c)
	}
	if cap(s.writeBuffer) > 2*maxWriteBuffer {
		s.writeBuffer = nil
	}
}

const maxWriteBuffer = 64 << 10

// flushResponse sends more of a response.
func (s *Server) flushResponse(i int32, c *conn) {
	active := c.active
	for len(active.unsent) > 0 {
		n, err := s.config.Transport.Write(c.socket, active.unsent)
		s.memory.Add(membudget.PendingAnswers, -n)
		active.unsent = active.unsent[n:]
		if errors.Is(err, ErrWouldBlock) || err == nil && n == 0 {
			if s.config.Transport.NotifyWritable(c.socket, s.table.token(i)) != nil {
				s.closeConn(i, c, closeTransport)
			}
			return
		}
		if err != nil {
			s.closeConn(i, c, closeWriteFailed)
			return
		}
	}
	active.unsent = nil
	s.wheel.Cancel(i)
	s.responseSent(i, c)
}

// responseSent continues after a complete response: with bytes that followed the request, or by
// parking or closing the connection.
func (s *Server) responseSent(i int32, c *conn) {
	active := c.active
	if c.closeAfterResponse {
		if c.refuse && !c.readPending && len(active.buf) == 0 { // its descriptor is needed at once
			s.closeConn(i, c, closeEvicted)
			return
		}
		s.linger(i, c)
		return
	}
	c.pipelined = false
	if len(active.buf) > 0 || c.readPending {
		c.state = stateReading
		s.idleConns.RequestPipelined(s.now, i)
		s.wheel.Arm(i, s.now+RequestTimeout)
		s.enqueueRunnable(i, c)
		return
	}
	s.park(i, c)
}

// park marks a connection as idle and starts its idle timer.
func (s *Server) park(i int32, c *conn) {
	s.releaseActive(c)
	c.state = stateParked
	s.capacityFreed = true
	if c.rulesVersion != s.rulesVersion {
		s.assignNetwork(i, c)
	}
	limit, slack := s.idleConns.BecameIdle(s.now, i)
	s.wheel.ArmSpread(i, s.now+limit, slack)
	if limit > minKeepAliveIdle && !c.keepAlive {
		c.keepAlive = true
		s.config.Transport.EnableKeepAlive(c.socket)
	}
}

// minKeepAliveIdle is the idle timeout above which TCP keepalive is enabled. Below it the idle
// timeout closes a dead connection soon enough.
const minKeepAliveIdle = time.Minute
