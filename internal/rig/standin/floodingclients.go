package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewring/internal/rig/standin/judge"
)

const (
	floodWriteBytes = 32 << 10 // about what a flooding client writes at once
	// floodReconnectInterval is the shortest time between two connections of a flooding client.
	floodReconnectInterval = time.Millisecond
)

// floodRequest returns the next request of a flooding client; id differs with each one.
type floodRequest func(class *Class, id string) string

// floodRequests returns what flooding clients may send, by name. None of it reaches a server.
func floodRequests() map[string]floodRequest {
	return map[string]floodRequest{
		"ready": func(*Class, string) string { return "GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n" },
		"unknown": func(_ *Class, id string) string {
			return fmt.Sprintf("GET /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\nX-Remaining-Ms: 500\r\n\r\n", id, id, id, id, id, id)
		},
		"malformed": func(_ *Class, id string) string { return "GET /" + id + " HTTP/1.1\r\nno header\r\n\r\n" },
		"expired": func(class *Class, id string) string {
			return fmt.Sprintf("GET /%s/%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\nX-Remaining-Ms: 0\r\n\r\n",
				class.Name, id, id, class.Name, id)
		},
	}
}

// FloodNames returns the names of what flooding clients may send, in alphabetical order.
func FloodNames() []string { return slices.Sorted(maps.Keys(floodRequests())) }

// startFlooding starts clients of the node at an address that send small requests at full speed, one behind the other
// on one connection, and read what they are sent. A client whose connection the node ends connects again at once.
func startFlooding(f *Fleet, _, address string, count int, what string) (*ClientGroup, error) {
	request, ok := floodRequests()[what]
	if !ok {
		return nil, fmt.Errorf("unknown requests %q; known are %s", what, strings.Join(FloodNames(), ", "))
	}
	i := slices.IndexFunc(f.Plan.Classes, func(c Class) bool { return c.Idempotency == judge.Idempotent })
	if i < 0 {
		return nil, fmt.Errorf("no class of the plan has requests without a body")
	}
	return startGroup(count, func(ctx context.Context, client int) {
		repeatEvery(ctx, floodReconnectInterval, func(number int) {
			floodOnce(ctx, address, &f.Plan.Classes[i], request, fmt.Sprintf("flood-%d-%d", client, number))
		})
	}), nil
}

// floodOnce sends requests on one connection until it or the context ends.
func floodOnce(ctx context.Context, address string, class *Class, request floodRequest, id string) {
	withConn(ctx, address, func(conn net.Conn) {
		var reading sync.WaitGroup
		defer reading.Wait()
		reading.Go(func() {
			io.Copy(io.Discard, conn)
			conn.Close()
		})
		var text []byte
		for number := 0; ; {
			text = text[:0]
			for len(text) < floodWriteBytes {
				text = append(text, request(class, fmt.Sprintf("%s-%d", id, number))...)
				number++
			}
			if _, err := conn.Write(text); err != nil {
				conn.Close()
				return
			}
		}
	})
}
