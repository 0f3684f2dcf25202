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

// play feeds lines to a new host and returns its replies.
func play(lines string) (string, error) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	err := newHost(bufio.NewReader(strings.NewReader(lines)), w).run()
	w.Flush()
	return out.String(), err
}

const (
	info = `{"categories":[{"name":"a","aim_ns":500000000,"deadline_ns":900000000,"worth":2,` +
		`"semantics":"repeatable","group":"all","novel":1}],"limits":{"most_tries":3},"n_instances":1,"novel":{}}`
	turn1 = `{"turn":{"clock_ns":1000000000}}` + "\n"
	turn2 = `{"turn":{"clock_ns":1100000000}}` + "\n"
	end   = `{"commit":{}}` + "\n"
	start = `{"boot":{"i":4,"rng_seed":7,"boot_info":` + info + `}}` + "\n"
	list  = `{"census":{"roster_id":15,"items":[{"server":"10.0.0.1:1","failure_domain":"z","health":"healthy"}]}}` +
		"\n" + `{"view":{"i":4,"how":"disk","roster_id":15,"version":1}}` + "\n"
	ask = `{"req":{"i":4,"op_id":99,"grade":"a","ttl_ns":300000000,"novel":true}}` + "\n"
)

func TestBatches(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"no input", "", ""},
		{"empty batch", turn1 + end, `{"done":{}}` + "\n"},
		{
			"a request is sent", turn1 + start + list + ask + end,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.1:1","give_up_after_ns":300000000}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"served, then word of what is no longer held", turn1 + start + list + ask + end + turn2 +
				`{"done":{"i":4,"op_id":99,"server":"10.0.0.1:1","state_code":"S","took_ns":5,"complete":true}}` + "\n" +
				`{"cancelled_by_client":{"i":4,"op_id":99}}` + "\n" + `{"reminder":{"i":4,"handle":5}}` + "\n" +
				`{"heard":{"i":4,"origin_peer":1,"msg":"aGk="}}` + "\n" + end,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.1:1","give_up_after_ns":300000000}}` + "\n" +
				`{"done":{}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"exit and boot in one batch forget the list", turn1 + start + list + end +
				turn2 + `{"exit":{"i":4}}` + "\n" + start + ask + end,
			`{"done":{}}` + "\n" + `{"defer":{"i":4,"in_ns":10000000,"handle":99}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"a list number is used again within a batch", turn1 + start + list +
				`{"census":{"roster_id":15,"items":[{"server":"10.0.0.2:1","health":"healthy"}]}}` + "\n" +
				`{"view":{"i":4,"how":"snapshot","roster_id":15,"version":2}}` + "\n" + ask + end,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.2:1","give_up_after_ns":300000000}}` + "\n" + `{"done":{}}` + "\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := play(c.in)
			if err != nil || got != c.want {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
		})
	}
}

// Ids go to 2^52 and timers' numbers to 2^63; lines may be longer than the reader's buffer.
func TestLargeNumbersAndLongLines(t *testing.T) {
	id := "4503599627370495"
	got, err := play(turn1 + start + list + strings.Replace(ask, "99", id, 1) + end)
	if err != nil || !strings.Contains(got, `"op_id":`+id+`,`) {
		t.Errorf("got %q, %v", got, err)
	}
	if got, err := play(turn1 + start + `{"reminder":{"i":4,"handle":9223372036854775808}}` + "\n" + end); err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	var items []string
	for i := range 5000 {
		items = append(items, fmt.Sprintf(`{"server":"10.1.%d.%d:80","health":"healthy","novel":[1]}`, i/250, i%250))
	}
	long := `{"census":{"roster_id":15,"items":[` + strings.Join(items, ",") + `]}}` + "\n" +
		`{"view":{"i":4,"how":"disk","roster_id":15,"version":1}}` + "\n"
	if got, err := play(turn1 + start + long + ask + end); err != nil || !strings.Contains(got, `{"issue":{"i":4,`) {
		t.Errorf("got %.200q, %v", got, err)
	}
}

