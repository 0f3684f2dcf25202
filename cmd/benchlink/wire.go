package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"curlewring/decide"
	"curlewring/internal/operators/settings"
)

// message is one line of input: a JSON object whose only key is the name of the event.
type message struct {
	Turn      *batchStart   `json:"turn"`
	Commit    *struct{}     `json:"commit"`
	Boot      *bootEvent    `json:"boot"`
	Census    *serverList   `json:"census"`
	View      *listEvent    `json:"view"`
	Req       *requestEvent `json:"req"`
	Opened    *outcomeEvent `json:"opened"`
	Done      *outcomeEvent `json:"done"`
	Check     *outcomeEvent `json:"check_result"`
	Reminder  *timerEvent   `json:"reminder"`
	Cancelled *requestID    `json:"cancelled_by_client"`
	Exit      *instance     `json:"exit"`
	Heard     *instance     `json:"heard"`
}

type batchStart struct {
	Clock *time.Duration `json:"clock_ns"`
}

type instance struct {
	I *int `json:"i"`
}

type bootEvent struct {
	instance
	Seed     uint64           `json:"rng_seed"`
	Settings *settings.Object `json:"boot_info"`
}

type serverList struct {
	Number int           `json:"roster_id"`
	Items  []serverEntry `json:"items"`
}

type serverEntry struct {
	Server  string        `json:"server"`
	Zone    string        `json:"failure_domain"`
	Cell    int           `json:"pod"`
	Health  string        `json:"health"`
	Weight  float64       `json:"power_hint"`
	Started time.Duration `json:"start_time_ns"`
}

type listEvent struct {
	instance
	Kind   string `json:"how"`
	Number int    `json:"roster_id"`
}

type requestEvent struct {
	instance
	ID      *uint64       `json:"op_id"`
	Class   string        `json:"grade"`
	TTL     time.Duration `json:"ttl_ns"`
	Tenant  string        `json:"user_group"`
	IsRetry bool          `json:"repeat"`
	Work    time.Duration `json:"work_hint_ns"`
}

type outcomeEvent struct {
	instance
	ID      *uint64       `json:"op_id"`
	Attempt int           `json:"attempt"`
	Server  string        `json:"server"`
	Result  string        `json:"state_code"`
	Elapsed time.Duration `json:"took_ns"`
	Final   bool          `json:"complete"`
}

type timerEvent struct {
	instance
	Token uint64 `json:"handle"`
}

type requestID struct {
	instance
	ID *uint64 `json:"op_id"`
}

// The fields of the actions are in the order of the simulator's protocol.
type sendAction struct {
	I       int           `json:"i"`
	ID      uint64        `json:"op_id"`
	Server  string        `json:"server"`
	Timeout time.Duration `json:"give_up_after_ns"`
}

type finalAction struct {
	I          int           `json:"i"`
	ID         uint64        `json:"op_id"`
	RetryAfter time.Duration `json:"not_before_for_ns,omitempty"`
}

type cancelAction struct {
	I       int    `json:"i"`
	ID      uint64 `json:"op_id"`
	Attempt int    `json:"attempt"`
}

// serverAction is a ping or a hang_up.
type serverAction struct {
	I      int    `json:"i"`
	Server string `json:"server"`
}

type watchAction struct {
	I      int  `json:"i"`
	Active bool `json:"active"`
}

type fetchListAction struct {
	I int `json:"i"`
}

type timerAction struct {
	I     int           `json:"i"`
	Wait  time.Duration `json:"in_ns"`
	Token uint64        `json:"handle"`
}

type textAction struct {
	I    int    `json:"i"`
	Text string `json:"line"`
}

var (
	results = map[string]decide.Result{
		"S": decide.Served, "E": decide.Errored, "F": decide.Rejected, "T": decide.TimedOut,
		"C": decide.ConnectFailed, "R": decide.ConnectionLost, "X": decide.Cancelled, "N": decide.NotSent,
	}
	listKinds = map[string]decide.ListKind{
		"diff": decide.ListDiff, "snapshot": decide.ListFull, "disk": decide.ListStored, "error": decide.ListFailed,
	}
	healthStates = map[string]decide.Health{
		"healthy": decide.Healthy, "cordoned": decide.Draining, "deregistered": decide.Removed,
	}
)

// parse reads one line and checks that it contains exactly one known event.
func parse(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("malformed line: %w", err)
	}
	known := 0
	for _, set := range []bool{
		m.Turn != nil, m.Commit != nil, m.Boot != nil, m.Census != nil, m.View != nil, m.Req != nil,
		m.Opened != nil, m.Done != nil, m.Check != nil, m.Reminder != nil, m.Cancelled != nil,
		m.Exit != nil, m.Heard != nil,
	} {
		if set {
			known++
		}
	}
	if known != 1 {
		return m, fmt.Errorf("want exactly one known event, got %.80s", bytes.TrimSpace(line))
	}
	return m, nil
}
