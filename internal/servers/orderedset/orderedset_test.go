package orderedset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The set behaves like a slice without duplicates, for arbitrary operations and deletions during iteration.
func TestMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set Set
		var want []string
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 15)).Draw(t, "steps") {
			id := string(rune('a' + step%5))
			switch step / 5 {
			case 0:
				if set.Add(id); !slices.Contains(want, id) {
					want = append(want, id)
				}
			case 1:
				set.Delete(id)
				want = slices.DeleteFunc(want, func(other string) bool { return other == id })
			default:
				for each := range set.All() {
					if each <= id {
						set.Delete(each)
					}
				}
				want = slices.DeleteFunc(want, func(other string) bool { return other <= id })
			}
			if got := slices.Collect(set.All()); !slices.Equal(got, want) || set.Len() != len(want) {
				t.Fatalf("%v, length %d, want %v", got, set.Len(), want)
			}
			if oldest, ok := set.Oldest(); ok != (len(want) > 0) || ok && oldest != want[0] {
				t.Fatalf("oldest %q, %v, want %v", oldest, ok, want)
			}
			if set.Contains(id) != slices.Contains(want, id) {
				t.Fatalf("contains %s: %v, want %v", id, set.Contains(id), want)
			}
		}
	})
}
