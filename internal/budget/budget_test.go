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

// world plays one graph in virtual time: nodes try servers, servers call the tier
// below, and anything may fail.
type world struct {
	t       *rapid.T
	depth   int
	fan     int
	limit   int  // attempts of a call, the first included
	naive   bool // each node has the class's attempts for itself: the control
	carries bool // applications hand the word of what was spent up
	ledger  []*Ledger
	now     time.Duration
	ids     int
	at      map[string]int // attempts by call, wherever its servers are
	worst   int
	wrong   string
}

// call is one call that comes to a node of a tier. place names it by the calls
// above it, whatever attempt of these made it.
func (w *world) call(tier int, place string, given *Budget, truth LocalLimits) (ok bool, spent int) {
	grant, _ := Clamp(given, truth)
	if grant.TimeLeft > truth.TimeLeft || grant.ExtraAttempts > truth.ExtraAttempts {
		w.wrong = "more than the truth"
	}
	grant = w.ledger[tier].BeginCall(w.now, grant)
	a := OpenAccount(grant, ms)
	if w.naive {
		a = OpenAccount(Budget{TimeLeft: grant.TimeLeft, ExtraAttempts: w.limit - 1}, ms)
	}
	begun := w.now
	for a.CanAttempt() {
		w.ids++
		down, sent := a.BeginAttempt(fmt.Sprintf("n%d", tier), fmt.Sprint("a", w.ids), w.now-begun)
		if !sent {
			w.wrong = "may try, and cannot"
			break
		}
		if a.spent+a.out > a.grant.ExtraAttempts {
			w.wrong = fmt.Sprintf("%d spent and %d out of %d", a.spent, a.out, a.grant.ExtraAttempts)
		}
		if down.TimeLeft > grant.TimeLeft-(w.now-begun) && down.TimeLeft > 0 {
			w.wrong = "time grew"
		}
		w.at[place]++
		w.worst = max(w.worst, w.at[place])
		w.now += time.Duration(rapid.IntRange(0, 20).Draw(w.t, "way")) * ms
		if rapid.IntRange(0, 3).Draw(w.t, "not run") == 0 {
			a.EndAttempt(UnknownSpent, false)
			continue
		}
		good, below := true, 0
		if tier+1 < w.depth {
			for i := range w.fan {
				var b *Budget
				if !w.naive {
					b = &down
				}
				var n int
				good, n = w.call(tier+1, fmt.Sprintf("%s.%d", place, i), b, LocalLimits{TimeLeft: down.TimeLeft, ExtraAttempts: w.limit - 1})
				below = n
				if !good {
					break
				}
			}
		}
		good = good && rapid.IntRange(0, 2).Draw(w.t, "good") > 0
		if !w.carries || rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
			below = UnknownSpent
		}
		a.EndAttempt(below, true)
		if good {
			ok = true
			break
		}
	}
	if w.naive {
		return ok, 0
	}
	if a.Spent() > grant.ExtraAttempts {
		w.wrong = fmt.Sprintf("%d spent of %d", a.Spent(), grant.ExtraAttempts)
	}
	return ok, w.ledger[tier].EndCall(grant, a.Spent())
}

// graph draws a graph and plays it.
func graph(t *rapid.T, naive bool) *world {
	w := &world{t: t, depth: rapid.IntRange(1, 6).Draw(t, "depth"), limit: rapid.IntRange(1, 4).Draw(t, "limit"), naive: naive,
		carries: rapid.Bool().Draw(t, "carries"), at: map[string]int{}}
	w.fan = rapid.IntRange(1, 2).Draw(t, "fan")
	if w.depth > 4 {
		w.fan = 1
	}
	for range w.depth {
		w.ledger = append(w.ledger, NewLedger(rapid.SampledFrom([]int{1, 1000}).Draw(t, "ledger")))
	}
	w.call(0, "entry", nil, LocalLimits{TimeLeft: time.Second, ExtraAttempts: w.limit - 1, Worth: 1})
	return w
}

// Whatever fails, wherever: no call is tried more often than its class has
// attempts, though every tier tries again; nothing is spent that was not granted;
// time does not grow.
func TestAttemptsInAllTiersTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := graph(t, false)
		if w.worst > w.limit || w.wrong != "" {
			t.Fatalf("%d attempts of a call, its class has %d; %s", w.worst, w.limit, w.wrong)
		}
	})
}

// The control: with the class's attempts at every node for itself the same must
// fail.
func TestNaiveAttemptsMultiply(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		w := graph(t, true)
		if w.limit == 4 {
			worst = max(worst, w.worst)
		}
	})
	if worst <= 4 {
		t.Errorf("at most %d attempts of a call: the property proves nothing", worst)
	}
	t.Logf("up to %d attempts of a call where its class has 4", worst)
}

func TestClamp(t *testing.T) {
	truth := LocalLimits{TimeLeft: time.Second, ExtraAttempts: 2, Worth: 5, Class: "a"}
	for _, x := range []struct {
		b    *Budget
		want Budget
		lies Excess
	}{
		{nil, Budget{TimeLeft: time.Second, ExtraAttempts: 2, Worth: 5, Class: "a"}, 0},
		{&Budget{TimeLeft: ms, ExtraAttempts: 1, Worth: 4, Class: "b"}, Budget{TimeLeft: ms, ExtraAttempts: 1, Worth: 4, Class: "b"}, 0},
		{&Budget{TimeLeft: 2 * time.Second, ExtraAttempts: 1, Worth: 4}, Budget{TimeLeft: time.Second, ExtraAttempts: 1, Worth: 4}, ExcessTime},
		{&Budget{TimeLeft: ms, ExtraAttempts: 3, Worth: 6}, Budget{TimeLeft: ms, ExtraAttempts: 2, Worth: 5}, ExcessAttempts | ExcessWorth},
	} {
		if got, lies := Clamp(x.b, truth); !reflect.DeepEqual(got, x.want) || lies != x.lies {
			t.Errorf("%+v: %+v, %v", x.b, got, lies)
		}
	}
}

