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

// A call that is out may still wait in discovery's queue: an early question must wait until it has left that, and then be
// asked all the same.
func TestRestartWaitsForQueueTime(t *testing.T) {
	s := newHeldServer(t)
	d := New(s.address, onlyNode(), DiscardLogger(), func(Update) {})
	d.queueTime = 300 * time.Millisecond
	stop := startWatch(t, d, 3)
	defer stop()
	begun := time.Now()
	d.SetWatch(true)
	s.call(t)
	d.RestartWatch(false)
	s.call(t)
	if took := time.Since(begun); took < d.queueTime {
		t.Errorf("the second call came %v after the first", took)
	}
}

// The end of the call that was in the queue answers the early question: no further call may go out for it.
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
	s.call(t) // the watch goes on
	select {
	case c := <-s.calls:
		t.Errorf("a further call %q", c.query)
	case <-time.After(3 * d.queueTime):
	}
}

// All nodes move with discovery at once: each must wait for a part of the time that the fleet needs. If the old address still
// answers the watch must go on at once, as what changes after an answer counts as told.
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
		moved := time.Now()
		d.SetAddress(next.address)
		if answers {
			first.write(t, ServerList(4, false, "127.0.0.1:1 DRAINING"))
			first.write(t, "")
			if l := <-lists; l == nil || l.Generation != 4 {
				t.Errorf("reported %v, want what the old address wrote", l)
			}
		}
		next.call(t)
		if took := time.Since(moved); took < spread != answers {
			t.Errorf("old address answers: %v; the first call at the new one came after %v", answers, took)
		}
		stop()
	}
}

// An open long poll that is reset, as those of all nodes may be at once, must be followed by the next at the node's turn and not
// at the module's bidding, and that one waits as long as any: the network has just delivered the reset.
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
	time.Sleep(minOpenTime) // an open poll is one that has waited for a while: what it waits for is time itself
	if err := first.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	first.Close()
	if u := <-updates; u.List != nil || u.Failure.Reason != endpoints.PollReset {
		t.Errorf("reported %+v", u)
	}
	reset := time.Now()
	watched.SetWatch(true)
	second, wait := accept()
	defer second.Close()
	if took := time.Since(reset); took < pause*9/10 {
		t.Errorf("asked again after %v, its turn is after %v", took, pause)
	}
	if ms, err := strconv.Atoi(wait); err != nil || ms < 2000 {
		t.Errorf("the next poll waits %q ms", wait)
	}
}

// A call that discovery had no capacity for must be followed by the pace's pause, though the module asks sooner, and the node
// must say why it failed. An answer must be followed by the next long poll at once.
func TestWatchPausesAfterOverload(t *testing.T) {
	d := NewDiscoveryServer(t)
	updates := make(chan Update, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), func(u Update) { updates <- u })
	stop := startWatch(t, watched, 3)
	defer stop()
	watched.SetWatch(true)
	d.SendList(t, "") // 503
	if u := <-updates; u.List != nil || u.Failure.Reason != endpoints.Overloaded || u.Failure.PollWait <= 0 {
		t.Errorf("reported %+v", u)
	}
	failed := time.Now()
	watched.SetWatch(true)
	WaitFor(t, "the node asks again", func() bool { return d.Calls() == 2 })
	if took := time.Since(failed); took < 300*time.Millisecond {
		t.Errorf("asked again after %v", took)
	}
	d.SendList(t, ServerList(4, false, "127.0.0.1:1 DRAINING"))
	<-updates
	answered := time.Now()
	WaitFor(t, "the watch goes on", func() bool { return d.Calls() == 3 })
	if took := time.Since(answered); took > 200*time.Millisecond {
		t.Errorf("the watch goes on after %v", took)
	}
}

