package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["turned-away-twice"] = turnedAwayTwice
	cases["alike"] = alike
	cases["same-subject"] = sameSubject
}

// smallFleet starts servers and nodes of a small deployment: two sites, cells of three servers.
func smallFleet(servers, nodes int, dir string, rec *record, with func(*server)) (*discovery, []*server, []*nodeProcess, *effects, error) {
	d, err := newDiscovery(rec)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	zones := []string{"zuerich", "genf"}
	eff, cells := newEffects(), map[int]*cell{}
	var all []*server
	for i := range servers {
		no := i / 3
		if cells[no] == nil {
			cells[no] = &cell{ran: map[string]time.Time{}}
		}
		s := &server{id: fmt.Sprintf("s-%02d", i), zone: zones[no%len(zones)], cellNo: no, rec: rec, cell: cells[no], effects: eff, cores: 2, most: 12}
		with(s)
		if err := s.start(); err != nil {
			return nil, nil, nil, nil, err
		}
		d.publish(s.entry("SERVING"))
		all = append(all, s)
	}
	var started []*nodeProcess
	for i := range nodes {
		address, err := freeAddress()
		if err != nil {
			return nil, nil, nil, nil, err
		}
		n, err := startNode(nodeConfig{
			Name: fmt.Sprintf("n%d", i), Listen: address, Discovery: d.address, Known: d.whole(),
			Settings: settings(i, nodes, zones[i%len(zones)], zones, classes),
		}, dir, rec)
		if err == nil {
			started = append(started, n)
			err = n.waitReady(20 * time.Second)
		}
		if err != nil {
			for _, n := range started {
				n.kill()
			}
			return nil, nil, nil, nil, err
		}
	}
	return d, all, started, eff, nil
}

// foreign counts served answers that no server made for their request.
type foreign struct {
	mu     sync.Mutex
	asked  int
	served int
	breaks []string
}

// check expects the server's name and the request's id in an answer.
func (f *foreign) check(id string, a answer) { f.checkBody(id, "", a) }

// checkBody expects the text that servers make for such a request, if it is the same for all.
func (f *foreign) checkBody(id, made string, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if a.status != http.StatusOK || a.err != nil {
		return
	}
	f.served++
	if made == "" && !strings.Contains(a.body, id) || made != "" && a.body != made {
		f.breaks = append(f.breaks, fmt.Sprintf("request %s was served with %q", id, shorten(a.body)))
	}
}

// unsafeClasses are those of the site, with the third one unsafe to repeat.
var unsafeClasses = []class{
	liftwacht[0], liftwacht[1],
	{"stoerung", 2 * time.Second, 6 * time.Second, 1, "once", "all", 5 * time.Second},
}

// turnedAwayTwice plays twoBursts.
func turnedAwayTwice(trouble bool, dir string, rec *record) (verdict, error) {
	classes = unsafeClasses
	return sideBySide(4, trouble, dir, rec, twoBursts)
}

// sideBySide plays the same before some fleets that have nothing to do with each other, which shows in one run what one
// of them shows in several.
func sideBySide(fleets int, trouble bool, dir string, rec *record, start func(bool, string, *record) (func() verdict, func(), error)) (verdict, error) {
	var plays []func() verdict
	for i := range fleets {
		folder := filepath.Join(dir, fmt.Sprint("fleet-", i))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return verdict{}, err
		}
		play, end, err := start(trouble, folder, rec)
		if err != nil {
			return verdict{}, err
		}
		defer end()
		plays = append(plays, play)
	}
	verdicts := make([]verdict, len(plays))
	var all sync.WaitGroup
	for i := range plays {
		all.Go(func() { verdicts[i] = plays[i]() })
	}
	all.Wait()
	sum := verdict{}
	for i, v := range verdicts {
		sum.note += fmt.Sprintf("fleet %d: %s; ", i, v.note)
		sum.breaks = append(sum.breaks, v.breaks...)
	}
	return sum, nil
}

// twoBursts: traffic jumps for some seconds, servers turn away what they have no room for, and some of these answers
// come a second time, some milliseconds late. It returns the play and a function that ends the nodes.
func twoBursts(trouble bool, dir string, rec *record) (play func() verdict, end func(), err error) {
	_, _, nodes, eff, err := smallFleet(4, 2, dir, rec, func(s *server) {
		s.work = func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(40)) * time.Millisecond }
		s.most, s.unsafe = 4, "stoerung"
		s.again = func(status int) time.Duration {
			if !trouble || status != http.StatusServiceUnavailable || rand.IntN(100) >= 60 {
				return 0
			}
			return time.Duration(30+rand.IntN(20)) * time.Millisecond
		}
	})
	if err != nil {
		return nil, nil, err
	}
	end = func() {
		for _, n := range nodes {
			n.kill()
		}
	}
	var f foreign
	ask := func(rate float64, length time.Duration) {
		every(rate, time.Now().Add(length), func() {
			c := classes[0]
			switch share := rand.Float64(); {
			case share < 0.32:
				c = classes[2]
			case share < 0.84:
				c = classes[1]
			}
			id, body := newID(), ""
			if c.semantics == "once" {
				body = "fault of " + id
			}
			wait := c.deadline * time.Duration(70+rand.IntN(31)) / 100
			f.check(id, pools(nodes, rec).ask(c, "/"+c.name+"/"+newID(), "", id, body, wait))
		})
	}
	play = func() verdict {
		for _, quiet := range [...]time.Duration{57 * time.Second, 3 * time.Second} {
			ask(100, 4*time.Second)
			ask(250, 6*time.Second) // a burst of 2.5 times that
			ask(30, quiet)          // nodes are wary for a minute after a second answer that they noticed
		}
		v := verdict{note: fmt.Sprintf("asked %d, served %d", f.asked, f.served)}
		for _, id := range eff.twice() {
			v.breaks = append(v.breaks, "the unsafe request "+id+" has run more than once")
		}
		v.breaks = append(v.breaks, f.breaks...)
		return v
	}
	return play, end, nil
}

