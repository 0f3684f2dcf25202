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
	lab := &memberLab{Lab: l, t: t, report: make(chan *Report, 1), stop: stop, minServed: 0.95}
	for i := range nodes {
		lab.names = append(lab.names, fmt.Sprint("n", i))
	}
	go func() { // ends with stop
		r, err := l.Run(ctx, nil)
		if err != nil {
			t.Error(err)
		}
		lab.report <- r
	}()
	return lab
}

// finishTraffic stops the traffic, and checks that all rules were kept and enough requests were served
// meanwhile.
func (lab *memberLab) finishTraffic() {
	lab.t.Helper()
	lab.stop()
	r := <-lab.report
	lab.Close()
	if r == nil {
		return
	}
	if !r.Passed() {
		lab.t.Errorf("a rule was broken: %+v", r.Breaches)
	}
	requests, served := 0, 0
	for _, c := range r.Classes {
		requests, served = requests+c.Requests, served+c.Served
	}
	if requests == 0 || float64(served) < lab.minServed*float64(requests) {
		lab.t.Errorf("%d of %d requests served in time", served, requests)
	}
}

// waitForView waits until the given nodes share a view with exactly these members, and returns the view's
// number and the time taken.
func (lab *memberLab) waitForView(within time.Duration, names ...string) (uint64, time.Duration) {
	lab.t.Helper()
	start := time.Now()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		number, description := lab.currentView(names)
		elapsed := time.Since(start)
		if number > 0 {
			return number, elapsed
		}
		if elapsed > within {
			lab.t.Errorf("%v: no agreement of %v:\n%s", within, names, description)
			for _, n := range names {
				lab.t.Logf("%s: %.4000s", n, lab.Log(n))
			}
			return 0, elapsed
		}
		<-ticker.C
	}
}

