package discovery

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// The pending call may still be queued at discovery: a restart must wait until it has left the
// queue, and must then happen all the same.
func TestRestartWaitsForQueueTime(t *testing.T) {
	s := newHeldServer(t)
	d := New(s.address, onlyNode(), DiscardLogger(), func(Update) {})
	d.queueTime = 300 * time.Millisecond
	stop := startWatch(t, d, 3)
	defer stop()
	started := time.Now()
	d.SetWatch(true)
	s.call(t)
	d.RestartWatch(false)
	s.call(t)
	if took := time.Since(started); took < d.queueTime {
		t.Errorf("the second call arrived %v after the first", took)
	}
}

// An answer to the pending call makes a waiting restart unnecessary: it must cause no further call.
func TestAnswerCancelsPendingRestart(t *testing.T) {
	s := newHeldServer(t)
	lists := make(chan *endpoints.List, 10)
	d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(lists))
	d.queueTime = 200 * time.Millisecond
	stop := startWatch(t, d, 3)
	defer stop()
	d.SetWatch(true)
	first := s.call(t)
	d.RestartWatch(false)
	first.write(t, ServerList(4, false, "127.0.0.1:1 DRAINING"))
	first.write(t, "")
	<-lists
	s.call(t) // the watch continues
	select {
	case c := <-s.calls:
		t.Errorf("unexpected call %q", c.query)
	case <-time.After(3 * d.queueTime):
	}
}

// All nodes move with discovery at the same time: each must delay its call by a part of the time
// that the fleet needs. If the old address still answers, the watch must continue at once, as
// changes after an answer count as delivered.
func TestAddressChangesAreSpread(t *testing.T) {
	const spread = 400 * time.Millisecond
	for _, answers := range []bool{false, true} {
		old, next := newHeldServer(t), newHeldServer(t)
		lists := make(chan *endpoints.List, 10)
		d := New(old.address, onlyNode(), DiscardLogger(), forwardLists(lists))
		d.moveDelay = func() time.Duration { return spread }
		stop := startWatch(t, d, 3)
		d.SetWatch(true)
		first := old.call(t)
		movedAt := time.Now()
		d.SetAddress(next.address)
		if answers {
			first.write(t, ServerList(4, false, "127.0.0.1:1 DRAINING"))
			first.write(t, "")
			if l := <-lists; l == nil || l.Generation != 4 {
				t.Errorf("reported %v, want the list of the old address", l)
			}
		}
		next.call(t)
		if took := time.Since(movedAt); took < spread != answers {
			t.Errorf("old address answers: %v; the first call to the new one arrived after %v", answers, took)
		}
		stop()
	}
}

// After the reset of an open long poll, which may hit all nodes at once, the next poll must start
// at the node's turn and not when the balancer requests it. It must be as long as any other:
// the network has just delivered the reset.
func TestPollResetWaitsForTurn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	updates := make(chan Update, 10)
	at := endpoints.FleetPosition{NodeIndex: 1, NodeCount: 3}
	pause := endpoints.NewCallPacer(at).RecordReset()
	watched := New(listener.Addr().String(), at, DiscardLogger(), func(u Update) { updates <- u })
	stop := startWatch(t, watched, 3)
	defer stop()
	watched.SetWatch(true)
	accept := func() (net.Conn, string) {
		c, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Fatal(err)
		}
		return c, request.URL.Query().Get("timeout_ms")
	}
	first, _ := accept()
	time.Sleep(minOpenTime) // only a poll that has been pending for a while counts as open, so the test has to wait
	if err := first.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	first.Close()
	if u := <-updates; u.List != nil || u.Failure.Reason != endpoints.PollReset {
		t.Errorf("unexpected report %+v", u)
	}
	reset := time.Now()
	watched.SetWatch(true)
	second, wait := accept()
	defer second.Close()
	if took := time.Since(reset); took < pause*9/10 {
		t.Errorf("next call after %v, its turn is after %v", took, pause)
	}
	if ms, err := strconv.Atoi(wait); err != nil || ms < 2000 {
		t.Errorf("the next poll waits %q ms", wait)
	}
}

