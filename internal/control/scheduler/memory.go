package scheduler

import (
	"sync/atomic"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/locks"
)

// This file divides the process's memory among what its peers can make it hold.

const (
	minMemoryMB = 32 // lower bound of the configured memory, MiB
	// defaultImageBytes is assumed for the resident pages of files where they are not known.
	defaultImageBytes = 8 << 20
	// spareBytes stays unused: threads' stacks, pages of the kernel, and what the collector is late by.
	spareBytes = 6 << 20
	// liveFraction is the part of the heap's limit that may be in use. The rest is room for the
	// collector, whose cost grows as the two come close.
	liveFraction = 0.7
	// baseBytes is the heap of a scheduler without connections: the policy's state, the list of disk
	// servers, ids and the log.
	baseBytes = 3 << 20
	// minHeapFraction is the least part of the memory that the heap gets, however large the image is.
	minHeapFraction = 0.25
	// clientConnBytes and serverConnBytes are what a connection takes with its goroutines and
	// buffers, and the bytes of a message that need no reservation.
	clientConnBytes = 12 << 10
	serverConnBytes = 12 << 10
	// maxConnFraction is the part of the heap in use that connections may take.
	maxConnFraction = 0.6
	// unreservedBytes of each request, and unreservedReplyBytes of each response of a disk server, need
	// no reservation, so that small ones are read however much others hold.
	unreservedBytes      = 2 << 10
	unreservedReplyBytes = 4 << 10
)

// Parts of the memory for messages.
const (
	headFraction      = 0.05 // heads of requests that are not answered yet
	bodyFraction      = 0.25 // bodies of these
	readAheadFraction = 0.15 // requests behind an open one
	replyFraction     = 0.30 // responses of disk servers
	answerFraction    = 0.25 // responses that are not written to their clients yet
)

// MemoryPlan is how the memory of a process is divided.
type MemoryPlan struct {
	HeapBytes  int64 // soft limit of the Go runtime
	maxClients int   // client connections that are not closing
	maxClosing int   // client connections that are closing
	maxServers int   // connections to disk servers
	// Bytes of messages.
	heads, bodies, readAhead, replies, answers int64
}

// PlanMemory divides the memory and the descriptors of limits. Where the memory does not suffice for
// the connections that the descriptors allow, there are fewer.
func PlanMemory(limits Limits) MemoryPlan {
	total := float64(int64(max(limits.MemoryMB, minMemoryMB)) << 20)
	image := float64(limits.ImageBytes)
	if limits.ImageBytes <= 0 {
		image = defaultImageBytes
	}
	heap := max(total-image-spareBytes, minHeapFraction*total)
	live := max(liveFraction*heap-baseBytes, 0)
	sockets := float64(max(limits.Sockets, minSockets))
	connBytes := sockets * ((clientSocketFraction+closingSocketFraction)*clientConnBytes + serverSocketFraction*serverConnBytes)
	connFraction := min(1, maxConnFraction*live/connBytes)
	messages := live - connFraction*connBytes
	part := func(fraction float64) int64 { return int64(fraction * messages) }
	return MemoryPlan{HeapBytes: int64(heap),
		maxClients: int(sockets * clientSocketFraction * connFraction), maxClosing: int(sockets * closingSocketFraction * connFraction),
		maxServers: int(sockets * serverSocketFraction * connFraction),
		heads:      part(headFraction), bodies: part(bodyFraction), readAhead: part(readAheadFraction), replies: part(replyFraction), answers: part(answerFraction)}
}

// memoryAccount counts the bytes of messages that are held, by kind. Bytes are reserved before they
// are allocated.
type memoryAccount struct {
	heads, readAhead, replies, answers byteBudget
	bodies                             bodyBudget
	refused                            refusedCounters
}

// refusedCounters counts requests that were refused for lack of room, by what could not be kept.
type refusedCounters struct{ heads, bodies, pipelined atomic.Uint64 }

// setLimits applies a plan. Bytes that are held already stay held.
func (m *memoryAccount) setLimits(plan MemoryPlan) {
	m.heads.limit.Store(plan.heads)
	m.readAhead.limit.Store(plan.readAhead)
	m.replies.limit.Store(plan.replies)
	m.answers.limit.Store(plan.answers)
	m.bodies.setLimit(plan.bodies)
}

// byteBudget bounds the bytes of one kind.
type byteBudget struct{ used, limit atomic.Int64 }

func (b *byteBudget) add(n int) { b.used.Add(int64(n)) }

func (b *byteBudget) exhausted() bool { return b.used.Load() >= b.limit.Load() }

// reserve adds n bytes if they fit.
func (b *byteBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.add(-n)
	return false
}

// reservation is what one message has reserved in a budget, beyond the bytes that are free to it.
type reservation struct {
	budget         *byteBudget
	free           int
	held, reserved int
}

