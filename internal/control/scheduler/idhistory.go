package scheduler

import "hash/maphash"

// Numbers of remembered ids. A flood of requests may come faster than recentIDCount are useful for, but
// no faster than disk servers execute requests: executedIDCount exceeds those within the longest
// deadline at several thousand a second.
const (
	recentIDCount   = 4096
	executedIDCount = 16384
)

// idHistory is the set of the last size request ids that were added, a ring buffer with an index. It
// holds hashes under a seed that peers don't know.
type idHistory struct {
	size   int
	seed   maphash.Seed
	set    map[uint64]struct{}
	hashes []uint64
	oldest int
}

func (r *idHistory) contains(id string) bool {
	if r.set == nil {
		return false
	}
	_, known := r.set[maphash.String(r.seed, id)]
	return known
}

func (r *idHistory) add(id string) {
	if r.set == nil {
		r.seed, r.set = maphash.MakeSeed(), make(map[uint64]struct{})
	}
	hash := maphash.String(r.seed, id)
	if _, known := r.set[hash]; known {
		return
	}
	if len(r.hashes) < r.size {
		r.hashes = append(r.hashes, hash)
	} else {
		delete(r.set, r.hashes[r.oldest])
		r.hashes[r.oldest] = hash
		r.oldest = (r.oldest + 1) % r.size
	}
	r.set[hash] = struct{}{}
}
