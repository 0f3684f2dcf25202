package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// runLines passes lines to a new host and returns its output.
func runLines(lines string) (string, error) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	err := newHost(bufio.NewReader(strings.NewReader(lines)), w).run()
	w.Flush()
	return out.String(), err
}

const (
	settingsObject = `{"categories":[{"name":"a","aim_ns":500000000,"deadline_ns":900000000,"worth":2,` +
		`"semantics":"repeatable","group":"all","novel":1}],"limits":{"most_tries":3},"n_instances":1,"novel":{}}`
	turnLine1  = `{"turn":{"clock_ns":1000000000}}` + "\n"
	turnLine2  = `{"turn":{"clock_ns":1100000000}}` + "\n"
	commitLine = `{"commit":{}}` + "\n"
	bootLine   = `{"boot":{"i":4,"rng_seed":7,"boot_info":` + settingsObject + `}}` + "\n"
	listLines  = `{"census":{"roster_id":15,"items":[{"server":"10.0.0.1:1","failure_domain":"z","health":"healthy"}]}}` +
		"\n" + `{"view":{"i":4,"how":"disk","roster_id":15,"version":1}}` + "\n"
	requestLine = `{"req":{"i":4,"op_id":99,"grade":"a","ttl_ns":300000000,"novel":true}}` + "\n"
)

func TestBatches(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"no input", "", ""},
		{"empty batch", turnLine1 + commitLine, `{"done":{}}` + "\n"},
		{
			"a request is sent", turnLine1 + bootLine + listLines + requestLine + commitLine,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.1:1","give_up_after_ns":300000000}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"served, then events for a finished request", turnLine1 + bootLine + listLines + requestLine + commitLine + turnLine2 +
				`{"done":{"i":4,"op_id":99,"server":"10.0.0.1:1","state_code":"S","took_ns":5,"complete":true}}` + "\n" +
				`{"cancelled_by_client":{"i":4,"op_id":99}}` + "\n" + `{"reminder":{"i":4,"handle":5}}` + "\n" +
				`{"heard":{"i":4,"origin_peer":1,"msg":"aGk="}}` + "\n" + commitLine,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.1:1","give_up_after_ns":300000000}}` + "\n" +
				`{"done":{}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"exit and boot in one batch discard the list", turnLine1 + bootLine + listLines + commitLine +
				turnLine2 + `{"exit":{"i":4}}` + "\n" + bootLine + requestLine + commitLine,
			`{"done":{}}` + "\n" + `{"defer":{"i":4,"in_ns":10000000,"handle":99}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"list number reused within a batch", turnLine1 + bootLine + listLines +
				`{"census":{"roster_id":15,"items":[{"server":"10.0.0.2:1","health":"healthy"}]}}` + "\n" +
				`{"view":{"i":4,"how":"snapshot","roster_id":15,"version":2}}` + "\n" + requestLine + commitLine,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.2:1","give_up_after_ns":300000000}}` + "\n" + `{"done":{}}` + "\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := runLines(c.in)
			if err != nil || got != c.want {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
		})
	}
}

// Ids go up to 2^52 and timer tokens up to 2^63; lines may be longer than the reader's buffer.
func TestLargeNumbersAndLongLines(t *testing.T) {
	id := "4503599627370495"
	got, err := runLines(turnLine1 + bootLine + listLines + strings.Replace(requestLine, "99", id, 1) + commitLine)
	if err != nil || !strings.Contains(got, `"op_id":`+id+`,`) {
		t.Errorf("got %q, %v", got, err)
	}
	if got, err := runLines(turnLine1 + bootLine + `{"reminder":{"i":4,"handle":9223372036854775808}}` + "\n" + commitLine); err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	var items []string
	for i := range 5000 {
		items = append(items, fmt.Sprintf(`{"server":"10.1.%d.%d:80","health":"healthy","novel":[1]}`, i/250, i%250))
	}
	long := `{"census":{"roster_id":15,"items":[` + strings.Join(items, ",") + `]}}` + "\n" +
		`{"view":{"i":4,"how":"disk","roster_id":15,"version":1}}` + "\n"
	if got, err := runLines(turnLine1 + bootLine + long + requestLine + commitLine); err != nil || !strings.Contains(got, `{"issue":{"i":4,`) {
		t.Errorf("got %.200q, %v", got, err)
	}
}

