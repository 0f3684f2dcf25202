package membership

import "math/bits"

// BitSet is a set of member indexes of a view.
type BitSet []byte

// NewBitSet returns an empty set for the indexes 0 to n-1.
func NewBitSet(n int) BitSet { return make(BitSet, (n+7)/8) }

// Has reports whether index i is in the set.
func (b BitSet) Has(i uint32) bool { return int(i/8) < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// set adds index i.
func (b BitSet) set(i uint32) { b[i/8] |= 1 << (i % 8) }

// count returns the number of indexes in the set.
func (b BitSet) count() (n int) {
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// merge adds all indexes of another set and reports whether any was new. A set of another
// length belongs to another view and is ignored.
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