// After a call that discovery refused as overloaded, the pacer's pause must be kept, though the
// balancer requests the watch sooner, and the reason must be reported. After an answer the
// next long poll must start at once.
func TestWatchPausesAfterOverload(t *testing.T) {
	d := NewDiscoveryServer(t)
	updates := make(chan Update, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), func(u Update) { updates <- u })
	stop := startWatch(t, watched, 3)
	defer stop()
	watched.SetWatch(true)
	d.SendList(t, "") // 503
	if u := <-updates; u.List != nil || u.Failure.Reason != endpoints.Overloaded || u.Failure.PollWait <= 0 {
		t.Errorf("unexpected report %+v", u)
	}
	failed := time.Now()
	watched.SetWatch(true)
	WaitFor(t, "the node calls again", func() bool { return d.Calls() == 2 })
	if took := time.Since(failed); took < 300*time.Millisecond {
		t.Errorf("next call after %v", took)
	}
	d.SendList(t, ServerList(4, false, "127.0.0.1:1 DRAINING"))
	<-updates
	answered := time.Now()
	WaitFor(t, "the watch continues", func() bool { return d.Calls() == 3 })
	if took := time.Since(answered); took > 200*time.Millisecond {
		t.Errorf("the watch continues after %v", took)
	}
}

// A long poll that is pending for longer than calls are queued at discovery was accepted: discovery
// has no newer list, and the node must be notified, as it may receive nothing else for a minute.
// That doesn't hold for a call for the whole list, for a short poll that is late, or for a call
// that has ended.
func TestOpenPollsAreReportedAccepted(t *testing.T) {
	const accepted = 150 * time.Millisecond
	for name, c := range map[string]struct {
		wait   time.Duration
		whole  bool
		answer string
		want   int
	}{
		"pending":       {time.Minute, false, "", 1},
		"short poll":    {accepted / 2, false, "", 0},
		"whole list":    {time.Minute, true, "", 0},
		"answered soon": {time.Minute, false, ServerList(4, false), 1}, // the next poll is accepted
	} {
		t.Run(name, func(t *testing.T) {
			s := newHeldServer(t)
			reports := make(chan Update, 10)
			d := New(s.address, onlyNode(), DiscardLogger(), func(u Update) { reports <- u })
			d.acceptedAfter = accepted
			d.pollTimes = func(time.Duration, bool) (wait, timeout time.Duration) { return c.wait, 2 * WaitTimeout }
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				since := uint64(3)
				from := &since
				if c.whole {
					from = nil
				}
				d.RunWatch(ctx, from)
			}()
			d.SetWatch(true)
			started := time.Now()
			call := s.call(t)
			if c.answer != "" {
				call.write(t, c.answer)
				call.write(t, "")
				s.call(t)
				if u := <-reports; u.List == nil {
					t.Fatalf("unexpected report %+v", u)
				}
			}
			time.Sleep(3 * accepted)
			got := 0
			for len(reports) > 0 {
				if u := <-reports; u.PollAccepted {
					got++
				}
			}
			if got != c.want {
				t.Errorf("reported as accepted %d times %v after the call, want %d", got, time.Since(started), c.want)
			}
			cancel()
			<-done
		})
	}
}

// What discovery has started to write counts as delivered, even if the rest doesn't arrive. An
// answer that is cut off, stalls or becomes invalid must be reported as partial, with its draining
// and removed servers. A poll's own timeout must not end an answer that is still arriving, and an
// answer that takes long must be reported before it is complete.
func TestPartialAnswers(t *testing.T) {
	const half = `{"generation":4,"reset":false,"instances":[` +
		`{"instanceId":"a","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"DELETED","weight":1,"startedAtMs":0},` +
		`{"instanceId":"b","hostPort":"127.0.0.1:2","zone":"a","cell":1,"lifecycle":"SERVING","weight":1,"startedAtMs":0},`
	const rest = `{"instanceId":"c","hostPort":"127.0.0.1:3","zone":"a","cell":1,"lifecycle":"DRAINING","weight":1,"startedAtMs":0}]}`
	for name, end := range map[string]func(t *testing.T, call heldCall){
		"cut off": func(t *testing.T, call heldCall) { call.write(t, "") },
		"stalled": func(t *testing.T, call heldCall) { <-call.done },
		"invalid": func(t *testing.T, call heldCall) { call.write(t, "!") },
		"slow": func(t *testing.T, call heldCall) {
			time.Sleep(2 * partialReportDelay)
			call.write(t, rest)
			call.write(t, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newHeldServer(t)
			reports := make(chan Update, 10)
			d := New(s.address, onlyNode(), DiscardLogger(), func(u Update) { reports <- u })
			d.pollTimes = func(time.Duration, bool) (wait, timeout time.Duration) {
				return partialReportDelay, partialReportDelay
			}
			stop := startWatch(t, d, 3)
			defer stop()
			d.SetWatch(true)
			call := s.call(t)
			call.write(t, half)
			end(t, call)
			for u := range reports {
				if u.Failure.Reason == endpoints.PartialAnswer && u.MoreExpected && u.List == nil {
					continue // the report of a slow answer
				}
				if name == "slow" {
					if u.List == nil || u.List.Generation != 4 || len(u.List.Entries) != 3 {
						t.Errorf("reported %+v, want the list", u)
					}
				} else if u.Failure.Reason != endpoints.PartialAnswer || u.Failure.Generation != 4 ||
					len(u.Unavailable) != 1 || u.Unavailable[0].ID != "a" {
					t.Errorf("reported %+v, want a partial answer of generation 4 with the removed server a", u)
				}
				return
			}
		})
	}
}

