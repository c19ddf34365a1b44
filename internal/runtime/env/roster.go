package env

import (
	"cmp"
	"maps"
	"slices"
)

// OrderedSet is a set that lists its members in the order in which they came, so that what
// a shell does to each happens in the same order in every run. The zero value is empty.
// Its user serialises the calls.
type OrderedSet[T comparable] struct {
	sequence     map[T]uint64
	lastSequence uint64
}

// Add enters a member.
func (r *OrderedSet[T]) Add(v T) {
	if r.sequence == nil {
		r.sequence = map[T]uint64{}
	}
	r.lastSequence++
	r.sequence[v] = r.lastSequence
}

// Remove takes a member out, if it is in.
func (r *OrderedSet[T]) Remove(v T) { delete(r.sequence, v) }

// Has tells whether v is a member.
func (r *OrderedSet[T]) Has(v T) bool { return r.sequence[v] != 0 }

// Len is the number of members.
func (r *OrderedSet[T]) Len() int { return len(r.sequence) }

// All lists the members.
func (r *OrderedSet[T]) All() []T {
	return slices.SortedFunc(maps.Keys(r.sequence), func(a, b T) int { return cmp.Compare(r.sequence[a], r.sequence[b]) })
}
