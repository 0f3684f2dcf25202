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

// simulation runs one request at a time through package decide in virtual time. The test
// chooses every outcome, and the simulation records the resulting actions.
type simulation struct {
	env       Env
	balancer  *decide.Balancer
	now       time.Duration
	class     int
	startedAt time.Duration
	attempts  []sentAttempt
	timers    []time.Duration
	answer    *decide.Action
	endedAt   time.Duration
	servers   map[string]decide.Server
}

// sentAttempt is one attempt of the request.
type sentAttempt struct {
	at     time.Duration
	wait   time.Duration
	server string
	open   bool
	result decide.Result
}

// newSimulation returns a simulation with eight servers in two zones.
func newSimulation(env Env, table *Table, seed uint64) *simulation {
	set := env.Settings
	set.Tier = 1 // not an entry tier: each request is sent
	sim := &simulation{env: env, now: time.Second, balancer: decide.New(set, seed, time.Second), servers: map[string]decide.Server{}}
	var list []decide.Server
	for i := range 8 {
		s := decide.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i/4), Cell: i / 4}
		sim.servers[s.ID] = s
		list = append(list, s)
	}
	sim.balancer.HandleList(sim.now, decide.ListUpdate{Kind: decide.ListFull, Servers: list}, nil)
	sim.balancer.SetRoutePolicies(sim.now, table.Policies(), nil)
	return sim
}

// run runs one request to its end. next returns how long an attempt takes and its result.
func (sim *simulation) run(class, row int, next func(s sentAttempt) (time.Duration, decide.Result)) error {
	sim.class, sim.startedAt = class, sim.now
	ttl := sim.env.Settings.Classes[class].Deadline
	r := decide.Request{ID: 1, Class: class, Route: row, Tenant: -1, TTL: ttl}
	if err := sim.apply(sim.balancer.HandleRequest(sim.now, r, nil)); err != nil {
		return err
	}
	ends := map[int]time.Duration{}
	for steps := 0; sim.answer == nil; steps++ {
		if steps > 1000 {
			return fmt.Errorf("the request has not ended after %v", sim.now-sim.startedAt)
		}
		for i := range sim.attempts {
			if s := &sim.attempts[i]; s.open {
				if _, ok := ends[i]; !ok {
					took, result := next(*s)
					if took >= s.wait {
						took, result = s.wait, decide.TimedOut
					}
					ends[i], s.result = s.at+took, result
				}
			}
		}
		// Find the next event. At the same time, outcomes come before timers.
		at, index := time.Duration(1<<62), -1
		for i, end := range ends {
			if end < at || end == at && i < index {
				at, index = end, i
			}
		}
		timer := -1
		for i, due := range sim.timers {
			if due < at {
				at, index, timer = due, -1, i
			}
		}
		if index < 0 && timer < 0 {
			return fmt.Errorf("no events are pending, but there is no answer after %v", sim.now-sim.startedAt)
		}
		sim.now = max(sim.now, at)
		if sim.now > sim.startedAt+ttl {
			return fmt.Errorf("no answer within %v", ttl)
		}
		var out []decide.Action
		if index >= 0 {
			s := &sim.attempts[index]
			s.open = false
			delete(ends, index)
			out = sim.balancer.HandleOutcome(sim.now, decide.Outcome{
				Request: 1, Attempt: index, Server: s.server, Result: s.result, Elapsed: sim.now - s.at,
			}, nil)
		} else {
			sim.timers = append(sim.timers[:timer], sim.timers[timer+1:]...)
			out = sim.balancer.HandleTimer(sim.now, decide.Timer{Token: 1}, nil)
		}
		if err := sim.apply(out); err != nil {
			return err
		}
	}
	return nil
}

// mayRun reports whether an attempt may have run on its server.
func mayRun(s *sentAttempt) bool {
	return s.open || s.result != decide.Rejected && s.result != decide.ConnectFailed && s.result != decide.NotSent
}

