package scale

import (
	"cmp"
	"math"
	"slices"
)

// Sample is a value measured at one size.
type Sample struct {
	Size  int
	Value float64
}

// Growth is how a value grows with the size.
type Growth int

// The growths, from the slowest to the fastest.
const (
	Constant Growth = iota
	Logarithmic
	Linear
	Quadratic
)

// String returns the growth as shown in reports.
func (g Growth) String() string {
	return [...]string{"constant", "with the logarithm", "linear", "quadratic"}[g]
}

// term returns the size-dependent term of the growth.
func (g Growth) term(size int) float64 {
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

// Fit describes samples by Base + Slope * term, where term depends on the growth and the size.
type Fit struct {
	Growth   Growth
	Base     float64
	Slope    float64
	Residual float64 // largest distance of a sample from the fit, relative to the sample
	Largest  int     // largest size that was measured
}

// maxResidualRatio is how large the residual of a faster growth may be, relative to that of a slower one, for the
// faster growth to be preferred.
const maxResidualRatio = 0.7

// NewFit fits the samples with the slowest growth that describes them about as well as any other. There must be at
// least two sizes.
func NewFit(samples []Sample) Fit {
	best := fitGrowth(Constant, samples)
	for g := Logarithmic; g <= Quadratic; g++ {
		if candidate := fitGrowth(g, samples); candidate.Slope > 0 && candidate.Residual < maxResidualRatio*best.Residual {
			best = candidate
		}
	}
	return best
}

// fitGrowth fits one growth by least squares of the relative distances, so that small sizes count as much as large
// ones.
func fitGrowth(g Growth, samples []Sample) Fit {
	f := Fit{Growth: g, Largest: slices.MaxFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Size, b.Size) }).Size}
	var sumW, sumX, sumY, sumXX, sumXY float64
	for _, s := range samples {
		x, weight := g.term(s.Size), 1/max(s.Value*s.Value, math.SmallestNonzeroFloat32)
		sumW += weight
		sumX += weight * x
		sumY += weight * s.Value
		sumXX += weight * x * x
		sumXY += weight * x * s.Value
	}
	if determinant := sumW*sumXX - sumX*sumX; g != Constant && determinant > 0 {
		f.Slope = (sumW*sumXY - sumX*sumY) / determinant
	}
	f.Base = (sumY - f.Slope*sumX) / sumW
	for _, s := range samples {
		if s.Value != 0 {
			f.Residual = max(f.Residual, math.Abs(f.At(s.Size)-s.Value)/math.Abs(s.Value))
		}
	}
	return f
}

// At returns the value of the fit at a size.
func (f Fit) At(size int) float64 { return f.Base + f.Slope*f.Growth.term(size) }

// LimitExceededAt returns the smallest size at which the fit exceeds a limit; 0 if it does not up to a million.
func (f Fit) LimitExceededAt(limit float64) int {
	const maxSize = 1_000_000
	if f.At(maxSize) <= limit {
		return 0
	}
	low, high := 1, maxSize
	for low < high {
		middle := (low + high) / 2
		if f.At(middle) > limit {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
