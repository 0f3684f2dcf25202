package endpoints

import (
	"math/rand/v2"
	"time"
)

const (
	// Each change of the list costs discovery a call of every node that watches. While calls fail for want of capacity a
	// node that was just told of changes pauses before it watches again, so that one call brings several.
	pauseFirst = time.Second
	pauseMost  = 7 * time.Second
	// pauseStep is taken off the pause by each answer.
	pauseStep = 500 * time.Millisecond
	// Up to this part is taken off at random: all nodes are told of a change at once.
	pauseJitter = 0.75
	// callMargin is left of the time for which a node without a watch may go by its list, for the next call.
	callMargin = 3 * time.Second
)

// Pace controls a node's rate of calls to discovery by what becomes of them: the pause after an answer with changes
// doubles with each call that discovery had no capacity for, and shrinks by a step with each answer.
type Pace struct {
	most  time.Duration
	pause time.Duration
	rng   *rand.Rand
}

// NewPace returns the pace of a node that may go by its list for a time without asking; 0: not told.
func NewPace(askWithin time.Duration, seed uint64) *Pace {
	most := pauseMost
	if askWithin > 0 {
		most = min(most, max(askWithin-callMargin, askWithin/2))
	}
	return &Pace{most: most, rng: rand.New(rand.NewPCG(seed, 0x70616365))}
}

// Overloaded takes a call that discovery had no capacity for.
func (p *Pace) Overloaded() { p.pause = min(max(pauseFirst, 2*p.pause), p.most) }

// Answered takes an answer and returns the pause before the next call; 0: the watch goes on.
func (p *Pace) Answered(changes bool) (pause time.Duration) {
	if changes {
		pause = p.pause - time.Duration(p.rng.Float64()*float64(p.pause)*pauseJitter)
	}
	p.pause = max(0, p.pause-pauseStep)
	return pause
}
