package routes

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/decide"
)

// world plays one request at a time against the module in virtual time, with
// every outcome set by the test, and notes what the node would see.
type simulation struct {
	env     Env
	balancer       *decide.Balancer
	now     time.Duration
	class   int
	startedAt   time.Duration
	attempts   []sentAttempt
	timers  []time.Duration
	answer  *decide.Action
	endedAt   time.Duration
	servers map[string]decide.Server
}

type sentAttempt struct {
	at     time.Duration
	wait   time.Duration
	server string
	open   bool
	result decide.Result
}

func newSimulation(env Env, table *Table, seed uint64) *simulation {
	set := env.Settings
	set.Tier = 1 // no verdict at the entry: each request is sent
	w := &simulation{env: env, now: time.Second, balancer: decide.New(set, seed, time.Second), servers: map[string]decide.Server{}}
	var list []decide.Server
	for i := range 8 {
		s := decide.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i/4), Cell: i / 4}
		w.servers[s.ID] = s
		list = append(list, s)
	}
	w.balancer.HandleList(w.now, decide.ListUpdate{Kind: decide.ListFull, Servers: list}, nil)
	w.balancer.SetRoutePolicies(w.now, table.Bounds(), nil)
	return w
}

// play plays one request to its end. next says how long the attempt just sent
// takes and how it ends.
func (w *simulation) run(class, row int, next func(s sentAttempt) (time.Duration, decide.Result)) error {
	w.class, w.startedAt = class, w.now
	ttl := w.env.Settings.Classes[class].Deadline
	r := decide.Request{ID: 1, Class: class, Route: row, Tenant: -1, TTL: ttl}
	if err := w.apply(w.balancer.HandleRequest(w.now, r, nil)); err != nil {
		return err
	}
	ends := map[int]time.Duration{}
	for steps := 0; w.answer == nil; steps++ {
		if steps > 1000 {
			return fmt.Errorf("no end after %v", w.now-w.startedAt)
		}
		for i := range w.attempts {
			if s := &w.attempts[i]; s.open {
				if _, ok := ends[i]; !ok {
					took, result := next(*s)
					if took >= s.wait {
						took, result = s.wait, decide.TimedOut
					}
					ends[i], s.result = s.at+took, result
				}
			}
		}
		// The next thing to happen; outcomes before timers of the same moment.
		at, which := time.Duration(1<<62), -1
		for i, end := range ends {
			if end < at || end == at && i < which {
				at, which = end, i
			}
		}
		timer := -1
		for i, due := range w.timers {
			if due < at {
				at, which, timer = due, -1, i
			}
		}
		if which < 0 && timer < 0 {
			return fmt.Errorf("nothing is to come, and no answer after %v", w.now-w.startedAt)
		}
		w.now = max(w.now, at)
		if w.now > w.startedAt+ttl {
			return fmt.Errorf("no answer in %v", ttl)
		}
		var out []decide.Action
		if which >= 0 {
			s := &w.attempts[which]
			s.open = false
			delete(ends, which)
			out = w.balancer.HandleOutcome(w.now, decide.Outcome{
				Request: 1, Attempt: which, Server: s.server, Result: s.result, Elapsed: w.now - s.at,
			}, nil)
		} else {
			w.timers = append(w.timers[:timer], w.timers[timer+1:]...)
			out = w.balancer.HandleTimer(w.now, decide.Timer{Token: 1}, nil)
		}
		if err := w.apply(out); err != nil {
			return err
		}
	}
	return nil
}

// mayRun tells whether an attempt that ended so may have run.
func mayRun(s *sentAttempt) bool {
	return s.open || s.result != decide.Rejected && s.result != decide.ConnectFailed && s.result != decide.NotSent
}

