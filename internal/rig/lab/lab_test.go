package lab

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"curlewring/internal/rig/standin"
)

// minParallelTests is the number of parallel tests on machines with few cores.
const minParallelTests = 4

// Programs under test, built once by TestMain.
var nodeBinary, toolBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "curlewring-test-")
	if err != nil {
		panic(err)
	}
	if nodeBinary, err = Build(context.Background(), dir); err != nil {
		panic(err)
	}
	if toolBinary, err = BuildTool(context.Background(), dir); err != nil {
		panic(err)
	}
	// These tests mostly wait. On two cores, four of them in parallel take half the time and do not disturb
	// each other.
	if flag.Parse(); runtime.GOMAXPROCS(0) < minParallelTests {
		if err := flag.Set("test.parallel", strconv.Itoa(minParallelTests)); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// defaultOptions returns options of a lab that is small enough for any machine.
func defaultOptions() Options {
	o := Options{
		Plan: standin.DefaultPlan(), Nodes: 2, Binary: nodeBinary, MemoryMB: 192, Sockets: 1024, MaxRetryAfter: time.Second,
		Traffic: standin.Traffic{Rate: 120, Duration: 3 * time.Second, Retries: 1, Backoff: 50 * time.Millisecond, BodyBytes: 100},
	}
	o.Plan.Servers = 6
	return o
}

func runLab(t *testing.T, o Options) *Report {
	t.Helper()
	l, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r, err := l.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	checkReport(t, r)
	return r
}

// checkReport fails the test if a rule was broken or requests are missing from the report.
func checkReport(t *testing.T, r *Report) {
	t.Helper()
	if !r.Passed() {
		var text strings.Builder
		r.Print(&text)
		t.Errorf("rules broken, or nodes that failed:\n%s", text.String())
	}
	requests := 0
	for _, c := range r.Classes {
		requests += c.Requests
		if c.Requests != c.Served+c.Late+c.Refused+c.Failed {
			t.Errorf("outcomes of class %+v do not add up to its requests", c)
		}
	}
	if requests == 0 {
		t.Error("no requests were sent")
	}
}

func TestNoFaults(t *testing.T) {
	r := runLab(t, defaultOptions())
	for _, c := range r.Classes {
		if c.Refused+c.Failed > 0 {
			t.Errorf("refused or failed requests without faults: %+v", c)
		}
	}
	for _, n := range r.Nodes {
		if n.CPUSeconds <= 0 || n.PeakMB <= 1 || n.PeakMB > 192 {
			t.Errorf("implausible resource use of node %+v", n)
		}
	}
}

// The nodes must keep the four rules under faults of servers, discovery and nodes.
func TestFaults(t *testing.T) {
	const when = "at=300ms,for=1200ms"
	for _, faults := range [][]string{
		{"slow:box=1," + when + ",by=30"}, {"stuck:box=1," + when}, {"reset:box=1," + when, "garble:box=2," + when},
		{"refuse:box=1," + when, "error:box=2," + when}, {"silent:site=genf," + when}, {"crash:box=1," + when, "lag:by=1," + when},
		{"drain:box=1," + when, "drain:box=4," + when}, {"turnaway:box=1," + when}, {"kill:node=0," + when}, {"outage:" + when, "crash:site=genf," + when},
	} {
		t.Run(strings.ReplaceAll(strings.Join(faults, "+"), ","+when, ""), func(t *testing.T) {
			t.Parallel()
			o := defaultOptions()
			o.Traffic.Duration = 2 * time.Second
			for _, text := range faults {
				f, err := standin.ParseFault(text)
				if err != nil {
					t.Fatal(err)
				}
				o.Faults = append(o.Faults, f)
			}
			runLab(t, o)
		})
	}
}

func TestTwoTiers(t *testing.T) {
	o := defaultOptions()
	o.Plan.Tiers, o.Plan.Servers, o.Nodes, o.Traffic.Rate = 2, 3, 1, 40
	f, err := standin.ParseFault("reset:box=1,at=300ms,for=1s")
	if err != nil {
		t.Fatal(err)
	}
	o.Faults = []standin.Fault{f}
	r := runLab(t, o)
	if len(r.Nodes) != 4 { // one in front of the first tier, one for each of its servers
		t.Errorf("want 4 nodes, got %+v", r.Nodes)
	}
	below := 0
	for _, b := range r.Servers[3:] {
		below += b.Served
	}
	if below == 0 {
		t.Error("the second tier served nothing")
	}
}

// Faults with unknown targets must be rejected before anything runs.
func TestUnknownFaultTargetsRejected(t *testing.T) {
	for _, text := range []string{"slow:box=77", "slow:site=bern", "kill:node=5", "kill:node=x"} {
		f, err := standin.ParseFault(text)
		if err != nil {
			t.Fatal(err)
		}
		o := defaultOptions()
		o.Faults = []standin.Fault{f}
		if l, err := Open(context.Background(), o); err == nil {
			l.Close()
			t.Errorf("fault %s was accepted", text)
		}
	}
}

// reloadSettings returns the load and number of reloads of TestLiveReload. The full load of CURLEWRING_LONG=1
// needs four free cores.
func reloadSettings() (rate float64, reloads int, pause time.Duration) {
	if os.Getenv("CURLEWRING_LONG") != "" {
		return 1700, 20, time.Second
	}
	return 150, 20, 150 * time.Millisecond
}

// Valid and invalid operators' files alternate under load. No request may be lost and no rule broken. The
// timeout of each valid file must show in the attempts, and invalid files must have no effect.
func TestLiveReload(t *testing.T) {
	rate, reloads, pause := reloadSettings()
	path := filepath.Join(t.TempDir(), "operator.toml")
	write := func(text string) {
		t.Helper()
		if err := replaceFile(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	routes := func(timeout time.Duration) string {
		return fmt.Sprintf("route_count = 1\n[[route]]\nclass = \"zustand\"\nattempt_timeout = %q\nattempts = 2\n", timeout)
	}
	badFiles := []string{
		"", "[[route]", routes(100*time.Millisecond) + "[[route]]\n", routes(2 * time.Second),
		"[[route]]\nclass = \"stoerung\"\nsecond_copy_after = \"50ms\"\n", routes(time.Second) + strings.Repeat("#\n", 6<<20),
	}
	write(routes(900 * time.Millisecond))
	o := defaultOptions()
	o.Operator = path
	o.Traffic.Rate, o.Traffic.Duration = rate, time.Minute // ends with the last reload
	o.Plan.Servers = 8
	l, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var report *Report
	var runErr error
	var running sync.WaitGroup
	running.Go(func() { report, runErr = l.Run(ctx, nil) })
	rng := rand.New(rand.NewPCG(1, 2))
	minCount := func(what string) int { // lowest count of such lines over all nodes
		lowest := 1 << 30
		for _, name := range []string{"n0", "n1"} {
			lowest = min(lowest, strings.Count(l.Log(name), what))
		}
		return lowest
	}
	accepted, rejected := 0, 0
	for i := range reloads {
		if i%2 == 0 {
			accepted++
			timeout := time.Duration(200+25*i) * time.Millisecond
			write(routes(timeout))
			if err := l.Reload(); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the valid file is accepted", func() bool { return minCount("msg=reloaded") == accepted })
			l.Fleet.MaxAttemptTimeout(1)
			time.Sleep(pause)
			waitUntil(t, "attempts use the new timeout", func() bool {
				longest, n := l.Fleet.MaxAttemptTimeout(1)
				return n > 0 && longest <= timeout && longest > timeout-20*time.Millisecond
			})
		} else {
			rejected++
			write(badFiles[rng.IntN(len(badFiles))])
			if err := l.Reload(); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the invalid file is rejected", func() bool { return minCount("the old one stays") == rejected })
			l.Fleet.MaxAttemptTimeout(1)
			time.Sleep(pause)
			if longest, n := l.Fleet.MaxAttemptTimeout(1); n > 0 && longest > time.Duration(200+25*(i-1))*time.Millisecond {
				t.Errorf("an attempt timeout of %v after an invalid file", longest)
			}
		}
	}
	stop()
	running.Wait()
	if runErr != nil {
		t.Fatal(runErr)
	}
	checkReport(t, report)
	for _, c := range report.Classes {
		if c.Failed > 0 || c.Refused > 0 {
			t.Errorf("%+v", c)
		}
		t.Logf("%+v", c)
	}
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