// reserve counts n more bytes of the message. It returns false if there is no room for them.
func (r *reservation) reserve(n int) bool {
	r.held += n
	needed := r.held - r.free - r.reserved
	if needed <= 0 {
		return true
	}
	if !r.budget.reserve(needed) {
		return false
	}
	r.reserved += needed
	return true
}

// release returns what is reserved.
func (r *reservation) release() {
	r.budget.add(-r.reserved)
	r.held, r.reserved = 0, 0
}

// bodyBudget bounds the bytes of requests' bodies. Where a body finds no room, the largest of those
// that are incomplete and have made no progress for bodyStallTimeMS is dropped for it.
type bodyBudget struct {
	mu          locks.Mutex
	used, limit int64
	incomplete  []*requestBody // those that hold reserved bytes, in no order
}

// bodyStallTimeMS is how long an incomplete body may make no progress before it may be dropped.
const bodyStallTimeMS = 100.0

// requestBody is a body that is being read, and then held until its request has ended. Once it is
// dropped, the rest of it is read and not kept.
type requestBody struct {
	budget    *bodyBudget
	now       func() float64
	maxLength int
	// Guarded by the budget's mutex.
	content    []byte
	reserved   int
	progressAt float64
	dropped    bool
	index      int // in the budget's incomplete bodies plus one; 0: not among them
}

func (b *bodyBudget) setLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// newBody returns an empty body of up to maxLength bytes.
func (b *bodyBudget) newBody(now func() float64, maxLength int) *requestBody {
	return &requestBody{budget: b, now: now, maxLength: maxLength}
}

// append adds a piece, unless the body has been dropped or is dropped now for lack of room.
func (r *requestBody) append(piece []byte) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.progressAt = r.now()
	if r.dropped {
		return
	}
	if growth := r.growth(len(piece)); growth > 0 {
		capacity := cap(r.content) + growth
		if !b.reserve(r, capacity-unreservedBytes-r.reserved) {
			b.drop(r)
			return
		}
		grown := make([]byte, len(r.content), capacity)
		copy(grown, r.content)
		r.content = grown
	}
	r.content = append(r.content, piece...)
}

// growth returns by how many bytes the body's buffer has to grow for a piece; 0 if it fits. The
// unreserved bytes are filled first.
func (r *requestBody) growth(piece int) int {
	needed := len(r.content) + piece
	if needed <= cap(r.content) {
		return 0
	}
	if needed <= unreservedBytes {
		return min(unreservedBytes, r.maxLength) - cap(r.content)
	}
	return http1.GrowthStep(cap(r.content), needed-cap(r.content), r.maxLength)
}

// reserve reserves n more bytes for r, and drops others where there is no room. The mutex is held.
func (b *bodyBudget) reserve(r *requestBody, n int) bool {
	if n <= 0 {
		return true
	}
	for b.used+int64(n) > b.limit {
		victim := b.largestStalled(r)
		if victim == nil {
			return false
		}
		b.drop(victim)
	}
	b.used += int64(n)
	r.reserved += n
	b.addIncomplete(r)
	return true
}

// addIncomplete adds r to the incomplete bodies, unless it is among them. The mutex is held.
func (b *bodyBudget) addIncomplete(r *requestBody) {
	if r.index == 0 {
		b.incomplete = append(b.incomplete, r)
		r.index = len(b.incomplete)
	}
}

// removeIncomplete removes r from the incomplete bodies, if it is among them. The mutex is held.
func (b *bodyBudget) removeIncomplete(r *requestBody) {
	if r.index == 0 {
		return
	}
	last := len(b.incomplete) - 1
	moved := b.incomplete[last]
	b.incomplete[r.index-1], moved.index = moved, r.index
	b.incomplete[last] = nil
	b.incomplete = b.incomplete[:last]
	r.index = 0
}

// largestStalled returns the incomplete body that holds most of those that make no progress, nil if
// there is none. The mutex is held.
func (b *bodyBudget) largestStalled(except *requestBody) (largest *requestBody) {
	stalledSince := except.progressAt - bodyStallTimeMS
	for _, r := range b.incomplete {
		if r != except && r.progressAt < stalledSince && (largest == nil || r.reserved > largest.reserved) {
			largest = r
		}
	}
	return largest
}

// drop gives up what r holds. The mutex is held.
func (b *bodyBudget) drop(r *requestBody) {
	b.used -= int64(r.reserved)
	r.reserved, r.content, r.dropped = 0, nil, true
	b.removeIncomplete(r)
}

// complete returns the whole body, which is not dropped any more; false if it has been dropped.
func (r *requestBody) complete() ([]byte, bool) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeIncomplete(r)
	return r.content, !r.dropped
}

// release returns the body's bytes to the budget once its request has ended.
func (r *requestBody) release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(r)
}

// usedBytes returns the bytes that all bodies hold.
func (b *bodyBudget) usedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