// take checks the module's actions against the rules.
func (w *simulation) apply(out []decide.Action) error {
	class := &w.env.Settings.Classes[w.class]
	for _, a := range out {
		switch a.Kind {
		case decide.Send:
			if w.answer != nil {
				return fmt.Errorf("sent after the answer")
			}
			if len(w.attempts) >= w.env.Settings.MaxAttempts {
				return fmt.Errorf("attempt %d, the platform allows %d", len(w.attempts)+1, w.env.Settings.MaxAttempts)
			}
			if w.now+a.Wait > w.startedAt+class.Deadline {
				return fmt.Errorf("an attempt beyond the deadline")
			}
			first := -1
			for i := range w.attempts {
				s := &w.attempts[i]
				if s.open && !(w.env.Settings.MayHedge && class.Idempotency == decide.Idempotent) {
					return fmt.Errorf("two attempts out at once")
				}
				if first < 0 && mayRun(s) {
					first = i
				}
			}
			if first >= 0 {
				f := &w.attempts[first]
				here, there := w.servers[a.Server], w.servers[f.server]
				switch {
				case class.Idempotency == decide.AtMostOnce:
					return fmt.Errorf("an unsafe request sent again after it may have run")
				case class.Idempotency == decide.Keyed && w.now-f.at > class.KeyTTL:
					return fmt.Errorf("a repeat after %v, the key is kept for %v", w.now-f.at, class.KeyTTL)
				case class.Idempotency == decide.Keyed && class.Group == decide.GroupCell && here.Cell != there.Cell,
					class.Idempotency == decide.Keyed && class.Group == decide.GroupZone && here.Zone != there.Zone:
					return fmt.Errorf("a repeat outside the group")
				}
			}
			w.attempts = append(w.attempts, sentAttempt{at: w.now, wait: a.Wait, server: a.Server, open: true})
		case decide.StartTimer:
			w.timers = append(w.timers, w.now+a.Wait)
		case decide.Refuse, decide.Fail:
			if w.answer != nil {
				return fmt.Errorf("two answers")
			}
			w.answer, w.endedAt = &a, w.now
			if a.Kind == decide.Refuse {
				return w.checkRefusal(class, a.Wait)
			}
		}
	}
	return nil
}

// refused checks a refusal, and that its client may come back when it is told to.
func (w *simulation) checkRefusal(class *decide.Class, advice time.Duration) error {
	for i := range w.attempts {
		s := &w.attempts[i]
		if !mayRun(s) {
			continue
		}
		if class.Idempotency == decide.AtMostOnce || class.Idempotency == decide.Keyed && class.Group != decide.GroupAll {
			return fmt.Errorf("refused though it may have run")
		}
		if back := w.now + advice - s.at; class.Idempotency == decide.Keyed && advice > 0 && back > class.KeyTTL {
			return fmt.Errorf("told to return %v after the first send, the key is kept for %v", back, class.KeyTTL)
		}
	}
	return nil
}

// quick is sooner than any time-out of an attempt.
const shortAttempt = ms / 2

