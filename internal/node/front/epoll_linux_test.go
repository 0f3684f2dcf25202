package front

import (
	"io"
	"net"
	"testing"

	"curlewring/internal/node/nodetest"
)

// A client that ends behind bytes which wait for their turn has gone all the same: the system tells of the end, though a
// look at the connection finds the bytes. The end may also come with the request, before the node has read anything.
func TestCloseBehindUnreadBytesOverSockets(t *testing.T) {
	for _, network := range []string{"tcp", "unix"} {
		for name, text := range map[string]string{"half a request": post("one") + "POST", "a request": post("one") + post("two")} {
			t.Run(network+"/"+name, func(t *testing.T) {
				s := startSocketFixture(t, NewEpoll, network, nil, true)
				p := s.dial(t)
				io.WriteString(p, text)
				nodetest.WaitFor(t, "the first is open", func() bool { return s.openCount() == 1 })
				p.Conn.(interface{ CloseWrite() error }).CloseWrite()
				nodetest.WaitFor(t, "it has left", func() bool { return s.gone.Load() == 1 && s.Stats().Open == 0 })
			})
		}
	}
	t.Run("with the request", func(t *testing.T) {
		s := startSocketFixture(t, NewEpoll, "tcp", nil, true)
		for range 50 {
			was := s.Stats().PeerClosed
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, post("one"))
			c.Close()
			nodetest.WaitFor(t, "it has left", func() bool { return s.Stats().PeerClosed == was+1 })
			if n := s.openCount(); n != 0 {
				t.Fatalf("%d requests of clients that have left", n)
			}
		}
	})
}
