package judge

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// The classes of the tests.
const (
	look = iota // safe
	note        // keyed by rack
	act         // unsafe
	mark        // keyed everywhere
)

func rules() Rules {
	return Rules{
		Classes: []Class{{Name: "look"}, {"note", Keyed, GroupRack, 10 * time.Second}, {Name: "act", Idempotency: AtMostOnce},
			{"mark", Keyed, GroupAll, 10 * time.Second}},
		MaxAttempts: 4, DrainGrace: 500 * ms, Tolerance: 50 * ms,
	}
}

func ledger() *Judge {
	j := New(rules())
	j.AddServer("a", Location{"genf", 1})
	j.AddServer("b", Location{"genf", 1})
	j.AddServer("c", Location{"genf", 2})
	return j
}

// try plays one attempt.
func try(j *Judge, id, box string, at, took time.Duration, how AttemptOutcome) {
	n := j.AttemptArrived(at, id, box, "k")
	if how == Succeeded || how == Errored || how == ConnectionCut {
		j.AttemptExecuted(at, id, n)
	}
	if how != InProgress {
		j.AttemptEnded(at+took, id, n, how)
	}
}

// Each script is a node that behaves, or misbehaves in one way; the judge must
// tell which.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int // broken; 0: none
		what string
		play func(*Judge)
	}{
		{"a served request", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Succeeded)
			j.RequestEnded(8*ms, "1", Served, "a")
		}},
		{"tried again where that is harmless", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Errored)
			try(j, "1", "b", 7*ms, 5*ms, Succeeded)
			j.RequestEnded(13*ms, "1", Served, "b")
		}},
		{"unsafe after being turned away", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", act, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Rejected)
			try(j, "1", "c", 7*ms, 5*ms, Rejected)
			j.RequestEnded(13*ms, "1", Refused, "")
		}},
		{"keyed again in its rack", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", note, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Abandoned)
			try(j, "1", "b", 7*ms, 5*ms, Succeeded)
			j.RequestEnded(13*ms, "1", Served, "b")
		}},
		{"refused, keyed everywhere", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", mark, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, ConnectionCut)
			j.RequestEnded(13*ms, "1", Refused, "")
		}},
		{"a drained box within the grace", 0, "", func(j *Judge) {
			j.StateWritten(0, "n", "a", Draining)
			j.RequestSent(540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 545*ms, ms, Succeeded)
			j.RequestEnded(547*ms, "1", Served, "a")
		}},
		{"a drained box that serves again", 0, "", func(j *Judge) {
			j.StateWritten(0, "n", "a", Gone)
			j.StateWritten(time.Second, "n", "a", Serving)
			j.RequestSent(2*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 2*time.Second, ms, Succeeded)
			j.RequestEnded(2*time.Second+2*ms, "1", Served, "a")
		}},
		{"told while it stood still, sent just afterwards", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", 3*time.Second)
			j.StateWritten(100*ms, "n", "a", Gone)
			j.NodePaused(50*ms, 900*ms, "n")
			try(j, "1", "a", 920*ms, ms, Succeeded)
			j.RequestEnded(930*ms, "1", Served, "a")
		}},
		{"told while it stood still, sent long afterwards", 3, "told that it is gone", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", 3*time.Second)
			j.StateWritten(100*ms, "n", "a", Gone)
			j.NodePaused(50*ms, 900*ms, "n")
			try(j, "1", "a", 1500*ms, ms, Succeeded)
			j.RequestEnded(1510*ms, "1", Served, "a")
		}},
		{"told before it stood still", 3, "told that it is gone", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", 3*time.Second)
			j.StateWritten(10*ms, "n", "a", Gone)
			j.NodePaused(50*ms, 900*ms, "n")
			try(j, "1", "a", 920*ms, ms, Succeeded)
			j.RequestEnded(930*ms, "1", Served, "a")
		}},
		{"another node was told", 0, "", func(j *Judge) {
			j.StateWritten(0, "m", "a", Gone)
			j.RequestSent(2*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 2*time.Second, ms, Succeeded)
			j.RequestEnded(2*time.Second+2*ms, "1", Served, "a")
		}},
		{"lost with its node", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", act, "n", time.Second)
			j.NodeKilled(5*ms, "n")
			j.RequestEnded(6*ms, "1", ConnectionLost, "")
		}},
		{"late by what the machine was late by", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.MachineDelayed(900*ms, 100*ms)
			j.RequestEnded(1200*ms, "1", Failed, "")
		}},
		{"never sent", 0, "", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.RequestNotSent("1")
		}},

		{"no answer at all", 1, "no final answer", func(j *Judge) { j.RequestSent(0, "1", look, "n", time.Second) }},
		{"a connection closed", 1, "without a whole answer", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.RequestEnded(9*ms, "1", ConnectionLost, "")
		}},
		{"lost when another node died", 1, "without a whole answer", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.NodeKilled(5*ms, "m")
			j.RequestEnded(9*ms, "1", ConnectionLost, "")
		}},
		{"an answer after its time", 1, "waits for", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.RequestEnded(1051*ms, "1", Failed, "")
		}},
		{"a caller that waited in vain", 1, "gave up", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.RequestEnded(1051*ms, "1", ClientLeft, "")
		}},
		{"two answers", 1, "second final answer", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.RequestEnded(5*ms, "1", Failed, "")
			j.RequestEnded(6*ms, "1", Refused, "")
		}},
		{"another's answer", 1, "answered no attempt", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, ms, Succeeded)
			j.RequestEnded(5*ms, "1", Served, "b")
		}},
		{"an invented answer", 1, "answered no attempt", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, ms, Malformed)
			j.RequestEnded(5*ms, "1", Served, "a")
		}},
		{"sent after the answer", 1, "after its final answer", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			j.RequestEnded(5*ms, "1", Failed, "")
			try(j, "1", "a", 60*ms, ms, Succeeded)
		}},
		{"invented requests", 1, "nobody asked", func(j *Judge) { try(j, "9", "a", 60*ms, ms, Succeeded) }},

		{"a fifth attempt", 2, "5 attempts", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			for i := range 5 {
				try(j, "1", "a", time.Duration(i)*10*ms, ms, Errored)
			}
			j.RequestEnded(90*ms, "1", Failed, "")
		}},
		{"two at once", 2, "two attempts out", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, 100*ms, Succeeded)
			try(j, "1", "b", 20*ms, 5*ms, Succeeded)
			j.RequestEnded(25*ms, "1", Served, "b")
		}},
		{"two at once, the first never ended", 2, "two attempts out", func(j *Judge) {
			j.RequestSent(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, 0, InProgress)
			try(j, "1", "b", 20*ms, 5*ms, Succeeded)
			j.RequestEnded(25*ms, "1", Served, "b")
		}},
		{"unsafe after a cut", 2, "may have run", func(j *Judge) {
			j.RequestSent(0, "1", act, "n", time.Second)
			try(j, "1", "a", ms, ms, Abandoned)
			try(j, "1", "b", 20*ms, 5*ms, Rejected)
			j.RequestEnded(25*ms, "1", Failed, "")
		}},
		{"an effect twice", 2, "happened 2 times", func(j *Judge) {
			j.RequestSent(0, "1", note, "n", time.Second)
			try(j, "1", "a", ms, ms, ConnectionCut)
			try(j, "1", "b", 20*ms, 5*ms, Succeeded)
			j.RequestEnded(25*ms, "1", Served, "b")
		}},
		{"unsafe and refused", 2, "refused though", func(j *Judge) {
			j.RequestSent(0, "1", act, "n", time.Second)
			try(j, "1", "a", ms, ms, Malformed)
			j.RequestEnded(25*ms, "1", Refused, "")
		}},
		{"keyed by rack and refused", 2, "refused though", func(j *Judge) {
			j.RequestSent(0, "1", note, "n", time.Second)
			try(j, "1", "a", ms, ms, ConnectionCut)
			j.RequestEnded(25*ms, "1", Refused, "")
		}},
		{"keyed, in another rack", 2, "does not drop repeats", func(j *Judge) {
			j.RequestSent(0, "1", note, "n", time.Second)
			try(j, "1", "a", ms, ms, Abandoned)
			try(j, "1", "c", 20*ms, 5*ms, Errored)
			j.RequestEnded(25*ms, "1", Failed, "")
		}},
		{"keyed, after its window", 2, "drop repeats for", func(j *Judge) {
			j.RequestSent(0, "1", note, "n", 30*time.Second)
			try(j, "1", "a", ms, ms, Abandoned)
			try(j, "1", "b", 10051*ms+ms, 5*ms, Rejected)
			j.RequestEnded(10070*ms, "1", Failed, "")
		}},

		{"a drained box after the grace", 3, "draining", func(j *Judge) {
			j.StateWritten(0, "n", "a", Draining)
			j.RequestSent(540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 551*ms, ms, Succeeded)
			j.RequestEnded(557*ms, "1", Served, "a")
		}},
		{"a box that is gone, told again and again", 3, "gone", func(j *Judge) {
			j.StateWritten(0, "n", "a", Gone)
			j.StateWritten(500*ms, "n", "a", Gone) // no new grace
			j.RequestSent(540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 700*ms, ms, Rejected)
			j.RequestEnded(757*ms, "1", Refused, "")
		}},
		{"a cold box pushed over", 4, "fell over", func(j *Judge) { j.ServerCollapsed(ms, "a", "too much") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := ledger()
			c.play(j)
			v := j.Check(time.Minute)
			if c.rule == 0 {
				if len(v.Breaches) > 0 {
					t.Errorf("found %v", v.Breaches)
				}
				return
			}
			found := false
			for _, b := range v.Breaches {
				found = found || b.Rule == c.rule && strings.Contains(b.What, c.what)
				if b.Request == "1" && len(b.History) == 0 {
					t.Errorf("%v has no history", b)
				}
			}
			if !found {
				t.Errorf("found %v, want rule %d with %q", v.Breaches, c.rule, c.what)
			}
		})
	}
}

