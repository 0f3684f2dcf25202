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

// patience bounds every wait for a condition; it is not a measure.
const testPatience = 20 * time.Second

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testPatience); !ok(); time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// small is a fleet of four boxes in two sites and two racks each.
func small() Plan {
	p := DefaultPlan()
	p.Servers, p.RackSize, p.PublishDelay = 4, 1, 0
	for i := range p.Classes {
		p.Classes[i].Work, p.Classes[i].Spread = 2*ms, 0
	}
	p.Classes = append(p.Classes, Class{"auftrag", 0.1, 2 * ms, 0, time.Second, 2 * time.Second, 1, judge.AtMostOnce, 0, 0})
	return p
}

func start(t *testing.T, p Plan) *Fleet {
	t.Helper()
	f, err := Start(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// rogue is a scripted node in the place of a real one.
type rogue struct {
	fleet  *Fleet
	client *Client
	http   http.Client
}

// newRogue runs a node that does as the script says with each request.
func newRogue(t *testing.T, f *Fleet, script func(n *rogue, w http.ResponseWriter, r *http.Request)) *rogue {
	t.Helper()
	n := &rogue{fleet: f}
	transport := &http.Transport{DisableKeepAlives: true}
	n.http.Transport = transport
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { script(n, w, r) })}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(l)
	}()
	n.client = NewClient("rogue", l.Addr().String(), &f.Plan, f.Clock, f.Judge)
	t.Cleanup(func() {
		n.client.Close()
		server.Close()
		<-done
	})
	return n
}

// forward sends a request to a box and gives its answer back.
func (n *rogue) forward(ctx context.Context, r *http.Request, box int) (int, string, bool) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+n.fleet.Servers[box].Address+r.URL.RequestURI(), nil)
	if err != nil {
		return 0, "", false
	}
	for _, h := range []string{"X-Txn", "X-Remaining-Ms", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			out.Header.Set(h, v)
		}
	}
	resp, err := n.http.Do(out)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err == nil
}

func (n *rogue) pass(w http.ResponseWriter, r *http.Request, box int) {
	status, body, ok := n.forward(r.Context(), r, box)
	if !ok {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// list asks discovery in the rogue's name, so that the list counts as delivered.
func (n *rogue) list(t *testing.T) {
	t.Helper()
	address, err := n.fleet.Discovery.OpenEndpoint("rogue", "127.0.0.1")
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

func (n *rogue) ask(class string, wait time.Duration) Response {
	index, _ := n.fleet.Plan.classIndex(class)
	return n.client.Do(context.Background(), Request{
		ID: fmt.Sprintf("%016x", time.Now().UnixNano()), Class: index, Path: "/" + class + "/genf/1", Key: "k1", Timeout: wait,
	})
}

// A node that breaks a rule must be caught over real sockets, from what callers,
// boxes and discovery see alone; one that keeps them must not.
func TestJudgeCatchesRogueNodes(t *testing.T) {
	for _, c := range []struct {
		name   string
		rule   int // 0: none
		class  string
		script func(n *rogue, w http.ResponseWriter, r *http.Request)
		before func(t *testing.T, n *rogue)
	}{
		{"a plain forwarder", 0, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) { n.pass(w, r, 0) }, nil},
		{"tries again within the rack", 0, "stoerung", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			n.forward(r.Context(), r, 0)
			n.pass(w, r, 0)
		}, nil},
		{"turns a new connection back", 0, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			panic(http.ErrAbortHandler)
		}, nil},
		{"hangs up after a box had it", 1, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			n.forward(r.Context(), r, 0)
			panic(http.ErrAbortHandler)
		}, nil},
		{"hangs up in the middle of an answer", 1, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "half")
		}, nil},
		{"answers too late", 1, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(10 * time.Second):
			case <-r.Context().Done():
			}
		}, nil},
		{"makes an answer up", 1, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, answerText("box-000", r.Header.Get("X-Txn")))
		}, nil},
		{"gives another's answer", 1, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			_, body, _ := n.forward(r.Context(), r, 0)
			io.WriteString(w, strings.Replace(body, "box-000", "box-001", 1))
		}, nil},
		{"sends after its answer", 1, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			copied := r.Clone(context.Background())
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusBadGateway)
			http.NewResponseController(w).Flush()
			time.Sleep(300 * ms) // what it waits for is time itself
			n.forward(context.Background(), copied, 0)
		}, nil},
		{"sends an unsafe request twice", 2, "auftrag", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			n.forward(r.Context(), r, 0)
			n.pass(w, r, 1)
		}, nil},
		{"leaves the rack", 2, "stoerung", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			n.forward(r.Context(), r, 0)
			n.pass(w, r, 1)
		}, nil},
		{"sends five times", 2, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			for range 4 {
				n.forward(r.Context(), r, 0)
			}
			n.pass(w, r, 1)
		}, nil},
		{"has two out at once", 2, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			done := make(chan struct{})
			copied := r.Clone(r.Context())
			go func() {
				defer close(done)
				n.forward(copied.Context(), copied, 0)
			}()
			n.pass(w, r, 1)
			<-done
		}, func(t *testing.T, n *rogue) {
			n.fleet.Plan.Classes[1].Work = 200 * ms
		}},
		{"refuses what may have run", 2, "auftrag", func(n *rogue, w http.ResponseWriter, r *http.Request) {
			n.forward(r.Context(), r, 0)
			w.WriteHeader(http.StatusTooManyRequests)
		}, nil},
		{"sends to a drained box", 3, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) { n.pass(w, r, 0) },
			func(t *testing.T, n *rogue) {
				n.fleet.publishState(n.fleet.Servers[0], "DRAINING", true)
				n.list(t)
				time.Sleep(n.fleet.Plan.DrainGrace + 200*ms) // what it waits for is time itself
			}},
		{"sends to a drained box in the grace", 0, "zustand", func(n *rogue, w http.ResponseWriter, r *http.Request) { n.pass(w, r, 0) },
			func(t *testing.T, n *rogue) {
				n.fleet.publishState(n.fleet.Servers[0], "DRAINING", true)
				n.list(t)
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := small()
			if c.name == "sends to a drained box in the grace" {
				plan.DrainGrace = time.Minute
			}
			f := start(t, plan)
			n := newRogue(t, f, c.script)
			if c.before != nil {
				c.before(t, n)
			}
			n.ask(c.class, 600*ms)
			var v judge.Verdict
			broken := func() bool {
				v = f.Judge.Check(f.Clock.Now())
				return slices.ContainsFunc(v.Breaches, func(b judge.Breach) bool { return b.Rule == c.rule })
			}
			if c.rule > 0 {
				// The judge excuses what the machine's own delay may have caused, so a rogue that stands near its limit
				// breaks the rule again until the machine is in time.
				waitFor(t, fmt.Sprintf("rule %d is found broken", c.rule), func() bool {
					if broken() {
						return true
					}
					n.ask(c.class, 600*ms)
					return broken()
				})
			} else if broken(); len(v.Breaches) > 0 {
				t.Errorf("found %v\n%s", v.Breaches, strings.Join(v.Breaches[0].History, "\n"))
			}
		})
	}
}

