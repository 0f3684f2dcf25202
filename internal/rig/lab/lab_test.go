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

// sideBySide is how many tests run side by side on a small machine.
const minParallelTests = 4

// binary and tool are the programs, built once.
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
	// These tests mostly wait: on two cores four of them at a time take half as long, and do not get in each other's way.
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

// options are those of a small lab that any machine can carry.
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

// check fails on any broken rule, and on requests that the report loses.
func checkReport(t *testing.T, r *Report) {
	t.Helper()
	if !r.Passed() {
		var text strings.Builder
		r.Print(&text)
		t.Errorf("not kept:\n%s", text.String())
	}
	asked := 0
	for _, c := range r.Classes {
		asked += c.Requests
		if c.Requests != c.Served+c.Late+c.Refused+c.Failed {
			t.Errorf("%+v does not add up", c)
		}
	}
	if asked == 0 {
		t.Error("nothing was asked")
	}
}

func TestNoFaults(t *testing.T) {
	r := runLab(t, defaultOptions())
	for _, c := range r.Classes {
		if c.Refused+c.Failed > 0 {
			t.Errorf("a calm day: %+v", c)
		}
	}
	for _, n := range r.Nodes {
		if n.CPUSeconds <= 0 || n.PeakMB <= 1 || n.PeakMB > 192 {
			t.Errorf("node %+v", n)
		}
	}
}

// Whatever goes wrong outside, the nodes must keep the four rules.
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
	if len(r.Nodes) != 4 { // one before the first tier, one for each of its boxes
		t.Errorf("nodes %+v", r.Nodes)
	}
	below := 0
	for _, b := range r.Servers[3:] {
		below += b.Served
	}
	if below == 0 {
		t.Error("the second tier served nothing")
	}
}

// What can't be must be said before anything runs.
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
			t.Errorf("%s was taken", text)
		}
	}
}

// reloadLoad is the rate and length of the live reload: CURLEWRING_LONG=1 plays
// the full one, which wants four free cores.
func reloadSettings() (rate float64, reloads int, pause time.Duration) {
	if os.Getenv("CURLEWRING_LONG") != "" {
		return 1700, 20, time.Second
	}
	return 150, 20, 150 * time.Millisecond
}

// Under load, good and bad files take turns. Nothing may be lost and no rule be
// broken; each good file must show on the sockets, and no bad one.
func TestLiveReload(t *testing.T) {
	rate, reloads, pause := reloadSettings()
	path := filepath.Join(t.TempDir(), "operator.toml")
	write := func(text string) {
		t.Helper()
		if err := replaceFile(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	rules := func(timeout time.Duration) string {
		return fmt.Sprintf("route_count = 1\n[[route]]\nclass = \"zustand\"\nattempt_timeout = %q\nattempts = 2\n", timeout)
	}
	bad := []string{
		"", "[[route]", rules(100*time.Millisecond) + "[[route]]\n", rules(2 * time.Second),
		"[[route]]\nclass = \"stoerung\"\nsecond_copy_after = \"50ms\"\n", rules(time.Second) + strings.Repeat("#\n", 6<<20),
	}
	write(rules(900 * time.Millisecond))
	o := defaultOptions()
	o.Operator = path
	o.Traffic.Rate, o.Traffic.Duration = rate, time.Minute // it ends with the last reload
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
	counts := func(what string) int { // of the last such line of all nodes, the least
		least := 1 << 30
		for _, name := range []string{"n0", "n1"} {
			least = min(least, strings.Count(l.Log(name), what))
		}
		return least
	}
	goods, bads := 0, 0
	for i := range reloads {
		if i%2 == 0 {
			goods++
			timeout := time.Duration(200+25*i) * time.Millisecond
			write(rules(timeout))
			if err := l.Reload(); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the good file is taken", func() bool { return counts("msg=reloaded") == goods })
			l.Fleet.MaxAttemptTimeout(1)
			time.Sleep(pause)
			waitUntil(t, "the new bounds show", func() bool {
				longest, n := l.Fleet.MaxAttemptTimeout(1)
				return n > 0 && longest <= timeout && longest > timeout-20*time.Millisecond
			})
		} else {
			bads++
			write(bad[rng.IntN(len(bad))])
			if err := l.Reload(); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the bad file is turned down", func() bool { return counts("the old one stays") == bads })
			l.Fleet.MaxAttemptTimeout(1)
			time.Sleep(pause)
			if longest, n := l.Fleet.MaxAttemptTimeout(1); n > 0 && longest > time.Duration(200+25*(i-1))*time.Millisecond {
				t.Errorf("after a bad file an attempt lasts %v", longest)
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
			t.Fatalf("waited in vain until %s", what)
		}
	}
}