// A second copy is no breach where the platform allows it for a safe class, and
// one for any other class.
func TestSecondCopiesWhereAllowed(t *testing.T) {
	for class, broken := range map[int]bool{look: false, note: true} {
		r := rules()
		r.AllowHedging = true
		j := New(r)
		j.RequestSent(0, "1", class, "n", time.Second)
		try(j, "1", "a", ms, 100*ms, Abandoned)
		try(j, "1", "a", 20*ms, 5*ms, Succeeded)
		j.RequestEnded(25*ms, "1", Served, "a")
		if v := j.Check(time.Minute); len(v.Breaches) > 0 != broken {
			t.Errorf("class %d: found %v", class, v.Breaches)
		}
	}
}

func TestVerdictCounts(t *testing.T) {
	j := ledger()
	j.RequestSent(0, "1", look, "n", time.Second)
	try(j, "1", "a", ms, ms, Errored)
	try(j, "1", "b", 5*ms, ms, Succeeded)
	j.RequestEnded(9*ms, "1", Served, "b")
	j.RequestSent(0, "2", look, "n", time.Second)
	j.RequestEnded(9*ms, "2", Refused, "")
	j.MachineDelayed(3*ms, 7*ms)
	v := j.Check(time.Minute)
	if v.Requests != 2 || v.Attempts != 2 || v.MaxAttempts != 2 || v.Outcomes[Served] != 1 || v.Outcomes[Refused] != 1 ||
		v.MaxMachineDelay != 7*ms || v.ByClass[look] != (ClassCount{2, 2}) || v.ByClass[act] != (ClassCount{}) || len(v.Breaches) > 0 {
		t.Errorf("got %+v", v)
	}
}