// In an overload a node with a short list must ask for the whole list, as the pacer requires, and
// pause after the answer. The pause must be reported, because the node receives no changes
// meanwhile.
func TestOverloadedWatchFetchesWholeList(t *testing.T) {
	s := newHeldServer(t)
	updates := make(chan Update, 10)
	d := New(s.address, endpoints.FleetPosition{NodeIndex: 1, NodeCount: 3}, DiscardLogger(), func(u Update) { updates <- u })
	d.SetServerCount(3)
	d.pacer.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: time.Second, AnsweredBefore: true, Servers: int(d.serverCount.Load())})
	stop := startWatch(t, d, 3)
	defer stop()
	d.SetWatch(true)
	call := s.call(t)
	if call.query != "" {
		t.Errorf("query is %q", call.query)
	}
	call.write(t, ServerList(4, true, "127.0.0.1:1 SERVING"))
	call.write(t, "")
	if u := <-updates; u.List == nil || !u.WatchPaused {
		t.Errorf("unexpected report %+v", u)
	}
	d.SetWatch(true) // a request from the balancer doesn't end the pause
	select {
	case c := <-s.calls:
		t.Errorf("unexpected call %q at once", c.query)
	case <-time.After(time.Second):
	}
}

// After an address change the old address may answer all nodes at the same time. In an overload the
// next call must wait for its turn all the same: immediate calls would time out in the new
// address's queue, and the nodes would receive nothing for seconds.
func TestOldAddressAnswersKeepPeriodicPauses(t *testing.T) {
	const spread = 400 * time.Millisecond
	old, next := newHeldServer(t), newHeldServer(t)
	updates := make(chan Update, 10)
	d := New(old.address, endpoints.FleetPosition{NodeIndex: 1, NodeCount: 3}, DiscardLogger(), func(u Update) { updates <- u })
	d.moveDelay = func() time.Duration { return spread }
	d.pacer.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: time.Second, AnsweredBefore: true, Servers: 3})
	stop := startWatch(t, d, 3)
	defer stop()
	d.SetWatch(true)
	first := old.call(t)
	movedAt := time.Now()
	d.SetAddress(next.address)
	first.write(t, ServerList(4, true, "127.0.0.1:1 SERVING"))
	first.write(t, "")
	if u := <-updates; u.List == nil || !u.WatchPaused {
		t.Errorf("unexpected report %+v", u)
	}
	next.call(t)
	if took := time.Since(movedAt); took < spread {
		t.Errorf("the first call to the new address arrived after %v", took)
	}
}

// While a node that calls once per period pauses, the previous call may be its only pending one.
// What discovery writes on it counts as delivered, so it must not be canceled after the answer to a
// newer call: the next call may be 9 s away.
func TestPeriodicPausesKeepPreviousCall(t *testing.T) {
	old, next := newHeldServer(t), newHeldServer(t)
	updates := make(chan Update, 10)
	d := New(old.address, endpoints.FleetPosition{NodeIndex: 1, NodeCount: 3}, DiscardLogger(), func(u Update) { updates <- u })
	d.moveDelay = func() time.Duration { return 0 }
	d.pacer.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: time.Second, AnsweredBefore: true, Servers: 3})
	stop := startWatch(t, d, 3)
	defer stop()
	d.SetWatch(true)
	previous := old.call(t)
	d.SetAddress(next.address)
	newer := next.call(t)
	newer.write(t, ServerList(4, true, "127.0.0.1:1 SERVING"))
	newer.write(t, "")
	if u := <-updates; u.List == nil || u.List.Generation != 4 {
		t.Fatalf("unexpected report %+v", u)
	}
	time.Sleep(2 * callOverlap) // the previous call used to be canceled after callOverlap, so the test has to wait
	previous.write(t, ServerList(5, true, "127.0.0.1:1 DRAINING"))
	previous.write(t, "")
	select {
	case u := <-updates:
		if u.List == nil || u.List.Generation != 5 {
			t.Errorf("unexpected report %+v", u)
		}
	case <-time.After(WaitTimeout):
		t.Error("the answer to the previous call was dropped")
	}
}