// does checks that a row does what its file says when attempts fail, one after
// another, in a way that may be tried again.
func checkPolicy(env Env, table *Table, class, row int, b decide.RoutePolicy, seed uint64) error {
	deadline := env.Settings.Classes[class].Deadline
	result := decide.TimedOut
	if b.AttemptTimeout == 0 || b.RetryOn != 0 && b.RetryOn&decide.TimedOut.Bit() == 0 {
		for _, r := range []decide.Result{decide.ConnectionLost, decide.Errored, decide.Malformed, decide.Rejected, decide.ConnectFailed, decide.TimedOut} {
			if result = r; b.RetryOn == 0 || b.RetryOn&r.Bit() != 0 {
				break
			}
		}
	}
	w := newSimulation(env, table, seed)
	err := w.run(class, row, func(s sentAttempt) (time.Duration, decide.Result) {
		switch {
		case b.HedgeAfter > 0:
			return s.wait, decide.TimedOut
		case result == decide.TimedOut:
			return s.wait, result
		}
		return shortAttempt, result
	})
	if err != nil {
		return err
	}
	if len(w.attempts) == 0 {
		return fmt.Errorf("no attempt")
	}
	first := w.attempts[0]
	switch {
	case b.AttemptTimeout > 0 && first.wait != b.AttemptTimeout:
		return fmt.Errorf("the first attempt lasts %v, the file says %v", first.wait, b.AttemptTimeout)
	case b.AttemptTimeout == 0 && b.DeadlineCap > 0 && first.wait != b.DeadlineCap:
		return fmt.Errorf("the first attempt lasts %v, the file gives its request %v", first.wait, b.DeadlineCap)
	case b.DeadlineCap > 0 && w.endedAt > w.startedAt+min(b.DeadlineCap, deadline):
		return fmt.Errorf("ended after %v, the file says %v", w.endedAt-w.startedAt, b.DeadlineCap)
	}
	if b.HedgeAfter > 0 {
		if len(w.attempts) < 2 || w.attempts[1].at != first.at+b.HedgeAfter {
			return fmt.Errorf("no second copy after %v: %+v", b.HedgeAfter, w.attempts)
		}
		return nil
	}
	// Which outcomes may be tried again is the class's matter where the file is silent.
	named := b.RetryOn&^decide.NotSent.Bit() != 0
	if once := env.Settings.Classes[class].Idempotency == decide.AtMostOnce; once && !named {
		return nil
	}
	if b.MaxAttempts > 0 && (b.RetryOn == 0 || named) && len(w.attempts) != b.MaxAttempts {
		return fmt.Errorf("%d attempts after %v each, the file says %d", len(w.attempts), result, b.MaxAttempts)
	}
	if named && b.MaxAttempts == 0 && len(w.attempts) < 2 {
		return fmt.Errorf("not tried again after %v, which the file names", result)
	}
	if len(w.attempts) > 1 && b.BackoffInitial > 0 {
		took := time.Duration(shortAttempt)
		if result == decide.TimedOut {
			took = first.wait
		}
		wait := w.attempts[1].at - first.at - took
		least := time.Duration((1 - b.BackoffJitter) * float64(b.BackoffInitial))
		if wait > b.BackoffInitial || wait < least-time.Microsecond {
			return fmt.Errorf("a first wait of %v, the file says %v to %v", wait, least, b.BackoffInitial)
		}
	}
	return nil
}

// draft is a file as it is drawn, and the platform that it is for.
type drawnFile struct {
	text   string
	copies bool
	seed   uint64
}

// drafts draws files: values sit around the bounds, so that most files break one
// check or none.
func fileGenerator() *rapid.Generator[drawnFile] {
	return rapid.Custom(func(t *rapid.T) drawnFile {
		env := testEnv()
		var b strings.Builder
		some := func(label string, percent int) bool { return rapid.IntRange(0, 99).Draw(t, label) < percent }
		span := func(label string, around ...time.Duration) string {
			d := rapid.SampledFrom(around).Draw(t, label)
			switch rapid.IntRange(0, 3).Draw(t, label+" off") {
			case 0:
				d += ms
			case 1:
				d = max(ms, d-ms)
			}
			return d.String()
		}
		for i := range rapid.IntRange(1, 2).Draw(t, "routes") {
			at := rapid.IntRange(0, len(env.Classes)-1).Draw(t, "class")
			class := env.Settings.Classes[at]
			limit := class.Deadline
			fmt.Fprintf(&b, "[[route]]\nclass = %q\n", env.Classes[at])
			if i > 0 {
				fmt.Fprintf(&b, "path = \"/%s/p%d\"\n", env.Classes[at], i)
			}
			attempts := rapid.IntRange(1, 5).Draw(t, "attempts")
			if some("has attempts", 70) {
				fmt.Fprintf(&b, "attempts = %d\n", attempts)
			}
			if some("has timeout", 50) {
				fmt.Fprintf(&b, "attempt_timeout = %q\n", span("timeout", limit/time.Duration(attempts), 100*ms, 300*ms, limit,
					class.KeyTTL*9/10/time.Duration(max(1, attempts-1))+ms))
			}
			if some("has backoff", 30) {
				first := span("first", 20*ms, 200*ms, limit/time.Duration(2*attempts))
				fmt.Fprintf(&b, "backoff = { first = %q", first)
				if some("has most", 50) {
					fmt.Fprintf(&b, ", most = %q", span("most", 20*ms, 200*ms, time.Second))
				}
				if some("has jitter", 50) {
					fmt.Fprintf(&b, ", jitter = %v", rapid.Float64Range(0, 1).Draw(t, "jitter"))
				}
				b.WriteString(" }\n")
			}
			if some("has outcomes", 30) {
				words := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"error", "reset", "spoilt", "timeout", "turned-away",
					"unconnected"}), 1, 3, rapid.ID[string]).Draw(t, "outcomes")
				fmt.Fprintf(&b, "retry_on = [\"%s\"]\n", strings.Join(words, `", "`))
			}
			if some("has copy", 15) {
				fmt.Fprintf(&b, "second_copy_after = %q\n", span("copy", 50*ms, 100*ms, 300*ms, limit))
			}
			if some("has cap", 20) {
				fmt.Fprintf(&b, "deadline_cap = %q\n", span("cap", limit/2, limit, time.Second))
			}
			if some("has advice", 20) {
				fmt.Fprintf(&b, "retry_after = %q\n", span("advice", 500*ms, 2*time.Second, 5*time.Second))
			}
		}
		return drawnFile{b.String(), rapid.Bool().Draw(t, "copies"), rapid.Uint64().Draw(t, "seed")}
	})
}

