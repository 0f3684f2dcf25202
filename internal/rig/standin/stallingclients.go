package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"curlewring/internal/rig/standin/judge"
)

const (
	stalledBodyBytes = 64 << 10 // that a stalling client announces, of which it sends half
	stalledHeadBytes = 15 << 10 // of a stalling client's head of many fields
	// A slowly writing client sends slowWriteBytes each slowWriteInterval.
	slowWriteBytes    = 320
	slowWriteInterval = 50 * time.Millisecond
)

// stalledRequest is what a stalling client sends of a request.
type stalledRequest struct {
	fields    bool // the head has very many short fields
	unended   bool // the head has no end
	slowBytes bool // it is written slowly
}

// stalledRequests returns what stalling clients may send, by name.
func stalledRequests() map[string]stalledRequest {
	return map[string]stalledRequest{
		"body":    {},
		"fields":  {fields: true},
		"unended": {fields: true, unended: true},
		"slow":    {fields: true, slowBytes: true},
	}
}

// StallNames returns the names of what stalling clients may send, in alphabetical order.
func StallNames() []string { return slices.Sorted(maps.Keys(stalledRequests())) }

// startStalling starts clients of the node at an address that send a part of a request and then wait. A client whose
// connection the node ends connects again and does the same. The requests are of the plan's first class that may
// have a body.
func startStalling(f *Fleet, _, address string, count int, what string) (*ClientGroup, error) {
	request, ok := stalledRequests()[what]
	if !ok {
		return nil, fmt.Errorf("unknown requests %q; known are %s", what, strings.Join(StallNames(), ", "))
	}
	i := slices.IndexFunc(f.Plan.Classes, func(c Class) bool { return c.Idempotency != judge.Idempotent })
	if i < 0 {
		return nil, fmt.Errorf("no class of the plan has requests with a body")
	}
	rest := request.rest()
	return startGroup(count, func(ctx context.Context, client int) {
		repeatEvery(ctx, reconnectInterval, func(number int) {
			head := stalledHead(&f.Plan.Classes[i], fmt.Sprintf("stall-%d-%d", client, number))
			request.sendOnce(ctx, address, append([]byte(head), rest...))
		})
	}), nil
}

// stalledHead returns the first lines of a request.
func stalledHead(class *Class, id string) string {
	return fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n",
		class.Name, id, id, class.Name, class.Deadline.Milliseconds(), id, stalledBodyBytes)
}

// rest returns what follows the first lines, as far as it is sent.
func (r stalledRequest) rest() []byte {
	var b strings.Builder
	for n := 0; r.fields && b.Len() < stalledHeadBytes; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	if !r.unended {
		b.WriteString("\r\n")
		b.Write(make([]byte, stalledBodyBytes/2))
	}
	return []byte(b.String())
}

// sendOnce sends a part of a request and reads until the connection or the context ends.
func (r stalledRequest) sendOnce(ctx context.Context, address string, text []byte) {
	withConn(ctx, address, func(conn net.Conn) {
		if err := r.write(ctx, conn, text); err == nil {
			io.Copy(io.Discard, conn)
		}
	})
}

func (r stalledRequest) write(ctx context.Context, conn net.Conn, text []byte) error {
	if !r.slowBytes {
		_, err := conn.Write(text)
		return err
	}
	ticker := time.NewTicker(slowWriteInterval)
	defer ticker.Stop()
	for piece := range slices.Chunk(text, slowWriteBytes) {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
