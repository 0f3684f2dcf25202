package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// class is a class of requests as the settings of a node describe it.
type class struct {
	Name       string `json:"name"`
	Semantics  string `json:"semantics"`
	Group      string `json:"group"`
	AimNs      int64  `json:"aim_ns"`
	DeadlineNs int64  `json:"deadline_ns"`
	KeyTTLNs   int64  `json:"key_ttl_ns"`
	Worth      int    `json:"worth"`
	LateWorth  int    `json:"late_worth"`
	Streaming  bool   `json:"streaming"`
}

// instance is a server in discovery's form.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// list is a list of servers in discovery's form.
type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// node says what differs between the nodes of the cases.
type node struct {
	name      string
	number    int
	listen    string
	discovery string
	memoryMB  int
	nodes     int
	tries     int
	classes   []class
	known     *list // nil: the configuration has none
}

// writeConfig writes a node's configuration, with the names and figures of the deployment pages.
func (n *node) writeConfig(path string) error {
	settings := map[string]any{
		"areas": []string{"zuerich", "genf"}, "zone": "zuerich", "tier": 0, "tiers": []string{"empfang"}, "kinds": []string{"empfang-schnell"},
		"categories": n.classes, "callers": map[string]any{"marks_retry": true}, "counted_by": "request",
		"deductions":  map[string]any{"cross_zone": 0.01, "handshake": 0.03, "late_fail": 0.08, "waste": 0.02, "probe": 0},
		"family_info": map[string]any{"passes_deadline": true}, "kind_of_service": "chain",
		"limits": map[string]any{
			"cancel": true, "conn_idle_ns": 10 * time.Second, "connect_timeout_ns": 250 * time.Millisecond, "cpu_us_per_s": 400000,
			"max_retry_after_ns": 2 * time.Second, "may_probe": false, "may_tell": false, "most_held": 20000, "most_tries": n.tries,
			"retry_after": false, "second_copies": false, "streams_per_conn": 1,
		},
		"load_report": map[string]any{"how": "none", "names": []string{}}, "me": n.number, "n_instances": n.nodes,
		"objective_mix": map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0, "worst_window": 0.2},
		"obligations": map[string]any{
			"ask_within_ns": 10 * time.Second, "cold_from": 0.3, "cold_ns": 8400 * time.Millisecond, "drain_grace_ns": 500 * time.Millisecond,
			"fall_multiple": 2.5, "fall_ns": time.Second, "grace_to_answer_ns": 20 * time.Millisecond,
		},
		"over_share_worth": 0.1, "period_ns": 5 * time.Millisecond, "registry_mode": "subscribe", "tenants": []string{}, "weight_source": "none",
	}
	config := map[string]any{
		"name": n.name, "listen": n.listen, "discovery": n.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": n.memoryMB, "sockets": 1024}, "settings": settings,
	}
	if n.known != nil {
		config["known"] = n.known
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no port is free for both TCP and UDP")
}

// serveDiscovery serves a list that does not change, and returns discovery's address.
func serveDiscovery(servers *list) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		answer := *servers
		if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil && since >= servers.Generation {
			wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			select {
			case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			answer = list{Generation: servers.Generation, Instances: []instance{}}
		}
		json.NewEncoder(w).Encode(answer)
	})
	go http.Serve(l, mux)
	return l.Addr().String(), nil
}

// waitReady waits until a node answers 200 to GET /ready.
func waitReady(address string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		if answer, err := client.Get("http://" + address + "/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("the node at %s is not ready after %v", address, limit)
}
