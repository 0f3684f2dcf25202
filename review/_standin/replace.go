package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Figures of case 2, with the limits that the pages set.
const (
	replaceServers = 12 // in 4 cells of 3; pages: cells of 3 to 5
	replaceCells   = 4
	replaceRate    = 900                    // requests a second
	errorRate      = 0.003                  // of the servers; pages: up to 0.003
	backAfter      = 300 * time.Millisecond // from a server's crash to the start of the next one at its address
	listedAfter    = 500 * time.Millisecond // from that start to its publication; pages: 0.29 to 2.3 s
	noticedAfter   = 4 * time.Second        // from the crash to its publication; pages: 2.1 to 4.4 s
	roundEvery     = 12 * time.Second       // between two rounds, in each of which a server of each cell is replaced
	keyWindow      = 10 * time.Second
	toldGrace      = 500 * time.Millisecond // what the node was told is held against it after this
	replaceWork    = 10 * time.Millisecond
)

// changingList is discovery with a list that changes.
type changingList struct {
	mu       sync.Mutex
	versions []instance // version n is versions[n-1]
	changed  chan struct{}
	written  map[string]time.Time // when a server was first written to the node as serving
	journal  *journal
}

func (d *changingList) publish(i instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, i)
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the newest entries of the servers that changed after a version; 0: all that are not gone.
func (d *changingList) since(version int) (list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := list{Generation: len(d.versions), Reset: version == 0, Instances: []instance{}}
	newest := map[string]int{}
	for n := version; n < len(d.versions); n++ {
		newest[d.versions[n].ID] = n
	}
	for n := version; n < len(d.versions); n++ {
		if v := d.versions[n]; newest[v.ID] == n && (version > 0 || v.Lifecycle != "DELETED") {
			answer.Instances = append(answer.Instances, v)
		}
	}
	return answer, d.changed
}

func (d *changingList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	until := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for {
		answer, changed := d.since(version)
		if version > 0 && answer.Generation <= version {
			select {
			case <-changed:
				continue
			case <-until:
			case <-r.Context().Done():
				return
			}
		}
		text, _ := json.Marshal(answer)
		w.Write(text)
		http.NewResponseController(w).Flush()
		d.mu.Lock()
		for _, i := range answer.Instances {
			d.journal.note("discovery tells generation %d: %s at %s, cell %d, %s, started %d", answer.Generation, i.ID, i.HostPort, i.Cell, i.Lifecycle, i.StartedMs)
			if d.written[i.ID].IsZero() && i.Lifecycle == "SERVING" {
				d.written[i.ID] = time.Now()
			}
		}
		d.mu.Unlock()
		return
	}
}

// rack remembers the keys that its servers have run.
type rack struct {
	mu    sync.Mutex
	ranAt map[string]time.Time
}

// runsKey reports whether a request with the key runs, and is not dropped as a repeat.
func (r *rack) runsKey(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.ranAt[key]; ok && time.Since(at) < keyWindow {
		return false
	}
	r.ranAt[key] = time.Now()
	return true
}

// run is one run of a request.
type run struct {
	server string
	cell   int
	at     time.Time
}

// String describes the run in a record.
func (r run) String() string {
	return fmt.Sprintf("%s (cell %d) at %s", r.server, r.cell, r.at.Format("15:04:05.000"))
}

// rackServer is one process of a server.
type rackServer struct {
	instance
	rack     *rack
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	ended    bool
	onRun    func(key string, r run)
	journal  *journal
}

func (s *rackServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *rackServer) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		key := r.Header.Get("Idempotency-Key")
		if s.rack.runsKey(key) {
			s.journal.note("%s (cell %d) runs %s", s.ID, s.Cell, key)
			s.onRun(key, run{s.ID, s.Cell, time.Now()})
		} else {
			s.journal.note("%s (cell %d) drops the repeat of %s", s.ID, s.Cell, key)
		}
		time.Sleep(replaceWork)
		status, body := "200 OK", key+" done\n"
		if rand.Float64() < errorRate {
			status, body = "500 Internal Server Error", "trouble\n"
			s.journal.note("%s answers 500 to %s", s.ID, key)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
			return
		}
	}
}

