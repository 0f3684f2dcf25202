package membership

import "math/bits"

// Bits is a set of places in a view.
type BitSet []byte

// NewBits is an empty set of places below n.
func NewBitSet(n int) BitSet { return make(BitSet, (n+7)/8) }

// Has tells whether a place is in the set.
func (b BitSet) Has(i uint32) bool { return int(i/8) < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// set puts a place in.
func (b BitSet) set(i uint32) { b[i/8] |= 1 << (i % 8) }

// count is the number of places in the set.
func (b BitSet) count() (n int) {
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// merge puts in all of another set of the same length, and tells whether any was new.
// One of another length is not of this view, and is passed over.
func (b BitSet) merge(other BitSet) bool {
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
