package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"curlewring/internal/budget"
	. "curlewring/internal/node/nodetest"
)

// startWithBudgets runs a node that shares budgets, or not, and servers with this handler.
func startWithBudgets(t *testing.T, on bool, handler http.HandlerFunc) (*testNode, []*Server) {
	t.Helper()
	var addrs []string
	var servers []*Server
	for range 6 {
		s := NewServer(t, handler)
		servers = append(servers, s)
		addrs = append(addrs, s.Addr())
	}
	c := testConfig(t, DeadAddress(t), ServerList(1, true, addrs...), 1024)
	c.ShareBudgets = on
	c.Settings.Tiers = c.Settings.Tier + 2 // there is another tier below the servers
	return startNode(t, c), servers
}

// sentBudgets returns the budgets of all attempts that reached the servers.
func sentBudgets(servers []*Server) (all []*budget.Budget, lines []string) {
	for _, s := range servers {
		s.Mu.Lock()
		for _, r := range s.Requests {
			if line := r.Header.Get(budget.HeaderName); line != "" {
				b, _ := budget.Parse(line)
				all, lines = append(all, b), append(lines, line)
			}
		}
		s.Mu.Unlock()
	}
	return all, lines
}

func totalAttempts(servers []*Server) (n int) {
	for _, s := range servers {
		n += s.RequestCount()
	}
	return n
}

// The number of attempts must follow from the request's budget and from what answers report as
// spent: never more than the class allows, and fewer the more was spent.
func TestAttemptsByBudget(t *testing.T) {
	for _, tc := range []struct {
		name, given, spentHeader string
		on                       bool
		attempts                 int
	}{
		{"off: the class's limit", "", "", false, 4},
		{"off: a received budget is ignored", "1;t=9000;a=0;w=1;c=look", "1;s=2", false, 4},
		{"nothing spent below", "", "1;s=0", true, 4},
		{"two spent below", "", "1;s=2", true, 2},
		{"spending not reported: all that was granted is spent", "", "", true, 2},
		{"malformed report counts as none", "", "1;s=many", true, 2},
		{"more than was granted counts as all of it", "", "1;s=9", true, 2},
		{"nothing left below", "", "1;s=0;r=out-of-budget", true, 1},
		{"a loop below", "", "1;s=0;r=loop", true, 1},
		{"none granted", "1;t=9000;a=0;w=1;c=look", "1;s=0", true, 1},
		{"one granted", "1;t=9000;a=1;w=1;c=look", "1;s=0", true, 2},
		{"more granted than the class allows", "1;t=9000;a=15;w=1;c=look", "1;s=0", true, 4},
		{"malformed budget is ignored", "1;t=9000;a=0;a=0;w=1;c=look", "1;s=0", true, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			n, servers := startWithBudgets(t, tc.on, func(w http.ResponseWriter, _ *http.Request) {
				if tc.spentHeader != "" {
					w.Header().Set(budget.SpentHeaderName, tc.spentHeader)
				}
				w.WriteHeader(http.StatusInternalServerError)
			})
			r := request(t, n.url, "/look/1", "")
			if tc.given != "" {
				r.Header.Set(budget.HeaderName, tc.given)
			}
			resp, _ := exchange(t, r)
			// The class is safe to repeat: the request ends with a refusal or a failure.
			if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusTooManyRequests {
				t.Errorf("answered %s", resp.Status)
			}
			all, lines := sentBudgets(servers)
			if got := totalAttempts(servers); got != tc.attempts {
				t.Errorf("%d attempts, want %d; %q", got, tc.attempts, lines)
			}
			reported := resp.Header.Get(budget.SpentHeaderName)
			if !tc.on {
				if reported != "" || len(lines) > 0 {
					t.Errorf("budgets are off, but the answer has %q, and %q was sent", reported, lines)
				}
				return
			}
			spent, advice, err := budget.ParseSpent([]string{reported})
			if err != nil || spent < tc.attempts-1 || spent > 3 || advice == "" {
				t.Errorf("the answer reports %q (%v) for %d attempts", reported, err, tc.attempts)
			}
			for _, b := range all {
				if b == nil || b.ExtraAttempts > 2 || b.TimeLeft <= 0 || len(b.Path) != 1 || b.AttemptID == "" || b.Class != "look" {
					t.Errorf("sent %q", lines)
				}
			}
		})
	}
}