// Every result of the protocol ends an attempt. Those that prove that nothing ran or that allow a retry
// lead to another attempt, a served one does not.
func TestEveryOutcome(t *testing.T) {
	two := strings.Replace(listLines, "}]", `},{"server":"10.0.0.2:1","health":"healthy"}]`, 1)
	for state, sends := range map[string]int{"S": 1, "E": 2, "F": 2, "T": 2, "C": 2, "R": 2, "X": 2, "N": 2} {
		first, err := runLines(turnLine1 + bootLine + two + requestLine + commitLine)
		if err != nil {
			t.Fatal(err)
		}
		server := first[strings.Index(first, "10.0.0."):][:10]
		done := `{"done":{"i":4,"op_id":99,"server":"` + server + `","state_code":"` + state + `","took_ns":5`
		if state == "S" {
			done += `,"complete":true`
		}
		got, err := runLines(turnLine1 + bootLine + two + requestLine + commitLine + turnLine2 + done + "}}\n" + commitLine)
		if n := strings.Count(got, `"issue"`); err != nil || n != sends {
			t.Errorf("after %s: %d attempts, want %d; %v", state, n, sends, err)
		}
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	for in, want := range map[string]string{
		turnLine1 + bootLine + "nonsense\n": "line 3: ",
		turnLine1 + bootLine:                "input ends inside a batch",
		turnLine1 + commitLine + turnLine1 + bootLine + strings.Replace(requestLine, `"a"`, `"b"`, 1): "line 5: ",
	} {
		if _, err := runLines(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want an error that contains %q", err, want)
		}
	}
	if _, err := runLines(turnLine1 + bootLine); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got %v, want the number of the line after which the input ends", err)
	}
}

func TestBadInput(t *testing.T) {
	for name, in := range map[string]string{
		"not JSON":                turnLine1 + "nonsense\n",
		"not an object":           turnLine1 + "3\n",
		"unknown event":           turnLine1 + `{"surprise":{"i":1}}` + "\n",
		"two events in one":       turnLine1 + `{"commit":{},"turn":{"clock_ns":3}}` + "\n",
		"event outside a batch":   bootLine,
		"batch inside a batch":    turnLine1 + turnLine2,
		"clock running backwards": turnLine2 + commitLine + turnLine1,
		"no clock":                `{"turn":{}}` + "\n",
		"cut short":               turnLine1,
		"instance not running":    turnLine1 + requestLine + commitLine,
		"no instance":             turnLine1 + `{"req":{"op_id":1}}` + "\n",
		"unknown class":           turnLine1 + bootLine + strings.Replace(requestLine, `"a"`, `"b"`, 1),
		"negative time":           turnLine1 + bootLine + strings.Replace(requestLine, `:3`, `:-3`, 1),
		"no request id":           turnLine1 + bootLine + strings.Replace(requestLine, `"op_id":99,`, "", 1),
		"list number too high":    turnLine1 + `{"census":{"roster_id":16,"items":[]}}` + "\n",
		"list never given":        turnLine1 + bootLine + `{"view":{"i":4,"how":"disk","roster_id":3}}` + "\n",
		"unknown kind of list":    turnLine1 + bootLine + strings.Replace(listLines, "disk", "disc", 1),
		"unknown health":          turnLine1 + strings.Replace(listLines, "healthy", "well", 1),
		"unknown outcome":         turnLine1 + bootLine + `{"done":{"i":4,"op_id":1,"server":"s","state_code":"Q"}}` + "\n",
		"no classes":              turnLine1 + `{"boot":{"i":1,"boot_info":{}}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := runLines(in); err == nil {
				t.Error("accepted without an error")
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("error has several lines: %q", err)
			}
		})
	}
}

func TestInstancesShareNothing(t *testing.T) {
	alone, err := runLines(turnLine1 + bootLine + listLines + requestLine + commitLine)
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`"i":4`, `"i":5`)
	both, err := runLines(turnLine1 + other.Replace(bootLine+listLines+requestLine) + bootLine + listLines + requestLine + commitLine)
	if err != nil {
		t.Fatal(err)
	}
	if want := other.Replace(strings.TrimSuffix(alone, `{"done":{}}`+"\n")) + alone; both != want {
		t.Errorf("got %q, want %q", both, want)
	}
}

// recordStream simulates seeded traffic for several instances of one host, ends the attempts that they
// make, and returns every line of input in order. The owner of a line is its instance, or -1 for lines that
// concern all.
func recordStream(t *testing.T, instances int) (lines []string, owner []int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 8))
	var out bytes.Buffer
	h := newHost(bufio.NewReader(strings.NewReader("")), bufio.NewWriter(&out))
	feed := func(i int, line string) {
		lines, owner = append(lines, line+"\n"), append(owner, i)
		if err := h.handleLine([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	feed(-1, strings.TrimSpace(turnLine1))
	var items []string
	for k := range 9 {
		items = append(items, fmt.Sprintf(`{"server":"10.0.0.%d:1","failure_domain":"z","health":"healthy"}`, k))
	}
	feed(-1, `{"census":{"roster_id":2,"items":[`+strings.Join(items, ",")+`]}}`)
	for i := range instances {
		feed(i, fmt.Sprintf(`{"boot":{"i":%d,"rng_seed":%d,"boot_info":%s}}`, i, 40+i, settingsObject))
		feed(i, fmt.Sprintf(`{"view":{"i":%d,"how":"snapshot","roster_id":2}}`, i))
	}
	for turn := range 400 {
		feed(-1, strings.TrimSpace(commitLine))
		sent := regexp.MustCompile(`"issue":\{"i":(\d+),"op_id":(\d+),"server":"([^"]+)"`).FindAllStringSubmatch(out.String(), -1)
		out.Reset()
		feed(-1, fmt.Sprintf(`{"turn":{"clock_ns":%d}}`, 1_100_000_000+turn*5_000_000))
		for _, m := range sent { // all at once, and always for attempt 0: outcomes that are wrong must not matter
			i, _ := strconv.Atoi(m[1])
			state := []string{`S","complete":true`, `S","complete":true`, `T"`, `F"`, `C"`}[rng.IntN(5)]
			feed(i, `{"done":{"i":`+m[1]+`,"op_id":`+m[2]+`,"server":"`+m[3]+`","took_ns":4000000,"state_code":"`+state+`}}`)
		}
		i := rng.IntN(instances)
		feed(i, fmt.Sprintf(`{"req":{"i":%d,"op_id":%d,"grade":"a","ttl_ns":300000000}}`, i, 1000+turn))
	}
	feed(-1, strings.TrimSpace(commitLine))
	return lines, owner
}

