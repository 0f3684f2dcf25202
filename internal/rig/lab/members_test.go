package lab

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/internal/rig/relay"
	"curlewring/internal/rig/standin"
)

// memberLab is a lab whose nodes form a membership, with traffic until it ends.
type memberLab struct {
	*Lab
	t         *testing.T
	names     []string
	report    chan *Report
	stop      context.CancelFunc
	minServed float64 // fraction of the requests that must be served in time
}

func startMemberLab(t *testing.T, nodes int, seed uint64) *memberLab {
	t.Helper()
	return startMemberLabWith(t, nodes, seed, nil)
}

func startMemberLabWith(t *testing.T, nodes int, seed uint64, edit func(*Options)) *memberLab {
	t.Helper()
	o := defaultOptions()
	o.Nodes, o.Membership, o.Plan.Seed = nodes, true, seed
	o.Traffic = standin.Traffic{Rate: 60, Duration: 5 * time.Minute, Retries: 1, Backoff: 100 * time.Millisecond}
	if edit != nil {
		edit(&o)
	}
	ctx, stop := context.WithCancel(context.Background())
	l, err := Open(ctx, o)
	if err != nil {
		stop()
		t.Fatal(err)
	}
	x := &memberLab{Lab: l, t: t, report: make(chan *Report, 1), stop: stop, minServed: 0.95}
	for i := range nodes {
		x.names = append(x.names, fmt.Sprint("n", i))
	}
	go func() { // ends with stop
		r, err := l.Run(ctx, nil)
		if err != nil {
			t.Error(err)
		}
		x.report <- r
	}()
	return x
}

// finishTraffic stops the traffic, and checks that all rules were kept and enough requests were served
// meanwhile.
func (x *memberLab) finishTraffic() {
	x.t.Helper()
	x.stop()
	r := <-x.report
	x.Close()
	if r == nil {
		return
	}
	if !r.Passed() {
		x.t.Errorf("a rule was broken: %+v", r.Breaches)
	}
	asked, served := 0, 0
	for _, c := range r.Classes {
		asked, served = asked+c.Requests, served+c.Served
	}
	if asked == 0 || float64(served) < x.minServed*float64(asked) {
		x.t.Errorf("%d of %d requests served in time", served, asked)
	}
}

// waitForView waits until the given nodes share a view with exactly these members, and returns the view's
// number and the time taken.
func (x *memberLab) waitForView(within time.Duration, names ...string) (uint64, time.Duration) {
	x.t.Helper()
	begun := time.Now()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for {
		number, seen := x.currentView(names)
		took := time.Since(begun)
		if number > 0 {
			return number, took
		}
		if took > within {
			x.t.Errorf("%v: no agreement of %v:\n%s", within, names, seen)
			for _, n := range names {
				x.t.Logf("%s: %.4000s", n, x.Log(n))
			}
			return 0, took
		}
		<-look.C
	}
}

func (x *memberLab) currentView(names []string) (number uint64, seen string) {
	var all []string
	same := map[string]bool{}
	for _, n := range names {
		r, err := x.MembershipOf(context.Background(), n)
		if err != nil {
			return 0, fmt.Sprintf("%s: %v", n, err)
		}
		s := r.Standing
		var in []string
		for i := range s.Members {
			in = append(in, s.Members[i].Name)
		}
		slices.Sort(in)
		view := fmt.Sprintf("view %d of %x: %v", s.Number, s.Root, in)
		all = append(all, n+": "+view)
		same[view] = true
		if !slices.Equal(in, slices.Sorted(slices.Values(names))) {
			number = 0
			return 0, strings.Join(all, "\n")
		}
		number = s.Number
	}
	if len(same) != 1 {
		return 0, strings.Join(all, "\n")
	}
	return number, ""
}

func (x *memberLab) namesExcept(out ...string) []string {
	return slices.DeleteFunc(slices.Clone(x.names), func(n string) bool { return slices.Contains(out, n) })
}

func (x *memberLab) noError(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Error(err)
	}
}

// expectSameView checks after a while that all nodes still share the given view.
func (x *memberLab) expectSameView(number uint64, what string, lasts time.Duration) {
	x.t.Helper()
	time.Sleep(lasts) // duration of the fault, not a wait for a condition
	if now, _ := x.currentView(x.names); now != number {
		x.t.Errorf("%s: view %d before, %d after", what, number, now)
		for _, n := range x.names {
			x.t.Logf("%s: %.4000s", n, x.Log(n))
		}
	}
}

func perfectLinks(int, int) relay.Conditions { return relay.Conditions{} }

// A killed node leaves every view. A restarted one returns with a higher incarnation of the same name, with
// and without its stored state.
func TestMembersKilledAndStarted(t *testing.T) {
	t.Parallel()
	x := startMemberLab(t, 5, 1)
	x.minServed = 0.9 // two of five are down for a fifth of the time, and a client tries only twice
	defer x.finishTraffic()
	first, took := x.waitForView(30*time.Second, x.names...)
	t.Logf("five nodes started together agree after %v, in view %d", took, first)
	x.noError(x.Kill("n4"))
	second, took := x.waitForView(8*time.Second, x.namesExcept("n4")...)
	t.Logf("killed node removed from all views after %v", took)
	if second != first+1 {
		t.Errorf("view %d, then %d", first, second)
	}
	incarnation := uint64(1)
	for _, kept := range []bool{true, false} {
		if !kept {
			x.noError(x.Kill("n4"))
			x.noError(x.RemoveState("n4"))
		}
		x.noError(x.Start("n4"))
		if _, took = x.waitForView(15*time.Second, x.names...); took > 10*time.Second {
			t.Errorf("back after %v", took)
		}
		r, err := x.MembershipOf(context.Background(), "n4")
		x.noError(err)
		t.Logf("back after %v, incarnation %d", took, r.Standing.Self.Incarnation)
		if r.Standing.Self.Incarnation <= incarnation {
			t.Errorf("state kept %v: incarnation %d after %d", kept, r.Standing.Self.Incarnation, incarnation)
		}
		incarnation = r.Standing.Self.Incarnation
	}
	// Two of five nodes are killed together, and return.
	x.noError(x.Kill("n3"))
	x.noError(x.Kill("n4"))
	_, took = x.waitForView(12*time.Second, x.namesExcept("n3", "n4")...)
	t.Logf("two of five nodes killed together are removed after %v", took)
	x.noError(x.Start("n3"))
	x.noError(x.Start("n4"))
	x.waitForView(20*time.Second, x.names...)
}

