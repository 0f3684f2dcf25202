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

// Discovery must answer with whole lists, changes after their delay, and empty answers when nothing is new.
func TestDiscoveryAnswers(t *testing.T) {
	f := startFleet(t, smallPlan())
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	type answerBody struct {
		Generation int     `json:"generation"`
		Reset      bool    `json:"reset"`
		Instances  []entry `json:"instances"`
	}
	call := func(query string) answerBody {
		var answer answerBody
		if err := json.Unmarshal([]byte(get(t, "http://"+address+"/v1/endpoints"+query)), &answer); err != nil {
			t.Fatal(err)
		}
		return answer
	}
	answer := call("")
	if !answer.Reset || len(answer.Instances) != 4 || answer.Generation != 4 {
		t.Fatalf("first answer %+v, want a whole list of 4 at generation 4", answer)
	}
	if answer = call("?since=4&timeout_ms=10"); answer.Reset || len(answer.Instances) != 0 || answer.Generation != 4 {
		t.Errorf("answer with nothing new: %+v", answer)
	}
	got := make(chan answerBody, 1)
	go func() { got <- call("?since=4&timeout_ms=10000") }()
	f.Discovery.SetPublishDelay(200 * ms)
	before := f.Clock.Now()
	f.publishState(f.Servers[2], "DRAINING", false)
	answer = <-got
	if f.Clock.Now()-before < 200*ms {
		t.Error("published before the delay was over")
	}
	if answer.Reset || len(answer.Instances) != 1 || answer.Instances[0].Lifecycle != "DRAINING" || answer.Generation != 5 {
		t.Errorf("answer with a change: %+v", answer)
	}
	f.publishState(f.Servers[2], "DELETED", true)
	if answer = call(""); len(answer.Instances) != 3 {
		t.Errorf("whole list with one server deleted: %+v", answer)
	}
	f.Discovery.SetDown(true)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Get("http://" + address + "/v1/endpoints"); err == nil {
		t.Errorf("answered %s while down", resp.Status)
		resp.Body.Close()
	}
	f.Discovery.SetDown(false)
	for _, query := range []string{"?since=x", "?since=1&timeout_ms=70000", "?since=-1&timeout_ms=1"} {
		resp, err := client.Get("http://" + address + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("query %s answered %s, want 400", query, resp.Status)
		}
	}
}

// The lists of all nodes together must not exceed the rate of discovery.
func TestDiscoveryRate(t *testing.T) {
	plan := smallPlan()
	plan.Registry.LinesPerSecond = 50
	f := startFleet(t, plan)
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for range 4 { // 5 lines each
		get(t, "http://"+address+"/v1/endpoints")
	}
	if took := time.Since(start); took < 400*ms {
		t.Errorf("20 lines took %v at 50 a second", took)
	}
}

// A change counts as delivered to a node 6 s after discovery published it and was reachable. For a silenced
// long poll it is 6 s after the silence began, or 2 s after the end of the poll's wait.
func TestDeliveryLimit(t *testing.T) {
	for _, c := range []struct {
		name        string
		faults      []interval
		silentUntil []time.Duration
		published   time.Duration
		want        time.Duration
	}{
		{"discovery always reachable", nil, nil, 10 * time.Second, 16 * time.Second},
		{"published while discovery is down", []interval{{9 * time.Second, 12 * time.Second}}, nil, 10 * time.Second, 18 * time.Second},
		{"discovery down within the 6 s", []interval{{14 * time.Second, 15 * time.Second}}, nil, 10 * time.Second, 21 * time.Second},
		{"discovery down before", []interval{{time.Second, 9 * time.Second}}, nil, 10 * time.Second, 16 * time.Second},
		{"discovery down after the change counts", []interval{{17 * time.Second, 30 * time.Second}}, nil, 10 * time.Second, 16 * time.Second},
		{"missed by a silenced long poll", nil, []time.Duration{19 * time.Second}, 10 * time.Second, 19 * time.Second},
		{"published after a silenced long poll", nil, []time.Duration{9 * time.Second}, 10 * time.Second, 16 * time.Second},
		{"pushed by an agent", nil, []time.Duration{-1}, 10 * time.Second, 10 * time.Second},
		{"pushed by an agent that was silent", []interval{{9 * time.Second, 12 * time.Second}}, []time.Duration{-1}, 10 * time.Second, 12 * time.Second},
	} {
		endpoint := &discoveryEndpoint{discovery: &Discovery{faultIntervals: c.faults}, silentUntil: c.silentUntil}
		endpoint.discovery.pushed = slices.Contains(c.silentUntil, -1)
		if got := endpoint.deliveredFrom(c.published); got != c.want {
			t.Errorf("%s: counts as delivered at %v, want %v", c.name, got, c.want)
		}
	}
}

