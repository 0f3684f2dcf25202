package judge

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Classes of the tests.
const (
	idempotent = iota
	keyedByRack
	atMostOnce
	keyedByAll
)

func testRules() Rules {
	return Rules{
		Classes: []Class{{Name: "idempotent"}, {"keyed by rack", Keyed, GroupRack, 10 * time.Second}, {Name: "at most once", Idempotency: AtMostOnce},
			{"keyed by all", Keyed, GroupAll, 10 * time.Second}},
		MaxAttempts: 4, DrainGrace: 500 * ms, Tolerance: 50 * ms,
	}
}

func newJudge() *Judge {
	j := New(testRules())
	j.AddServer("a", Location{"genf", 1})
	j.AddServer("b", Location{"genf", 1})
	j.AddServer("c", Location{"genf", 2})
	return j
}

// playAttempt records one attempt.
func playAttempt(j *Judge, id, server string, at, took time.Duration, outcome AttemptOutcome) {
	n := j.AttemptArrived(at, id, server, "k")
	if outcome == Succeeded || outcome == Errored || outcome == ConnectionCut {
		j.AttemptExecuted(at, id, n)
	}
	if outcome != InProgress {
		j.AttemptEnded(at+took, id, n, outcome)
	}
}

// Each case is a node that follows the rules or breaks one of them; the judge must report which.
func TestRules(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   int // violated; 0: none
		text   string
		record func(*Judge)
	}{
		{"a served request", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 1*ms, 5*ms, Succeeded)
			j.RequestEnded(8*ms, "1", Served, "a")
		}},
		{"retry of an idempotent request", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 1*ms, 5*ms, Errored)
			playAttempt(j, "1", "b", 7*ms, 5*ms, Succeeded)
			j.RequestEnded(13*ms, "1", Served, "b")
		}},
		{"retry of an at-most-once request that was rejected", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", atMostOnce, "n", time.Second)
			playAttempt(j, "1", "a", 1*ms, 5*ms, Rejected)
			playAttempt(j, "1", "c", 7*ms, 5*ms, Rejected)
			j.RequestEnded(13*ms, "1", Refused, "")
		}},
		{"keyed retry within the rack", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", keyedByRack, "n", time.Second)
			playAttempt(j, "1", "a", 1*ms, 5*ms, Abandoned)
			playAttempt(j, "1", "b", 7*ms, 5*ms, Succeeded)
			j.RequestEnded(13*ms, "1", Served, "b")
		}},
		{"keyed by all and refused after an attempt", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", keyedByAll, "n", time.Second)
			playAttempt(j, "1", "a", 1*ms, 5*ms, ConnectionCut)
			j.RequestEnded(13*ms, "1", Refused, "")
		}},
		{"attempt at a draining server within the grace period", 0, "", func(j *Judge) {
			j.StateWritten(0, "n", "a", Draining)
			j.RequestSent(540*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 545*ms, ms, Succeeded)
			j.RequestEnded(547*ms, "1", Served, "a")
		}},
		{"attempt at a removed server that serves again", 0, "", func(j *Judge) {
			j.StateWritten(0, "n", "a", Gone)
			j.StateWritten(time.Second, "n", "a", Serving)
			j.RequestSent(2*time.Second, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 2*time.Second, ms, Succeeded)
			j.RequestEnded(2*time.Second+2*ms, "1", Served, "a")
		}},
		{"notified while paused, attempt soon after it continues", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", 3*time.Second)
			j.StateWritten(100*ms, "n", "a", Gone)
			j.NodePaused(50*ms, 900*ms, "n")
			playAttempt(j, "1", "a", 920*ms, ms, Succeeded)
			j.RequestEnded(930*ms, "1", Served, "a")
		}},
		{"notified while paused, attempt long after it continues", 3, "told that it is gone", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", 3*time.Second)
			j.StateWritten(100*ms, "n", "a", Gone)
			j.NodePaused(50*ms, 900*ms, "n")
			playAttempt(j, "1", "a", 1500*ms, ms, Succeeded)
			j.RequestEnded(1510*ms, "1", Served, "a")
		}},
		{"notified before it was paused", 3, "told that it is gone", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", 3*time.Second)
			j.StateWritten(10*ms, "n", "a", Gone)
			j.NodePaused(50*ms, 900*ms, "n")
			playAttempt(j, "1", "a", 920*ms, ms, Succeeded)
			j.RequestEnded(930*ms, "1", Served, "a")
		}},
		{"another node was notified", 0, "", func(j *Judge) {
			j.StateWritten(0, "m", "a", Gone)
			j.RequestSent(2*time.Second, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 2*time.Second, ms, Succeeded)
			j.RequestEnded(2*time.Second+2*ms, "1", Served, "a")
		}},
		{"connection lost as its node was killed", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", atMostOnce, "n", time.Second)
			j.NodeKilled(5*ms, "n")
			j.RequestEnded(6*ms, "1", ConnectionLost, "")
		}},
		{"late by the machine's own delay", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.MachineDelayed(900*ms, 100*ms)
			j.RequestEnded(1200*ms, "1", Failed, "")
		}},
		{"never sent", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.RequestNotSent("1")
		}},

		{"no answer", 1, "no final answer", func(j *Judge) { j.RequestSent(0, "1", idempotent, "n", time.Second) }},
		{"connection closed without an answer", 1, "without a whole answer", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.RequestEnded(9*ms, "1", ConnectionLost, "")
		}},
		{"connection lost as another node was killed", 1, "without a whole answer", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.NodeKilled(5*ms, "m")
			j.RequestEnded(9*ms, "1", ConnectionLost, "")
		}},
		{"answer after the deadline", 1, "waits for", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.RequestEnded(1051*ms, "1", Failed, "")
		}},
		{"client left after its deadline", 1, "gave up", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.RequestEnded(1051*ms, "1", ClientLeft, "")
		}},
		{"two answers", 1, "second final answer", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.RequestEnded(5*ms, "1", Failed, "")
			j.RequestEnded(6*ms, "1", Refused, "")
		}},
		{"answer of a server that had no attempt", 1, "answered no attempt", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, Succeeded)
			j.RequestEnded(5*ms, "1", Served, "b")
		}},
		{"served after a malformed answer", 1, "answered no attempt", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, Malformed)
			j.RequestEnded(5*ms, "1", Served, "a")
		}},
		{"attempt after the final answer", 1, "after its final answer", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			j.RequestEnded(5*ms, "1", Failed, "")
			playAttempt(j, "1", "a", 60*ms, ms, Succeeded)
		}},
		{"attempt of an unknown request", 1, "nobody asked", func(j *Judge) { playAttempt(j, "9", "a", 60*ms, ms, Succeeded) }},

		{"too many attempts", 2, "5 attempts", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			for i := range 5 {
				playAttempt(j, "1", "a", time.Duration(i)*10*ms, ms, Errored)
			}
			j.RequestEnded(90*ms, "1", Failed, "")
		}},
		{"overlapping attempts", 2, "two attempts out", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", ms, 100*ms, Succeeded)
			playAttempt(j, "1", "b", 20*ms, 5*ms, Succeeded)
			j.RequestEnded(25*ms, "1", Served, "b")
		}},
		{"overlapping attempts, the first never ended", 2, "two attempts out", func(j *Judge) {
			j.RequestSent(0, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", ms, 0, InProgress)
			playAttempt(j, "1", "b", 20*ms, 5*ms, Succeeded)
			j.RequestEnded(25*ms, "1", Served, "b")
		}},
		{"at-most-once retry after an abandoned attempt", 2, "may have run", func(j *Judge) {
			j.RequestSent(0, "1", atMostOnce, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, Abandoned)
			playAttempt(j, "1", "b", 20*ms, 5*ms, Rejected)
			j.RequestEnded(25*ms, "1", Failed, "")
		}},
		{"keyed request executed twice", 2, "happened 2 times", func(j *Judge) {
			j.RequestSent(0, "1", keyedByRack, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, ConnectionCut)
			playAttempt(j, "1", "b", 20*ms, 5*ms, Succeeded)
			j.RequestEnded(25*ms, "1", Served, "b")
		}},
		{"at-most-once request refused after an attempt", 2, "refused though", func(j *Judge) {
			j.RequestSent(0, "1", atMostOnce, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, Malformed)
			j.RequestEnded(25*ms, "1", Refused, "")
		}},
		{"keyed by rack and refused after an attempt", 2, "refused though", func(j *Judge) {
			j.RequestSent(0, "1", keyedByRack, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, ConnectionCut)
			j.RequestEnded(25*ms, "1", Refused, "")
		}},
		{"keyed retry in another rack", 2, "does not drop repeats", func(j *Judge) {
			j.RequestSent(0, "1", keyedByRack, "n", time.Second)
			playAttempt(j, "1", "a", ms, ms, Abandoned)
			playAttempt(j, "1", "c", 20*ms, 5*ms, Errored)
			j.RequestEnded(25*ms, "1", Failed, "")
		}},
		{"keyed retry after the window", 2, "drop repeats for", func(j *Judge) {
			j.RequestSent(0, "1", keyedByRack, "n", 30*time.Second)
			playAttempt(j, "1", "a", ms, ms, Abandoned)
			playAttempt(j, "1", "b", 10051*ms+ms, 5*ms, Rejected)
			j.RequestEnded(10070*ms, "1", Failed, "")
		}},

		{"attempt at a draining server after the grace period", 3, "draining", func(j *Judge) {
			j.StateWritten(0, "n", "a", Draining)
			j.RequestSent(540*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 551*ms, ms, Succeeded)
			j.RequestEnded(557*ms, "1", Served, "a")
		}},
		{"attempt at a removed server, notified repeatedly", 3, "gone", func(j *Judge) {
			j.StateWritten(0, "n", "a", Gone)
			j.StateWritten(500*ms, "n", "a", Gone) // does not start another grace period
			j.RequestSent(540*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 700*ms, ms, Rejected)
			j.RequestEnded(757*ms, "1", Refused, "")
		}},
		{"collapse of a cold server", 4, "fell over", func(j *Judge) { j.ServerCollapsed(ms, "a", "too much") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := newJudge()
			test.record(j)
			v := j.Check(time.Minute)
			if test.rule == 0 {
				if len(v.Breaches) > 0 {
					t.Errorf("reported %v", v.Breaches)
				}
				return
			}
			reported := false
			for _, b := range v.Breaches {
				reported = reported || b.Rule == test.rule && strings.Contains(b.What, test.text)
				if b.Request == "1" && len(b.History) == 0 {
					t.Errorf("%v has no history", b)
				}
			}
			if !reported {
				t.Errorf("reported %v, want rule %d with %q", v.Breaches, test.rule, test.text)
			}
		})
	}
}

