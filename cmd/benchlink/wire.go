package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"curlewring/decide"
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
	Seed uint64    `json:"rng_seed"`
	Info *settings `json:"boot_info"`
}

type settings struct {
	Categories []struct {
		Name       string        `json:"name"`
		Aim        time.Duration `json:"aim_ns"`
		AimStretch float64       `json:"aim_stretch"`
		Deadline   time.Duration `json:"deadline_ns"`
		Worth      float64       `json:"worth"`
		LateWorth  float64       `json:"late_worth"`
		Semantics  string        `json:"semantics"`
		Group      string        `json:"group"`
		KeyTTL     time.Duration `json:"key_ttl_ns"`
	} `json:"categories"`
	Limits struct {
		Cancel         bool          `json:"cancel"`
		ConnIdle       time.Duration `json:"conn_idle_ns"`
		ConnectTimeout time.Duration `json:"connect_timeout_ns"`
		MayProbe       bool          `json:"may_probe"`
		SecondCopies   bool          `json:"second_copies"`
		RetryAfter     bool          `json:"retry_after"`
		MaxRetryAfter  time.Duration `json:"max_retry_after_ns"`
		MostHeld       int           `json:"most_held"`
		MostTries      int           `json:"most_tries"`
		StreamsPerConn int           `json:"streams_per_conn"`
	} `json:"limits"`
	Obligations struct {
		AskWithin    time.Duration `json:"ask_within_ns"`
		ColdFrom     float64       `json:"cold_from"`
		ColdFor      time.Duration `json:"cold_ns"`
		DrainGrace   time.Duration `json:"drain_grace_ns"`
		FallMultiple float64       `json:"fall_multiple"`
		FallFor      time.Duration `json:"fall_ns"`
		AnswerGrace  time.Duration `json:"grace_to_answer_ns"`
	} `json:"obligations"`
	Callers struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"callers"`
	Deductions struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
		LateFail  float64 `json:"late_fail"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"deductions"`
	Family struct {
		PassesDeadline bool `json:"passes_deadline"`
	} `json:"family_info"`
	Objective struct {
		LogLossPart float64 `json:"log_loss_part"`
		TopNines    float64 `json:"top_nines"`
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	} `json:"objective_mix"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"tenants"`
	Areas          []string      `json:"areas"`
	CountedBy      string        `json:"counted_by"`
	Me             int           `json:"me"`
	Instances      int           `json:"n_instances"`
	OverShareWorth float64       `json:"over_share_worth"`
	Period         time.Duration `json:"period_ns"`
	RegistryMode   string        `json:"registry_mode"`
	Tier           int           `json:"tier"`
	Tiers          []string      `json:"tiers"`
	WeightSource   string        `json:"weight_source"`
	Zone           string        `json:"zone"`
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
		"S": decide.Served, "E": decide.Errored, "F": decide.Full, "T": decide.TimedOut,
		"C": decide.Unconnected, "R": decide.Broken, "X": decide.Cancelled, "N": decide.NotSent,
	}
	changes = map[string]decide.Change{
		"diff": decide.ListDiff, "snapshot": decide.ListFull, "disk": decide.ListStored, "error": decide.ListFailed,
	}
	states = map[string]decide.Health{
		"healthy": decide.Healthy, "cordoned": decide.Draining, "deregistered": decide.Removed,
	}
	effects = map[string]decide.Effect{"repeatable": decide.Repeatable, "by_key": decide.Keyed, "once": decide.Once}
	weights = map[string]decide.Weights{
		"none": decide.WeightsNone, "nominal": decide.WeightsNominal, "rough": decide.WeightsRough,
		"live": decide.WeightsLive,
	}
	groups = map[string]decide.Group{"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell}
)

// named looks up a word of the wire.
func named[T any](table map[string]T, what, word string) (T, error) {
	v, ok := table[word]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", what, word)
	}
	return v, nil
}

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

// translate turns the wire's settings into the module's.
func (s *settings) translate() (decide.Settings, error) {
	set := decide.Settings{
		Node:           s.Me,
		Nodes:          s.Instances,
		Tier:           s.Tier,
		Tiers:          len(s.Tiers),
		Zones:          len(s.Areas),
		ByWork:         s.CountedBy == "work",
		DrainGrace:     s.Obligations.DrainGrace,
		Tick:           s.Period,
		PassesDeadline: s.Family.PassesDeadline,
		MaxHeld:        s.Limits.MostHeld,
		ConnIdle:       s.Limits.ConnIdle,
		ConnectTimeout: s.Limits.ConnectTimeout,
		Streams:        s.Limits.StreamsPerConn,
		Zone:           s.Zone,
		OverShareWorth: s.OverShareWorth,
		MustAsk:        s.RegistryMode == "subscribe",
		AskWithin:      s.Obligations.AskWithin,
		ColdFrom:       s.Obligations.ColdFrom,
		ColdFor:        s.Obligations.ColdFor,
		FallMultiple:   s.Obligations.FallMultiple,
		FallFor:        s.Obligations.FallFor,
		AnswerGrace:    s.Obligations.AnswerGrace,
		MarksRepeats:   s.Callers.MarksRetry,
		Prices: decide.Prices{
			CrossZone: s.Deductions.CrossZone,
			Handshake: s.Deductions.Handshake,
			Probe:     s.Deductions.Probe,
			Waste:     s.Deductions.Waste,
			LateFail:  s.Deductions.LateFail,
		},
		Goal: decide.Goal{
			Whole:       s.Objective.Whole,
			WorstWindow: s.Objective.WorstWindow,
			WorstClass:  s.Objective.WorstClass,
			WorstTenant: s.Objective.WorstTenant,
			Nines:       s.Objective.LogLossPart,
			NinesFull:   s.Objective.TopNines,
		},
		MaxTries:        s.Limits.MostTries,
		MaxRetryAfter:   s.Limits.MaxRetryAfter,
		MayCancel:       s.Limits.Cancel,
		MayProbe:        s.Limits.MayProbe,
		MaySecondCopy:   s.Limits.SecondCopies,
		MayAdviseReturn: s.Limits.RetryAfter,
	}
	if len(s.Categories) == 0 {
		return set, errors.New("settings name no class")
	}
	for _, c := range s.Categories {
		effect, err := named(effects, "semantics", c.Semantics)
		if err != nil {
			return set, err
		}
		group := decide.GroupAll
		if effect == decide.Keyed {
			if group, err = named(groups, "group", c.Group); err != nil {
				return set, err
			}
		}
		set.Classes = append(set.Classes, decide.Class{
			Aim: c.Aim, AimStretch: c.AimStretch, Deadline: c.Deadline, Worth: c.Worth, LateWorth: c.LateWorth,
			Effect: effect, Group: group, KeyTTL: c.KeyTTL,
		})
	}
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, decide.Tenant{Quota: t.Quota, Share: t.Share})
	}
	return set, nil
}