// The same events must lead to the same actions, in one host or in one host per instance.
func TestSameEventsSameActions(t *testing.T) {
	const instances = 3
	lines, owner := recordStream(t, instances)
	all := strings.Join(lines, "")
	once, err := runLines(all)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := runLines(all); err != nil || again != once {
		t.Errorf("the actions of two runs differ (%v)", err)
	}
	if n := strings.Count(once, `"issue"`); n < 200 {
		t.Fatalf("only %d attempts: the stream is too small to be conclusive", n)
	}
	for i := range instances {
		var in, want strings.Builder
		for k, line := range lines {
			if owner[k] < 0 || owner[k] == i {
				in.WriteString(line)
			}
		}
		for _, line := range strings.SplitAfter(once, "\n") {
			if strings.Contains(line, `"done":{}`) || strings.Contains(line, fmt.Sprintf(`{"i":%d,`, i)) {
				want.WriteString(line)
			}
		}
		if got, err := runLines(in.String()); err != nil || got != want.String() {
			t.Errorf("instance %d acts differently when alone (%v)", i, err)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	h := newHost(bufio.NewReader(strings.NewReader(turnLine1+bootLine+requestLine)), bufio.NewWriter(&out))
	for range 2 {
		line, _ := h.readLine()
		if err := h.handleLine(line); err != nil {
			t.Fatal(err)
		}
	}
	h.nodes[4].balancer = nil // makes the Balancer panic
	line, _ := h.readLine()
	if err := h.handleLine(line); err != nil {
		t.Fatal(err)
	}
	h.out.Flush()
	if !strings.HasPrefix(out.String(), `{"bail_out":{"i":4,"line":"`) {
		t.Errorf("got %q", out.String())
	}
}

func FuzzReader(f *testing.F) {
	f.Add(turnLine1 + bootLine + listLines + requestLine + commitLine)
	f.Add(turnLine1 + `{"req":{"i":null}}` + "\n")
	f.Add(turnLine1 + bootLine + `{"view":{"i":4,"how":"error"}}` + "\n" + commitLine)
	f.Fuzz(func(t *testing.T, in string) {
		out, err := runLines(in)
		if strings.Contains(out, "bail_out") {
			t.Errorf("the Balancer panicked on %q: %s", in, out)
		}
		if err != nil && err.Error() == "" {
			t.Error("error without a message")
		}
	})
}
