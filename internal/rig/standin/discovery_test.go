package standin

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/internal/rig/registry"
)

// Discovery must answer with whole lists, changes, nothing new, each after its
// delay, and report to the judge what it delivered to whom.
func TestDiscovery(t *testing.T) {
	f := start(t, small())
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	type list struct {
		Generation int     `json:"generation"`
		Reset      bool    `json:"reset"`
		Instances  []entry `json:"instances"`
	}
	ask := func(query string) list {
		var l list
		if err := json.Unmarshal([]byte(get(t, "http://"+address+"/v1/endpoints"+query)), &l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	l := ask("")
	if !l.Reset || len(l.Instances) != 4 || l.Generation != 4 {
		t.Fatalf("got %+v", l)
	}
	if l = ask("?since=4&timeout_ms=10"); l.Reset || len(l.Instances) != 0 || l.Generation != 4 {
		t.Errorf("with nothing new: %+v", l)
	}
	got := make(chan list, 1)
	go func() { got <- ask("?since=4&timeout_ms=10000") }()
	f.Discovery.SetPublishDelay(200 * ms)
	before := f.Clock.Now()
	f.publishState(f.Servers[2], "DRAINING", false)
	l = <-got
	if f.Clock.Now()-before < 200*ms {
		t.Error("published before its delay was over")
	}
	if l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "DRAINING" || l.Generation != 5 {
		t.Errorf("a change: %+v", l)
	}
	f.publishState(f.Servers[2], "DELETED", true)
	if l = ask(""); len(l.Instances) != 3 {
		t.Errorf("a whole list with one gone: %+v", l)
	}
	f.Discovery.SetDown(true)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Get("http://" + address + "/v1/endpoints"); err == nil {
		t.Errorf("out of order it answers %s", resp.Status)
		resp.Body.Close()
	}
	f.Discovery.SetDown(false)
	for _, query := range []string{"?since=x", "?since=1&timeout_ms=70000", "?since=-1&timeout_ms=1"} {
		resp, err := client.Get("http://" + address + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: %s", query, resp.Status)
		}
	}
}

// Lists of all nodes together come at the rate that discovery can send.
func TestDiscoveryRate(t *testing.T) {
	plan := small()
	plan.Registry.LinesPerSecond = 50
	f := start(t, plan)
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	for range 4 { // 5 lines each
		get(t, "http://"+address+"/v1/endpoints")
	}
	if took := time.Since(begun); took < 400*ms {
		t.Errorf("20 lines took %v at 50 a second", took)
	}
}

// When a change counts as delivered to a node: 6 s after discovery had it and could be reached; after a long poll fell silent
// 6 s later, or 2 s after the end of its wait.
func TestWhenChangesCountAsDelivered(t *testing.T) {
	for _, c := range []struct {
		name    string
		faulty  []interval
		silent  []time.Duration
		visible time.Duration
		want    time.Duration
	}{
		{"at once", nil, nil, 10 * time.Second, 16 * time.Second},
		{"made while it is down", []interval{{9 * time.Second, 12 * time.Second}}, nil, 10 * time.Second, 18 * time.Second},
		{"down within the 6 s", []interval{{14 * time.Second, 15 * time.Second}}, nil, 10 * time.Second, 21 * time.Second},
		{"down before", []interval{{time.Second, 9 * time.Second}}, nil, 10 * time.Second, 16 * time.Second},
		{"down after it counts", []interval{{17 * time.Second, 30 * time.Second}}, nil, 10 * time.Second, 16 * time.Second},
		{"missed by a silent long poll", nil, []time.Duration{19 * time.Second}, 10 * time.Second, 19 * time.Second},
		{"made after that", nil, []time.Duration{9 * time.Second}, 10 * time.Second, 16 * time.Second},
		{"by an agent: at once", nil, []time.Duration{-1}, 10 * time.Second, 10 * time.Second},
		{"by an agent that was silent", []interval{{9 * time.Second, 12 * time.Second}}, []time.Duration{-1}, 10 * time.Second, 12 * time.Second},
	} {
		e := &discoveryEndpoint{discovery: &Discovery{faultIntervals: c.faulty}, silentUntil: c.silent}
		e.discovery.pushed = slices.Contains(c.silent, -1)
		if got := e.deliveredFrom(c.visible); got != c.want {
			t.Errorf("%s: counts as delivered at %v, want %v", c.name, got, c.want)
		}
	}
}

// answered is how a call of discovery ended.
type answered struct {
	status int // 0: the connection broke
	body   string
	took   time.Duration
}

// callAsync makes a call; its end comes on the channel.
func callAsync(t *testing.T, url string) <-chan answered {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)
	ended := make(chan answered, 1)
	begun := time.Now()
	go func() { // ends with the call, at the latest with the server
		client := http.Client{Transport: transport}
		resp, err := client.Get(url)
		if err != nil {
			ended <- answered{took: time.Since(begun)}
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		ended <- answered{resp.StatusCode, string(body), time.Since(begun)}
	}()
	return ended
}

// limited is discovery of so many lines a second where a call costs 10, with its endpoint for node n.
func limited(t *testing.T, linesPerSecond float64, outageAnswers bool) (f *Fleet, url string) {
	t.Helper()
	plan := small()
	plan.Registry = registry.Settings{LinesPerSecond: linesPerSecond, LinesPerCall: 10, QueueTimeout: 400 * ms, BacklogFactor: 2}
	plan.AnswerInOutage = outageAnswers
	f = start(t, plan)
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return f, "http://" + address + "/v1/endpoints"
}

// Calls wait in one queue. One that has waited for too long is answered 503, and has cost its work; one that comes to a
// queue that is too long is answered 503 at once.
func TestCallsTimeOutInTheQueue(t *testing.T) {
	f, url := limited(t, 40.0/3, false) // an empty call takes 0.75 s
	calls := func() CallCounts { return f.Discovery.CallsByNode()["n"] }
	var ended []<-chan answered
	for i := range 3 {
		ended = append(ended, callAsync(t, url+"?since=4&timeout_ms=0"))
		waitFor(t, "the call is queued", func() bool { return calls().Received == i+1 })
	}
	rejected := <-ended[2] // behind 1.5 s of work: more than two time-outs
	if rejected.status != http.StatusServiceUnavailable || rejected.took >= 400*ms {
		t.Errorf("at a full queue: %+v", rejected)
	}
	for _, late := range ended[:2] {
		if e := <-late; e.status != http.StatusServiceUnavailable || e.took < 400*ms {
			t.Errorf("in the queue: %+v", e)
		}
	}
	waitFor(t, "both are counted", func() bool { return calls().TimedOut == 2 })
	if c := calls(); c != (CallCounts{Received: 3, TimedOut: 2, Rejected: 1}) {
		t.Errorf("counted %+v", c)
	}
	if calls, lines := f.Discovery.Calls(); calls != 0 || lines != 0 {
		t.Errorf("%d calls and %d lines are answered", calls, lines)
	}
}

// The work of callers outside the fleet takes its place in the queue.
func TestBacklogOfOtherCallers(t *testing.T) {
	f, url := limited(t, 100, false)
	fault, err := ParseFault("backlog:at=0s,for=0s,by=0.7")
	if err != nil {
		t.Fatal(err)
	}
	if errs := f.RunFaults(t.Context(), []Fault{fault}, nil); len(errs) > 0 {
		t.Fatal(errs)
	}
	if e := <-callAsync(t, url+"?since=4&timeout_ms=0"); e.status != http.StatusServiceUnavailable || e.took < 400*ms {
		t.Errorf("behind 0.7 s of work: %+v", e)
	}
}

// A long poll that finds nothing new opens when its turn has come, and what it then has to tell goes through the queue.
func TestLongPollsGoThroughTheQueue(t *testing.T) {
	f, url := limited(t, 100, false) // an empty call takes 0.1 s
	calls := func() CallCounts { return f.Discovery.CallsByNode()["n"] }
	queued := time.Now()
	poll := callAsync(t, url+"?since=4&timeout_ms=20000")
	waitFor(t, "the poll is open", func() bool { return calls().OpenPolls == 1 })
	if took := time.Since(queued); took < 100*ms {
		t.Errorf("open after %v, before its turn", took)
	}
	busy := time.Now()
	other := callAsync(t, url+"?since=4&timeout_ms=0")
	waitFor(t, "the other call is queued", func() bool { return calls().Received == 2 })
	f.publishState(f.Servers[2], "DRAINING", true)
	if e := <-poll; e.status != http.StatusOK || !strings.Contains(e.body, "DRAINING") || time.Since(busy) < 110*ms {
		t.Errorf("the open poll: %+v, %v after 0.11 s of work began", e, time.Since(busy))
	}
	if e := <-other; e.status != http.StatusOK || e.took < 100*ms {
		t.Errorf("the other call: %+v", e)
	}
	waitFor(t, "both are counted", func() bool { return calls().Answered == 2 })
	if c := calls(); c != (CallCounts{Received: 2, Answered: 2, WrittenVersion: 5}) {
		t.Errorf("counted %+v", c)
	}
}

// When discovery goes down, calls under way are cut off; those that come meanwhile are answered 503 after the time-out where
// the plan says so.
func TestCallsAmidAnOutage(t *testing.T) {
	f, url := limited(t, 100, true)
	calls := func() CallCounts { return f.Discovery.CallsByNode()["n"] }
	poll := callAsync(t, url+"?since=4&timeout_ms=20000")
	waitFor(t, "the poll is open", func() bool { return calls().OpenPolls == 1 })
	f.Discovery.SetDown(true)
	if e := <-poll; e.status != 0 {
		t.Errorf("the open poll: %+v", e)
	}
	during := callAsync(t, url)
	waitFor(t, "the call has come", func() bool { return calls().Received == 2 })
	f.Discovery.SetDown(false) // too late for it
	if e := <-during; e.status != http.StatusServiceUnavailable || e.took < 400*ms {
		t.Errorf("a call amid the outage: %+v", e)
	}
	waitFor(t, "both are counted", func() bool { return calls().Failed == 2 })
	if body := get(t, url); !strings.Contains(body, `"generation":4`) {
		t.Errorf("after it: %s", body)
	}
}

// A node may have two addresses of discovery, as while that moves: it is one node to the judge and in the counts.
func TestTwoAddressesOfANode(t *testing.T) {
	f, first := limited(t, 0, false)
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	for _, url := range []string{first, "http://" + address + "/v1/endpoints"} {
		if body := get(t, url); !strings.Contains(body, `"generation":4`) {
			t.Errorf("%s: %s", url, body)
		}
	}
	waitFor(t, "both are counted", func() bool { return f.Discovery.CallsByNode()["n"].Answered == 2 })
	if len(f.Discovery.endpoints) != 1 {
		t.Errorf("%d endpoints, want one with two addresses", len(f.Discovery.endpoints))
	}
}

// A plan whose registry makes no sense is not taken, and the error says what is wrong.
func TestBadRegistrySettings(t *testing.T) {
	for _, c := range []struct {
		change func(p *Plan)
		want   string
	}{
		{func(p *Plan) { p.Registry.LinesPerSecond = -1 }, "registry.lines_per_second is -1, allowed: 0 to 1e+06"},
		{func(p *Plan) { p.Registry.LinesPerCall = math.NaN() }, "registry.call_lines is NaN, allowed: 0 to 1e+06"},
		{func(p *Plan) { p.Registry.BacklogFactor = math.Inf(1) }, "registry.overbook is +Inf, allowed: 0 to 1000"},
		{func(p *Plan) { p.Registry.ExternalLinesPerSecond = 2e6 }, "registry.other_lines_per_second is 2e+06, allowed: 0 to 1e+06"},
		{func(p *Plan) { p.Registry.QueueTimeout = -time.Second }, "registry.queue_timeout is -1s, allowed: 0s to 1m0s"},
		{func(p *Plan) { p.AnswerInOutage = true }, "registry.queue_timeout is 0s, allowed: 1ns to 1m0s: a call"},
	} {
		plan := small()
		c.change(&plan)
		f, err := Start(plan)
		if err == nil {
			f.Close()
		}
		var setting *SettingError
		if !errors.As(err, &setting) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	f := start(t, small())
	if err := f.Discovery.SetCapacity(registry.Settings{LinesPerCall: -3}); err == nil || !strings.Contains(err.Error(), "registry.call_lines is -3") {
		t.Errorf("%v", err)
	}
}
