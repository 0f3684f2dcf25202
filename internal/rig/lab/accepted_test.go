package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// randomRoutes draws routes with settings around the permitted bounds, so that many are refused.
func randomRoutes(rng *rand.Rand, plan *standin.Plan) string {
	var b strings.Builder
	for _, c := range plan.Classes {
		if rng.IntN(4) == 0 {
			continue
		}
		fmt.Fprintf(&b, "[[route]]\nclass = %q\nattempts = %d\n", c.Name, 1+rng.IntN(5))
		ms := func(low, high int) string {
			return (time.Duration(low+rng.IntN(high-low)) * time.Millisecond).String()
		}
		if rng.IntN(2) == 0 {
			fmt.Fprintf(&b, "attempt_timeout = %q\n", ms(30, 2500))
		}
		if rng.IntN(3) == 0 {
			fmt.Fprintf(&b, "backoff = { first = %q, jitter = 0.5 }\n", ms(1, 300))
		}
		if rng.IntN(4) == 0 {
			fmt.Fprintf(&b, "deadline_cap = %q\n", ms(300, 6000))
		}
		if rng.IntN(4) == 0 {
			fmt.Fprintf(&b, "second_copy_after = %q\n", ms(10, 400))
		}
		if rng.IntN(3) == 0 {
			b.WriteString("retry_on = [\"timeout\", \"reset\", \"unconnected\", \"turned-away\"]\n")
		}
	}
	return b.String()
}

// Routes that the check accepts must start and serve without a broken rule while servers hang, fail and come
// back cold. Routes that it refuses must not start.
func TestAcceptedRoutesServe(t *testing.T) {
	samples := 2
	if os.Getenv("CURLEWRING_LONG") != "" {
		samples = 60
	}
	rng := rand.New(rand.NewPCG(9, 1))
	accepted, refused := 0, 0
	for accepted < samples {
		o := sidecarOptions(2 + rng.IntN(3))
		o.Plan.Seed, o.AllowHedging, o.MaxRetryAfter = rng.Uint64(), rng.IntN(2) == 0, time.Duration(rng.IntN(2))*time.Second
		o.Routes = randomRoutes(rng, &o.Plan)
		o.Traffic.Duration = 2 * time.Second
		for _, text := range []string{"stuck:box=0,at=300ms,for=700ms", "reset:box=1,at=500ms,for=500ms", "crash:box=2,at=800ms,for=600ms"} {
			f, err := standin.ParseFault(text)
			if err != nil {
				t.Fatal(err)
			}
			o.Faults = append(o.Faults, f)
		}
		l, err := Open(context.Background(), o)
		if err != nil {
			if !strings.Contains(err.Error(), "descriptions") {
				t.Fatalf("accepted routes do not start: %v\n%s", err, o.Routes)
			}
			if refused++; refused > 200*samples {
				t.Fatal("the check refuses nearly all routes")
			}
			continue
		}
		accepted++
		r, err := l.Run(context.Background(), nil)
		l.Close()
		if err != nil {
			t.Fatal(err)
		}
		checkReport(t, r)
		if t.Failed() {
			t.Fatalf("routes:\n%s", o.Routes)
		}
	}
	t.Logf("%d sets of routes accepted and served, %d refused", accepted, refused)
}