// A long poll that is out for longer than discovery's queue lasts has been accepted: discovery has nothing newer, and the node
// must hear so, as it may hear nothing else for a minute. A call for the whole list, a short poll that is late and one that has
// ended say nothing of the kind.
func TestOpenPollsAreReportedAccepted(t *testing.T) {
	const accepted = 150 * time.Millisecond
	for name, c := range map[string]struct {
		wait   time.Duration
		whole  bool
		answer string
		want   int
	}{
		"open":          {time.Minute, false, "", 1},
		"short":         {accepted / 2, false, "", 0},
		"whole":         {time.Minute, true, "", 0},
		"answered soon": {time.Minute, false, ServerList(4, false), 1}, // the next one is
	} {
		t.Run(name, func(t *testing.T) {
			s := newHeldServer(t)
			reports := make(chan Update, 10)
			d := New(s.address, onlyNode(), DiscardLogger(), func(u Update) { reports <- u })
			d.acceptedAfter = accepted
			d.pollTimes = func(time.Duration, bool) (wait, patience time.Duration) { return c.wait, 2 * WaitTimeout }
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
			begun := time.Now()
			call := s.call(t)
			if c.answer != "" {
				call.write(t, c.answer)
				call.write(t, "")
				s.call(t)
				if u := <-reports; u.List == nil {
					t.Fatalf("reported %+v", u)
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
				t.Errorf("accepted %d times %v after the call, want %d", got, time.Since(begun), c.want)
			}
			cancel()
			<-done
		})
	}
}

// What discovery has begun to write counts as told, whether or not the rest comes. An answer that breaks off, stops coming or
// can't be read further must be told as partial, with what it said of servers that drain or are gone; a poll's own time must not
// cut one that goes on coming; and one that takes long must be told of before it is whole.
func TestPartialAnswers(t *testing.T) {
	const half = `{"generation":4,"reset":false,"instances":[` +
		`{"instanceId":"a","hostPort":"127.0.0.1:1","zone":"a","cell":1,"lifecycle":"DELETED","weight":1,"startedAtMs":0},` +
		`{"instanceId":"b","hostPort":"127.0.0.1:2","zone":"a","cell":1,"lifecycle":"SERVING","weight":1,"startedAtMs":0},`
	const rest = `{"instanceId":"c","hostPort":"127.0.0.1:3","zone":"a","cell":1,"lifecycle":"DRAINING","weight":1,"startedAtMs":0}]}`
	for name, end := range map[string]func(t *testing.T, call heldCall){
		"broken off": func(t *testing.T, call heldCall) { call.write(t, "") },
		"stopped":    func(t *testing.T, call heldCall) { <-call.done },
		"unreadable": func(t *testing.T, call heldCall) { call.write(t, "!") },
		"late": func(t *testing.T, call heldCall) {
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
			d.pollTimes = func(time.Duration, bool) (wait, patience time.Duration) {
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
					continue // it takes its time
				}
				if name == "late" {
					if u.List == nil || u.List.Generation != 4 || len(u.List.Entries) != 3 {
						t.Errorf("reported %+v, want the list", u)
					}
				} else if u.Failure.Reason != endpoints.PartialAnswer || len(u.Unavailable) != 1 || u.Unavailable[0].ID != "a" {
					t.Errorf("reported %+v, want a partial answer that says a is gone", u)
				}
				return
			}
		})
	}
}

// In an overload a node with a short list must ask for the whole of it, as its pace has it, and leave the pace's pause after the
// answer: that is reported, as the node hears nothing meanwhile.
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
		t.Errorf("the call asks for %q", call.query)
	}
	call.write(t, ServerList(4, true, "127.0.0.1:1 SERVING"))
	call.write(t, "")
	if u := <-updates; u.List == nil || !u.WatchPaused {
		t.Errorf("reported %+v", u)
	}
	d.SetWatch(true) // the module's bidding does not end the pause
	select {
	case c := <-s.calls:
		t.Errorf("a further call %q at once", c.query)
	case <-time.After(time.Second):
	}
}

// Discovery's old address may answer all nodes together once it has moved. In an overload the next call must wait for its turn all the
// same: calls at once would time out in the new address's queue, and the nodes hear of nothing for seconds.
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
	moved := time.Now()
	d.SetAddress(next.address)
	first.write(t, ServerList(4, true, "127.0.0.1:1 SERVING"))
	first.write(t, "")
	if u := <-updates; u.List == nil || !u.WatchPaused {
		t.Errorf("reported %+v", u)
	}
	next.call(t)
	if took := time.Since(moved); took < spread {
		t.Errorf("the first call at the new address came after %v", took)
	}
}

// While a node that asks once in a period pauses, a call of before may be all that it has out. What discovery writes on it counts as
// told, so it must not be called off after the answer to a newer one: the next call may be 9 s away.
func TestPeriodicPausesKeepPreviousCall(t *testing.T) {
	old, next := newHeldServer(t), newHeldServer(t)
	updates := make(chan Update, 10)
	d := New(old.address, endpoints.FleetPosition{NodeIndex: 1, NodeCount: 3}, DiscardLogger(), func(u Update) { updates <- u })
	d.moveDelay = func() time.Duration { return 0 }
	d.pacer.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: time.Second, AnsweredBefore: true, Servers: 3})
	stop := startWatch(t, d, 3)
	defer stop()
	d.SetWatch(true)
	before := old.call(t)
	d.SetAddress(next.address)
	newer := next.call(t)
	newer.write(t, ServerList(4, true, "127.0.0.1:1 SERVING"))
	newer.write(t, "")
	if u := <-updates; u.List == nil || u.List.Generation != 4 {
		t.Fatalf("reported %+v", u)
	}
	time.Sleep(2 * callOverlap) // what the fault waits for is time itself
	before.write(t, ServerList(5, true, "127.0.0.1:1 DRAINING"))
	before.write(t, "")
	select {
	case u := <-updates:
		if u.List == nil || u.List.Generation != 5 {
			t.Errorf("reported %+v", u)
		}
	case <-time.After(WaitTimeout):
		t.Error("what was written on the call before is lost")
	}
}
