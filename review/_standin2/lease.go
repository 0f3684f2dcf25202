package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lease-tool-killed"] = leaseToolKilled }

// resource is what a task under the lease acts on. It hears each act with the task's process and token.
type resource struct {
	rec     *record
	address string

	mu   sync.Mutex
	acts []act
}

type act struct {
	at    time.Time
	pid   int
	token int
}

func newResource(rec *record) (*resource, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	r := &resource{rec: rec, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *resource) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		var a act
		if _, err := fmt.Sscanf(lines.Text(), "act pid=%d token=%d", &a.pid, &a.token); err != nil {
			return
		}
		a.at = time.Now()
		r.mu.Lock()
		r.acts = append(r.acts, a)
		r.mu.Unlock()
		r.rec.line("act pid=%d token=%d", a.pid, a.token)
		fmt.Fprintln(c, "done")
	}
}

func (r *resource) history() []act {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]act(nil), r.acts...)
}

func (r *resource) actedUnder(token func(int) bool) bool {
	for _, a := range r.history() {
		if token(a.token) {
			return true
		}
	}
	return false
}

// work is the task's own program: it acts on the resource every 50 ms for a time.
func work(address, length string) int {
	limit, err := time.ParseDuration(length)
	if err != nil {
		return 2
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 2
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		fmt.Fprintf(c, "act pid=%d token=%s\n", os.Getpid(), os.Getenv("CURLEWRING_TOKEN"))
		if _, err := answers.ReadString('\n'); err != nil {
			return 1
		}
	}
	return 0
}

// leaseToolKilled: a task that is a script with a program of its own runs under a lease at one node, and the tool that
// runs it is killed; a node beside waits for the same lease.
func leaseToolKilled(trouble bool, dir string, rec *record) (verdict, error) {
	d, err := newDiscovery(rec)
	if err != nil {
		return verdict{}, err
	}
	res, err := newResource(rec)
	if err != nil {
		return verdict{}, err
	}
	root := deployRoot()
	var members []string
	for range 3 {
		address, err := freeAddress()
		if err != nil {
			return verdict{}, err
		}
		members = append(members, address)
	}
	seeds := `"` + strings.Join(members, `", "`) + `"`
	var folders []string
	for i := range 3 {
		name := fmt.Sprintf("n%d", i)
		folder := filepath.Join(dir, "state-"+name)
		folders = append(folders, folder)
		text := fmt.Sprintf("[state]\nfolder = %q\n\n[members]\nfleet = \"review\"\nlisten = %q\nseeds = [%s]\n\n[leases]\n", folder, members[i], seeds)
		own := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return verdict{}, err
		}
		address, err := freeAddress()
		if err != nil {
			return verdict{}, err
		}
		n, err := startNode(nodeConfig{
			Name: name, Listen: address, Discovery: d.address, Known: d.whole(),
			Settings: settings(i, 3, "zuerich", []string{"zuerich"}, liftwacht), Flags: "--settings " + own,
		}, dir, rec)
		if err != nil {
			return verdict{}, err
		}
		defer n.kill()
	}
	tool := filepath.Join(root, "bin", "curlewctl")
	founded := false
	for end := time.Now().Add(30 * time.Second); !founded && time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		out, err := exec.Command(tool, "lease", "found", "--folder", folders[0], "--voters", "3").CombinedOutput()
		founded = err == nil
		rec.line("found err=%v %q", err, shorten(string(out)))
	}
	if !founded {
		return verdict{}, fmt.Errorf("the lease log was not founded")
	}
	self, err := os.Executable()
	if err != nil {
		return verdict{}, err
	}
	script := filepath.Join(dir, "task")
	if err := os.WriteFile(script, []byte("#!/bin/sh\n\"$1\" work \"$2\" \"$3\"\necho the task has ended\n"), 0o700); err != nil {
		return verdict{}, err
	}
	start := func(node int, length string) (*exec.Cmd, error) {
		cmd := exec.Command(tool, "lease", "run", "--folder", folders[node], "nightly", "--ttl", "3s", "--wait", "40s", "--", script, self, res.address, length)
		log, err := os.OpenFile(filepath.Join(dir, "tool.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer log.Close()
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		rec.line("tool-started node=n%d pid=%d", node, cmd.Process.Pid)
		return cmd, nil
	}
	defer func() { // tasks may have outlived their tool
		pids := map[int]bool{}
		for _, a := range res.history() {
			pids[a.pid] = true
		}
		for pid := range pids {
			if text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/cmdline"); err == nil && strings.Contains(string(text), res.address) {
				syscall.Kill(pid, syscall.SIGKILL)
			}
		}
	}()
	length := "20s"
	if !trouble {
		length = "4s"
	}
	first, err := start(1, length)
	if err != nil {
		return verdict{}, err
	}
	defer first.Process.Kill()
	if !waitUntil(30*time.Second, func() bool { return len(res.history()) > 0 }) {
		return verdict{}, fmt.Errorf("the first task did not begin")
	}
	firstToken := res.history()[0].token
	second, err := start(2, "3s")
	if err != nil {
		return verdict{}, err
	}
	defer second.Process.Kill()
	time.Sleep(time.Second)
	if trouble {
		rec.line("tool-killed pid=%d", first.Process.Pid)
		first.Process.Kill()
	}
	go first.Wait()
	if !waitUntil(40*time.Second, func() bool { return res.actedUnder(func(t int) bool { return t != firstToken }) }) {
		return verdict{}, fmt.Errorf("the second task did not begin")
	}
	second.Wait()
	v := verdict{}
	var secondBegan, secondLast time.Time
	for _, a := range res.history() {
		if a.token != firstToken {
			if secondBegan.IsZero() {
				secondBegan = a.at
			}
			secondLast = a.at
		}
	}
	stale := 0
	for _, a := range res.history() {
		if a.token == firstToken && a.at.After(secondBegan) && a.at.Before(secondLast) {
			stale++
		}
	}
	v.note = fmt.Sprintf("%d acts, the second task began under another token than %d", len(res.history()), firstToken)
	if stale > 0 {
		v.breaks = append(v.breaks, fmt.Sprintf("%d acts of the first task between the first and the last act of the second: two tasks ran under one lease", stale))
	}
	return v, nil
}

func waitUntil(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
