// Package accept serves the connections of a listener, with a limit on concurrent connections,
// until a context is cancelled. The owner of the listener closes it; Serve returns after that and
// after the last connection.
package accept

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Limits bound the connections of a listener.
type Limits struct {
	MaxConnections    int           // concurrent; further ones are closed at once
	ConnectionTimeout time.Duration // longest duration of a connection; 0: until the context is cancelled
	OnReject          func()        // called for each connection over the limit; nil: not called
	ErrorBackoff      time.Duration // pause after an error of Accept, such as too few file descriptors; at least 100 ms
}

// Serve calls handle for each connection on a goroutine of its own, and closes the connection
// afterwards.
func Serve(ctx context.Context, l net.Listener, limits Limits, handle func(net.Conn)) {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	slots := make(chan struct{}, limits.MaxConnections)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(max(limits.ErrorBackoff, 100*time.Millisecond)):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			if limits.OnReject != nil {
				limits.OnReject()
			}
			continue
		}
		handlers.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			if limits.ConnectionTimeout > 0 {
				c.SetDeadline(time.Now().Add(limits.ConnectionTimeout))
			}
			stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
			defer stop()
			handle(c)
		})
	}
}
