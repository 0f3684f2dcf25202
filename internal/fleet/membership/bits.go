package membership

import "math/bits"

// Bits is a set of places in a view.
type Bits []byte

// NewBits is an empty set of places below n.
func NewBits(n int) Bits { return make(Bits, (n+7)/8) }

// Has tells whether a place is in the set.
func (b Bits) Has(i uint32) bool { return int(i/8) < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// set puts a place in.
func (b Bits) set(i uint32) { b[i/8] |= 1 << (i % 8) }

// count is the number of places in the set.
func (b Bits) count() (n int) {
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// merge puts in all of another set of the same length, and tells whether any was new.
// One of another length is not of this view, and is passed over.
func (b Bits) merge(other Bits) bool {
	if len(other) != len(b) {
		return false
	}
	grown := false
	for i, x := range other {
		grown = grown || x&^b[i] != 0
		b[i] |= x
	}
	return grown
}
