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
		Classes: []Class{{Name: "look"}, {"note", Keyed, Rack, 10 * time.Second}, {Name: "act", Effect: Unsafe},
			{"mark", Keyed, All, 10 * time.Second}},
		MostAttempts: 4, DrainGrace: 500 * ms, Slack: 50 * ms,
	}
}

func ledger() *Judge {
	j := New(rules())
	j.Box("a", Place{"genf", 1})
	j.Box("b", Place{"genf", 1})
	j.Box("c", Place{"genf", 2})
	return j
}

// try plays one attempt.
func try(j *Judge, id, box string, at, took time.Duration, how How) {
	n := j.Arrived(at, id, box, "k")
	if how == Done || how == Erred || how == Cut {
		j.Ran(at, id, n)
	}
	if how != Open {
		j.Ended(at+took, id, n, how)
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
			j.Asked(0, "1", look, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Done)
			j.Answered(8*ms, "1", Served, "a")
		}},
		{"tried again where that is harmless", 0, "", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Erred)
			try(j, "1", "b", 7*ms, 5*ms, Done)
			j.Answered(13*ms, "1", Served, "b")
		}},
		{"unsafe after being turned away", 0, "", func(j *Judge) {
			j.Asked(0, "1", act, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, TurnedAway)
			try(j, "1", "c", 7*ms, 5*ms, TurnedAway)
			j.Answered(13*ms, "1", Refused, "")
		}},
		{"keyed again in its rack", 0, "", func(j *Judge) {
			j.Asked(0, "1", note, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, GivenUp)
			try(j, "1", "b", 7*ms, 5*ms, Done)
			j.Answered(13*ms, "1", Served, "b")
		}},
		{"refused, keyed everywhere", 0, "", func(j *Judge) {
			j.Asked(0, "1", mark, "n", time.Second)
			try(j, "1", "a", 1*ms, 5*ms, Cut)
			j.Answered(13*ms, "1", Refused, "")
		}},
		{"a drained box within the grace", 0, "", func(j *Judge) {
			j.Told(0, "n", "a", Draining)
			j.Asked(540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 545*ms, ms, Done)
			j.Answered(547*ms, "1", Served, "a")
		}},
		{"a drained box that serves again", 0, "", func(j *Judge) {
			j.Told(0, "n", "a", Gone)
			j.Told(time.Second, "n", "a", Serving)
			j.Asked(2*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 2*time.Second, ms, Done)
			j.Answered(2*time.Second+2*ms, "1", Served, "a")
		}},
		{"told while it stood still, sent just afterwards", 0, "", func(j *Judge) {
			j.Asked(0, "1", look, "n", 3*time.Second)
			j.Told(100*ms, "n", "a", Gone)
			j.Stood(50*ms, 900*ms, "n")
			try(j, "1", "a", 920*ms, ms, Done)
			j.Answered(930*ms, "1", Served, "a")
		}},
		{"told while it stood still, sent long afterwards", 3, "told that it is gone", func(j *Judge) {
			j.Asked(0, "1", look, "n", 3*time.Second)
			j.Told(100*ms, "n", "a", Gone)
			j.Stood(50*ms, 900*ms, "n")
			try(j, "1", "a", 1500*ms, ms, Done)
			j.Answered(1510*ms, "1", Served, "a")
		}},
		{"told before it stood still", 3, "told that it is gone", func(j *Judge) {
			j.Asked(0, "1", look, "n", 3*time.Second)
			j.Told(10*ms, "n", "a", Gone)
			j.Stood(50*ms, 900*ms, "n")
			try(j, "1", "a", 920*ms, ms, Done)
			j.Answered(930*ms, "1", Served, "a")
		}},
		{"another node was told", 0, "", func(j *Judge) {
			j.Told(0, "m", "a", Gone)
			j.Asked(2*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 2*time.Second, ms, Done)
			j.Answered(2*time.Second+2*ms, "1", Served, "a")
		}},
		{"lost with its node", 0, "", func(j *Judge) {
			j.Asked(0, "1", act, "n", time.Second)
			j.Died(5*ms, "n")
			j.Answered(6*ms, "1", Lost, "")
		}},
		{"late by what the machine was late by", 0, "", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Lag(900*ms, 100*ms)
			j.Answered(1200*ms, "1", Failed, "")
		}},
		{"never sent", 0, "", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Untaken("1")
		}},

		{"no answer at all", 1, "no final answer", func(j *Judge) { j.Asked(0, "1", look, "n", time.Second) }},
		{"a connection closed", 1, "without a whole answer", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Answered(9*ms, "1", Lost, "")
		}},
		{"lost when another node died", 1, "without a whole answer", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Died(5*ms, "m")
			j.Answered(9*ms, "1", Lost, "")
		}},
		{"an answer after its time", 1, "waits for", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Answered(1051*ms, "1", Failed, "")
		}},
		{"a caller that waited in vain", 1, "gave up", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Answered(1051*ms, "1", Left, "")
		}},
		{"two answers", 1, "second final answer", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Answered(5*ms, "1", Failed, "")
			j.Answered(6*ms, "1", Refused, "")
		}},
		{"another's answer", 1, "answered no attempt", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, ms, Done)
			j.Answered(5*ms, "1", Served, "b")
		}},
		{"an invented answer", 1, "answered no attempt", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, ms, Spoilt)
			j.Answered(5*ms, "1", Served, "a")
		}},
		{"sent after the answer", 1, "after its final answer", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			j.Answered(5*ms, "1", Failed, "")
			try(j, "1", "a", 60*ms, ms, Done)
		}},
		{"invented requests", 1, "nobody asked", func(j *Judge) { try(j, "9", "a", 60*ms, ms, Done) }},

		{"a fifth attempt", 2, "5 attempts", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			for i := range 5 {
				try(j, "1", "a", time.Duration(i)*10*ms, ms, Erred)
			}
			j.Answered(90*ms, "1", Failed, "")
		}},
		{"two at once", 2, "two attempts out", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, 100*ms, Done)
			try(j, "1", "b", 20*ms, 5*ms, Done)
			j.Answered(25*ms, "1", Served, "b")
		}},
		{"two at once, the first never ended", 2, "two attempts out", func(j *Judge) {
			j.Asked(0, "1", look, "n", time.Second)
			try(j, "1", "a", ms, 0, Open)
			try(j, "1", "b", 20*ms, 5*ms, Done)
			j.Answered(25*ms, "1", Served, "b")
		}},
		{"unsafe after a cut", 2, "may have run", func(j *Judge) {
			j.Asked(0, "1", act, "n", time.Second)
			try(j, "1", "a", ms, ms, GivenUp)
			try(j, "1", "b", 20*ms, 5*ms, TurnedAway)
			j.Answered(25*ms, "1", Failed, "")
		}},
		{"an effect twice", 2, "happened 2 times", func(j *Judge) {
			j.Asked(0, "1", note, "n", time.Second)
			try(j, "1", "a", ms, ms, Cut)
			try(j, "1", "b", 20*ms, 5*ms, Done)
			j.Answered(25*ms, "1", Served, "b")
		}},
		{"unsafe and refused", 2, "refused though", func(j *Judge) {
			j.Asked(0, "1", act, "n", time.Second)
			try(j, "1", "a", ms, ms, Spoilt)
			j.Answered(25*ms, "1", Refused, "")
		}},
		{"keyed by rack and refused", 2, "refused though", func(j *Judge) {
			j.Asked(0, "1", note, "n", time.Second)
			try(j, "1", "a", ms, ms, Cut)
			j.Answered(25*ms, "1", Refused, "")
		}},
		{"keyed, in another rack", 2, "does not drop repeats", func(j *Judge) {
			j.Asked(0, "1", note, "n", time.Second)
			try(j, "1", "a", ms, ms, GivenUp)
			try(j, "1", "c", 20*ms, 5*ms, Erred)
			j.Answered(25*ms, "1", Failed, "")
		}},
		{"keyed, after its window", 2, "drop repeats for", func(j *Judge) {
			j.Asked(0, "1", note, "n", 30*time.Second)
			try(j, "1", "a", ms, ms, GivenUp)
			try(j, "1", "b", 10051*ms+ms, 5*ms, TurnedAway)
			j.Answered(10070*ms, "1", Failed, "")
		}},

		{"a drained box after the grace", 3, "draining", func(j *Judge) {
			j.Told(0, "n", "a", Draining)
			j.Asked(540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 551*ms, ms, Done)
			j.Answered(557*ms, "1", Served, "a")
		}},
		{"a box that is gone, told again and again", 3, "gone", func(j *Judge) {
			j.Told(0, "n", "a", Gone)
			j.Told(500*ms, "n", "a", Gone) // no new grace
			j.Asked(540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 700*ms, ms, TurnedAway)
			j.Answered(757*ms, "1", Refused, "")
		}},
		{"a cold box pushed over", 4, "fell over", func(j *Judge) { j.Fell(ms, "a", "too much") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := ledger()
			c.play(j)
			v := j.Judge(time.Minute)
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
		r.SecondCopies = true
		j := New(r)
		j.Asked(0, "1", class, "n", time.Second)
		try(j, "1", "a", ms, 100*ms, GivenUp)
		try(j, "1", "a", 20*ms, 5*ms, Done)
		j.Answered(25*ms, "1", Served, "a")
		if v := j.Judge(time.Minute); len(v.Breaches) > 0 != broken {
			t.Errorf("class %d: found %v", class, v.Breaches)
		}
	}
}