func (lab *memberLab) currentView(names []string) (number uint64, description string) {
	var all []string
	same := map[string]bool{}
	for _, n := range names {
		r, err := lab.MembershipOf(context.Background(), n)
		if err != nil {
			return 0, fmt.Sprintf("%s: %v", n, err)
		}
		s := r.Standing
		var present []string
		for i := range s.Members {
			present = append(present, s.Members[i].Name)
		}
		slices.Sort(present)
		view := fmt.Sprintf("view %d of %x: %v", s.Number, s.Root, present)
		all = append(all, n+": "+view)
		same[view] = true
		if !slices.Equal(present, slices.Sorted(slices.Values(names))) {
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

func (lab *memberLab) namesExcept(excluded ...string) []string {
	return slices.DeleteFunc(slices.Clone(lab.names), func(n string) bool { return slices.Contains(excluded, n) })
}

func (lab *memberLab) noError(err error) {
	lab.t.Helper()
	if err != nil {
		lab.t.Error(err)
	}
}

// expectSameView checks after a while that all nodes still share the given view.
func (lab *memberLab) expectSameView(number uint64, what string, faultTime time.Duration) {
	lab.t.Helper()
	time.Sleep(faultTime) // duration of the fault, not a wait for a condition
	if now, _ := lab.currentView(lab.names); now != number {
		lab.t.Errorf("%s: view %d before, %d after", what, number, now)
		for _, n := range lab.names {
			lab.t.Logf("%s: %.4000s", n, lab.Log(n))
		}
	}
}

func perfectLinks(int, int) relay.Conditions { return relay.Conditions{} }

// A killed node leaves every view. A restarted one returns with a higher incarnation of the same name, with
// and without its stored state.
func TestMembersKilledAndStarted(t *testing.T) {
	t.Parallel()
	lab := startMemberLab(t, 5, 1)
	lab.minServed = 0.9 // two of five are down for a fifth of the time, and a client tries only twice
	defer lab.finishTraffic()
	first, elapsed := lab.waitForView(30*time.Second, lab.names...)
	t.Logf("five nodes started together agree after %v, in view %d", elapsed, first)
	lab.noError(lab.Kill("n4"))
	second, elapsed := lab.waitForView(8*time.Second, lab.namesExcept("n4")...)
	t.Logf("killed node removed from all views after %v", elapsed)
	if second != first+1 {
		t.Errorf("view %d, then %d", first, second)
	}
	incarnation := uint64(1)
	for _, kept := range []bool{true, false} {
		if !kept {
			lab.noError(lab.Kill("n4"))
			lab.noError(lab.RemoveState("n4"))
		}
		lab.noError(lab.Start("n4"))
		if _, elapsed = lab.waitForView(15*time.Second, lab.names...); elapsed > 10*time.Second {
			t.Errorf("back after %v", elapsed)
		}
		r, err := lab.MembershipOf(context.Background(), "n4")
		lab.noError(err)
		t.Logf("back after %v, incarnation %d", elapsed, r.Standing.Self.Incarnation)
		if r.Standing.Self.Incarnation <= incarnation {
			t.Errorf("state kept %v: incarnation %d after %d", kept, r.Standing.Self.Incarnation, incarnation)
		}
		incarnation = r.Standing.Self.Incarnation
	}
	// Two of five nodes are killed together, and return.
	lab.noError(lab.Kill("n3"))
	lab.noError(lab.Kill("n4"))
	_, elapsed = lab.waitForView(12*time.Second, lab.namesExcept("n3", "n4")...)
	t.Logf("two of five nodes killed together are removed after %v", elapsed)
	lab.noError(lab.Start("n3"))
	lab.noError(lab.Start("n4"))
	lab.waitForView(20*time.Second, lab.names...)
}

// A pause, loss, corruption, duplication, reordering or a single cut link must not change the view.
func TestMembersTolerateLinkFaults(t *testing.T) {
	t.Parallel()
	lab := startMemberLab(t, 6, 2)
	defer lab.finishTraffic()
	number, _ := lab.waitForView(30*time.Second, lab.names...)
	lab.noError(lab.Pause("n5"))
	time.Sleep(3 * time.Second) // the pause that must be tolerated
	lab.noError(lab.Resume("n5"))
	lab.expectSameView(number, "a pause of 3 s", 2*time.Second)
	r, err := lab.MembershipOf(context.Background(), "n5")
	lab.noError(err)
	if r.Standing.Stalls == 0 || r.Standing.Stats.Accusations > 0 {
		t.Errorf("the paused node: %+v", r.Standing)
	}
	lab.SetLinkConditions(func(from, to int) relay.Conditions { return relay.Conditions{Cut: from == 1 && to == 2} })
	lab.expectSameView(number, "a cut link from one node to another", 8*time.Second)
	lab.SetLinkConditions(func(from, to int) relay.Conditions {
		return relay.Conditions{Loss: 0.3, Corrupt: 0.1, Duplicate: 0.1, Delay: 30 * time.Millisecond}
	})
	lab.expectSameView(number, "30% lost, 10% corrupted, 10% duplicated, reordered", 10*time.Second)
	r, err = lab.MembershipOf(context.Background(), "n0")
	lab.noError(err)
	if r.Passed == 0 {
		t.Error("no corrupted datagram was discarded")
	}
	lab.SetLinkConditions(perfectLinks)
	lab.expectSameView(number, "links repaired", time.Second)
}

// A node that cannot receive is removed once, and returns. A minority partition changes no view, and rejoins.
func TestMembersPartitioned(t *testing.T) {
	t.Parallel()
	lab := startMemberLab(t, 7, 3)
	defer lab.finishTraffic()
	first, _ := lab.waitForView(30*time.Second, lab.names...)
	lab.SetLinkConditions(func(_, to int) relay.Conditions { return relay.Conditions{Cut: to == 4} })
	second, elapsed := lab.waitForView(9*time.Second, lab.namesExcept("n4")...)
	t.Logf("node that receives nothing removed after %v", elapsed)
	if second != first+1 {
		t.Errorf("view %d, then %d", first, second)
	}
	time.Sleep(6 * time.Second) // it must not be added and removed again
	if now, _ := lab.currentView(lab.namesExcept("n4")); now != second {
		t.Errorf("view %d, then %d, with the same fault", second, now)
	}
	lab.SetLinkConditions(perfectLinks)
	third, elapsed := lab.waitForView(20*time.Second, lab.names...)
	t.Logf("back after %v", elapsed)
	// A partition into four and three nodes.
	lab.SetLinkConditions(func(from, to int) relay.Conditions { return relay.Conditions{Cut: (from < 4) != (to < 4)} })
	_, elapsed = lab.waitForView(12*time.Second, "n0", "n1", "n2", "n3")
	t.Logf("the majority has its own view after %v", elapsed)
	for _, n := range []string{"n4", "n5", "n6"} {
		if r, err := lab.MembershipOf(context.Background(), n); err != nil || r.Standing.Number != third {
			t.Errorf("%s, in the minority, is in view %d, not %d: %v", n, r.Standing.Number, third, err)
		}
	}
	lab.SetLinkConditions(perfectLinks)
	_, elapsed = lab.waitForView(30*time.Second, lab.names...)
	t.Logf("all nodes share a view again after %v", elapsed)
}

// A terminating node announces that it leaves.
func TestMembersLeave(t *testing.T) {
	t.Parallel()
	lab := startMemberLab(t, 5, 4)
	defer lab.finishTraffic()
	lab.waitForView(30*time.Second, lab.names...)
	p, err := lab.findNode("n2")
	lab.noError(err)
	go p.stop(10 * time.Second)
	_, elapsed := lab.waitForView(3*time.Second, lab.namesExcept("n2")...)
	t.Logf("removed from all views after %v", elapsed)
	if strings.Contains(lab.Log("n1"), "n2 out, accused") {
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
