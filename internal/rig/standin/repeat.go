package standin

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// repeatTimers holds the repetitions of answers that a connection still has to send.
type repeatTimers struct {
	mu      sync.Mutex
	stopped bool
	pending map[*time.Timer]struct{}
	writes  sync.WaitGroup
}

// schedule sends a copy of an answer again after a delay, whatever the connection is used for by then.
func (r *repeatTimers) schedule(to io.Writer, answer []byte, delay time.Duration) {
	message := bytes.Clone(answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	if r.pending == nil {
		r.pending = map[*time.Timer]struct{}{}
	}
	r.writes.Add(1)
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		defer r.writes.Done()
		r.mu.Lock()
		delete(r.pending, timer)
		r.mu.Unlock()
		to.Write(message) // an error means that the connection has ended
	})
	r.pending[timer] = struct{}{}
}

// stop ends all repetitions, and waits for those that are being written.
func (r *repeatTimers) stop() {
	r.mu.Lock()
	r.stopped = true
	for timer := range r.pending {
		if timer.Stop() {
			r.writes.Done()
		}
	}
	r.pending = nil
	r.mu.Unlock()
	r.writes.Wait()
}

// drawRepeat reports whether a written message is an answer to be repeated, and after which time.
func (s *Server) drawRepeat(message []byte) (delay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != repeating || s.longestRepeat <= 0 || !bytes.HasPrefix(message, []byte("HTTP/")) {
		return 0, false
	}
	return time.Duration(1 + s.rng.Int64N(int64(s.longestRepeat))), true
}

// startRepeating makes the server send each answer a second time, up to longest after the first.
func (s *Server) startRepeating(longest time.Duration) {
	s.setFailure(repeating, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestRepeat = longest
}
