package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// requestUnderFault starts a fault of the first server, sends it a request and returns what it answers.
func requestUnderFault(t *testing.T, f *Fleet, fault Fault) *bufio.Reader {
	t.Helper()
	if err := f.startFault(&fault, nil); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", f.Servers[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, "GET /zustand/1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 00000000000000aa\r\nX-Remaining-Ms: 1000\r\n\r\n")
	return bufio.NewReader(conn)
}

// A repeated answer must be the same bytes as the first one, on the same connection.
func TestRepeatFaultSendsAnswersTwice(t *testing.T) {
	f := startFleet(t, smallPlan())
	reader := requestUnderFault(t, f, Fault{Kind: "repeat", Server: "0", Magnitude: 2})
	for number := range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", number, err)
		}
		body, err := io.ReadAll(response.Body)
		if want := answerText(f.Servers[0].ID, "00000000000000aa"); err != nil || string(body) != want {
			t.Errorf("answer %d: got %q, %v, want %q", number, body, err, want)
		}
	}
}
