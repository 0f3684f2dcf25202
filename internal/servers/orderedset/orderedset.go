// Package orderedset provides a set of server IDs that keeps the order in which they were added.
//
// Its size is the number of distinct IDs, however often they are added and deleted. A Set does no I/O and is not safe
// for concurrent use.
package orderedset

import (
	"container/list"
	"iter"
)

// Set is an ordered set of IDs. The zero value is an empty set.
type Set struct {
	order    list.List // of string, oldest first
	elements map[string]*list.Element
}

// Len returns the number of IDs.
func (s *Set) Len() int { return s.order.Len() }

// Contains reports whether the ID is in the set.
func (s *Set) Contains(id string) bool { return s.elements[id] != nil }

// Add adds an ID as the newest. An ID that is in the set already keeps its place.
func (s *Set) Add(id string) {
	if s.Contains(id) {
		return
	}
	if s.elements == nil {
		s.elements = map[string]*list.Element{}
	}
	s.elements[id] = s.order.PushBack(id)
}

// Delete removes an ID, if it is in the set.
func (s *Set) Delete(id string) {
	if element := s.elements[id]; element != nil {
		s.order.Remove(element)
		delete(s.elements, id)
	}
}

// Oldest returns the ID that was added first, and false if the set is empty.
func (s *Set) Oldest() (id string, ok bool) {
	element := s.order.Front()
	if element == nil {
		return "", false
	}
	return element.Value.(string), true
}

// All iterates over the IDs, oldest first. The ID that was yielded last may be deleted meanwhile.
func (s *Set) All() iter.Seq[string] {
	return func(yield func(string) bool) {
		for element := s.order.Front(); element != nil; {
			next := element.Next()
			if !yield(element.Value.(string)) {
				return
			}
			element = next
		}
	}
}
