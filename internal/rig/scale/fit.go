package scale

import (
	"cmp"
	"math"
	"slices"
)

// Sample is one figure, measured at one size.
type Sample struct {
	Size  int
	Value float64
}

// Growth is a way in which a figure may grow with the size.
type Growth int

// The growths, the slowest first.
const (
	Constant Growth = iota
	Logarithmic
	Linear
	Quadratic
)

func (g Growth) String() string {
	return [...]string{"constant", "with the logarithm", "linear", "quadratic"}[g]
}

// at is the growth's term at a size.
func (g Growth) at(size int) float64 {
	n := float64(size)
	switch g {
	case Logarithmic:
		return math.Log2(n)
	case Linear:
		return n
	case Quadratic:
		return n * n
	default:
		return 0
	}
}

// Fit is the line through samples: Base + Slope times the growth's term.
type Fit struct {
	Growth   Growth
	Base     float64
	Slope    float64
	Residual float64 // the largest distance of a sample, as a part of the sample
	Largest  int     // size that was measured
}

// clearlyBetter is how much smaller the residual of a faster growth must be for it to be taken.
const clearlyBetter = 0.7

// NewFit finds the slowest growth that describes the samples about as well as any. There must be two sizes at least.
func NewFit(samples []Sample) Fit {
	best := fitAs(Constant, samples)
	for g := Logarithmic; g <= Quadratic; g++ {
		if next := fitAs(g, samples); next.Slope > 0 && next.Residual < clearlyBetter*best.Residual {
			best = next
		}
	}
	return best
}

// fitAs is the line for one growth with the least squares of the relative distances: small sizes count as large ones do.
func fitAs(g Growth, samples []Sample) Fit {
	f := Fit{Growth: g, Largest: slices.MaxFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Size, b.Size) }).Size}
	var sumW, sumX, sumY, sumXX, sumXY float64
	for _, s := range samples {
		x, weight := g.at(s.Size), 1/max(s.Value*s.Value, math.SmallestNonzeroFloat32)
		sumW += weight
		sumX += weight * x
		sumY += weight * s.Value
		sumXX += weight * x * x
		sumXY += weight * x * s.Value
	}
	if spread := sumW*sumXX - sumX*sumX; g != Constant && spread > 0 {
		f.Slope = (sumW*sumXY - sumX*sumY) / spread
	}
	f.Base = (sumY - f.Slope*sumX) / sumW
	for _, s := range samples {
		if s.Value != 0 {
			f.Residual = max(f.Residual, math.Abs(f.At(s.Size)-s.Value)/math.Abs(s.Value))
		}
	}
	return f
}

// At is the figure that the fit gives for a size.
func (f Fit) At(size int) float64 { return f.Base + f.Slope*f.Growth.at(size) }

// Breaks is the size from which on the fit exceeds what is allowed; 0: not up to a million.
func (f Fit) LimitExceededAt(allowed float64) int {
	const most = 1_000_000
	if f.At(most) <= allowed {
		return 0
	}
	low, high := 1, most
	for low < high {
		middle := (low + high) / 2
		if f.At(middle) > allowed {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
