// Package settings reads the settings object that a node, or an instance in the simulator,
// receives at its start.
package settings

import (
	"errors"
	"fmt"
	"time"

	"curlewring/decide"
)

// Schema is the version of the node configuration that this program writes. 0 stands for a
// configuration without a version, as the platform writes it. A node reads its own version,
// all earlier ones and the next one, and ignores unknown keys, so that the nodes of a fleet
// can be upgraded in any order.
const Schema = 1

// Object is the settings object. Unknown keys are ignored.
type Object struct {
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
		MaxHeld        int           `json:"most_held"`
		MaxTries       int           `json:"most_tries"`
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

// Constants of package decide by their names in the settings.
var (
	idempotencies = map[string]decide.Idempotency{"repeatable": decide.Idempotent, "by_key": decide.Keyed, "once": decide.AtMostOnce}
	weightSources = map[string]decide.WeightSource{
		"none": decide.WeightNone, "nominal": decide.WeightNominal, "rough": decide.WeightApproximate,
		"live": decide.WeightLive,
	}
	// mustSubscribeByMode maps a registry mode to whether lists arrive only after subscribing.
	mustSubscribeByMode = map[string]bool{"subscribe": true, "automatic": false, "": false}
	groups              = map[string]decide.Group{"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell}
)

// LookupName looks up a name in a table. what describes the kind of name for the error.
func LookupName[T any](table map[string]T, what, name string) (T, error) {
	v, ok := table[name]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", what, name)
	}
	return v, nil
}

// Translate converts the settings to those of package decide.
func (s *Object) Translate() (decide.Settings, error) {
	translated := decide.Settings{
		Node:               s.Me,
		Nodes:              s.Instances,
		Tier:               s.Tier,
		Tiers:              len(s.Tiers),
		Zones:              len(s.Areas),
		ByWork:             s.CountedBy == "work",
		DrainGrace:         s.Obligations.DrainGrace,
		MinEventInterval:   s.Period,
		PropagatesDeadline: s.Family.PassesDeadline,
		MaxOpenRequests:    s.Limits.MaxHeld,
		ConnIdleTimeout:    s.Limits.ConnIdle,
		ConnectTimeout:     s.Limits.ConnectTimeout,
		StreamsPerConn:     s.Limits.StreamsPerConn,
		Zone:               s.Zone,
		OverShareWorth:     s.OverShareWorth,
		ResubscribeWithin:  s.Obligations.AskWithin,
		ColdCapacity:       s.Obligations.ColdFrom,
		WarmupTime:         s.Obligations.ColdFor,
		CollapseMultiple:   s.Obligations.FallMultiple,
		CollapseWindow:     s.Obligations.FallFor,
		AnswerGrace:        s.Obligations.AnswerGrace,
		MarksRetries:       s.Callers.MarksRetry,
		Penalties: decide.Penalties{
			CrossZone:   s.Deductions.CrossZone,
			Handshake:   s.Deductions.Handshake,
			Probe:       s.Deductions.Probe,
			Waste:       s.Deductions.Waste,
			LateFailure: s.Deductions.LateFail,
		},
		Objective: decide.Objective{
			Overall:     s.Objective.Whole,
			WorstWindow: s.Objective.WorstWindow,
			WorstClass:  s.Objective.WorstClass,
			WorstTenant: s.Objective.WorstTenant,
			Nines:       s.Objective.LogLossPart,
			FullNines:   s.Objective.TopNines,
		},
		MaxAttempts:    s.Limits.MaxTries,
		MaxRetryAfter:  s.Limits.MaxRetryAfter,
		MayCancel:      s.Limits.Cancel,
		MayProbe:       s.Limits.MayProbe,
		MayHedge:       s.Limits.SecondCopies,
		MayAdviseRetry: s.Limits.RetryAfter,
	}
	if len(s.Categories) == 0 {
		return translated, errors.New("categories is empty, the settings must define at least one class")
	}
	mustSubscribe, err := LookupName(mustSubscribeByMode, "registry_mode", s.RegistryMode)
	if err != nil {
		return translated, err
	}
	translated.MustSubscribe = mustSubscribe
	if s.WeightSource != "" {
		kind, err := LookupName(weightSources, "weight source", s.WeightSource)
		if err != nil {
			return translated, err
		}
		translated.WeightSource = kind
	}
	for _, category := range s.Categories {
		idempotency, err := LookupName(idempotencies, "semantics", category.Semantics)
		if err != nil {
			return translated, err
		}
		group := decide.GroupAll
		if idempotency == decide.Keyed {
			if group, err = LookupName(groups, "group", category.Group); err != nil {
				return translated, err
			}
		}
		translated.Classes = append(translated.Classes, decide.Class{
			LatencyTarget: category.Aim, TargetPerWork: category.AimStretch, Deadline: category.Deadline, Worth: category.Worth, LateWorth: category.LateWorth,
			Idempotency: idempotency, Group: group, KeyTTL: category.KeyTTL,
		})
	}
	for _, tenant := range s.Tenants {
		translated.Tenants = append(translated.Tenants, decide.Tenant{Quota: tenant.Quota, Share: tenant.Share})
	}
	return translated, nil
}
