package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// An answer without a length must end with its connection, in order or, if it is cut off, by a reset.
func TestUnframedFaultEndsAnswersWithTheConnection(t *testing.T) {
	f := startFleet(t, smallPlan())
	for name, test := range map[string]struct {
		cutFraction float64
		err         error
	}{"whole": {1e-9, nil}, "cut off": {1, syscall.ECONNRESET}} {
		fault := Fault{Kind: "unframed", Server: "0", Magnitude: test.cutFraction}
		if err := f.startFault(&fault, nil); err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", f.Servers[0].Address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, "GET /zustand/1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 00000000000000aa\r\nX-Remaining-Ms: 1000\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		body, err := io.ReadAll(response.Body)
		want := answerText(f.Servers[0].ID, "00000000000000aa")
		if response.ContentLength >= 0 || !errors.Is(err, test.err) || (string(body) == want) != (test.err == nil) {
			t.Errorf("%s: length %d, body %q, error %v", name, response.ContentLength, body, err)
		}
	}
}
