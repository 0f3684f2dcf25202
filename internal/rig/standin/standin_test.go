package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"curlewring/internal/rig/standin/judge"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = time.Millisecond

// conditionTimeout limits every wait for a condition.
const conditionTimeout = 20 * time.Second

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !ok(); time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// smallPlan is a fleet of four servers, in two sites with two racks each.
func smallPlan() Plan {
	p := DefaultPlan()
	p.Servers, p.RackSize, p.PublishDelay = 4, 1, 0
	for i := range p.Classes {
		p.Classes[i].Work, p.Classes[i].Spread = 2*ms, 0
	}
	p.Classes = append(p.Classes, Class{"auftrag", 0.1, 2 * ms, 0, time.Second, 2 * time.Second, 1, judge.AtMostOnce, 0, 0})
	return p
}

func startFleet(t *testing.T, p Plan) *Fleet {
	t.Helper()
	f, err := Start(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// scriptedNode replaces a real node.
type scriptedNode struct {
	fleet  *Fleet
	client *Client
	http   http.Client
}

// newScriptedNode starts a node that handles each request with the script.
func newScriptedNode(t *testing.T, f *Fleet, script func(node *scriptedNode, w http.ResponseWriter, r *http.Request)) *scriptedNode {
	t.Helper()
	node := &scriptedNode{fleet: f}
	transport := &http.Transport{DisableKeepAlives: true}
	node.http.Transport = transport
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { script(node, w, r) })}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(listener)
	}()
	node.client = NewClient("scripted", listener.Addr().String(), &f.Plan, f.Clock, f.Judge)
	t.Cleanup(func() {
		node.client.Close()
		server.Close()
		<-done
	})
	return node
}

// forward sends a request to a server and returns its answer.
func (node *scriptedNode) forward(ctx context.Context, r *http.Request, server int) (int, string, bool) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+node.fleet.Servers[server].Address+r.URL.RequestURI(), nil)
	if err != nil {
		return 0, "", false
	}
	for _, h := range []string{"X-Txn", "X-Remaining-Ms", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			out.Header.Set(h, v)
		}
	}
	resp, err := node.http.Do(out)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err == nil
}