// holds is the property: what the checks accept breaks no rule under any
// outcomes, and does what it says. It tells whether the file was accepted.
func checkFile(d drawnFile, skip map[Code]bool) (accepted bool, err error) {
	env := testEnv()
	env.Settings.MayHedge = d.copies
	f, findings := Parse([]byte(d.text))
	if len(findings) > 0 {
		return false, nil
	}
	table, findings := checkExcept(f, env, skip)
	if len(findings) > 0 {
		return false, nil
	}
	rng := rand.New(rand.NewPCG(d.seed, 7))
	for class := range table.classes {
		for _, m := range table.classes[class] {
			if err := checkPolicy(env, table, class, m.row, table.policies[m.row-1], d.seed); err != nil {
				return true, fmt.Errorf("class %s: %w", env.Classes[class], err)
			}
			for range 4 {
				w := newSimulation(env, table, rng.Uint64())
				err := w.run(class, m.row, func(s sentAttempt) (time.Duration, decide.Result) {
					took := time.Duration(rng.Float64() * 1.2 * float64(s.wait))
					return took, decide.Errored + decide.Result(rng.IntN(int(decide.ConnectionLost-decide.Errored)+1))
				})
				if err != nil {
					return true, fmt.Errorf("class %s, random outcomes: %w", env.Classes[class], err)
				}
			}
		}
	}
	return true, nil
}

// fixed sets a flag of rapid unless the command line does: the same files are
// drawn in every run of the tests, and others by -rapid.seed=... -rapid.checks=...
func setRapidFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Value.Set(f.DefValue) })
}

func TestAcceptedFilesFollowRulesAndSettings(t *testing.T) {
	setRapidFlag(t, "rapid.checks", "10000")
	setRapidFlag(t, "rapid.seed", "1")
	accepted := 0
	gen := fileGenerator()
	rapid.Check(t, func(t *rapid.T) {
		d := gen.Draw(t, "file")
		ok, err := checkFile(d, nil)
		if ok {
			accepted++
		}
		if err != nil {
			t.Fatalf("%v\n%s", err, d.text)
		}
	})
	t.Logf("%d files were accepted", accepted)
	if accepted < 400 {
		t.Errorf("only %d files were accepted: the property says little", accepted)
	}
}

// With any one of these checks taken out, some file must break the property:
// else the check, or the property, is for nothing.
func TestEachCheckIsNeeded(t *testing.T) {
	const most = 40000
	gen := fileGenerator()
	for _, code := range []Code{TooManyAttempts, AttemptTooLong, DeadlineTooLong, NotEnoughTime, BackoffOrder, CopiesRuledOut, CopyOfKeyed,
		CopyOfUnsafe, CopyTooLate, CopyNoAttempt, RetryUnsafe, PastWindow} {
		t.Run(string(code), func(t *testing.T) {
			t.Parallel()
			for i := range most {
				d := gen.Example(i)
				if _, err := checkFile(d, map[Code]bool{code: true}); err != nil {
					t.Logf("file %d: %v", i, err)
					if ok, err := checkFile(d, nil); ok {
						t.Errorf("all checks accept it too: %v\n%s", err, d.text)
					}
					return
				}
			}
			t.Errorf("without %s, %d files broke nothing", code, most)
		})
	}
}
