package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// loopback is a loopback address of this run's own, so that runs side by side do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.1:0", 1+rand.IntN(250), 1+rand.IntN(250))

// record is the file record.txt of a case: one line for each thing that was sent, answered or run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// entry is a server in discovery's list, as the protocol page has it.
type entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

type listAnswer struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery is a sound discovery service: whole lists, and long polls for changes.
type discovery struct {
	rec     *record
	address string

	mu      sync.Mutex
	changes []entry // change n made version n+1
	changed chan struct{}
}

func newDiscovery(rec *record) (*discovery, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, address: l.Addr().String(), changed: make(chan struct{})}
	go http.Serve(l, d)
	return d, nil
}

func (d *discovery) publish(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, e)
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.line("discovery version=%d server=%s state=%s", len(d.changes), e.ID, e.Lifecycle)
}

// list returns the answer to a call; d.mu is held.
func (d *discovery) list(since int) listAnswer {
	a := listAnswer{Generation: len(d.changes), Reset: since < 0, Instances: []entry{}}
	last := map[string]int{}
	for i, e := range d.changes {
		last[e.ID] = i
	}
	for i, e := range d.changes {
		if last[e.ID] == i && i >= since && (since >= 0 || e.Lifecycle != "DELETED") {
			a.Instances = append(a.Instances, e)
		}
	}
	return a
}

func (d *discovery) whole() listAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(-1)
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	since, wait := -1, time.Duration(0)
	if text := r.URL.Query().Get("since"); text != "" {
		since, _ = strconv.Atoi(text)
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		wait = time.Duration(ms) * time.Millisecond
	}
	end := time.After(wait)
	for {
		d.mu.Lock()
		a, changed := d.list(since), d.changed
		d.mu.Unlock()
		if since >= 0 && a.Generation == since && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		text, _ := json.Marshal(a)
		d.rec.line("discovery-answer since=%d generation=%d entries=%d", since, a.Generation, len(a.Instances))
		w.Header().Set("Content-Type", "application/json")
		w.Write(text)
		return
	}
}

// nodeProcess is a real node, started by the command of the deploy file.
type nodeProcess struct {
	address string
	cmd     *exec.Cmd
	done    chan struct{}
}

// deployRoot is the root of the repository.
func deployRoot() string {
	dir, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); statErr == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			break
		}
		dir = filepath.Dir(dir)
	}
	return "."
}

// runCommand is the value of run in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("no run in the deploy file")
	}
	return string(m[1]), nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// nodeConfig is what a node is told at its start.
type nodeConfig struct {
	Name, Listen, Discovery string
	Known                   listAnswer
	Settings                map[string]any
}

func startNode(c nodeConfig, dir string, rec *record) (*nodeProcess, error) {
	root := deployRoot()
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": strconv.FormatInt(time.Now().UnixNano(), 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  c.Known, "settings": c.Settings,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, c.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "LB_NAME="+c.Name, "LB_LISTEN="+c.Listen, "LB_DISCOVERY="+c.Discovery, "LB_CONFIG="+path, "TMPDIR="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &nodeProcess{address: c.Listen, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		rec.line("node-ended name=%s err=%v", c.Name, err)
		close(n.done)
	}()
	rec.line("node-started name=%s", c.Name)
	return n, nil
}

// waitReady waits until the node answers /ready with 200.
func (n *nodeProcess) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n.exited() {
			return fmt.Errorf("node at %s has ended", n.address)
		}
		resp, err := http.Get("http://" + n.address + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	return fmt.Errorf("node at %s is not ready", n.address)
}

func (n *nodeProcess) kill() {
	n.cmd.Process.Kill()
	<-n.done
}

func (n *nodeProcess) exited() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// class is a class of requests of the deployment.
type class struct {
	name             string
	aim, deadline    time.Duration
	worth            float64
	semantics, group string
	keyTTL           time.Duration
}

// liftwacht has the classes of the site file.
var liftwacht = []class{
	{"notruf-abfrage", 2 * time.Second, 5 * time.Second, 12, "repeatable", "all", 5 * time.Second},
	{"zustand", time.Second, 2500 * time.Millisecond, 1, "repeatable", "all", 5 * time.Second},
	{"stoerung", 2 * time.Second, 6 * time.Second, 1, "by_key", "cell", 10 * time.Second},
}

// classes are those of the case that is played.
var classes = liftwacht

// settings returns the settings object of a node; the names and figures are those of the wire page's example.
func settings(me, nodes int, zone string, zones []string, classes []class) map[string]any {
	var categories []map[string]any
	for _, c := range classes {
		categories = append(categories, map[string]any{
			"name": c.name, "aim_ns": c.aim, "deadline_ns": c.deadline, "worth": c.worth, "late_worth": 0.0,
			"semantics": c.semantics, "group": c.group, "key_ttl_ns": c.keyTTL, "streaming": false,
		})
	}
	return map[string]any{
		"areas": zones, "zone": zone, "me": me, "n_instances": nodes, "tier": 0, "tiers": []string{"empfang", "anlagen"},
		"categories": categories, "callers": map[string]any{"marks_retry": true}, "counted_by": "request",
		"deductions":  map[string]any{"cross_zone": 0.01, "handshake": 0.03, "late_fail": 0.08, "waste": 0.02, "probe": 0.0},
		"family_info": map[string]any{"passes_deadline": true}, "kind_of_service": "chain", "kinds": []string{"empfang-mittel"},
		"limits": map[string]any{
			"cancel": true, "conn_idle_ns": 10 * time.Second, "connect_timeout_ns": 250 * time.Millisecond, "cpu_us_per_s": 400000,
			"max_retry_after_ns": 2 * time.Second, "may_probe": false, "may_tell": false, "most_held": 20000, "most_tries": 4,
			"retry_after": false, "second_copies": false, "streams_per_conn": 1,
		},
		"load_report":   map[string]any{"how": "none", "names": []string{}},
		"objective_mix": map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
		"obligations": map[string]any{
			"ask_within_ns": 10 * time.Second, "cold_from": 0.3, "cold_ns": 8400 * time.Millisecond, "drain_grace_ns": 500 * time.Millisecond,
			"fall_multiple": 2.5, "fall_ns": time.Second, "grace_to_answer_ns": 20 * time.Millisecond,
		},
		"over_share_worth": 0.1, "period_ns": 5 * time.Millisecond, "registry_mode": "subscribe", "tenants": []any{}, "weight_source": "none",
	}
}
