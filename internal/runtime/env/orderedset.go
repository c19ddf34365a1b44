package env

import (
	"cmp"
	"maps"
	"slices"
)

// OrderedSet is a set that lists its members in insertion order, so that iterating over it
// is deterministic, unlike over a map. The zero value is an empty set. It is not safe for
// concurrent use.
type OrderedSet[T comparable] struct {
	sequence     map[T]uint64
	lastSequence uint64
}

// Add inserts v. A member that is already present moves to the end.
func (r *OrderedSet[T]) Add(v T) {
	if r.sequence == nil {
		r.sequence = map[T]uint64{}
	}
	r.lastSequence++
	r.sequence[v] = r.lastSequence
}

// Remove deletes v, if present.
func (r *OrderedSet[T]) Remove(v T) { delete(r.sequence, v) }

// Has reports whether v is a member.
func (r *OrderedSet[T]) Has(v T) bool { return r.sequence[v] != 0 }

// Len returns the number of members.
func (r *OrderedSet[T]) Len() int { return len(r.sequence) }

// All returns the members in insertion order.
func (r *OrderedSet[T]) All() []T {
	return slices.SortedFunc(maps.Keys(r.sequence), func(a, b T) int { return cmp.Compare(r.sequence[a], r.sequence[b]) })
}
