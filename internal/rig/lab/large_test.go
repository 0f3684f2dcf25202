package lab

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewring/internal/rig/registry"
)

// residentBytesOf returns a process's current resident memory.
func residentBytesOf(pid int) int64 { return procMemory(pid, "VmRSS:") }

// waitForLines waits until discovery has written the given number of lines in total.
func waitForLines(t *testing.T, l *Lab, want int) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
		if _, lines := l.Fleet.Discovery.Calls(); lines >= want {
			return
		}
		if time.Now().After(end) {
			_, lines := l.Fleet.Discovery.Calls()
			t.Fatalf("discovery has written %d lines, want %d", lines, want)
		}
	}
}

// waitForNewestList waits until discovery has written the newest version of the list to each node.
func waitForNewestList(t *testing.T, l *Lab) {
	t.Helper()
	d := l.Fleet.Discovery
	for end := time.Now().Add(time.Minute); sampleCalls(d, 0).total.WrittenVersion < d.Version(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d was not written to all nodes", d.Version())
		}
	}
}

// A node must handle a list of 10,000 servers within the 32 MB that it has on small machines, and 500 changes
// of the list per second with a small part of a core.
func TestLargeServerList(t *testing.T) {
	sizes := []int{10, 1000, 10000}
	var memory []int64
	for _, n := range sizes {
		o := defaultOptions()
		o.Nodes, o.MemoryMB = 1, 32
		o.Plan.Registry = registry.Settings{}
		l, err := Open(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		l.Fleet.PublishFakeServers(0, n, true)
		waitForNewestList(t, l)
		if err := l.Kill("n0"); err != nil { // restarts with the list that it had last
			t.Fatal(err)
		}
		if err := l.Start("n0"); err != nil {
			t.Fatal(err)
		}
		p := l.frontNodes[0]
		if err := p.waitReady(context.Background()); err != nil {
			t.Fatal(err)
		}
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		// A change is written after the whole list, so the list has been loaded when it arrives.
		_, before := l.Fleet.Discovery.Calls()
		l.Fleet.PublishFakeServers(0, 1, false)
		waitForLines(t, l, before+1)
		l.Fleet.PublishFakeServers(0, 1, true)
		waitForLines(t, l, before+2)
		atRest := residentBytesOf(pid)
		// 5% of the servers leave and return within a second, in steps of 20 ms.
		cpu, start, changes := procCPUTime(pid), time.Now(), 0
		for step := 0; step < 50; step++ {
			k := max(1, n/2000)
			at, last := step*k%n, (step*k+n-k)%n
			l.Fleet.PublishFakeServers(at, min(n, at+k), false)
			if step > 0 {
				l.Fleet.PublishFakeServers(last, min(n, last+k), true)
			}
			changes += 2 * k
			time.Sleep(time.Until(start.Add(time.Duration(step+1) * 20 * time.Millisecond)))
		}
		waitForLines(t, l, before+2+50)
		cpu = procCPUTime(pid) - cpu
		elapsed := time.Since(start)
		memory = append(memory, residentBytesOf(pid))
		t.Logf("| %d servers | %.1f MB at rest | %.1f MB after churn | %.0f changes a second | %.1f%% of a core |", n,
			float64(atRest)/(1<<20), float64(memory[len(memory)-1])/(1<<20), float64(changes)/elapsed.Seconds(),
			100*cpu.Seconds()/elapsed.Seconds())
	}
	if memory[0] == 0 {
		t.Skip("needs /proc to read memory use")
	}
	perServer := float64(memory[2]-memory[0]) / float64(sizes[2]-sizes[0])
	t.Logf("%.0f bytes of memory per server", perServer)
	if perServer < 200 {
		t.Error("implausibly little memory per server: the node does not hold the list")
	}
	if memory[2] > 32<<20 {
		t.Errorf("%.1f MB with 10,000 servers, want at most 32", float64(memory[2])/(1<<20))
	}
}

// readProcCounters returns a process's read and write system calls and its voluntary context switches, from
// /proc (proc(5): io, and voluntary_ctxt_switches in status).
func readProcCounters(pid int) (reads, writes, sleeps int64, ok bool) {
	all := map[string]int64{}
	for _, file := range []string{"io", "status"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
		if err != nil {
			return 0, 0, 0, false
		}
		for line := range strings.Lines(string(text)) {
			key, value, _ := strings.Cut(line, ":")
			if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
				all[key] = n
			}
		}
	}
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, 0, 0, false
	}
	for _, task := range tasks {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/status", pid, task.Name()))
		for line := range strings.Lines(string(text)) {
			if rest, found := strings.CutPrefix(line, "voluntary_ctxt_switches:"); found {
				n, _ := strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
				sleeps += n
			}
		}
	}
	return all["syscr"], all["syscw"], sleeps, true
}

// Bounds the reads and writes per request, which a library that polls once more for every request would
// exceed.
func TestSystemCallsPerRequest(t *testing.T) {
	rate := 300.0
	if os.Getenv("CURLEWRING_LONG") != "" {
		rate = 1700
	}
	o := defaultOptions()
	o.Nodes, o.Plan.Servers, o.Traffic.Rate, o.Traffic.Retries = 1, 16, rate, 0
	l, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := l.frontNodes[0]
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	type sample struct {
		requests              int64
		reads, writes, sleeps int64
	}
	var samples []sample // taken during the run, when connections are established
	r, err := l.Run(context.Background(), func(now Progress) {
		if reads, writes, sleeps, ok := readProcCounters(pid); ok {
			samples = append(samples, sample{now.Requests, reads, writes, sleeps})
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	checkReport(t, r)
	if len(samples) < 2 {
		t.Skip("needs /proc to count system calls")
	}
	a, b := samples[0], samples[len(samples)-1]
	n := float64(b.requests - a.requests)
	reads, writes, sleeps := float64(b.reads-a.reads)/n, float64(b.writes-a.writes)/n, float64(b.sleeps-a.sleeps)/n
	t.Logf("at %.0f requests per second: %.2f reads, %.2f writes, %.2f sleeps per request", rate, reads, writes, sleeps)
	if reads > 5.5 || writes > 2.5 {
		t.Errorf("%.2f reads and %.2f writes per request, want at most 5.5 and 2.5", reads, writes)
	}
}