func (node *scriptedNode) proxy(w http.ResponseWriter, r *http.Request, server int) {
	status, body, ok := node.forward(r.Context(), r, server)
	if !ok {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// fetchList fetches the list as this node, so that it counts as delivered.
func (node *scriptedNode) fetchList(t *testing.T) {
	t.Helper()
	address, err := node.fleet.Discovery.OpenEndpoint("scripted", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if body := get(t, "http://"+address+"/v1/endpoints"); !strings.Contains(body, `"reset":true`) {
		t.Fatalf("got %s", body)
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func (node *scriptedNode) send(class string, wait time.Duration) Response {
	index, _ := node.fleet.Plan.classIndex(class)
	return node.client.Do(context.Background(), Request{
		ID: fmt.Sprintf("%016x", time.Now().UnixNano()), Class: index, Path: "/" + class + "/genf/1", Key: "k1", Timeout: wait,
	})
}

// The judge must detect over real sockets a node that breaks a rule, from what clients, servers and discovery
// observe. It must report nothing for a node that follows the rules.
func TestJudgeReportsViolations(t *testing.T) {
	for _, c := range []struct {
		name    string
		rule    int // 0: none
		class   string
		script  func(node *scriptedNode, w http.ResponseWriter, r *http.Request)
		prepare func(t *testing.T, node *scriptedNode)
	}{
		{"forwards each request once", 0, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) { node.proxy(w, r, 0) }, nil},
		{"retries a keyed request within the rack", 0, "stoerung", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			node.forward(r.Context(), r, 0)
			node.proxy(w, r, 0)
		}, nil},
		{"closes a new connection", 0, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			panic(http.ErrAbortHandler)
		}, nil},
		{"disconnects after an attempt", 1, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			node.forward(r.Context(), r, 0)
			panic(http.ErrAbortHandler)
		}, nil},
		{"disconnects within an answer", 1, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
		}, nil},
		{"answers too late", 1, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(10 * time.Second):
			case <-r.Context().Done():
			}
		}, nil},
		{"invents an answer", 1, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, answerText("box-000", r.Header.Get("X-Txn")))
		}, nil},
		{"names another server in the answer", 1, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			_, body, _ := node.forward(r.Context(), r, 0)
			io.WriteString(w, strings.Replace(body, "box-000", "box-001", 1))
		}, nil},
		{"makes an attempt after its answer", 1, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			copied := r.Clone(context.Background())
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusBadGateway)
			http.NewResponseController(w).Flush()
			time.Sleep(300 * ms) // the delay itself is what the test needs
			node.forward(context.Background(), copied, 0)
		}, nil},
		{"sends an at-most-once request twice", 2, "auftrag", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			node.forward(r.Context(), r, 0)
			node.proxy(w, r, 1)
		}, nil},
		{"retries a keyed request in another rack", 2, "stoerung", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			node.forward(r.Context(), r, 0)
			node.proxy(w, r, 1)
		}, nil},
		{"makes five attempts", 2, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			for range 4 {
				node.forward(r.Context(), r, 0)
			}
			node.proxy(w, r, 1)
		}, nil},
		{"makes overlapping attempts", 2, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			done := make(chan struct{})
			copied := r.Clone(r.Context())
			go func() {
				defer close(done)
				node.forward(copied.Context(), copied, 0)
			}()
			node.proxy(w, r, 1)
			<-done
		}, func(t *testing.T, node *scriptedNode) {
			node.fleet.Plan.Classes[1].Work = 200 * ms
		}},
		{"refuses a request that may have been executed", 2, "auftrag", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
			node.forward(r.Context(), r, 0)
			w.WriteHeader(http.StatusTooManyRequests)
		}, nil},
		{"sends to a draining server", 3, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) { node.proxy(w, r, 0) },
			func(t *testing.T, node *scriptedNode) {
				node.fleet.publishState(node.fleet.Servers[0], "DRAINING", true)
				node.fetchList(t)
				time.Sleep(node.fleet.Plan.DrainGrace + 200*ms) // the delay itself is what the test needs
			}},
		{"sends to a draining server within the grace", 0, "zustand", func(node *scriptedNode, w http.ResponseWriter, r *http.Request) { node.proxy(w, r, 0) },
			func(t *testing.T, node *scriptedNode) {
				node.fleet.publishState(node.fleet.Servers[0], "DRAINING", true)
				node.fetchList(t)
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := smallPlan()
			if c.name == "sends to a draining server within the grace" {
				plan.DrainGrace = time.Minute
			}
			f := startFleet(t, plan)
			node := newScriptedNode(t, f, c.script)
			if c.prepare != nil {
				c.prepare(t, node)
			}
			node.send(c.class, 600*ms)
			var v judge.Verdict
			violated := func() bool {
				v = f.Judge.Check(f.Clock.Now())
				return slices.ContainsFunc(v.Breaches, func(breach judge.Breach) bool { return breach.Rule == c.rule })
			}
			if c.rule > 0 {
				// The judge excuses misses that the machine's own delay may explain. A case close to a limit
				// therefore repeats until the machine runs in time.
				waitFor(t, fmt.Sprintf("a breach of rule %d is reported", c.rule), func() bool {
					if violated() {
						return true
					}
					node.send(c.class, 600*ms)
					return violated()
				})
			} else if violated(); len(v.Breaches) > 0 {
				t.Errorf("reported %v\n%s", v.Breaches, strings.Join(v.Breaches[0].History, "\n"))
			}
		})
	}
}

