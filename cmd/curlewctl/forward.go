package main

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync/atomic"
	"time"
)

// forwardCommand forwards requests to the servers round robin, without admission control, load-based selection or
// retries of its own. It is limited to one core, as a node is.
type forwardCommand struct {
	Listen  string   `arg:""`
	Servers []string `arg:"" name:"boxes"`
}

// Run forwards until the context ends.
func (c *forwardCommand) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(1)
	var requests atomic.Uint64
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 9 * time.Second, DisableCompression: true}
	proxy := &httputil.ReverseProxy{
		Transport: transport,
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: c.Servers[requests.Add(1)%uint64(len(c.Servers))]})
		},
		ErrorLog: log.New(io.Discard, "", 0),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("/", proxy)
	server := &http.Server{Handler: mux, IdleTimeout: 5 * time.Second}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { // exits when the context ends
		defer close(done)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	<-done
	return nil
}
