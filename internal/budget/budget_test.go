package budget

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// graphSimulation simulates the calls of one service graph in virtual time: nodes try servers, servers call
// the tier below, and any attempt may fail.
type graphSimulation struct {
	t              *rapid.T
	depth          int
	callsPerServer int
	maxAttempts    int  // attempts of a call, the first included
	naive          bool // control: each node has all attempts of the class for itself
	reportsSpent   bool // applications report to the tier above what was spent
	ledgers        []*Ledger
	now            time.Duration
	lastID         int
	attemptsByCall map[string]int // by call, on whatever servers
	mostAttempts   int
	violation      string
}

// call simulates one call that arrives at a node of a tier. place identifies it by the calls above it,
// independent of their attempts.
func (sim *graphSimulation) call(tier int, place string, given *Budget, limits LocalLimits) (ok bool, spent int) {
	grant, _ := Clamp(given, limits)
	if grant.TimeLeft > limits.TimeLeft || grant.ExtraAttempts > limits.ExtraAttempts {
		sim.violation = "more than the local limits"
	}
	grant = sim.ledgers[tier].BeginCall(sim.now, grant)
	a := OpenAccount(grant, ms)
	if sim.naive {
		a = OpenAccount(Budget{TimeLeft: grant.TimeLeft, ExtraAttempts: sim.maxAttempts - 1}, ms)
	}
	start := sim.now
	for a.CanAttempt() {
		sim.lastID++
		down, sent := a.BeginAttempt(fmt.Sprintf("n%d", tier), fmt.Sprint("a", sim.lastID), sim.now-start)
		if !sent {
			sim.violation = "CanAttempt allows an attempt that BeginAttempt refuses"
			break
		}
		if a.spent+a.granted > a.grant.ExtraAttempts {
			sim.violation = fmt.Sprintf("%d spent and %d granted of %d", a.spent, a.granted, a.grant.ExtraAttempts)
		}
		if down.TimeLeft > grant.TimeLeft-(sim.now-start) && down.TimeLeft > 0 {
			sim.violation = "the time left has grown"
		}
		sim.attemptsByCall[place]++
		sim.mostAttempts = max(sim.mostAttempts, sim.attemptsByCall[place])
		sim.now += time.Duration(rapid.IntRange(0, 20).Draw(sim.t, "way")) * ms
		if rapid.IntRange(0, 3).Draw(sim.t, "not run") == 0 {
			a.EndAttempt(UnknownSpent, false)
			continue
		}
		good, below := true, 0
		if tier+1 < sim.depth {
			for i := range sim.callsPerServer {
				var b *Budget
				if !sim.naive {
					b = &down
				}
				var n int
				good, n = sim.call(tier+1, fmt.Sprintf("%s.%d", place, i), b, LocalLimits{TimeLeft: down.TimeLeft, ExtraAttempts: sim.maxAttempts - 1})
				below = n
				if !good {
					break
				}
			}
		}
		good = good && rapid.IntRange(0, 2).Draw(sim.t, "good") > 0
		if !sim.reportsSpent || rapid.IntRange(0, 4).Draw(sim.t, "lost") == 0 {
			below = UnknownSpent
		}
		a.EndAttempt(below, true)
		if good {
			ok = true
			break
		}
	}
	if sim.naive {
		return ok, 0
	}
	if a.Spent() > grant.ExtraAttempts {
		sim.violation = fmt.Sprintf("%d spent of %d", a.Spent(), grant.ExtraAttempts)
	}
	return ok, sim.ledgers[tier].EndCall(grant, a.Spent())
}

// simulateGraph draws a random graph and simulates it.
func simulateGraph(t *rapid.T, naive bool) *graphSimulation {
	sim := &graphSimulation{t: t, depth: rapid.IntRange(1, 6).Draw(t, "depth"), maxAttempts: rapid.IntRange(1, 4).Draw(t, "limit"), naive: naive,
		reportsSpent: rapid.Bool().Draw(t, "carries"), attemptsByCall: map[string]int{}}
	sim.callsPerServer = rapid.IntRange(1, 2).Draw(t, "fan")
	if sim.depth > 4 {
		sim.callsPerServer = 1
	}
	for range sim.depth {
		sim.ledgers = append(sim.ledgers, NewLedger(rapid.SampledFrom([]int{1, 1000}).Draw(t, "ledger")))
	}
	sim.call(0, "entry", nil, LocalLimits{TimeLeft: time.Second, ExtraAttempts: sim.maxAttempts - 1, Worth: 1})
	return sim
}

// Whatever fails: no call is tried more often than its class allows although every tier retries, nothing is
// spent that was not granted, and the time left never grows.
func TestAttemptsAcrossTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := simulateGraph(t, false)
		if sim.mostAttempts > sim.maxAttempts || sim.violation != "" {
			t.Fatalf("%d attempts of a call, its class allows %d; %s", sim.mostAttempts, sim.maxAttempts, sim.violation)
		}
	})
}