// A node that sends all its requests to a server that has just started must make it collapse.
func TestJudgeReportsCollapseOfColdServer(t *testing.T) {
	plan := smallPlan()
	plan.Slots, plan.Queue, plan.MaxConns = 1000, 1000, 1000
	plan.Classes[1].Work = 50 * ms
	plan.WarmupTime = 30 * time.Second
	f := startFleet(t, plan)
	node := newScriptedNode(t, f, func(node *scriptedNode, w http.ResponseWriter, r *http.Request) { node.proxy(w, r, 1) })
	server := f.Servers[1]
	server.close()
	if err := server.restart(); err != nil {
		t.Fatal(err)
	}
	// Its capacity is two cores x 0.4 x speed 1, 0.8 s of work a second. It collapses at 2.5 times that, 40
	// requests of 50 ms.
	ended := make(chan Response, 120)
	for i := range 120 {
		go func() {
			ended <- node.client.Do(context.Background(), Request{ID: fmt.Sprintf("%016x", i), Class: 1, Path: "/zustand/1", Timeout: 5 * time.Second})
		}()
	}
	for range 120 {
		<-ended
	}
	if !server.State().Fallen {
		t.Error("the server did not collapse")
	}
	v := f.Judge.Check(f.Clock.Now())
	if !slices.ContainsFunc(v.Breaches, func(breach judge.Breach) bool { return breach.Rule == 4 }) {
		t.Errorf("reported %v", v.Breaches)
	}
}

// Each kind of fault must have its effect on the sockets.
func TestServerFaults(t *testing.T) {
	for _, c := range []struct {
		kind   string
		status int  // 0: no answer
		runs   bool // it may have been executed
	}{
		{"stuck", 0, false}, {"reset", 0, true}, {"refuse", 0, false}, {"silent", 0, false}, {"garble", 0, true},
		{"error", 500, false}, {"turnaway", 503, false}, {"crash", 0, false}, {"drain", 503, false},
	} {
		t.Run(c.kind, func(t *testing.T) {
			f := startFleet(t, smallPlan())
			var node *scriptedNode
			var status atomic.Int64
			node = newScriptedNode(t, f, func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithTimeout(r.Context(), 300*ms)
				defer cancel()
				got, _, _ := node.forward(ctx, r, 0)
				status.Store(int64(got))
				w.WriteHeader(http.StatusBadGateway)
			})
			fault := Fault{Kind: c.kind, Server: "0", Magnitude: 2}
			if err := f.startFault(&fault, nil); err != nil {
				t.Fatal(err)
			}
			node.send("auftrag", 2*time.Second)
			if got := int(status.Load()); got != c.status {
				t.Errorf("answered %d, want %d", got, c.status)
			}
			if err := f.endFault(&fault, nil); err != nil {
				t.Fatal(err)
			}
			node.send("zustand", 2*time.Second)
			if got := status.Load(); got != 200 {
				t.Errorf("answered %d after the fault", got)
			}
			v := f.Judge.Check(f.Clock.Now())
			if len(v.Breaches) > 0 {
				t.Errorf("reported %v", v.Breaches)
			}
		})
	}
}

// A repeated key is not executed again by a rack within the window, and is executed after it.
func TestKeyStoreDropsRepeats(t *testing.T) {
	r := &keyStore{ranAt: map[string]time.Duration{}}
	const window = 10 * time.Second
	for _, c := range []struct {
		key   string
		at    time.Duration
		isNew bool
	}{
		{"a", 0, true}, {"a", ms, false}, {"b", ms, true}, {"a", window - ms, false}, {"a", window, true}, {"a", window + ms, false},
	} {
		if got := r.addIfNew(c.key, c.at, window); got != c.isNew {
			t.Errorf("key %s at %v: new %v", c.key, c.at, got)
		}
	}
}