var (
	poolsMu sync.Mutex
	poolOf  = map[string]*clientPool{}
)

// pools returns the client's connections to a node drawn at random.
func pools(nodes []*nodeProcess, rec *record) *clientPool {
	n := nodes[rand.IntN(len(nodes))]
	poolsMu.Lock()
	defer poolsMu.Unlock()
	if poolOf[n.address] == nil {
		poolOf[n.address] = &clientPool{address: n.address, rec: rec}
	}
	return poolOf[n.address]
}

// alike plays likeAnswers.
func alike(trouble bool, dir string, rec *record) (verdict, error) {
	return sideBySide(2, trouble, dir, rec, likeAnswers)
}

// likeAnswers: a ticket is answered "accepted", whoever opens it; after a quiet time some answers come a second time,
// some milliseconds late.
func likeAnswers(trouble bool, dir string, rec *record) (play func() verdict, end func(), err error) {
	var spoilt atomic.Bool
	_, _, nodes, _, err := smallFleet(4, 2, dir, rec, func(s *server) {
		s.work = func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(40)) * time.Millisecond }
		s.alike, s.cores, s.most = "stoerung", 6, 20
		s.again = func(int) time.Duration {
			if !trouble || !spoilt.Load() || rand.IntN(100) >= 20 {
				return 0
			}
			return time.Duration(20+rand.IntN(30)) * time.Millisecond
		}
	})
	if err != nil {
		return nil, nil, err
	}
	end = func() {
		for _, n := range nodes {
			n.kill()
		}
	}
	var f foreign
	ask := func(length time.Duration) {
		every(250, time.Now().Add(length), func() {
			c := classes[0]
			switch share := rand.Float64(); {
			case share < 0.32:
				c = classes[2]
			case share < 0.84:
				c = classes[1]
			}
			id, key, body, made := newID(), "", "", ""
			if c.semantics == "by_key" {
				key, body, made = newID()+newID(), "fault of "+id, "accepted\n"
			}
			f.checkBody(id, made, pools(nodes, rec).ask(c, "/"+c.name+"/"+newID(), key, id, body, c.deadline))
		})
	}
	play = func() verdict {
		ask(10 * time.Second)
		spoilt.Store(true)
		ask(5 * time.Second)
		return verdict{note: fmt.Sprintf("asked %d, served %d", f.asked, f.served), breaks: f.breaks}
	}
	return play, end, nil
}

// sameSubject: the desk asks for the state of a unit again and again, and some answers come a second time, some
// milliseconds late.
func sameSubject(trouble bool, dir string, rec *record) (verdict, error) {
	_, _, nodes, _, err := smallFleet(6, 4, dir, rec, func(s *server) {
		s.work = func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(20)) * time.Millisecond }
		s.again = func(int) time.Duration {
			if !trouble || rand.IntN(100) >= 20 {
				return 0
			}
			return time.Duration(12+rand.IntN(34)) * time.Millisecond
		}
	})
	if err != nil {
		return verdict{}, err
	}
	defer func() {
		for _, n := range nodes {
			n.kill()
		}
	}()
	var f foreign
	ask := func(p *clientPool, c class, subject string) {
		id := newID()
		f.check(id, p.ask(c, "/"+c.name+"/"+subject, "", id, "", c.deadline))
	}
	until := time.Now().Add(25 * time.Second)
	var all sync.WaitGroup
	// Most ask for one unit each.
	all.Go(func() { every(100, until, func() { ask(pools(nodes, rec), liftwacht[1], newID()) }) })
	// Now and then somebody asks for the same unit several times, one request after another.
	all.Go(func() {
		every(2, until, func() {
			p, subject := pools(nodes, rec), newID()
			for range 4 {
				ask(p, liftwacht[0], subject)
				time.Sleep(time.Duration(5+rand.IntN(15)) * time.Millisecond)
			}
		})
	})
	all.Wait()
	return verdict{note: fmt.Sprintf("asked %d, served %d", f.asked, f.served), breaks: f.breaks}, nil
}
