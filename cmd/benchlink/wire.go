package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"curlewring/decide"
	"curlewring/internal/operators/settings"
)

// message is one line of input: an object with a single key, the event's name.
type message struct {
	Turn      *turn      `json:"turn"`
	Commit    *struct{}  `json:"commit"`
	Boot      *boot      `json:"boot"`
	Census    *census    `json:"census"`
	View      *view      `json:"view"`
	Req       *req       `json:"req"`
	Opened    *outcome   `json:"opened"`
	Done      *outcome   `json:"done"`
	Check     *outcome   `json:"check_result"`
	Reminder  *reminder  `json:"reminder"`
	Cancelled *requestID `json:"cancelled_by_client"`
	Exit      *instance  `json:"exit"`
	Heard     *instance  `json:"heard"`
}

type turn struct {
	Clock *time.Duration `json:"clock_ns"`
}

type instance struct {
	I *int `json:"i"`
}

type boot struct {
	instance
	Seed uint64           `json:"rng_seed"`
	Info *settings.Object `json:"boot_info"`
}

type census struct {
	Roster int     `json:"roster_id"`
	Items  []entry `json:"items"`
}

type entry struct {
	Server string        `json:"server"`
	Zone   string        `json:"failure_domain"`
	Pod    int           `json:"pod"`
	Health string        `json:"health"`
	Power  float64       `json:"power_hint"`
	Start  time.Duration `json:"start_time_ns"`
}

type view struct {
	instance
	How    string `json:"how"`
	Roster int    `json:"roster_id"`
}

type req struct {
	instance
	ID     *uint64       `json:"op_id"`
	Grade  string        `json:"grade"`
	TTL    time.Duration `json:"ttl_ns"`
	Group  string        `json:"user_group"`
	Repeat bool          `json:"repeat"`
	Work   time.Duration `json:"work_hint_ns"`
}

type outcome struct {
	instance
	ID       *uint64       `json:"op_id"`
	Attempt  int           `json:"attempt"`
	Server   string        `json:"server"`
	State    string        `json:"state_code"`
	Took     time.Duration `json:"took_ns"`
	Complete bool          `json:"complete"`
}

type reminder struct {
	instance
	Handle uint64 `json:"handle"`
}

type requestID struct {
	instance
	ID *uint64 `json:"op_id"`
}

// Actions. The fields stand in the order in which the wire lists them.
type issue struct {
	I      int           `json:"i"`
	ID     uint64        `json:"op_id"`
	Server string        `json:"server"`
	GiveUp time.Duration `json:"give_up_after_ns"`
}

type ending struct {
	I         int           `json:"i"`
	ID        uint64        `json:"op_id"`
	NotBefore time.Duration `json:"not_before_for_ns,omitempty"`
}

type abandon struct {
	I       int    `json:"i"`
	ID      uint64 `json:"op_id"`
	Attempt int    `json:"attempt"`
}

// toServer is a ping or a hang_up.
type toServer struct {
	I      int    `json:"i"`
	Server string `json:"server"`
}

type streamChanges struct {
	I      int  `json:"i"`
	Active bool `json:"active"`
}

type getList struct {
	I int `json:"i"`
}

type deferral struct {
	I      int           `json:"i"`
	In     time.Duration `json:"in_ns"`
	Handle uint64        `json:"handle"`
}

type text struct {
	I    int    `json:"i"`
	Line string `json:"line"`
}

var (
	results = map[string]decide.Result{
		"S": decide.Served, "E": decide.Errored, "F": decide.Rejected, "T": decide.TimedOut,
		"C": decide.ConnectFailed, "R": decide.ConnectionLost, "X": decide.Cancelled, "N": decide.NotSent,
	}
	changes = map[string]decide.ListKind{
		"diff": decide.ListDiff, "snapshot": decide.ListFull, "disk": decide.ListStored, "error": decide.ListFailed,
	}
	states = map[string]decide.Health{
		"healthy": decide.Healthy, "cordoned": decide.Draining, "deregistered": decide.Removed,
	}
)

// parse reads one line and checks that it is one known event.
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
		return m, fmt.Errorf("not one known event: %.80s", bytes.TrimSpace(line))
	}
	return m, nil
}