// A pause, loss, corruption, duplication, reordering or a single cut link must not change the view.
func TestMembersTolerateLinkFaults(t *testing.T) {
	t.Parallel()
	x := startMemberLab(t, 6, 2)
	defer x.finishTraffic()
	number, _ := x.waitForView(30*time.Second, x.names...)
	x.noError(x.Pause("n5"))
	time.Sleep(3 * time.Second) // the pause that must be tolerated
	x.noError(x.Resume("n5"))
	x.expectSameView(number, "a pause of 3 s", 2*time.Second)
	r, err := x.MembershipOf(context.Background(), "n5")
	x.noError(err)
	if r.Standing.Stalls == 0 || r.Standing.Stats.Accusations > 0 {
		t.Errorf("the paused node: %+v", r.Standing)
	}
	x.SetLinkConditions(func(from, to int) relay.Conditions { return relay.Conditions{Cut: from == 1 && to == 2} })
	x.expectSameView(number, "a cut link from one node to another", 8*time.Second)
	x.SetLinkConditions(func(from, to int) relay.Conditions {
		return relay.Conditions{Loss: 0.3, Corrupt: 0.1, Duplicate: 0.1, Delay: 30 * time.Millisecond}
	})
	x.expectSameView(number, "30% lost, 10% corrupted, 10% duplicated, reordered", 10*time.Second)
	r, err = x.MembershipOf(context.Background(), "n0")
	x.noError(err)
	if r.Passed == 0 {
		t.Error("no corrupted datagram was discarded")
	}
	x.SetLinkConditions(perfectLinks)
	x.expectSameView(number, "links repaired", time.Second)
}

// A node that cannot receive is removed once, and returns. A minority partition changes no view, and rejoins.
func TestMembersPartitioned(t *testing.T) {
	t.Parallel()
	x := startMemberLab(t, 7, 3)
	defer x.finishTraffic()
	first, _ := x.waitForView(30*time.Second, x.names...)
	x.SetLinkConditions(func(_, to int) relay.Conditions { return relay.Conditions{Cut: to == 4} })
	second, took := x.waitForView(9*time.Second, x.namesExcept("n4")...)
	t.Logf("node that receives nothing removed after %v", took)
	if second != first+1 {
		t.Errorf("view %d, then %d", first, second)
	}
	time.Sleep(6 * time.Second) // it must not be added and removed again
	if now, _ := x.currentView(x.namesExcept("n4")); now != second {
		t.Errorf("view %d, then %d, with the same fault", second, now)
	}
	x.SetLinkConditions(perfectLinks)
	third, took := x.waitForView(20*time.Second, x.names...)
	t.Logf("back after %v", took)
	// A partition into four and three nodes.
	x.SetLinkConditions(func(from, to int) relay.Conditions { return relay.Conditions{Cut: (from < 4) != (to < 4)} })
	_, took = x.waitForView(12*time.Second, "n0", "n1", "n2", "n3")
	t.Logf("the majority has its own view after %v", took)
	for _, n := range []string{"n4", "n5", "n6"} {
		if r, err := x.MembershipOf(context.Background(), n); err != nil || r.Standing.Number != third {
			t.Errorf("%s, in the minority, is in view %d, not %d: %v", n, r.Standing.Number, third, err)
		}
	}
	x.SetLinkConditions(perfectLinks)
	_, took = x.waitForView(30*time.Second, x.names...)
	t.Logf("all nodes share a view again after %v", took)
}

// A terminating node announces that it leaves.
func TestMembersLeave(t *testing.T) {
	t.Parallel()
	x := startMemberLab(t, 5, 4)
	defer x.finishTraffic()
	x.waitForView(30*time.Second, x.names...)
	p, err := x.findNode("n2")
	x.noError(err)
	go p.stop(10 * time.Second)
	_, took := x.waitForView(3*time.Second, x.namesExcept("n2")...)
	t.Logf("removed from all views after %v", took)
	if strings.Contains(x.Log("n1"), "n2 out, accused") {
		t.Error("the node was removed by failure detection, not by its announcement")
	}
}

// Link faults are accepted with Membership, and rejected without it.
func TestLinkFaultsNeedMembership(t *testing.T) {
	for _, members := range []bool{true, false} {
		f, err := standin.ParseFault("cut:from=n0,to=n1,at=200ms,for=500ms")
		if err != nil {
			t.Fatal(err)
		}
		o := defaultOptions()
		o.Membership, o.Faults, o.Traffic.Duration = members, []standin.Fault{f}, time.Second
		if members {
			runLab(t, o)
			continue
		}
		if l, err := Open(context.Background(), o); err == nil {
			l.Close()
			t.Error("a link fault was accepted without Membership")
		}
	}
}