// A node that sends all it has to a box that has just started must push it over.
func TestJudgeSeesAColdBoxFall(t *testing.T) {
	plan := small()
	plan.Slots, plan.Queue, plan.MaxConns = 1000, 1000, 1000
	plan.Classes[1].Work = 50 * ms
	plan.WarmupTime = 30 * time.Second
	f := start(t, plan)
	n := newRogue(t, f, func(n *rogue, w http.ResponseWriter, r *http.Request) { n.pass(w, r, 1) })
	b := f.Servers[1]
	b.close()
	if err := b.restart(); err != nil {
		t.Fatal(err)
	}
	// It can do two cores x 0.4 x its speed of 1 in a second: 0.8 s of work, and falls
	// at 2.5 times that, 40 requests of 50 ms.
	ended := make(chan Response, 120)
	for i := range 120 {
		go func() {
			ended <- n.client.Do(context.Background(), Request{ID: fmt.Sprintf("%016x", i), Class: 1, Path: "/zustand/1", Timeout: 5 * time.Second})
		}()
	}
	for range 120 {
		<-ended
	}
	if !b.State().Fallen {
		t.Error("the box stands")
	}
	v := f.Judge.Check(f.Clock.Now())
	if !slices.ContainsFunc(v.Breaches, func(b judge.Breach) bool { return b.Rule == 4 }) {
		t.Errorf("found %v", v.Breaches)
	}
}

// Each trouble must show on the sockets as what it is.
func TestBoxTroubles(t *testing.T) {
	for _, c := range []struct {
		kind   string
		status int  // 0: no answer
		runs   bool // it may have had its effect
	}{
		{"stuck", 0, false}, {"reset", 0, true}, {"refuse", 0, false}, {"silent", 0, false}, {"garble", 0, true},
		{"error", 500, false}, {"turnaway", 503, false}, {"crash", 0, false}, {"drain", 503, false},
	} {
		t.Run(c.kind, func(t *testing.T) {
			f := start(t, small())
			var n *rogue
			var status atomic.Int64
			n = newRogue(t, f, func(n *rogue, w http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithTimeout(r.Context(), 300*ms)
				defer cancel()
				got, _, _ := n.forward(ctx, r, 0)
				status.Store(int64(got))
				w.WriteHeader(http.StatusBadGateway)
			})
			fault := Fault{Kind: c.kind, Server: "0", Magnitude: 2}
			if err := f.startFault(&fault, nil); err != nil {
				t.Fatal(err)
			}
			n.ask("auftrag", 2*time.Second)
			if got := int(status.Load()); got != c.status {
				t.Errorf("answered %d, want %d", got, c.status)
			}
			if err := f.endFault(&fault, nil); err != nil {
				t.Fatal(err)
			}
			n.ask("zustand", 2*time.Second)
			if got := status.Load(); got != 200 {
				t.Errorf("answered %d afterwards", got)
			}
			v := f.Judge.Check(f.Clock.Now())
			if len(v.Breaches) > 0 {
				t.Errorf("found %v", v.Breaches)
			}
		})
	}
}

