package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// fleet writes the files of nodes that are members of one fleet and take part in its leases, n1.json and n1.toml and so
// on, and serves discovery and a server for them. The file "written" says that all are there.
func fleet(args []string) (int, error) {
	if len(args) != 2 {
		return cannotRun, fmt.Errorf("usage: fleet DIR N")
	}
	dir := args[0]
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return cannotRun, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun, err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprintln(w, r.Header.Get("X-Txn")) }))
	servers := &list{Generation: 1, Reset: true, Instances: []instance{
		{ID: "s-1", HostPort: l.Addr().String(), Zone: "zuerich", Kind: "empfang-schnell", Lifecycle: "SERVING", Weight: 1},
	}}
	discovery, err := serveDiscovery(servers)
	if err != nil {
		return cannotRun, err
	}
	var clients, members []string
	for range 2 * count {
		address, err := freePort()
		if err != nil {
			return cannotRun, err
		}
		if len(clients) < count {
			clients = append(clients, address)
		} else {
			members = append(members, strconv.Quote(address))
		}
	}
	for i := range count {
		name := fmt.Sprint("n", i+1)
		n := node{
			name: name, listen: clients[i], discovery: discovery, memoryMB: 192, nodes: count, tries: 4, known: servers,
			classes: []class{{Name: "zustand", Semantics: "repeatable", Group: "all", AimNs: 1e9, DeadlineNs: 2.5e9, KeyTTLNs: 2.5e9, Worth: 1}},
		}
		if err := n.writeConfig(filepath.Join(dir, name+".json")); err != nil {
			return cannotRun, err
		}
		state := filepath.Join(dir, name+".state")
		text := fmt.Sprintf("[state]\nfolder = %q\n\n[members]\nfleet = \"liftwacht-ch\"\nlisten = %s\nseeds = [%s]\n\n[leases]\nreplace_after = \"5m\"\n",
			state, members[i], strings.Join(members, ", "))
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o600); err != nil {
			return cannotRun, err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "written"), nil, 0o600); err != nil {
		return cannotRun, err
	}
	select {}
}

// worker is the program that does the task's work. Each 100 ms it does a piece and notes it in a file that all machines
// of the test see: when, and under which token.
func worker(args []string) (int, error) {
	if len(args) != 2 {
		return cannotRun, fmt.Errorf("usage: worker FILE SECONDS")
	}
	seconds, err := strconv.Atoi(args[1])
	if err != nil {
		return cannotRun, err
	}
	file, err := os.OpenFile(args[0], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	for range seconds * 10 {
		fmt.Fprintf(file, "%d work token=%s pid=%d\n", time.Now().UnixMilli(), os.Getenv("CURLEWRING_TOKEN"), os.Getpid())
		time.Sleep(100 * time.Millisecond)
	}
	return held, nil
}

// overlap looks for work under a token after work under a higher one has begun.
func overlap(args []string) (int, error) {
	if len(args) != 1 {
		return cannotRun, fmt.Errorf("usage: overlap FILE")
	}
	file, err := os.Open(args[0])
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	type span struct {
		first, last int64
		pieces      int
	}
	spans := map[string]*span{}
	var tokens []string // in the order of their first piece
	for in := bufio.NewScanner(file); in.Scan(); {
		var at int64
		var token string
		var pid int
		if n, _ := fmt.Sscanf(in.Text(), "%d work token=%s pid=%d", &at, &token, &pid); n != 3 {
			return cannotRun, fmt.Errorf("the line can't be read: %q", in.Text())
		}
		s := spans[token]
		if s == nil {
			s = &span{first: at}
			spans[token] = s
			tokens = append(tokens, token)
		}
		s.last, s.pieces = at, s.pieces+1
	}
	if len(tokens) < 2 {
		return cannotRun, fmt.Errorf("%d tasks have worked, there should be two", len(tokens))
	}
	for _, token := range tokens {
		s := spans[token]
		fmt.Printf("token %s: %d pieces of work, from %d to %d\n", token, s.pieces, s.first, s.last)
	}
	a, b := spans[tokens[0]], spans[tokens[1]]
	if a.last > b.first {
		fmt.Printf("BROKEN: the task under token %s worked on for %d ms after the one under token %s had begun\n", tokens[0], a.last-b.first, tokens[1])
		return broken, nil
	}
	fmt.Println("held: no two tasks at work at a time")
	return held, nil
}
