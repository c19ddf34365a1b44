package env

import (
	"cmp"
	"maps"
	"slices"
)

// Roster is a set that lists its members in the order in which they came, so that what
// a shell does to each happens in the same order in every run. The zero value is empty.
// Its user serialises the calls.
type Roster[T comparable] struct {
	came map[T]uint64
	next uint64
}

// Add enters a member.
func (r *Roster[T]) Add(v T) {
	if r.came == nil {
		r.came = map[T]uint64{}
	}
	r.next++
	r.came[v] = r.next
}

// Remove takes a member out, if it is in.
func (r *Roster[T]) Remove(v T) { delete(r.came, v) }

// Has tells whether v is a member.
func (r *Roster[T]) Has(v T) bool { return r.came[v] != 0 }

// Len is the number of members.
func (r *Roster[T]) Len() int { return len(r.came) }

// All lists the members.
func (r *Roster[T]) All() []T {
	return slices.SortedFunc(maps.Keys(r.came), func(a, b T) int { return cmp.Compare(r.came[a], r.came[b]) })
}