// What discovery has had for long enough counts as told, whether or not it was written: a node that goes on sending has
// broken rule 3, one that stops at the last moment has not. A newer word goes before an older one that falls due later. A
// process that takes a killed one's place has some time to ask, and is then held to the same.
func TestWhatCountsAsTold(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int
		play func(*Judge)
	}{
		{"sends on after it counts as told", 3, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(6560*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 6561*ms, 5*ms, Succeeded)
			j.RequestEnded(6570*ms, "1", Served, "a")
		}},
		{"stops at the last moment", 0, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(6540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 6549*ms, 5*ms, Succeeded)
			j.RequestEnded(6560*ms, "1", Served, "a")
		}},
		{"was told later, and does not stop before", 3, func(j *Judge) {
			j.StateDelivered(9*time.Second, "n", "a", Draining, 1, false)
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(7*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 7*time.Second, 5*ms, Succeeded)
			j.RequestEnded(7010*ms, "1", Served, "a")
		}},
		{"serves again by a newer word, told before the older one falls due", 0, func(j *Judge) {
			j.StateDelivered(4*time.Second, "n", "a", Serving, 2, false)
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.RequestSent(8*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 8*time.Second, 5*ms, Succeeded)
			j.RequestEnded(8010*ms, "1", Served, "a")
		}},
		{"was killed meanwhile", 0, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.NodeKilled(5*time.Second, "n")
			j.RequestSent(7*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 7*time.Second, 5*ms, Succeeded)
			j.RequestEnded(7010*ms, "1", Served, "a")
		}},
		{"was killed meanwhile, and sends on when it has had the time to ask", 3, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.NodeKilled(3*time.Second, "n")
			j.NodeStarted(5*time.Second, "n")
			j.RequestSent(7560*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 7561*ms, 5*ms, Succeeded)
			j.RequestEnded(7570*ms, "1", Served, "a")
		}},
		{"was killed meanwhile, and stops once it has had the time to ask", 0, func(j *Judge) {
			j.StateDelivered(6*time.Second, "n", "a", Draining, 1, true)
			j.NodeKilled(3*time.Second, "n")
			j.NodeStarted(5*time.Second, "n")
			j.RequestSent(7540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 7549*ms, 5*ms, Succeeded)
			j.RequestEnded(7560*ms, "1", Served, "a")
		}},
		{"was killed meanwhile, and told anew", 3, func(j *Judge) {
			j.NodeKilled(1*time.Second, "n")
			j.StateDelivered(2*time.Second, "n", "a", Draining, 1, false)
			j.RequestSent(3*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 3*time.Second, 5*ms, Succeeded)
			j.RequestEnded(3010*ms, "1", Served, "a")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := ledger()
			c.play(j)
			v := j.Check(time.Minute)
			if len(v.Breaches) > 0 != (c.rule > 0) || c.rule > 0 && v.Breaches[0].Rule != c.rule {
				t.Errorf("breaches %v", v.Breaches)
			}
		})
	}
}