// Control: the same simulation must exceed the limit if each node has all attempts of the class for itself.
func TestNaiveAttemptsMultiply(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := simulateGraph(t, true)
		if sim.maxAttempts == 4 {
			worst = max(worst, sim.mostAttempts)
		}
	})
	if worst <= 4 {
		t.Errorf("at most %d attempts of a call: the property test proves nothing", worst)
	}
	t.Logf("up to %d attempts of a call whose class allows 4", worst)
}

func TestClamp(t *testing.T) {
	limits := LocalLimits{TimeLeft: time.Second, ExtraAttempts: 2, Worth: 5, Class: "a"}
	for _, x := range []struct {
		b      *Budget
		want   Budget
		excess Excess
	}{
		{nil, Budget{TimeLeft: time.Second, ExtraAttempts: 2, Worth: 5, Class: "a"}, 0},
		{&Budget{TimeLeft: ms, ExtraAttempts: 1, Worth: 4, Class: "b"}, Budget{TimeLeft: ms, ExtraAttempts: 1, Worth: 4, Class: "b"}, 0},
		{&Budget{TimeLeft: 2 * time.Second, ExtraAttempts: 1, Worth: 4}, Budget{TimeLeft: time.Second, ExtraAttempts: 1, Worth: 4}, ExcessTime},
		{&Budget{TimeLeft: ms, ExtraAttempts: 3, Worth: 6}, Budget{TimeLeft: ms, ExtraAttempts: 2, Worth: 5}, ExcessAttempts | ExcessWorth},
	} {
		if got, excess := Clamp(x.b, limits); !reflect.DeepEqual(got, x.want) || excess != x.excess {
			t.Errorf("%+v: %+v, %v", x.b, got, excess)
		}
	}
}

func TestLoops(t *testing.T) {
	b := Budget{Path: []string{"a", "b", "c"}}
	if loop, found := b.FindLoop("b"); !found || strings.Join(loop, ">") != "b>c>b" {
		t.Error(loop, found)
	}
	if _, found := b.FindLoop("d"); found {
		t.Error("found a loop where there is none")
	}
}

// A full ledger must not forget an attempt whose time is still running, and must grant nothing to new ones.
func TestFullLedger(t *testing.T) {
	l := NewLedger(2)
	for i, id := range []string{"a", "b", "c"} {
		b := l.BeginCall(0, Budget{AttemptID: id, TimeLeft: time.Second, ExtraAttempts: 3})
		if want := []int{3, 3, 0}[i]; b.ExtraAttempts != want {
			t.Errorf("%s: %d extra attempts, want %d", id, b.ExtraAttempts, want)
		}
		l.EndCall(b, 2)
	}
	if b := l.BeginCall(500*ms, Budget{AttemptID: "a", TimeLeft: 500 * ms, ExtraAttempts: 3}); b.ExtraAttempts != 1 {
		t.Errorf("the second call has %d extra attempts, want 1", b.ExtraAttempts)
	} else {
		l.EndCall(b, 0)
	}
	if b := l.BeginCall(2*time.Second, Budget{AttemptID: "d", TimeLeft: time.Second, ExtraAttempts: 3}); b.ExtraAttempts != 3 || l.Len() != 1 {
		t.Errorf("%d extra attempts, %d attempts kept", b.ExtraAttempts, l.Len())
	}
}

