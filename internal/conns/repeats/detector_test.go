package repeats

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// learned returns a detector that has seen enough different responses, and the time by then.
func learned() (*Detector, time.Duration) {
	d := NewDetector()
	for i := range uint64(minDistinct) {
		d.IsCopy(time.Duration(i)*ms, Response{Conn: 1000 + i, Digest: 1000 + i, Request: 1000 + i})
	}
	return d, minDistinct * ms
}

// A response that comes again on its connection is a copy, also after others, and however often.
func TestCopiesOnTheSameConnection(t *testing.T) {
	d, now := learned()
	for digest := range uint64(3) {
		if d.IsCopy(now, Response{Conn: 1, First: digest == 0, Digest: digest, Request: digest}) {
			t.Errorf("response %d is taken for a copy", digest)
		}
		now += 5 * ms
	}
	for i, digest := range []uint64{2, 0, 1, 2} {
		if !d.IsCopy(now, Response{Conn: 1, Digest: digest, Request: 10 + uint64(i)}) {
			t.Errorf("the copy of response %d is not found", digest)
		}
		now += 5 * ms
	}
}

// Responses that are equal by nature must never be taken for copies: a service may answer "ok" to everything, or
// to some requests among others, on many connections or on one.
func TestEqualResponsesAreNoCopies(t *testing.T) {
	for name, c := range map[string]struct {
		conns     uint64
		equalPart float64
		requests  uint64 // that differ; 0: all
	}{
		"all, one connection": {1, 1, 0}, "all, ten connections": {10, 1, 0}, "half, ten connections": {10, 0.5, 0},
		"half, one connection": {1, 0.5, 0}, "a tenth, ten connections": {10, 0.1, 0}, "a tenth, one connection": {1, 0.1, 0},
		"a tenth, one kind of request": {1, 0.1, 1}, "a tenth, some kinds of requests": {1, 0.1, 50},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				d, rng := NewDetector(), rand.New(rand.NewPCG(seed, 1))
				now, copies := time.Duration(0), 0
				seen := map[uint64]bool{}
				for i := range uint64(5000) {
					now += time.Duration(rng.IntN(int(4 * ms)))
					conn, digest := rng.Uint64N(c.conns), i
					if rng.Float64() < c.equalPart {
						digest = 1 << 40
					}
					request := i
					if c.requests > 0 {
						request = rng.Uint64N(c.requests)
					}
					if d.IsCopy(now, Response{Conn: conn, First: !seen[conn], Digest: digest, Request: request}) {
						copies++
						d.Refute(now) // no other response arrives
					}
					seen[conn] = true
				}
				// the first equal one after many different ones can look like a copy
				if copies > 1 {
					t.Errorf("seed %d: %d of 5000 responses are taken for copies", seed, copies)
				}
			}
		})
	}
}

// What excludes a copy: another connection, a new one, a long time, or too few responses to tell.
func TestWhatIsNoCopy(t *testing.T) {
	for name, again := range map[string]struct {
		after time.Duration
		Response
	}{
		"other connection": {5 * ms, Response{Conn: 2, Digest: 7, Request: 2}},
		"new connection":   {5 * ms, Response{Conn: 1, First: true, Digest: 7, Request: 2}},
		"later":            {copyWindow + 1, Response{Conn: 1, Digest: 7, Request: 2}},
	} {
		d, now := learned()
		d.IsCopy(now, Response{Conn: 1, Digest: 7, Request: 1})
		if d.IsCopy(now+again.after, again.Response) {
			t.Errorf("%s: taken for a copy", name)
		}
		// It has shown that responses can be equal by nature, so for a while nothing is suspect.
		now += again.after + ms
		d.IsCopy(now, Response{Conn: 3, Digest: 8, Request: 3})
		if d.IsCopy(now+ms, Response{Conn: 3, Digest: 8, Request: 4}) {
			t.Errorf("%s: the next equal response is taken for a copy", name)
		}
	}
	d := NewDetector()
	d.IsCopy(0, Response{Conn: 1, First: true, Digest: 7, Request: 1})
	if d.IsCopy(ms, Response{Conn: 1, Digest: 7, Request: 2}) {
		t.Error("the second of two responses is taken for a copy")
	}
}

// Learning ends after enough responses, whether or not they differ.
func TestLearningEnds(t *testing.T) {
	for name, distinct := range map[string]uint64{"all equal": 1, "all different": 1 << 40} {
		d := NewDetector()
		for i := range uint64(minDistinct) {
			if !d.Learning() {
				t.Errorf("%s: learned after %d responses", name, i)
			}
			d.IsCopy(time.Duration(i)*ms, Response{Conn: i % 3, Digest: i % distinct, Request: i})
		}
		if d.Learning() {
			t.Errorf("%s: still learning", name)
		}
	}
}

// The detector recovers from equal responses, and its memory is bounded.
func TestDetectionReturns(t *testing.T) {
	d, now := learned()
	d.IsCopy(now, Response{Conn: 1, Digest: 7, Request: 1})
	d.IsCopy(now+ms, Response{Conn: 2, Digest: 7, Request: 2})
	now += equalHold + 2*ms
	for i := range uint64(10 * remembered) {
		d.IsCopy(now, Response{Conn: i, Digest: 5000 + i, Request: 5000 + i})
	}
	d.IsCopy(now, Response{Conn: 1, Digest: 8, Request: 3})
	if !d.IsCopy(now+ms, Response{Conn: 1, Digest: 8, Request: 4}) {
		t.Error("a copy is not found a minute after equal responses")
	}
	if len(d.records) != remembered || len(d.byDigest) != remembered || len(d.byRequest) != remembered {
		t.Errorf("remembers %d, %d and %d responses", len(d.records), len(d.byDigest), len(d.byRequest))
	}
}

// Equal requests on one connection have equal responses, which are no copies. Where such requests
// have had different responses, an equal one is a copy again.
func TestEqualRequestsHaveEqualResponses(t *testing.T) {
	d, now := learned()
	for i := range 40 {
		if d.IsCopy(now, Response{Conn: 1, First: i == 0, Digest: 7, Request: 1}) {
			t.Fatalf("response %d to equal requests is taken for a copy", i)
		}
		now += 5 * ms
	}
	if !d.IsCopy(now, Response{Conn: 1, Digest: 7, Request: 2}) {
		t.Error("the same response to another request is not taken for a copy")
	}
	for i := range uint64(minDistinct + 1) {
		d.IsCopy(now, Response{Conn: 1, Digest: 50 + i, Request: 1})
	}
	if !d.IsCopy(now, Response{Conn: 1, Digest: 50, Request: 1}) {
		t.Error("a copy is not found although equal requests have had different responses")
	}
}
