package gateway

// due is something to do at a time. Exactly one of the last three says what.
type due struct {
	at   float64
	seq  uint64 // equals come due in the order in which they were set
	slot int    // its place in the heap, -1 when it is in none

	a         *attempt // its time-out, or what cancelled it
	cancelled bool
	j         *job   // its last possible landing
	name      string // the module's timer
}

// dues is a heap by time from which an entry can be taken out, so that it holds
// only what is still awaited.
type dues struct {
	heap []*due
	seq  uint64
}

func (h *dues) less(i, k int) bool {
	a, b := h.heap[i], h.heap[k]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (h *dues) swap(i, k int) {
	h.heap[i], h.heap[k] = h.heap[k], h.heap[i]
	h.heap[i].slot, h.heap[k].slot = i, k
}

func (h *dues) push(d *due) {
	h.seq++
	d.seq, d.slot = h.seq, len(h.heap)
	h.heap = append(h.heap, d)
	h.up(d.slot)
}

// remove takes d out, if it is in.
func (h *dues) remove(d *due) {
	i := d.slot
	if i < 0 {
		return
	}
	last := len(h.heap) - 1
	if i != last {
		h.swap(i, last)
	}
	h.heap[last] = nil
	h.heap = h.heap[:last]
	d.slot = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// first returns the earliest entry, nil if there is none.
func (h *dues) first() *due {
	if len(h.heap) == 0 {
		return nil
	}
	return h.heap[0]
}

func (h *dues) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *dues) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.heap) {
			return
		}
		if child+1 < len(h.heap) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