// callResult is the result of a call to discovery.
type callResult struct {
	status int // 0: the connection was closed
	body   string
	took   time.Duration
}

// callAsync makes a call and sends its result on the channel.
func callAsync(t *testing.T, url string) <-chan callResult {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)
	results := make(chan callResult, 1)
	start := time.Now()
	go func() { // ends with the call, at the latest with the server
		client := http.Client{Transport: transport}
		resp, err := client.Get(url)
		if err != nil {
			results <- callResult{took: time.Since(start)}
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		results <- callResult{resp.StatusCode, string(body), time.Since(start)}
	}()
	return results
}

// startLimited starts a fleet whose discovery has this capacity and where a call costs 10 lines. It returns
// the URL for node n.
func startLimited(t *testing.T, linesPerSecond float64, answerInOutage bool) (f *Fleet, url string) {
	t.Helper()
	plan := smallPlan()
	plan.Registry = registry.Settings{LinesPerSecond: linesPerSecond, LinesPerCall: 10, QueueTimeout: 400 * ms, BacklogFactor: 2}
	plan.AnswerInOutage = answerInOutage
	f = startFleet(t, plan)
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return f, "http://" + address + "/v1/endpoints"
}

// Calls wait in one queue. One that waits too long is answered 503 and has still cost its work; one that
// finds the queue full is answered 503 at once.
func TestCallsTimeOutInQueue(t *testing.T) {
	f, url := startLimited(t, 40.0/3, false) // an empty call takes 0.75 s
	counts := func() CallCounts { return f.Discovery.CallsByNode()["n"] }
	var results []<-chan callResult
	for i := range 3 {
		results = append(results, callAsync(t, url+"?since=4&timeout_ms=0"))
		waitFor(t, "the call is queued", func() bool { return counts().Received == i+1 })
	}
	rejected := <-results[2] // behind 1.5 s of work: more than two timeouts
	if rejected.status != http.StatusServiceUnavailable || rejected.took >= 400*ms {
		t.Errorf("call to a full queue: %+v", rejected)
	}
	for _, late := range results[:2] {
		if result := <-late; result.status != http.StatusServiceUnavailable || result.took < 400*ms {
			t.Errorf("call that waited in the queue: %+v", result)
		}
	}
	waitFor(t, "both are counted", func() bool { return counts().TimedOut == 2 })
	if c := counts(); c != (CallCounts{Received: 3, TimedOut: 2, Rejected: 1}) {
		t.Errorf("counts %+v", c)
	}
	if calls, lines := f.Discovery.Calls(); calls != 0 || lines != 0 {
		t.Errorf("%d calls with %d lines were answered, want none", calls, lines)
	}
}

// The work of clients outside the fleet goes through the same queue.
func TestBacklogOfExternalClients(t *testing.T) {
	f, url := startLimited(t, 100, false)
	fault, err := ParseFault("backlog:at=0s,for=0s,by=0.7")
	if err != nil {
		t.Fatal(err)
	}
	if errs := f.RunFaults(t.Context(), []Fault{fault}, nil); len(errs) > 0 {
		t.Fatal(errs)
	}
	if result := <-callAsync(t, url+"?since=4&timeout_ms=0"); result.status != http.StatusServiceUnavailable || result.took < 400*ms {
		t.Errorf("call behind 0.7 s of work: %+v", result)
	}
}

// A long poll that finds nothing new is open once its turn has come, and its later answer goes through the
// queue as well.
func TestLongPollsUseTheQueue(t *testing.T) {
	f, url := startLimited(t, 100, false) // an empty call takes 0.1 s
	counts := func() CallCounts { return f.Discovery.CallsByNode()["n"] }
	start := time.Now()
	poll := callAsync(t, url+"?since=4&timeout_ms=20000")
	waitFor(t, "the poll is open", func() bool { return counts().OpenPolls == 1 })
	if took := time.Since(start); took < 100*ms {
		t.Errorf("poll open after %v, before its turn", took)
	}
	workStart := time.Now()
	other := callAsync(t, url+"?since=4&timeout_ms=0")
	waitFor(t, "the other call is queued", func() bool { return counts().Received == 2 })
	f.publishState(f.Servers[2], "DRAINING", true)
	if result := <-poll; result.status != http.StatusOK || !strings.Contains(result.body, "DRAINING") || time.Since(workStart) < 110*ms {
		t.Errorf("open poll: %+v, %v after 0.11 s of work began", result, time.Since(workStart))
	}
	if result := <-other; result.status != http.StatusOK || result.took < 100*ms {
		t.Errorf("other call: %+v", result)
	}
	waitFor(t, "both are counted", func() bool { return counts().Answered == 2 })
	if c := counts(); c != (CallCounts{Received: 2, Answered: 2, WrittenVersion: 5}) {
		t.Errorf("counts %+v", c)
	}
}

