package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// idlersCommand holds idle connections for the lab, which starts several such processes because the number of
// descriptors of one process is limited.
type idlersCommand struct {
	Address string `arg:""`
	Count   int    `arg:""`
}

// Run opens the connections, sends one GET /ready on each, prints their number, and holds them until standard input or
// the context ends.
func (c *idlersCommand) Run(ctx context.Context) error {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	dialer := net.Dialer{Timeout: 5 * time.Second, KeepAlive: -1}
	reader := bufio.NewReader(nil)
	for len(conns) < c.Count && ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", c.Address)
		if err != nil {
			return fmt.Errorf("after %d idle connections: %w", len(conns), err)
		}
		conns = append(conns, conn)
		if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: idle\r\n\r\n"); err != nil {
			return err
		}
		reader.Reset(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("after %d idle connections: %w", len(conns), err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	fmt.Println(len(conns))
	stdinClosed := make(chan struct{})
	go func() { // exits when standard input ends
		defer close(stdinClosed)
		io.Copy(io.Discard, os.Stdin)
	}()
	select {
	case <-stdinClosed:
	case <-ctx.Done():
	}
	return nil
}