// A request that has crossed this node before must be answered at once with the loop's path, and
// reach no server. One that has crossed only other nodes goes on, with this node added.
func TestLoopIsRejectedAtOnce(t *testing.T) {
	t.Parallel()
	var reached atomic.Int64
	n, servers := startWithBudgets(t, true, func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		w.Write([]byte("fine"))
	})
	name := budget.NodeName(n.Node.config.Name)
	for _, class := range []string{"look", "act", "note"} {
		r := request(t, n.url, "/"+class+"/1", "x", budget.HeaderName, "1;t=9000;a=2;w=1;c="+class+";p=a,"+name+",b")
		resp, body := exchange(t, r)
		if resp.StatusCode != http.StatusLoopDetected || !strings.Contains(body, name+" -> b -> "+name) || reached.Load() != 0 {
			t.Errorf("%s: answered %s %q, %d reached a server", class, resp.Status, body, reached.Load())
		}
		if _, advice, _ := budget.ParseSpent(resp.Header.Values(budget.SpentHeaderName)); advice != budget.Loop {
			t.Errorf("%s: the answer's advice is %q", class, advice)
		}
	}
	r := request(t, n.url, "/look/1", "", budget.HeaderName, "1;t=9000;a=2;w=1;c=look;p=a,b", budget.BaggageHeaderName, "user=x")
	if resp, body := exchange(t, r); resp.StatusCode != http.StatusOK || body != "fine" || resp.Header.Get(budget.SpentHeaderName) != "1;s=1" {
		// One of two extra attempts was granted to the server, which did not report its spending.
		t.Errorf("answered %s %q %q", resp.Status, body, resp.Header)
	}
	all, lines := sentBudgets(servers)
	if len(all) != 1 || fmt.Sprint(all[0].Path) != fmt.Sprint([]string{"a", "b", name}) || all[0].TimeLeft > 9*1e9 {
		t.Errorf("sent %q", lines)
	}
	sentBaggage := ""
	for _, s := range servers {
		s.Mu.Lock()
		for _, r := range s.Requests {
			sentBaggage = r.Header.Get(budget.BaggageHeaderName)
		}
		s.Mu.Unlock()
	}
	if b, err := budget.FromHeaders(nil, []string{sentBaggage}); err != nil || b == nil || !strings.HasPrefix(sentBaggage, "user=x,") {
		t.Errorf("the baggage is %q", sentBaggage)
	}
}

// Several calls made by one attempt of the tier above must share the budget of that attempt.
func TestCallsOfOneAttemptShare(t *testing.T) {
	t.Parallel()
	n, servers := startWithBudgets(t, true, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(budget.SpentHeaderName, "1;s=0")
		w.WriteHeader(http.StatusInternalServerError)
	})
	total := 0
	for i, want := range []int{3, 1, 1} {
		r := request(t, n.url, "/look/1", "", budget.HeaderName, "1;t=9000;a=2;w=1;c=look;i=7f;p=a")
		resp, _ := exchange(t, r)
		got := totalAttempts(servers) - total
		total += got
		if got != want {
			t.Errorf("call %d: %d attempts, want %d", i, got, want)
		}
		if spent, _, _ := budget.ParseSpent(resp.Header.Values(budget.SpentHeaderName)); spent != 2 {
			t.Errorf("call %d: the answer reports %d spent, want 2", i, spent)
		}
	}
}

// The servers of the last tier can't spend a budget, so the node must keep all attempts for
// itself and expect no report.
func TestLastTierKeepsItsBudget(t *testing.T) {
	t.Parallel()
	s := NewServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	other := NewServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	c := testConfig(t, DeadAddress(t), ServerList(1, true, s.Addr(), other.Addr()), 1024)
	c.ShareBudgets, c.Settings.Tiers, c.Settings.Tier = true, 2, 1
	n := startNode(t, c)
	servers := []*Server{s, other}
	resp, _ := exchange(t, request(t, n.url, "/look/1", "", budget.HeaderName, "1;t=9000;a=2;w=1;c=look;p=a"))
	all, lines := sentBudgets(servers)
	if got := totalAttempts(servers); got != 3 || len(all) != 3 || all[0].ExtraAttempts != 0 {
		t.Errorf("%d attempts, want 3; %q", got, lines)
	}
	if spent, _, _ := budget.ParseSpent(resp.Header.Values(budget.SpentHeaderName)); spent != 2 {
		t.Errorf("the answer reports %q", resp.Header.Get(budget.SpentHeaderName))
	}
}