// Every outcome of the wire ends an attempt; those that prove that nothing ran, or that may be repeated, lead
// to another one, and what follows a served one does not.
func TestEveryOutcome(t *testing.T) {
	two := strings.Replace(list, "}]", `},{"server":"10.0.0.2:1","health":"healthy"}]`, 1)
	for state, sends := range map[string]int{"S": 1, "E": 2, "F": 2, "T": 2, "C": 2, "R": 2, "X": 2, "N": 2} {
		first, err := play(turn1 + start + two + ask + end)
		if err != nil {
			t.Fatal(err)
		}
		server := first[strings.Index(first, "10.0.0."):][:10]
		done := `{"done":{"i":4,"op_id":99,"server":"` + server + `","state_code":"` + state + `","took_ns":5`
		if state == "S" {
			done += `,"complete":true`
		}
		got, err := play(turn1 + start + two + ask + end + turn2 + done + "}}\n" + end)
		if n := strings.Count(got, `"issue"`); err != nil || n != sends {
			t.Errorf("after %s: %d attempts, want %d; %v", state, n, sends, err)
		}
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	for in, want := range map[string]string{
		turn1 + start + "nonsense\n": "line 3: ",
		turn1 + start:                "input ends inside a batch",
		turn1 + end + turn1 + start + strings.Replace(ask, `"a"`, `"b"`, 1): "line 5: ",
	} {
		if _, err := play(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to say %q", err, want)
		}
	}
	if _, err := play(turn1 + start); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got %v, want the line after which input ends", err)
	}
}

func TestBadInput(t *testing.T) {
	for name, in := range map[string]string{
		"not JSON":                turn1 + "nonsense\n",
		"not an object":           turn1 + "3\n",
		"unknown event":           turn1 + `{"surprise":{"i":1}}` + "\n",
		"two events in one":       turn1 + `{"commit":{},"turn":{"clock_ns":3}}` + "\n",
		"event outside a batch":   start,
		"batch inside a batch":    turn1 + turn2,
		"clock running backwards": turn2 + end + turn1,
		"no clock":                `{"turn":{}}` + "\n",
		"cut short":               turn1,
		"instance not running":    turn1 + ask + end,
		"no instance":             turn1 + `{"req":{"op_id":1}}` + "\n",
		"unknown class":           turn1 + start + strings.Replace(ask, `"a"`, `"b"`, 1),
		"negative time":           turn1 + start + strings.Replace(ask, `:3`, `:-3`, 1),
		"no request id":           turn1 + start + strings.Replace(ask, `"op_id":99,`, "", 1),
		"list number too high":    turn1 + `{"census":{"roster_id":16,"items":[]}}` + "\n",
		"list never given":        turn1 + start + `{"view":{"i":4,"how":"disk","roster_id":3}}` + "\n",
		"unknown kind of list":    turn1 + start + strings.Replace(list, "disk", "disc", 1),
		"unknown health":          turn1 + strings.Replace(list, "healthy", "well", 1),
		"unknown outcome":         turn1 + start + `{"done":{"i":4,"op_id":1,"server":"s","state_code":"Q"}}` + "\n",
		"no classes":              turn1 + `{"boot":{"i":1,"boot_info":{}}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := play(in); err == nil {
				t.Error("taken without an error")
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("not one plain message: %q", err)
			}
		})
	}
}

func TestInstancesShareNothing(t *testing.T) {
	alone, err := play(turn1 + start + list + ask + end)
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`"i":4`, `"i":5`)
	both, err := play(turn1 + other.Replace(start+list+ask) + start + list + ask + end)
	if err != nil {
		t.Fatal(err)
	}
	if want := other.Replace(strings.TrimSuffix(alone, `{"done":{}}`+"\n")) + alone; both != want {
		t.Errorf("got %q, want %q", both, want)
	}
}

// stream plays seeded traffic for some instances on one host, answers what they send, and returns every line
// of input in order; those that belong to no single instance are for all.
func stream(t *testing.T, instances int) (lines []string, owner []int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 8))
	var out bytes.Buffer
	h := newHost(bufio.NewReader(strings.NewReader("")), bufio.NewWriter(&out))
	feed := func(i int, line string) {
		lines, owner = append(lines, line+"\n"), append(owner, i)
		if err := h.handle([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	feed(-1, strings.TrimSpace(turn1))
	var items []string
	for k := range 9 {
		items = append(items, fmt.Sprintf(`{"server":"10.0.0.%d:1","failure_domain":"z","health":"healthy"}`, k))
	}
	feed(-1, `{"census":{"roster_id":2,"items":[`+strings.Join(items, ",")+`]}}`)
	for i := range instances {
		feed(i, fmt.Sprintf(`{"boot":{"i":%d,"rng_seed":%d,"boot_info":%s}}`, i, 40+i, info))
		feed(i, fmt.Sprintf(`{"view":{"i":%d,"how":"snapshot","roster_id":2}}`, i))
	}
	for turn := range 400 {
		feed(-1, strings.TrimSpace(end))
		sent := regexp.MustCompile(`"issue":\{"i":(\d+),"op_id":(\d+),"server":"([^"]+)"`).FindAllStringSubmatch(out.String(), -1)
		out.Reset()
		feed(-1, fmt.Sprintf(`{"turn":{"clock_ns":%d}}`, 1_100_000_000+turn*5_000_000))
		for _, m := range sent { // all at once, and first attempts only: what is told wrongly must not matter
			i, _ := strconv.Atoi(m[1])
			state := []string{`S","complete":true`, `S","complete":true`, `T"`, `F"`, `C"`}[rng.IntN(5)]
			feed(i, `{"done":{"i":`+m[1]+`,"op_id":`+m[2]+`,"server":"`+m[3]+`","took_ns":4000000,"state_code":"`+state+`}}`)
		}
		i := rng.IntN(instances)
		feed(i, fmt.Sprintf(`{"req":{"i":%d,"op_id":%d,"grade":"a","ttl_ns":300000000}}`, i, 1000+turn))
	}
	feed(-1, strings.TrimSpace(end))
	return lines, owner
}

