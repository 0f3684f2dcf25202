// Package accept hands out what connects to a listener: so many connections at once, and
// each ended with its context. A listener's owner closes it; Serve returns after that, and
// after the last connection.
package accept

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Bounds of a listener's connections.
type Limits struct {
	MaxConnections    int           // at once; others are closed
	ConnectionTimeout time.Duration // how long one may last; 0: until the context ends
	OnReject          func()        // is called for each that is closed at once; nil: nobody counts
	ErrorBackoff      time.Duration // after an error, short of descriptors most likely; 0: 100 ms
}

// Serve calls do for each connection, on a goroutine of its own, and closes it afterwards.
func Serve(ctx context.Context, l net.Listener, b Limits, do func(net.Conn)) {
	var parts sync.WaitGroup
	defer parts.Wait()
	places := make(chan struct{}, b.MaxConnections)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(max(b.ErrorBackoff, 100*time.Millisecond)):
			}
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			c.Close()
			if b.OnReject != nil {
				b.OnReject()
			}
			continue
		}
		parts.Go(func() {
			defer func() { <-places }()
			defer c.Close()
			if b.ConnectionTimeout > 0 {
				c.SetDeadline(time.Now().Add(b.ConnectionTimeout))
			}
			stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
			defer stop()
			do(c)
		})
	}
}
