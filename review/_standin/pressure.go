package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 3, with the limits that the pages set.
const (
	pressureMemory  = 64                     // MB; pages: 32 to 192
	stallingClients = 280                    // pages: clients "by hundreds", bodies of 64 KiB at most, 1,024 descriptors
	stallingBody    = 64 << 10               // what they announce
	stallingEvery   = 3 * time.Second        // they come again, all at once, after this ...
	stallingTimes   = 4                      // ... so many times in all
	usualClients    = 20                     // each with a connection of its own that it keeps
	askEvery        = 250 * time.Millisecond // from one request of a usual client to its next
	clientWait      = 480                    // ms, X-Remaining-Ms of the usual clients; pages: 480 in PROTOCOL's example
	answerSlack     = 500 * time.Millisecond // "up to half a second after its time it only earns nothing"
	pressureWork    = 10 * time.Millisecond
)

// pressure plays case 3. It writes DIR/n1.json and the file "written", waits for the node that is started with it, and
// plays a server, usual clients, and clients that stop in the middle of a request and stay. The record goes to RECORD.
func pressure(args []string) (int, error) {
	if len(args) != 3 {
		return cannotRun, fmt.Errorf("usage: pressure DIR RECORD TROUBLE")
	}
	dir, trouble := args[0], args[2] != "0"
	file, err := os.Create(args[1])
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	j := &journal{started: time.Now(), to: bufio.NewWriter(file)}
	defer j.to.Flush()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun, err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		j.note("server runs %s, %s ms left", r.Header.Get("X-Txn"), r.Header.Get("X-Remaining-Ms"))
		time.Sleep(pressureWork)
		fmt.Fprintln(w, r.Header.Get("X-Txn"), "done")
	}))
	servers := &list{Generation: 1, Reset: true, Instances: []instance{
		{ID: "s-1", HostPort: l.Addr().String(), Zone: "zuerich", Kind: "empfang-schnell", Lifecycle: "SERVING", Weight: 1},
	}}
	discovery, err := serveDiscovery(servers)
	if err != nil {
		return cannotRun, err
	}
	listen, err := freePort()
	if err != nil {
		return cannotRun, err
	}
	n := node{
		name: "n1", listen: listen, discovery: discovery, memoryMB: pressureMemory, nodes: 1, tries: 4, known: servers,
		classes: []class{
			{Name: "notruf-abfrage", Semantics: "repeatable", Group: "all", AimNs: 400e6, DeadlineNs: 500e6, KeyTTLNs: 500e6, Worth: 12},
			{Name: "stoerung", Semantics: "by_key", Group: "cell", AimNs: 2e9, DeadlineNs: 6e9, KeyTTLNs: 10e9, Worth: 1},
		},
	}
	if err := n.writeConfig(filepath.Join(dir, "n1.json")); err != nil {
		return cannotRun, err
	}
	if err := os.WriteFile(filepath.Join(dir, "written"), nil, 0o600); err != nil {
		return cannotRun, err
	}
	if err := waitReady(listen, 20*time.Second); err != nil {
		return cannotRun, err
	}

	var running sync.WaitGroup
	var served, refused, failed, lost atomic.Int64
	stop := make(chan struct{})
	for i := range usualClients {
		running.Go(func() {
			c := &usualClient{journal: j, node: listen}
			defer c.close()
			time.Sleep(askEvery * time.Duration(i) / usualClients)
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				asked := time.Now()
				switch status, isLost := c.ask(fmt.Sprintf("%08x%08x", i+1, number)); {
				case isLost:
					lost.Add(1)
				case status == http.StatusOK:
					served.Add(1)
				case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(time.Until(asked.Add(askEvery)))
			}
		})
	}
	time.Sleep(3 * time.Second)
	for wave := range stallingTimes {
		next := time.After(stallingEvery)
		if trouble {
			j.note("clients that stop in the middle of a request come")
			var stalling sync.WaitGroup
			for i := range stallingClients {
				stalling.Go(func() { stall(listen, fmt.Sprintf("bad-%d-%d", wave, i)) })
			}
			stalling.Wait()
			j.note("they are gone")
		}
		<-next
	}
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	j.note("usual clients: %d served, %d refused, %d failed, %d lost", served.Load(), refused.Load(), failed.Load(), lost.Load())
	if served.Load() == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	if lost.Load() > 0 {
		fmt.Printf("BROKEN: %d requests of usual clients got no final answer within their time and half a second; %d were served\n", lost.Load(), served.Load())
		return broken, nil
	}
	fmt.Printf("held: all requests of usual clients got their answer, %d served, %d refused, %d failed\n", served.Load(), refused.Load(), failed.Load())
	return held, nil
}

// usualClient sends one request at a time on a connection that it keeps.
type usualClient struct {
	journal *journal
	node    string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *usualClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends a request and returns the status of its answer, or that it is lost: with no whole answer half a second after
// the client's time, or its connection ended without one. A connection that the node has closed between two requests is
// no loss: the client sends the request once more on a new one.
func (c *usualClient) ask(id string) (status int, isLost bool) {
	begun := time.Now()
	for try := 1; ; try++ {
		kept := c.conn != nil
		if !kept {
			conn, err := net.DialTimeout("tcp", c.node, time.Second)
			if err != nil {
				c.journal.note("client can't connect for %s: %v", id, err)
				return 0, false // nothing was taken
			}
			c.conn, c.in = conn, bufio.NewReader(conn)
		}
		sent := time.Now()
		c.conn.SetDeadline(sent.Add(clientWait*time.Millisecond + answerSlack))
		c.journal.note("client sends %s, %d ms", id, clientWait)
		_, err := fmt.Fprintf(c.conn, "GET /notruf-abfrage/%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: notruf-abfrage\r\nX-Remaining-Ms: %d\r\n\r\n", id, id, clientWait)
		var answer *http.Response
		if err == nil {
			answer, err = http.ReadResponse(c.in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		took := time.Since(sent)
		if err == nil {
			c.journal.note("client gets %d to %s after %d ms", answer.StatusCode, id, took.Milliseconds())
			if answer.Close {
				c.close()
			}
			return answer.StatusCode, false
		}
		c.close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.journal.note("LOST: %s has no answer after %d ms", id, took.Milliseconds())
			return 0, true
		}
		// The close may have crossed the request, if it comes at once.
		if kept && try == 1 && took < 100*time.Millisecond {
			c.journal.note("the connection of %s was closed between requests, it is sent once more", id)
			continue
		}
		if !kept {
			// The first request on a connection that is closed with nothing sent on it is not counted.
			c.journal.note("the new connection of %s was closed after %d ms: %v", id, took.Milliseconds(), err)
			return 0, false
		}
		c.journal.note("LOST: the connection of %s was ended after %d ms with no answer, %d ms in all: %v", id, took.Milliseconds(), time.Since(begun).Milliseconds(), err)
		return 0, true
	}
}

// stall is a client that stops in the middle of a request and stays until it gets its error or the close that it is owed.
func stall(address, id string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /stoerung/%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: stoerung\r\nX-Remaining-Ms: 6000\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", id, id, id, stallingBody)
	c.Write(make([]byte, stallingBody/2))
	io.Copy(io.Discard, c)
}