// apply checks the actions of package decide against the rules and carries them out.
func (sim *simulation) apply(actions []decide.Action) error {
	class := &sim.env.Settings.Classes[sim.class]
	for _, a := range actions {
		switch a.Kind {
		case decide.Send:
			if sim.answer != nil {
				return fmt.Errorf("an attempt was sent after the answer")
			}
			if len(sim.attempts) >= sim.env.Settings.MaxAttempts {
				return fmt.Errorf("attempt %d was sent, the platform allows %d", len(sim.attempts)+1, sim.env.Settings.MaxAttempts)
			}
			if sim.now+a.Wait > sim.startedAt+class.Deadline {
				return fmt.Errorf("an attempt may last beyond the deadline")
			}
			first := -1
			for i := range sim.attempts {
				s := &sim.attempts[i]
				if s.open && !(sim.env.Settings.MayHedge && class.Idempotency == decide.Idempotent) {
					return fmt.Errorf("two attempts are open at the same time")
				}
				if first < 0 && mayRun(s) {
					first = i
				}
			}
			if first >= 0 {
				f := &sim.attempts[first]
				here, there := sim.servers[a.Server], sim.servers[f.server]
				switch {
				case class.Idempotency == decide.AtMostOnce:
					return fmt.Errorf("an unsafe request was repeated after it may have run")
				case class.Idempotency == decide.Keyed && sim.now-f.at > class.KeyTTL:
					return fmt.Errorf("a request was repeated after %v, its key is kept for %v", sim.now-f.at, class.KeyTTL)
				case class.Idempotency == decide.Keyed && class.Group == decide.GroupCell && here.Cell != there.Cell,
					class.Idempotency == decide.Keyed && class.Group == decide.GroupZone && here.Zone != there.Zone:
					return fmt.Errorf("a request was repeated outside its group")
				}
			}
			sim.attempts = append(sim.attempts, sentAttempt{at: sim.now, wait: a.Wait, server: a.Server, open: true})
		case decide.StartTimer:
			sim.timers = append(sim.timers, sim.now+a.Wait)
		case decide.Refuse, decide.Fail:
			if sim.answer != nil {
				return fmt.Errorf("the request got two answers")
			}
			sim.answer, sim.endedAt = &a, sim.now
			if a.Kind == decide.Refuse {
				return sim.checkRefusal(class, a.Wait)
			}
		}
	}
	return nil
}

// checkRefusal checks that a refusal is allowed, and that the client may return at the time
// that it names.
func (sim *simulation) checkRefusal(class *decide.Class, retryAfter time.Duration) error {
	for i := range sim.attempts {
		s := &sim.attempts[i]
		if !mayRun(s) {
			continue
		}
		if class.Idempotency == decide.AtMostOnce || class.Idempotency == decide.Keyed && class.Group != decide.GroupAll {
			return fmt.Errorf("the request was refused although it may have run")
		}
		if sinceSend := sim.now + retryAfter - s.at; class.Idempotency == decide.Keyed && retryAfter > 0 && sinceSend > class.KeyTTL {
			return fmt.Errorf("the client may return %v after the first attempt, its key is kept for %v", sinceSend, class.KeyTTL)
		}
	}
	return nil
}

// shortAttempt is shorter than any attempt timeout.
const shortAttempt = ms / 2

// checkPolicy checks that requests follow a policy when all attempts fail with a result that
// may be retried.
func checkPolicy(env Env, table *Table, class, row int, policy decide.RoutePolicy, seed uint64) error {
	deadline := env.Settings.Classes[class].Deadline
	result := decide.TimedOut
	if policy.AttemptTimeout == 0 || policy.RetryOn != 0 && policy.RetryOn&decide.TimedOut.Bit() == 0 {
		for _, r := range []decide.Result{decide.ConnectionLost, decide.Errored, decide.Malformed, decide.Rejected, decide.ConnectFailed, decide.TimedOut} {
			if result = r; policy.RetryOn == 0 || policy.RetryOn&r.Bit() != 0 {
				break
			}
		}
	}
	sim := newSimulation(env, table, seed)
	err := sim.run(class, row, func(s sentAttempt) (time.Duration, decide.Result) {
		switch {
		case policy.HedgeAfter > 0:
			return s.wait, decide.TimedOut
		case result == decide.TimedOut:
			return s.wait, result
		}
		return shortAttempt, result
	})
	if err != nil {
		return err
	}
	if len(sim.attempts) == 0 {
		return fmt.Errorf("no attempt was sent")
	}
	first := sim.attempts[0]
	switch {
	case policy.AttemptTimeout > 0 && first.wait != policy.AttemptTimeout:
		return fmt.Errorf("the first attempt lasts %v, attempt_timeout is %v", first.wait, policy.AttemptTimeout)
	case policy.AttemptTimeout == 0 && policy.DeadlineCap > 0 && first.wait != policy.DeadlineCap:
		return fmt.Errorf("the first attempt lasts %v, deadline_cap is %v", first.wait, policy.DeadlineCap)
	case policy.DeadlineCap > 0 && sim.endedAt > sim.startedAt+min(policy.DeadlineCap, deadline):
		return fmt.Errorf("the request ended after %v, deadline_cap is %v", sim.endedAt-sim.startedAt, policy.DeadlineCap)
	}
	if policy.HedgeAfter > 0 {
		if len(sim.attempts) < 2 || sim.attempts[1].at != first.at+policy.HedgeAfter {
			return fmt.Errorf("no second copy after %v, attempts: %+v", policy.HedgeAfter, sim.attempts)
		}
		return nil
	}
	// Without retry_on in the file, the class determines which results are retried.
	named := policy.RetryOn&^decide.NotSent.Bit() != 0
	if once := env.Settings.Classes[class].Idempotency == decide.AtMostOnce; once && !named {
		return nil
	}
	if policy.MaxAttempts > 0 && (policy.RetryOn == 0 || named) && len(sim.attempts) != policy.MaxAttempts {
		return fmt.Errorf("%d attempts with result %v, the file sets %d", len(sim.attempts), result, policy.MaxAttempts)
	}
	if named && policy.MaxAttempts == 0 && len(sim.attempts) < 2 {
		return fmt.Errorf("no retry after %v, which is in retry_on", result)
	}
	if len(sim.attempts) > 1 && policy.BackoffInitial > 0 {
		took := time.Duration(shortAttempt)
		if result == decide.TimedOut {
			took = first.wait
		}
		wait := sim.attempts[1].at - first.at - took
		minWait := time.Duration((1 - policy.BackoffJitter) * float64(policy.BackoffInitial))
		if wait > policy.BackoffInitial || wait < minWait-time.Microsecond {
			return fmt.Errorf("the first back-off is %v, allowed: %v to %v", wait, minWait, policy.BackoffInitial)
		}
	}
	return nil
}