// A full house turns away, and a keyed repeat has no second effect in its rack
// within the window, and one after it.
func TestKeyedRepeats(t *testing.T) {
	r := &keyStore{ranAt: map[string]time.Duration{}}
	const window = 10 * time.Second
	for _, c := range []struct {
		key   string
		at    time.Duration
		first bool
	}{
		{"a", 0, true}, {"a", ms, false}, {"b", ms, true}, {"a", window - ms, false}, {"a", window, true}, {"a", window + ms, false},
	} {
		if got := r.addIfNew(c.key, c.at, window); got != c.first {
			t.Errorf("key %s at %v: first %v", c.key, c.at, got)
		}
	}
}

func TestConnectionCap(t *testing.T) {
	plan := small()
	plan.MaxConns = 3
	f := start(t, plan)
	b := f.Servers[0]
	for range 5 {
		c, err := net.Dial("tcp", b.Address)
		if errors.Is(err, syscall.ECONNRESET) {
			continue // turned back before the dial had looked at it
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() // they stay open until the test has ended
	}
	waitFor(t, "two are turned back", func() bool { return b.State().Refused == 2 && b.State().Conns == 3 })
}

// Arrivals must not wait for answers, retries must wait as they are told, and
// the report count each request once.
func TestCallersAreOpenLoop(t *testing.T) {
	f := start(t, small())
	var tries atomic.Int64
	n := newRogue(t, f, func(n *rogue, w http.ResponseWriter, r *http.Request) {
		tries.Add(1)
		if r.Header.Get("X-Resent") == "" {
			w.Header().Set("Retry-After", "0.150")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		n.pass(w, r, 0)
	})
	c := NewLoadGenerator(&f.Plan, []*Client{n.client})
	begun := time.Now()
	c.Run(context.Background(), Traffic{Rate: 200, Duration: 500 * ms, Retries: 1, Backoff: ms, Mix: []float64{0, 1, 0, 0}})
	took := time.Since(begun)
	r := c.Report()[1]
	if r.Requests < 50 || r.Requests > 200 || r.Served+r.Late+r.Refused+r.Failed != r.Requests || r.Tries != int(tries.Load()) ||
		r.Tries != 2*r.Requests {
		t.Errorf("got %+v with %d tries", r, tries.Load())
	}
	if r.P50 < 150*ms {
		t.Errorf("median of %v: the advice to wait 150 ms was not honoured", r.P50)
	}
	if took > 5*time.Second {
		t.Errorf("took %v: arrivals waited for answers", took)
	}
	if s := ServedWorth(c.Report()); s <= 0 || s > 1 {
		t.Errorf("service %v", s)
	}
}

func TestParseFault(t *testing.T) {
	f, err := ParseFault("slow:box=2,at=3s,for=500ms,by=4")
	if err != nil || f != (Fault{Kind: "slow", Server: "2", At: 3 * time.Second, Duration: 500 * ms, Magnitude: 4}) {
		t.Errorf("got %+v, %v", f, err)
	}
	for _, text := range []string{
		"", "quick:box=1", "slow", "slow:box", "slow:box=", "slow:box=1,site=genf", "slow:box=1,by=nan", "slow:box=1,by=0",
		"kill:box=1", "kill", "outage:box=1", "lag:node=1", "slow:box=1,at=-1s", "slow:box=1,for=2h", "slow:box=1,color=red",
	} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	fleet := start(t, small())
	for _, x := range []Fault{{Kind: "slow", Server: "9"}, {Kind: "slow", Site: "bern"}} {
		if err := fleet.ValidateFault(x); err == nil {
			t.Errorf("%+v was taken", x)
		}
	}
	if err := fleet.ValidateFault(Fault{Kind: "slow", Server: "box-003"}); err != nil {
		t.Error(err)
	}
}

// The same seed must draw the same traffic and the same work.
func TestSeeded(t *testing.T) {
	p := DefaultPlan()
	a, b, c := p.newRand("box", 1), p.newRand("box", 1), p.newRand("box", 2)
	if x, y, z := a.Uint64(), b.Uint64(), c.Uint64(); x != y || x == z {
		t.Errorf("drew %x, %x and %x", x, y, z)
	}
}

// A box that starts anew gets its address, though children that are being started have copies of its last listener.
func TestBoxRestartsAmidChildren(t *testing.T) {
	f := start(t, small())
	stop := make(chan struct{})
	var parts sync.WaitGroup
	for range 4 {
		parts.Go(func() {
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
	parts.Wait()
}