func TestLoops(t *testing.T) {
	b := Budget{Path: []string{"a", "b", "c"}}
	if loop, crossed := b.FindLoop("b"); !crossed || strings.Join(loop, ">") != "b>c>b" {
		t.Error(loop, crossed)
	}
	if _, crossed := b.FindLoop("d"); crossed {
		t.Error("a loop where there is none")
	}
}

// A full ledger must not forget an attempt whose time runs, and give none.
func TestFullLedger(t *testing.T) {
	l := NewLedger(2)
	for i, id := range []string{"a", "b", "c"} {
		b := l.BeginCall(0, Budget{AttemptID: id, TimeLeft: time.Second, ExtraAttempts: 3})
		if want := []int{3, 3, 0}[i]; b.ExtraAttempts != want {
			t.Errorf("%s: %d further attempts, want %d", id, b.ExtraAttempts, want)
		}
		l.EndCall(b, 2)
	}
	if b := l.BeginCall(500*ms, Budget{AttemptID: "a", TimeLeft: 500 * ms, ExtraAttempts: 3}); b.ExtraAttempts != 1 {
		t.Errorf("the second call has %d further attempts, want 1", b.ExtraAttempts)
	} else {
		l.EndCall(b, 0)
	}
	if b := l.BeginCall(2*time.Second, Budget{AttemptID: "d", TimeLeft: time.Second, ExtraAttempts: 3}); b.ExtraAttempts != 3 || l.Len() != 1 {
		t.Errorf("%d further attempts, %d attempts kept", b.ExtraAttempts, l.Len())
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
		t.Error("a later version:", err)
	}
	for _, bad := range []string{
		"", "1", "0;t=1;a=1;w=1;c=a", "x;t=1;a=1;w=1;c=a", "1;t=1;a=1;w=1", "1;t=-1;a=1;w=1;c=a", "1;t=1;a=1;w=1;c=a;", "1;t=1;t=1;a=1;w=1;c=a",
		"1;a=1;t=1;w=1;c=a", "1;t=1;a=99;w=1;c=a", "1;t=1;a=1;w=1e9;c=a", "1;t=1;a=1;w=1.;c=a", "1;t=1;a=1;w=nan;c=a", "1;t=1;a=1;w=1;c=ä",
		"1;t=1;a=1;w=1;c=a;p=", "1;t=1;a=1;w=1;c=a;p=a,,b", "1;t=999999999;a=1;w=1;c=a", "1;t=1;a=1;w=1;c=a;x=1", "1;t=1;a=1;w=9999999;c=a",
		"1;t=1;a=1;w=1;c=" + strings.Repeat("a", 33), "1;t=1;a=1;w=1;c=a;p=" + strings.Repeat("a,", MaxHops) + "a", want + strings.Repeat("a", 10<<10),
	} {
		if b, err := Parse(bad); err == nil {
			t.Errorf("%.60q was read as %+v", bad, b)
		}
	}
	if _, err := FromHeaders([]string{want, want}, nil); err == nil {
		t.Error("a header that stands there twice was read")
	}
	if b, err := FromHeaders([]string{want}, []string{"curlewring-budget=%zz"}); err == nil || b == nil {
		t.Error("an odd baggage must be told, and leave the header:", b, err)
	}
	for value, spent := range map[string]int{"1;s=2": 2, "1;s=0;r=loop": 0, "": UnknownSpent, "1;s=-1": UnknownSpent, "1;s=2;r=what": UnknownSpent, "2;s=1": UnknownSpent, "1;s=99": UnknownSpent} {
		got, _, err := ParseSpent([]string{value})
		if got != spent || (err == nil) != (spent != UnknownSpent) {
			t.Errorf("%q: %d, %v", value, got, err)
		}
	}
	if spent, word, err := ParseSpent([]string{EncodeSpent(3, OutOfBudget)}); spent != 3 || word != OutOfBudget || err != nil {
		t.Error(spent, word, err)
	}
}

// A call of the planned fleet goes through 22 nodes. The last of them must read the budget all the same, whatever the names
// of the nodes are and in which form it came: without it each tier would have all attempts again.
func TestBudgetsPassThroughLongPaths(t *testing.T) {
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

// FuzzParse: no value may break the reading; what is read is within the bounds,
// and written again it is read as the same.
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
			t.Fatalf("%q: %+v", value, b)
		}
		again, err := Parse(b.Encode())
		if err != nil || !reflect.DeepEqual(again, b) {
			t.Errorf("%q: %+v, again %+v, %v", value, b, again, err)
		}
		carried, err := FromHeaders(nil, []string{b.AddToBaggage("")})
		if err != nil || !reflect.DeepEqual(carried, b) {
			t.Errorf("%q: carried %+v, %v", value, carried, err)
		}
	})
}

// FuzzRead: nothing that comes in the headers may break the reading.
func FuzzRead(f *testing.F) {
	f.Add("1;t=1;a=1;w=1;c=a", "a=b,curlewring-budget=1%3Bt%3D1%3Ba%3D1%3Bw%3D1%3Bc%3Da;prop=1")
	f.Fuzz(func(t *testing.T, own, baggage string) {
		FromHeaders([]string{own}, []string{baggage, own})
		ParseSpent([]string{own})
	})
}
