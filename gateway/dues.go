package gateway

import queue "merlinhitch/due"

// due is something to do at a time. Exactly one of the last three says what.
type due struct {
	at    float64
	entry queue.Entry[*due]

	a         *attempt // its time-out, or what cancelled it
	cancelled bool
	j         *job   // its last possible landing
	name      string // the module's timer
}

// dues holds what is awaited, by time.
type dues struct{ queue.Heap[*due] }

func (h *dues) push(d *due) {
	d.entry.At, d.entry.What = d.at, d
	h.Push(&d.entry)
}

// remove takes d out, if it is in.
func (h *dues) remove(d *due) { h.Remove(&d.entry) }

// first returns the earliest entry, nil if there is none.
func (h *dues) first() *due {
	if e := h.First(); e != nil {
		return e.What
	}
	return nil
}