// drawnFile is a random file and the platform settings for it.
type drawnFile struct {
	text   string
	copies bool
	seed   uint64
}

// fileGenerator generates files with values around the limits, so that most files violate at
// most one check.
func fileGenerator() *rapid.Generator[drawnFile] {
	return rapid.Custom(func(t *rapid.T) drawnFile {
		env := testEnv()
		var b strings.Builder
		chance := func(label string, percent int) bool { return rapid.IntRange(0, 99).Draw(t, label) < percent }
		durationNear := func(label string, around ...time.Duration) string {
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
			if chance("has attempts", 70) {
				fmt.Fprintf(&b, "attempts = %d\n", attempts)
			}
			if chance("has timeout", 50) {
				fmt.Fprintf(&b, "attempt_timeout = %q\n", durationNear("timeout", limit/time.Duration(attempts), 100*ms, 300*ms, limit,
					class.KeyTTL*9/10/time.Duration(max(1, attempts-1))+ms))
			}
			if chance("has backoff", 30) {
				first := durationNear("first", 20*ms, 200*ms, limit/time.Duration(2*attempts))
				fmt.Fprintf(&b, "backoff = { first = %q", first)
				if chance("has most", 50) {
					fmt.Fprintf(&b, ", most = %q", durationNear("most", 20*ms, 200*ms, time.Second))
				}
				if chance("has jitter", 50) {
					fmt.Fprintf(&b, ", jitter = %v", rapid.Float64Range(0, 1).Draw(t, "jitter"))
				}
				b.WriteString(" }\n")
			}
			if chance("has outcomes", 30) {
				words := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"error", "reset", "spoilt", "timeout", "turned-away",
					"unconnected"}), 1, 3, rapid.ID[string]).Draw(t, "outcomes")
				fmt.Fprintf(&b, "retry_on = [\"%s\"]\n", strings.Join(words, `", "`))
			}
			if chance("has copy", 15) {
				fmt.Fprintf(&b, "second_copy_after = %q\n", durationNear("copy", 50*ms, 100*ms, 300*ms, limit))
			}
			if chance("has cap", 20) {
				fmt.Fprintf(&b, "deadline_cap = %q\n", durationNear("cap", limit/2, limit, time.Second))
			}
			if chance("has advice", 20) {
				fmt.Fprintf(&b, "retry_after = %q\n", durationNear("advice", 500*ms, 2*time.Second, 5*time.Second))
			}
		}
		return drawnFile{b.String(), rapid.Bool().Draw(t, "copies"), rapid.Uint64().Draw(t, "seed")}
	})
}

// checkFile checks the property that an accepted file breaks no rule, whatever the results of
// attempts, and that requests follow its values. It also reports whether the file was accepted.
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
				sim := newSimulation(env, table, rng.Uint64())
				err := sim.run(class, m.row, func(s sentAttempt) (time.Duration, decide.Result) {
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

// setRapidFlag sets a flag of rapid unless it is set on the command line. Every test run thus
// draws the same files; -rapid.seed=... and -rapid.checks=... draw others.
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
		t.Errorf("only %d files were accepted, want at least 400 to test the property", accepted)
	}
}

// Without any one of these checks, some file must violate the property. Otherwise the check
// is unnecessary or the property too weak.
func TestEachCheckIsNeeded(t *testing.T) {
	const maxFiles = 40000
	gen := fileGenerator()
	for _, code := range []Code{TooManyAttempts, AttemptTooLong, DeadlineTooLong, NotEnoughTime, BackoffOrder, CopiesRuledOut, CopyOfKeyed,
		CopyOfUnsafe, CopyTooLate, CopyNoAttempt, RetryUnsafe, PastWindow} {
		t.Run(string(code), func(t *testing.T) {
			t.Parallel()
			for i := range maxFiles {
				d := gen.Example(i)
				if _, err := checkFile(d, map[Code]bool{code: true}); err != nil {
					t.Logf("file %d: %v", i, err)
					if ok, err := checkFile(d, nil); ok {
						t.Errorf("the file is accepted with all checks too: %v\n%s", err, d.text)
					}
					return
				}
			}
			t.Errorf("without %s, none of %d files violates the property", code, maxFiles)
		})
	}
}
