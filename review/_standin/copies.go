package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 2, with the limits that the pages set.
const (
	oneWay        = 8 * time.Millisecond  // between the zones of node and servers; pages: 5.6 to 10 ms
	copyDelay     = 20 * time.Millisecond // of the second answer; pages: some milliseconds
	copyNodes     = 4
	copyRate      = 1600            // requests a second at all nodes
	copyRound     = 5 * time.Second // a round of traffic at that rate, with copies from copiesFrom to its end
	copiesFrom    = 3 * time.Second
	quietRate     = 50               // requests a second between two rounds
	quietTime     = 65 * time.Second // between two rounds: for a minute after stray bytes nodes are more careful
	copyRounds    = 2                // the second one only if the first has broken nothing
	fullShare     = 0.2              // part of the requests that find the queue full
	copyWork      = 10 * time.Millisecond
	copyClass     = "auftrag"
	copyRemaining = 2000
)

// journal is the record of a case. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	started time.Time
	to      *bufio.Writer
}

func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.to, "%9.3f %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, args...))
}

// link passes bytes between a listener and a target, each direction delayed by oneWay, as the way between two zones does.
func link(target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	pass := func(to, from net.Conn) {
		type piece struct {
			at   time.Time
			data []byte
		}
		pieces := make(chan piece, 1024)
		go func() {
			defer close(pieces)
			for {
				data := make([]byte, 16<<10)
				n, err := from.Read(data)
				if n > 0 {
					pieces <- piece{time.Now().Add(oneWay), data[:n]}
				}
				if err != nil {
					return
				}
			}
		}()
		for p := range pieces {
			time.Sleep(time.Until(p.at))
			if _, err := to.Write(p.data); err != nil {
				break
			}
		}
		time.Sleep(oneWay)
		to.Close()
		from.Close()
		for range pieces {
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				s, err := net.Dial("tcp", target)
				if err != nil {
					c.Close()
					return
				}
				go pass(s, c)
				pass(c, s)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// copyServer is a server that turns requests away when its queue is full. From a time on these answers come twice, the
// second one copyDelay later, unless the connection has carried something else by then.
type copyServer struct {
	name      string
	journal   *journal
	copying   atomic.Bool // its answers that turn away come twice
	mu        sync.Mutex
	rng       *rand.Rand
	runs      map[string]int // shared by all servers, guarded by runsMu
	runsMu    *sync.Mutex
	duplicate func(id string)
}

func (s *copyServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var mu sync.Mutex // guards writes and carried
	carried := 0      // requests that have begun to arrive
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		mu.Lock()
		carried++
		number := carried
		mu.Unlock()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Txn")
		s.mu.Lock()
		full := s.rng.Float64() < fullShare
		s.mu.Unlock()
		write := func(answer []byte) bool {
			mu.Lock()
			defer mu.Unlock()
			_, err := c.Write(answer)
			return err == nil
		}
		if full {
			s.journal.note("%s turns %s away", s.name, id)
			answer := []byte("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			if !write(answer) {
				return
			}
			if s.copying.Load() {
				time.AfterFunc(copyDelay, func() {
					mu.Lock()
					defer mu.Unlock()
					if carried == number { // nothing else waits on the connection
						s.journal.note("%s sends the answer to %s a second time", s.name, id)
						c.Write(answer)
					}
				})
			}
			continue
		}
		s.runsMu.Lock()
		s.runs[id]++
		again := s.runs[id] > 1
		s.runsMu.Unlock()
		s.journal.note("%s runs %s", s.name, id)
		if again {
			s.duplicate(id)
		}
		time.Sleep(copyWork)
		body := id + " done\n"
		if !write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)) {
			return
		}
	}
}

