package front

import (
	"io"
	"net"
	"testing"

	"curlewring/internal/node/nodetest"
)

// Guards against missing that a client has closed while earlier bytes are unread: a peek shows only
// the bytes, but epoll reports the close. The close may also come together with the request, before
// the server has read anything.
func TestCloseBehindUnreadBytesOverSockets(t *testing.T) {
	for _, network := range []string{"tcp", "unix"} {
		for name, text := range map[string]string{"partial request": post("one") + "POST", "complete request": post("one") + post("two")} {
			t.Run(network+"/"+name, func(t *testing.T) {
				s := startSocketFixture(t, NewEpoll, network, nil, true)
				p := s.dial(t)
				io.WriteString(p, text)
				nodetest.WaitFor(t, "the first request is open", func() bool { return s.openCount() == 1 })
				p.Conn.(interface{ CloseWrite() error }).CloseWrite()
				nodetest.WaitFor(t, "the client is gone", func() bool { return s.gone.Load() == 1 && s.Stats().Open == 0 })
			})
		}
	}
	t.Run("close with the request", func(t *testing.T) {
		s := startSocketFixture(t, NewEpoll, "tcp", nil, true)
		for range 50 {
			closedBefore := s.Stats().PeerClosed
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, post("one"))
			c.Close()
			nodetest.WaitFor(t, "the client is gone", func() bool { return s.Stats().PeerClosed == closedBefore+1 })
			if n := s.openCount(); n != 0 {
				t.Fatalf("%d requests of disconnected clients are open", n)
			}
		}
	})
}
