package endpoints

import (
	"math/rand/v2"
	"time"
)

const (
	// Each change of the list costs discovery a call of every node that watches. While calls fail for want of capacity a
	// node that was just told of changes pauses before it watches again, so that one call brings several changes.
	pacePauseFirst = 500 * time.Millisecond
	pacePauseMost  = 4 * time.Second
	// pacePauseShare bounds the pause by the time for which a node without a watch may go by its list.
	pacePauseShare = 3
	// A pause below this is none.
	pacePauseLeast = 250 * time.Millisecond
)

// Pace controls a node's rate of calls to discovery by what becomes of them: a pause after an answer with changes is
// doubled by each call that discovery had no capacity for, and halved by each answer.
type Pace struct {
	most  time.Duration
	pause time.Duration
	rng   *rand.Rand
}

// NewPace returns the pace of a node that may go by its list for a time without asking; 0: not told.
func NewPace(askWithin time.Duration, seed uint64) *Pace {
	most := pacePauseMost
	if askWithin > 0 {
		most = min(most, askWithin/pacePauseShare)
	}
	return &Pace{most: most, rng: rand.New(rand.NewPCG(seed, 0x70616365))}
}

// Overloaded takes a call that discovery had no capacity for.
func (p *Pace) Overloaded() { p.pause = min(max(pacePauseFirst, 2*p.pause), p.most) }

// Answered takes an answer and returns the pause before the next call; 0: the watch goes on.
func (p *Pace) Answered(changes bool) (pause time.Duration) {
	if changes && p.pause > 0 {
		pause = p.pause/2 + time.Duration(p.rng.Float64()*float64(p.pause)/2)
	}
	p.pause /= 2
	if p.pause < pacePauseLeast {
		p.pause = 0
	}
	return pause
}