func TestVerdictCounts(t *testing.T) {
	j := ledger()
	j.Asked(0, "1", look, "n", time.Second)
	try(j, "1", "a", ms, ms, Erred)
	try(j, "1", "b", 5*ms, ms, Done)
	j.Answered(9*ms, "1", Served, "b")
	j.Asked(0, "2", look, "n", time.Second)
	j.Answered(9*ms, "2", Refused, "")
	j.Lag(3*ms, 7*ms)
	v := j.Judge(time.Minute)
	if v.Requests != 2 || v.Attempts != 2 || v.MostTries != 2 || v.Answers[Served] != 1 || v.Answers[Refused] != 1 ||
		v.WorstLag != 7*ms || v.ByClass[look] != (Count{2, 2}) || v.ByClass[act] != (Count{}) || len(v.Breaches) > 0 {
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
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Asked(6560*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 6561*ms, 5*ms, Done)
			j.Answered(6570*ms, "1", Served, "a")
		}},
		{"stops at the last moment", 0, func(j *Judge) {
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Asked(6540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 6549*ms, 5*ms, Done)
			j.Answered(6560*ms, "1", Served, "a")
		}},
		{"was told later, and does not stop before", 3, func(j *Judge) {
			j.Known(9*time.Second, "n", "a", Draining, 1, false)
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Asked(7*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 7*time.Second, 5*ms, Done)
			j.Answered(7010*ms, "1", Served, "a")
		}},
		{"serves again by a newer word, told before the older one falls due", 0, func(j *Judge) {
			j.Known(4*time.Second, "n", "a", Serving, 2, false)
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Asked(8*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 8*time.Second, 5*ms, Done)
			j.Answered(8010*ms, "1", Served, "a")
		}},
		{"was killed meanwhile", 0, func(j *Judge) {
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Died(5*time.Second, "n")
			j.Asked(7*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 7*time.Second, 5*ms, Done)
			j.Answered(7010*ms, "1", Served, "a")
		}},
		{"was killed meanwhile, and sends on when it has had the time to ask", 3, func(j *Judge) {
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Died(3*time.Second, "n")
			j.Started(5*time.Second, "n")
			j.Asked(7560*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 7561*ms, 5*ms, Done)
			j.Answered(7570*ms, "1", Served, "a")
		}},
		{"was killed meanwhile, and stops once it has had the time to ask", 0, func(j *Judge) {
			j.Known(6*time.Second, "n", "a", Draining, 1, true)
			j.Died(3*time.Second, "n")
			j.Started(5*time.Second, "n")
			j.Asked(7540*ms, "1", look, "n", time.Second)
			try(j, "1", "a", 7549*ms, 5*ms, Done)
			j.Answered(7560*ms, "1", Served, "a")
		}},
		{"was killed meanwhile, and told anew", 3, func(j *Judge) {
			j.Died(1*time.Second, "n")
			j.Known(2*time.Second, "n", "a", Draining, 1, false)
			j.Asked(3*time.Second, "1", look, "n", time.Second)
			try(j, "1", "a", 3*time.Second, 5*ms, Done)
			j.Answered(3010*ms, "1", Served, "a")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := ledger()
			c.play(j)
			v := j.Judge(time.Minute)
			if len(v.Breaches) > 0 != (c.rule > 0) || c.rule > 0 && v.Breaches[0].Rule != c.rule {
				t.Errorf("breaches %v", v.Breaches)
			}
		})
	}
}