// When discovery goes down, calls in progress are cut off. Calls that arrive in the outage are answered 503
// after the timeout, if the plan says so.
func TestCallsDuringOutage(t *testing.T) {
	f, url := startLimited(t, 100, true)
	counts := func() CallCounts { return f.Discovery.CallsByNode()["n"] }
	poll := callAsync(t, url+"?since=4&timeout_ms=20000")
	waitFor(t, "the poll is open", func() bool { return counts().OpenPolls == 1 })
	f.Discovery.SetDown(true)
	if result := <-poll; result.status != 0 {
		t.Errorf("open poll: %+v", result)
	}
	duringOutage := callAsync(t, url)
	waitFor(t, "the call has arrived", func() bool { return counts().Received == 2 })
	f.Discovery.SetDown(false) // the call was admitted in the outage and still fails
	if result := <-duringOutage; result.status != http.StatusServiceUnavailable || result.took < 400*ms {
		t.Errorf("call during the outage: %+v", result)
	}
	waitFor(t, "both are counted", func() bool { return counts().Failed == 2 })
	if body := get(t, url); !strings.Contains(body, `"generation":4`) {
		t.Errorf("answer after the outage: %s", body)
	}
}

// A node may have two addresses of discovery, as when discovery moves. The judge and the counts treat it as
// one node.
func TestTwoAddressesOfANode(t *testing.T) {
	f, first := startLimited(t, 0, false)
	address, err := f.Discovery.OpenEndpoint("n", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	for _, url := range []string{first, "http://" + address + "/v1/endpoints"} {
		if body := get(t, url); !strings.Contains(body, `"generation":4`) {
			t.Errorf("answer of %s: %s, want generation 4", url, body)
		}
	}
	waitFor(t, "both are counted", func() bool { return f.Discovery.CallsByNode()["n"].Answered == 2 })
	if len(f.Discovery.endpoints) != 1 {
		t.Errorf("%d endpoints, want one with two addresses", len(f.Discovery.endpoints))
	}
}

// A plan with invalid registry settings is rejected, and the error names the setting.
func TestInvalidRegistrySettings(t *testing.T) {
	for _, c := range []struct {
		edit func(p *Plan)
		want string
	}{
		{func(p *Plan) { p.Registry.LinesPerSecond = -1 }, "registry.lines_per_second is -1, allowed: 0 to 1e+06"},
		{func(p *Plan) { p.Registry.LinesPerCall = math.NaN() }, "registry.call_lines is NaN, allowed: 0 to 1e+06"},
		{func(p *Plan) { p.Registry.BacklogFactor = math.Inf(1) }, "registry.overbook is +Inf, allowed: 0 to 1000"},
		{func(p *Plan) { p.Registry.ExternalLinesPerSecond = 2e6 }, "registry.other_lines_per_second is 2e+06, allowed: 0 to 1e+06"},
		{func(p *Plan) { p.Registry.QueueTimeout = -time.Second }, "registry.queue_timeout is -1s, allowed: 0s to 1m0s"},
		{func(p *Plan) { p.AnswerInOutage = true }, "registry.queue_timeout is 0s, allowed: 1ns to 1m0s: a call"},
	} {
		plan := smallPlan()
		c.edit(&plan)
		f, err := Start(plan)
		if err == nil {
			f.Close()
		}
		var setting *SettingError
		if !errors.As(err, &setting) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("error %v, want %s", err, c.want)
		}
	}
	f := startFleet(t, smallPlan())
	if err := f.Discovery.SetCapacity(registry.Settings{LinesPerCall: -3}); err == nil || !strings.Contains(err.Error(), "registry.call_lines is -3") {
		t.Errorf("error %v, want one about registry.call_lines", err)
	}
}