func TestConnectionLimit(t *testing.T) {
	plan := smallPlan()
	plan.MaxConns = 3
	f := startFleet(t, plan)
	server := f.Servers[0]
	for range 5 {
		c, err := net.Dial("tcp", server.Address)
		if errors.Is(err, syscall.ECONNRESET) {
			continue // reset before the dial returned
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() // open until the end of the test
	}
	waitFor(t, "two connections are refused", func() bool { return server.State().Refused == 2 && server.State().Conns == 3 })
}

// Arrivals must not wait for answers, retries must honour Retry-After, and the report must count each request
// once.
func TestLoadGeneratorIsOpenLoop(t *testing.T) {
	f := startFleet(t, smallPlan())
	var tries atomic.Int64
	node := newScriptedNode(t, f, func(node *scriptedNode, w http.ResponseWriter, r *http.Request) {
		tries.Add(1)
		if r.Header.Get("X-Resent") == "" {
			w.Header().Set("Retry-After", "0.150")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		node.proxy(w, r, 0)
	})
	c := NewLoadGenerator(&f.Plan, []*Client{node.client})
	start := time.Now()
	c.Run(context.Background(), Traffic{Rate: 200, Duration: 500 * ms, Retries: 1, Backoff: ms, Mix: []float64{0, 1, 0, 0}})
	took := time.Since(start)
	r := c.Report()[1]
	if r.Requests < 50 || r.Requests > 200 || r.Served+r.Late+r.Refused+r.Failed != r.Requests || r.Tries != int(tries.Load()) ||
		r.Tries != 2*r.Requests {
		t.Errorf("report %+v, %d tries arrived", r, tries.Load())
	}
	if r.P50 < 150*ms {
		t.Errorf("median of %v: Retry-After of 150 ms was not honoured", r.P50)
	}
	if took > 5*time.Second {
		t.Errorf("took %v: arrivals waited for answers", took)
	}
	if s := ServedWorth(c.Report()); s <= 0 || s > 1 {
		t.Errorf("served worth %v", s)
	}
}

func TestParseFault(t *testing.T) {
	f, err := ParseFault("slow:box=2,at=3s,for=500ms,by=4")
	if err != nil || f != (Fault{Kind: "slow", Server: "2", At: 3 * time.Second, Duration: 500 * ms, Magnitude: 4}) {
		t.Errorf("parsed %+v, error %v", f, err)
	}
	for _, text := range []string{
		"", "quick:box=1", "slow", "slow:box", "slow:box=", "slow:box=1,site=genf", "slow:box=1,by=nan", "slow:box=1,by=0",
		"kill:box=1", "kill", "outage:box=1", "lag:node=1", "slow:box=1,at=-1s", "slow:box=1,for=2h", "slow:box=1,color=red",
	} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("fault %q was accepted", text)
		}
	}
	fleet := startFleet(t, smallPlan())
	for _, fault := range []Fault{{Kind: "slow", Server: "9"}, {Kind: "slow", Site: "bern"}} {
		if err := fleet.ValidateFault(fault); err == nil {
			t.Errorf("fault %+v was accepted", fault)
		}
	}
	if err := fleet.ValidateFault(Fault{Kind: "slow", Server: "box-003"}); err != nil {
		t.Error(err)
	}
}

// The same seed must give the same traffic and the same work.
func TestSameSeedSameDraws(t *testing.T) {
	p := DefaultPlan()
	a, b, c := p.newRand("box", 1), p.newRand("box", 1), p.newRand("box", 2)
	if x, y, z := a.Uint64(), b.Uint64(), c.Uint64(); x != y || x == z {
		t.Errorf("drew %x, %x and %x", x, y, z)
	}
}

// A server that restarts must get its address back, although child processes that are being started hold
// copies of its closed listener.
func TestServerRestartsWhileChildrenStart(t *testing.T) {
	f := startFleet(t, smallPlan())
	stop := make(chan struct{})
	var children sync.WaitGroup
	for range 4 {
		children.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					exec.Command("true").Run()
				}
			}
		})
	}
	for range 200 {
		f.Servers[0].close()
		if err := f.Servers[0].restart(); err != nil {
			t.Error(err)
			break
		}
	}
	close(stop)
	children.Wait()
}