// Overlapping attempts are allowed only where the platform allows hedging, and only for idempotent classes.
func TestOverlappingAttemptsNeedHedging(t *testing.T) {
	for class, violated := range map[int]bool{idempotent: false, keyedByRack: true} {
		r := testRules()
		r.AllowHedging = true
		j := New(r)
		j.RequestSent(0, "1", class, "n", time.Second)
		playAttempt(j, "1", "a", ms, 100*ms, Abandoned)
		playAttempt(j, "1", "a", 20*ms, 5*ms, Succeeded)
		j.RequestEnded(25*ms, "1", Served, "a")
		if v := j.Check(time.Minute); len(v.Breaches) > 0 != violated {
			t.Errorf("class %d: reported %v", class, v.Breaches)
		}
	}
}

func TestVerdictCounts(t *testing.T) {
	j := newJudge()
	j.RequestSent(0, "1", idempotent, "n", time.Second)
	playAttempt(j, "1", "a", ms, ms, Errored)
	playAttempt(j, "1", "b", 5*ms, ms, Succeeded)
	j.RequestEnded(9*ms, "1", Served, "b")
	j.RequestSent(0, "2", idempotent, "n", time.Second)
	j.RequestEnded(9*ms, "2", Refused, "")
	j.MachineDelayed(3*ms, 7*ms)
	v := j.Check(time.Minute)
	if v.Requests != 2 || v.Attempts != 2 || v.MaxAttempts != 2 || v.Outcomes[Served] != 1 || v.Outcomes[Refused] != 1 ||
		v.MaxMachineDelay != 7*ms || v.ByClass[idempotent] != (ClassCount{2, 2}) || v.ByClass[atMostOnce] != (ClassCount{}) || len(v.Breaches) > 0 {
		t.Errorf("verdict %+v", v)
	}
}

