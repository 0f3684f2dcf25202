package lab

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"curlewring/internal/rig/standin"
	"curlewring/internal/rig/standin/judge"
)

// Report is the result of a run.
type Report struct {
	Seconds             float64               `json:"seconds"`
	Classes             []ClassRow            `json:"classes"`
	ServedWorth         float64               `json:"weighted_service"`
	AttemptsPerRequest  float64               `json:"attempts_a_request"`
	MaxAttempts         int                   `json:"most_attempts"`
	CPUMicrosPerRequest float64               `json:"node_cpu_us_a_request"`
	Cores               float64               `json:"node_cores"`
	Nodes               []NodeRow             `json:"nodes"`
	Servers             []standin.ServerState `json:"boxes"`
	Breaches            []judge.Breach        `json:"breaches"`
	Excused             int                   `json:"excused_by_machine_delay"`
	MaxMachineDelay     float64               `json:"worst_machine_delay_ms"`
	ListCalls           int                   `json:"discovery_calls"`
	Connections         int                   `json:"connections_to_nodes"`
	Idle                *IdleRow              `json:"idle,omitempty"`
}

// ClassRow is the result of one class of requests. Times are in milliseconds.
type ClassRow struct {
	Class    string  `json:"class"`
	Worth    float64 `json:"worth"`
	Requests int     `json:"asked"`
	Served   int     `json:"served_in_time"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Tries    int     `json:"tries"`
	P50      float64 `json:"p50_ms"`
	P90      float64 `json:"p90_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
	// AttemptsPerTry counts attempts per try; each client retry is a try of its own.
	AttemptsPerTry float64 `json:"attempts_a_request"`
}

// NodeRow is the result of one node.
type NodeRow struct {
	Name       string  `json:"name"`
	CPUSeconds float64 `json:"cpu_seconds"`
	PeakMB     float64 `json:"peak_mb"`
	Failure    string  `json:"wrong,omitempty"` // how it exited, if that was unexpected
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (l *Lab) report(elapsed, cpu time.Duration) *Report {
	classes := l.LoadGenerator.Report()
	l.Fleet.ReportDeliveries()
	verdict := l.Fleet.Judge.Check(l.Fleet.Clock.Now())
	r := &Report{
		Seconds: elapsed.Seconds(), ServedWorth: standin.ServedWorth(classes), MaxAttempts: verdict.MaxAttempts, Breaches: verdict.Breaches,
		Excused: verdict.Excused, MaxMachineDelay: milliseconds(verdict.MaxMachineDelay), Cores: cpu.Seconds() / elapsed.Seconds(),
	}
	tries := 0
	for i, c := range classes {
		tries += c.Tries
		r.Classes = append(r.Classes, ClassRow{
			c.Name, c.Worth, c.Requests, c.Served, c.Late, c.Refused, c.Failed, c.Tries,
			milliseconds(c.P50), milliseconds(c.P90), milliseconds(c.P99), milliseconds(c.P999), milliseconds(c.Max),
			float64(verdict.ByClass[i].Attempts) / float64(max(1, verdict.ByClass[i].Requests)),
		})
	}
	if verdict.Requests > 0 {
		r.AttemptsPerRequest = float64(verdict.Attempts) / float64(verdict.Requests)
	}
	if tries > 0 {
		r.CPUMicrosPerRequest = float64(cpu.Microseconds()) / float64(tries)
	}
	for _, p := range l.processes() {
		p.mu.Lock()
		row := NodeRow{Name: p.name, CPUSeconds: p.pastCPUTime.Seconds(), PeakMB: float64(p.peakBytes) / (1 << 20)}
		if p.failure != nil {
			row.Failure = p.failure.Error()
		}
		p.mu.Unlock()
		r.Nodes = append(r.Nodes, row)
	}
	for _, server := range append(append([]*standin.Server{}, l.Fleet.Servers...), l.Fleet.LowerServers...) {
		r.Servers = append(r.Servers, server.State())
	}
	r.ListCalls, _ = l.Fleet.Discovery.Calls()
	for _, c := range l.clients {
		r.Connections += c.ConnsOpened()
	}
	if l.idle != nil {
		r.Idle = &l.idle.row
	}
	return r
}

// Passed reports whether no rule was broken and all nodes exited as expected.
func (r *Report) Passed() bool {
	for _, n := range r.Nodes {
		if n.Failure != "" {
			return false
		}
	}
	return len(r.Breaches) == 0
}

// maxPrintedBreaches limits the breaches that Print writes in full.
const maxPrintedBreaches = 5

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tworth\tasked\tin time\tlate\trefused\tfailed\tp50 ms\tp90\tp99\tp99.9\tmax\tattempts\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t\n", c.Class, c.Worth, c.Requests, c.Served,
			c.Late, c.Refused, c.Failed, c.P50, c.P90, c.P99, c.P999, c.Max, c.AttemptsPerTry)
	}
	t.Flush()
	fmt.Fprintf(w, "\nweighted service    %.4f\n", r.ServedWorth)
	fmt.Fprintf(w, "attempts a request  %.3f, at most %d\n", r.AttemptsPerRequest, r.MaxAttempts)
	peak := 0.0
	for _, n := range r.Nodes {
		peak = max(peak, n.PeakMB)
	}
	fmt.Fprintf(w, "nodes               %.0f us of CPU a request, %.2f cores in all, %.1f MB peak memory of one\n", r.CPUMicrosPerRequest, r.Cores, peak)
	fmt.Fprintf(w, "connections         %d from clients; discovery answered %d calls\n", r.Connections, r.ListCalls)
	if i := r.Idle; i != nil {
		fmt.Fprintf(w, "idle connections    %d, %.0f resident bytes each (%.1f to %.1f MB); %.4f cores without traffic\n", i.Held, i.BytesPerConn,
			i.BeforeMB, i.AfterMB, i.QuietCores)
		if i.Requests > 0 {
			fmt.Fprintf(w, "                    %d requests on them: %d served, %d lost; %d still open at the end\n", i.Requests, i.Served, i.Lost, i.HeldAtEnd)
		}
	}
	for _, n := range r.Nodes {
		if n.Failure != "" {
			fmt.Fprintf(w, "node %s\n", n.Failure)
		}
	}
	if len(r.Breaches) == 0 {
		fmt.Fprint(w, "judge               all four rules kept")
	} else {
		fmt.Fprintf(w, "judge               %d BREACHES", len(r.Breaches))
	}
	if r.Excused > 0 {
		fmt.Fprintf(w, " (%d time limits missed by no more than the scheduling delay of this machine, at most %.0f ms)", r.Excused, r.MaxMachineDelay)
	}
	fmt.Fprintln(w)
	for i, b := range r.Breaches {
		if i == maxPrintedBreaches {
			fmt.Fprintf(w, "  and %d more\n", len(r.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "  %s\n", b)
		for _, line := range b.History {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
}