// crash ends the process: its connections are reset, and new ones are refused.
func (s *rackServer) crash() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// replace plays case 2. It writes DIR/n1.json and the file "written", waits for the node that is
// started with it, and plays servers, discovery and clients. The record goes to RECORD.
func replace(args []string) (int, error) {
	if len(args) != 3 {
		return cannotRun, fmt.Errorf("usage: replace DIR RECORD TROUBLE")
	}
	dir, trouble := args[0], args[2] != "0"
	file, err := os.Create(args[1])
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	j := &journal{started: time.Now(), to: bufio.NewWriter(file)}
	defer j.to.Flush()

	var racks []*rack
	for range replaceCells {
		racks = append(racks, &rack{ranAt: map[string]time.Time{}})
	}
	var mu sync.Mutex
	runs := map[string][]run{}
	onRun := func(key string, r run) {
		mu.Lock()
		defer mu.Unlock()
		runs[key] = append(runs[key], r)
	}
	start := func(id, address string, cell int, startedMs int64) (*rackServer, error) {
		var l net.Listener
		var err error
		for range 100 { // the address of one that has just ended may be in use for a moment
			if l, err = net.Listen("tcp", address); err == nil {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if err != nil {
			return nil, err
		}
		s := &rackServer{
			instance: instance{
				ID: id, HostPort: l.Addr().String(), Zone: "zuerich", Kind: "empfang-schnell", Cell: cell, Lifecycle: "SERVING", Weight: 1, StartedMs: startedMs,
			},
			rack: racks[cell], listener: l, conns: map[net.Conn]bool{}, onRun: onRun, journal: j,
		}
		go s.serve()
		return s, nil
	}
	discovery := &changingList{changed: make(chan struct{}), written: map[string]time.Time{}, journal: j}
	var servers []*rackServer
	for i := range replaceServers {
		s, err := start(fmt.Sprintf("s-%02d", i), "127.0.0.1:0", i%replaceCells, 0)
		if err != nil {
			return cannotRun, err
		}
		servers = append(servers, s)
		discovery.publish(s.instance)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun, err
	}
	go http.Serve(l, discovery)
	listen, err := freePort()
	if err != nil {
		return cannotRun, err
	}
	known, _ := discovery.since(0)
	n := node{
		name: "n1", listen: listen, discovery: l.Addr().String(), memoryMB: 192, nodes: 1, tries: 4, known: &known,
		classes: []class{{Name: "stoerung", Semantics: "by_key", Group: "cell", AimNs: 2e9, DeadlineNs: 6e9, KeyTTLNs: int64(keyWindow), Worth: 1}},
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

	stop := make(chan struct{})
	var running sync.WaitGroup
	answers := map[int]int{}
	running.Go(func() {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
		rng := rand.New(rand.NewPCG(1, 68))
		for number := 1; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.ExpFloat64() / replaceRate * float64(time.Second))):
			}
			running.Go(func() {
				j.note("client sends %032x", number)
				key := fmt.Sprintf("%032x", number)
				r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/stoerung/%d", listen, number), nil)
				r.Header.Set("X-Txn", fmt.Sprintf("%016x", number))
				r.Header.Set("X-Lane", "stoerung")
				r.Header.Set("X-Remaining-Ms", "4000")
				r.Header.Set("Idempotency-Key", key)
				answer, err := client.Do(r)
				status := 0
				if err == nil {
					status = answer.StatusCode
					io.Copy(io.Discard, answer.Body)
					answer.Body.Close()
				}
				j.note("client gets %d to %s", status, key)
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
			})
		}
	})
	time.Sleep(5 * time.Second)
	replaced := map[string]bool{}
	for round := range replaceServers / replaceCells {
		if trouble {
			var replacing sync.WaitGroup
			for _, old := range servers[round*replaceCells : (round+1)*replaceCells] {
				replacing.Go(func() {
					crashed := time.Now()
					j.note("%s (cell %d) crashes", old.ID, old.Cell)
					old.crash()
					time.Sleep(backAfter)
					next, err := start(old.ID+"-next", old.HostPort, (old.Cell+1)%replaceCells, time.Now().UnixMilli())
					if err != nil {
						j.note("%v", err)
						return
					}
					j.note("%s (cell %d) starts at its address", next.ID, next.Cell)
					mu.Lock()
					replaced[next.ID] = true
					mu.Unlock()
					time.Sleep(listedAfter)
					discovery.publish(next.instance)
					time.Sleep(time.Until(crashed.Add(noticedAfter)))
					gone := old.instance
					gone.Lifecycle = "DELETED"
					discovery.publish(gone)
				})
			}
			replacing.Wait()
			time.Sleep(roundEvery - noticedAfter)
		} else {
			time.Sleep(roundEvery)
		}
	}
	close(stop)
	running.Wait()
	j.note("answers by status: %v; %d requests ran", answers, len(runs))
	if answers[http.StatusOK] == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	twice, excused := 0, 0
	for key, all := range runs {
		if len(all) < 2 {
			continue
		}
		isExcused := false // the node had not been told of a server that ran it, or just so
		for _, r := range all {
			told := discovery.written[r.server]
			isExcused = isExcused || replaced[r.server] && (told.IsZero() || r.at.Before(told.Add(toldGrace)))
		}
		if isExcused {
			excused++
			j.note("not counted: %s ran more than once, before the node was told of a server or within the grace: %v", key, all)
			continue
		}
		twice++
		j.note("BROKEN: %s ran more than once, at servers that do not drop each other's repeats: %v", key, all)
	}
	if twice > 0 {
		fmt.Printf("BROKEN: %d keyed requests ran more than once (%d more are not counted)\n", twice, excused)
		return broken, nil
	}
	fmt.Printf("held: no request that counts ran more than once (%d are not counted)\n", excused)
	return held, nil
}