// A state that discovery has published for long enough counts as delivered even if it was not written. A node
// that continues to send violates rule 3; one that stops at the last moment does not. A newer version
// overrides an older one that counts as delivered later. The same rule applies to a process that replaces a
// killed one, from its start: clients use it only once it is ready.
func TestPresumedNotifications(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   int
		record func(*Judge)
	}{
		{"sends after the state counts as delivered", 3, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(6560*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 6561*ms, 5*ms, Succeeded)
			j.RequestEnded(6570*ms, "1", Served, "a")
		}},
		{"stops at the last moment", 0, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(6540*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 6549*ms, 5*ms, Succeeded)
			j.RequestEnded(6560*ms, "1", Served, "a")
		}},
		{"notified later, and sends before", 3, func(j *Judge) {
			j.StateDelivered(9*time.Second, "n", "a", Draining, 1, false)
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(7*time.Second, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 7*time.Second, 5*ms, Succeeded)
			j.RequestEnded(7010*ms, "1", Served, "a")
		}},
		{"serves again in a newer version, delivered before the older one counts", 0, func(j *Judge) {
			j.StateDelivered(4*time.Second, "n", "a", Serving, 2, false)
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(8*time.Second, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 8*time.Second, 5*ms, Succeeded)
			j.RequestEnded(8010*ms, "1", Served, "a")
		}},
		{"killed before", 3, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.NodeKilled(5*time.Second, "n")
			j.RequestSent(7*time.Second, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 7*time.Second, 5*ms, Succeeded)
			j.RequestEnded(7010*ms, "1", Served, "a")
		}},
		{"killed before, and sends after the state counts as delivered", 3, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.NodeKilled(3*time.Second, "n")
			j.RequestSent(6560*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 6561*ms, 5*ms, Succeeded)
			j.RequestEnded(6570*ms, "1", Served, "a")
		}},
		{"killed before, and stops at the last moment", 0, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.NodeKilled(3*time.Second, "n")
			j.RequestSent(6540*ms, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 6549*ms, 5*ms, Succeeded)
			j.RequestEnded(6560*ms, "1", Served, "a")
		}},
		{"killed before, and notified again", 3, func(j *Judge) {
			j.NodeKilled(1*time.Second, "n")
			j.StateDelivered(2*time.Second, "n", "a", Draining, 1, false)
			j.RequestSent(3*time.Second, "1", idempotent, "n", time.Second)
			playAttempt(j, "1", "a", 3*time.Second, 5*ms, Succeeded)
			j.RequestEnded(3010*ms, "1", Served, "a")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := newJudge()
			test.record(j)
			v := j.Check(time.Minute)
			if len(v.Breaches) > 0 != (test.rule > 0) || test.rule > 0 && v.Breaches[0].Rule != test.rule {
				t.Errorf("breaches %v", v.Breaches)
			}
		})
	}
}
