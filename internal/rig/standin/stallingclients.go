package standin

import (
	"context"
	"fmt"
	"io"
	"net"

	"curlewring/internal/rig/standin/judge"
)

const stalledBodyBytes = 64 << 10 // that a stalling client announces, of which it sends half

// StartStalling starts clients of the node at an address that send half of a request and then wait. A client whose
// connection the node ends connects again and does the same. The requests are of the plan's first class that may
// have a body.
func StartStalling(plan *Plan, address string, count int) (*ClientGroup, error) {
	for i := range plan.Classes {
		class := &plan.Classes[i]
		if class.Idempotency == judge.Idempotent {
			continue
		}
		return startGroup(count, func(ctx context.Context, client int) {
			repeatEvery(ctx, reconnectInterval, func(number int) {
				stallOnce(ctx, address, class, fmt.Sprintf("stall-%d-%d", client, number))
			})
		}), nil
	}
	return nil, fmt.Errorf("no class of the plan has requests with a body")
}

// stallOnce sends half of a request and reads until the connection or the context ends.
func stallOnce(ctx context.Context, address string, class *Class, id string) {
	withConn(ctx, address, func(conn net.Conn) {
		head := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
			class.Name, id, id, class.Name, class.Deadline.Milliseconds(), id, stalledBodyBytes)
		if _, err := conn.Write(append([]byte(head), make([]byte, stalledBodyBytes/2)...)); err != nil {
			return
		}
		io.Copy(io.Discard, conn)
	})
}