// The same events must give the same actions, in one host or in one for each instance.
func TestSameEventsSameActions(t *testing.T) {
	const instances = 3
	lines, owner := stream(t, instances)
	all := strings.Join(lines, "")
	once, err := play(all)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := play(all); err != nil || again != once {
		t.Errorf("played twice, the actions differ (%v)", err)
	}
	if n := strings.Count(once, `"issue"`); n < 200 {
		t.Fatalf("only %d attempts: the stream shows too little", n)
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
		if got, err := play(in.String()); err != nil || got != want.String() {
			t.Errorf("instance %d acts otherwise alone (%v)", i, err)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	h := newHost(bufio.NewReader(strings.NewReader(turn1+start+ask)), bufio.NewWriter(&out))
	for range 2 {
		line, _ := h.line()
		if err := h.handle(line); err != nil {
			t.Fatal(err)
		}
	}
	h.nodes[4].balancer = nil // the module will fail on this
	line, _ := h.line()
	if err := h.handle(line); err != nil {
		t.Fatal(err)
	}
	h.out.Flush()
	if !strings.HasPrefix(out.String(), `{"bail_out":{"i":4,"line":"`) {
		t.Errorf("got %q", out.String())
	}
}

func FuzzReader(f *testing.F) {
	f.Add(turn1 + start + list + ask + end)
	f.Add(turn1 + `{"req":{"i":null}}` + "\n")
	f.Add(turn1 + start + `{"view":{"i":4,"how":"error"}}` + "\n" + end)
	f.Fuzz(func(t *testing.T, in string) {
		out, err := play(in)
		if strings.Contains(out, "bail_out") {
			t.Errorf("the module failed on %q: %s", in, out)
		}
		if err != nil && err.Error() == "" {
			t.Error("an error without a message")
		}
	})
}
