package standin

import (
	"io"
	"net/http"
)

// startUnframed makes the server send answers without a length, each of which ends with its connection: a fraction of
// them by a reset in the middle of the body.
func (s *Server) startUnframed(cutFraction float64) {
	s.setFailure(unframed, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutFraction = cutFraction
}

// answerUnframed sends an answer without a length, whole or in part.
func (s *Server) answerUnframed(w http.ResponseWriter, text string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	s.mu.Lock()
	cut := s.rng.Float64() < s.cutFraction
	s.mu.Unlock()
	if cut {
		text = text[:len(text)/2]
		c.(*serverConn).SetLinger(0)
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+text) // an error means that the node has left
	c.Close()
}