func TestHeaders(t *testing.T) {
	b := Budget{TimeLeft: 1850 * ms, ExtraAttempts: 2, Worth: 12, Class: "notruf-abfrage", AttemptID: "7f", Path: []string{"n0", "leit@zh-1"}}
	const want = "1;t=1850;a=2;w=12;c=notruf-abfrage;i=7f;p=n0,leit@zh-1"
	if got := b.Encode(); got != want {
		t.Fatalf("%s, want %s", got, want)
	}
	got, err := Parse(want)
	if err != nil || !reflect.DeepEqual(*got, b) {
		t.Errorf("%+v %v", got, err)
	}
	line := b.AddToBaggage("user=x, curlewring-budget=old ,q=1;p=2")
	if !strings.HasPrefix(line, "user=x,q=1;p=2,curlewring-budget=1%3Bt%3D1850") {
		t.Error(line)
	}
	if got, err := FromHeaders(nil, []string{line}); err != nil || !reflect.DeepEqual(*got, b) {
		t.Errorf("%+v %v", got, err)
	}
	smaller := b
	smaller.ExtraAttempts, smaller.Path = 1, nil
	if got, err := FromHeaders([]string{smaller.Encode()}, []string{line}); err != nil || got.ExtraAttempts != 1 || len(got.Path) != 2 {
		t.Errorf("%+v %v", got, err)
	}
	if _, err := Parse("2;t=1;x=new;a=1;w=1;c=a;z=2"); err != nil {
		t.Error("later version:", err)
	}
	for _, bad := range []string{
		"", "1", "0;t=1;a=1;w=1;c=a", "x;t=1;a=1;w=1;c=a", "1;t=1;a=1;w=1", "1;t=-1;a=1;w=1;c=a", "1;t=1;a=1;w=1;c=a;", "1;t=1;t=1;a=1;w=1;c=a",
		"1;a=1;t=1;w=1;c=a", "1;t=1;a=99;w=1;c=a", "1;t=1;a=1;w=1e9;c=a", "1;t=1;a=1;w=1.;c=a", "1;t=1;a=1;w=nan;c=a", "1;t=1;a=1;w=1;c=ä",
		"1;t=1;a=1;w=1;c=a;p=", "1;t=1;a=1;w=1;c=a;p=a,,b", "1;t=999999999;a=1;w=1;c=a", "1;t=1;a=1;w=1;c=a;x=1", "1;t=1;a=1;w=9999999;c=a",
		"1;t=1;a=1;w=1;c=" + strings.Repeat("a", 33), "1;t=1;a=1;w=1;c=a;p=" + strings.Repeat("a,", MaxHops) + "a", want + strings.Repeat("a", 10<<10),
	} {
		if b, err := Parse(bad); err == nil {
			t.Errorf("%.60q was parsed as %+v", bad, b)
		}
	}
	if _, err := FromHeaders([]string{want, want}, nil); err == nil {
		t.Error("a duplicate header was accepted")
	}
	if b, err := FromHeaders([]string{want}, []string{"curlewring-budget=%zz"}); err == nil || b == nil {
		t.Error("invalid baggage must be reported without discarding the header:", b, err)
	}
	for value, spent := range map[string]int{"1;s=2": 2, "1;s=0;r=loop": 0, "": UnknownSpent, "1;s=-1": UnknownSpent, "1;s=2;r=what": UnknownSpent, "2;s=1": UnknownSpent, "1;s=99": UnknownSpent} {
		got, _, err := ParseSpent([]string{value})
		if got != spent || (err == nil) != (spent != UnknownSpent) {
			t.Errorf("%q: %d, %v", value, got, err)
		}
	}
	if spent, advice, err := ParseSpent([]string{EncodeSpent(3, OutOfBudget)}); spent != 3 || advice != OutOfBudget || err != nil {
		t.Error(spent, advice, err)
	}
}

// A call of the planned fleet passes 22 nodes. The last of them must still be able to read the budget,
// whatever the names of the nodes and whichever header carries it: without a budget each tier would have
// all attempts again.
func TestHeadersWithLongPaths(t *testing.T) {
	for _, hops := range []int{22, MaxHops} {
		b := Budget{
			TimeLeft: MaxTimeLeft, ExtraAttempts: MaxExtraAttempts, Worth: 12.345678, Class: strings.Repeat("c", MaxNameBytes), AttemptID: strings.Repeat("i", MaxNameBytes),
		}
		for i := range hops {
			name := strconv.Itoa(i)
			b.Path = append(b.Path, name+strings.Repeat("n", MaxNameBytes-len(name)))
		}
		if got, err := FromHeaders([]string{b.Encode()}, nil); err != nil || !reflect.DeepEqual(*got, b) {
			t.Errorf("%d nodes, header: %v", hops, err)
		}
		if got, err := FromHeaders(nil, []string{b.AddToBaggage("")}); err != nil || !reflect.DeepEqual(*got, b) {
			t.Errorf("%d nodes, baggage: %v", hops, err)
		}
	}
}

// FuzzParse checks that no value breaks the parser, that results are within the limits, and that an encoded
// result is parsed as the same budget.
func FuzzParse(f *testing.F) {
	f.Add("1;t=1850;a=2;w=12;c=notruf-abfrage;i=7f;p=n0,n1")
	f.Add("1;t=0;a=0;w=0.5;c=a")
	f.Add("2;t=1;x=;a=1;w=1;c=a")
	f.Fuzz(func(t *testing.T, value string) {
		b, err := Parse(value)
		if err != nil {
			return
		}
		if b.TimeLeft < 0 || b.TimeLeft > MaxTimeLeft || b.ExtraAttempts < 0 || b.ExtraAttempts > MaxExtraAttempts || !(b.Worth >= 0 && b.Worth <= MaxWorth) || b.Hops() > MaxHops {
			t.Fatalf("%q: out of range: %+v", value, b)
		}
		again, err := Parse(b.Encode())
		if err != nil || !reflect.DeepEqual(again, b) {
			t.Errorf("%q: %+v, parsed again %+v, %v", value, b, again, err)
		}
		carried, err := FromHeaders(nil, []string{b.AddToBaggage("")})
		if err != nil || !reflect.DeepEqual(carried, b) {
			t.Errorf("%q: from baggage %+v, %v", value, carried, err)
		}
	})
}

// FuzzRead checks that no headers break the parsers.
func FuzzRead(f *testing.F) {
	f.Add("1;t=1;a=1;w=1;c=a", "a=b,curlewring-budget=1%3Bt%3D1%3Ba%3D1%3Bw%3D1%3Bc%3Da;prop=1")
	f.Fuzz(func(t *testing.T, own, baggage string) {
		FromHeaders([]string{own}, []string{baggage, own})
		ParseSpent([]string{own})
	})
}