// copies plays case 2. It writes DIR/n1.json and so on and the file "written", waits for the nodes that are started with
// them, and plays clients and servers. The record goes to RECORD.
func copies(args []string) (int, error) {
	if len(args) != 3 {
		return cannotRun, fmt.Errorf("usage: copies DIR RECORD TROUBLE")
	}
	dir, trouble := args[0], args[2] != "0"
	file, err := os.Create(args[1])
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	j := &journal{started: time.Now(), to: bufio.NewWriter(file)}
	defer j.to.Flush()

	servers := &list{Generation: 1, Reset: true}
	runs, runsMu := map[string]int{}, &sync.Mutex{}
	var duplicates []string // guarded by runsMu
	var all []*copyServer
	for i := range 3 {
		s := &copyServer{
			name: fmt.Sprint("s-", i+1), journal: j, rng: rand.New(rand.NewPCG(uint64(i), 68)), runs: runs, runsMu: runsMu,
			duplicate: func(id string) {
				runsMu.Lock()
				defer runsMu.Unlock()
				duplicates = append(duplicates, id)
			},
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cannotRun, err
		}
		address, err := link(l.Addr().String())
		if err != nil {
			return cannotRun, err
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		all = append(all, s)
		servers.Instances = append(servers.Instances, instance{
			ID: s.name, HostPort: address, Zone: "zuerich", Kind: "empfang-schnell", Cell: i, Lifecycle: "SERVING", Weight: 1,
		})
	}
	discovery, err := serveDiscovery(servers)
	if err != nil {
		return cannotRun, err
	}
	var listen []string
	for i := range copyNodes {
		address, err := freePort()
		if err != nil {
			return cannotRun, err
		}
		listen = append(listen, address)
		n := node{
			name: fmt.Sprint("n", i+1), number: i, listen: address, discovery: discovery, memoryMB: 192, nodes: copyNodes, tries: 4, known: *servers,
			classes: []class{{Name: copyClass, Semantics: "once", Group: "all", AimNs: 1e9, DeadlineNs: 2e9, KeyTTLNs: 2e9, Worth: 1}},
		}
		if err := n.writeConfig(filepath.Join(dir, n.name+".json")); err != nil {
			return cannotRun, err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "written"), nil, 0o600); err != nil {
		return cannotRun, err
	}
	for _, address := range listen {
		if err := waitReady(address, 20*time.Second); err != nil {
			return cannotRun, err
		}
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	rng := rand.New(rand.NewPCG(1, 68))
	var asked sync.WaitGroup
	answers, foreign := map[int]int{}, 0
	var answersMu sync.Mutex
	number := 0
	ask := func(rate float64) {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		number++
		number := number
		asked.Add(1)
		go func() {
			defer asked.Done()
			id := fmt.Sprintf("%016x", 0x68<<32+number)
			r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%d", listen[number%copyNodes], copyClass, number), bytes.NewReader([]byte("lift 17 to floor 3\n")))
			r.Header.Set("X-Txn", id)
			r.Header.Set("X-Lane", copyClass)
			r.Header.Set("X-Remaining-Ms", fmt.Sprint(copyRemaining))
			j.note("client sends %s", id)
			answer, err := client.Do(r)
			if err != nil {
				j.note("client gets no answer to %s: %v", id, err)
				return
			}
			body, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			j.note("client gets %d to %s", answer.StatusCode, id)
			answersMu.Lock()
			defer answersMu.Unlock()
			answers[answer.StatusCode]++
			if answer.StatusCode == http.StatusOK && string(body) != id+" done\n" {
				foreign++
				j.note("BROKEN: the answer to %s is %q", id, body)
			}
		}()
	}
	isBroken := func() bool {
		runsMu.Lock()
		defer runsMu.Unlock()
		answersMu.Lock()
		defer answersMu.Unlock()
		return len(duplicates) > 0 || foreign > 0
	}
	for round := 1; round <= copyRounds && !isBroken(); round++ {
		if round > 1 {
			j.note("quiet time")
			for begun := time.Now(); time.Since(begun) < quietTime; {
				ask(quietRate)
			}
		}
		j.note("round %d", round)
		for begun := time.Now(); time.Since(begun) < copyRound; {
			if trouble && time.Since(begun) >= copiesFrom {
				for _, s := range all {
					s.copying.Store(true)
				}
			}
			ask(copyRate)
		}
		for _, s := range all {
			s.copying.Store(false)
		}
		asked.Wait()
	}
	asked.Wait()
	runsMu.Lock()
	defer runsMu.Unlock()
	j.note("answers by status: %v; %d requests ran", answers, len(runs))
	if answers[http.StatusOK] == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	for _, id := range duplicates {
		j.note("BROKEN: %s, unsafe to repeat, ran more than once", id)
	}
	if len(duplicates) > 0 || foreign > 0 {
		fmt.Printf("BROKEN: %d requests ran more than once, %d got another's answer\n", len(duplicates), foreign)
		return broken, nil
	}
	fmt.Println("held: no request ran twice, and each answer was that of its request")
	return held, nil
}
