package policy

import (
	"container/heap"
	"slices"
)

// Timers of requests and shards.

type timer struct {
	due float64
	req *request
	sh  *shard
}

type timerHeap []timer

// pruneTimersAbove is the number of timers up to which timers of ended requests are left to expire.
const pruneTimersAbove = 8192

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// setTimer schedules a check of r's deadlines or a dispatch of sh. A shard has one timer, the
// earliest; later ones are dropped.
func (p *scheduler) setTimer(due float64, r *request, sh *shard) {
	if sh != nil {
		if sh.timerAt > p.now && sh.timerAt <= due {
			return
		}
		sh.timerAt = due
	}
	heap.Push(&p.timers, timer{due, r, sh})
}

// runTimers runs the timers that are due and sets the caller's timer for the next. Of more than
// pruneTimersAbove timers it removes those of ended requests if these are more than half.
func (p *scheduler) runTimers() {
	for len(p.timers) > 0 && p.timers[0].due <= p.now {
		t := heap.Pop(&p.timers).(timer)
		if t.req != nil {
			if t.req.over() {
				p.staleTimers--
			}
			p.checkDeadlines(t.req)
		} else if t.due == t.sh.timerAt {
			p.dispatch(t.sh)
		}
	}
	if len(p.timers) > pruneTimersAbove && 2*p.staleTimers > len(p.timers) {
		p.timers = slices.DeleteFunc(p.timers, func(t timer) bool { return t.req != nil && t.req.over() })
		p.staleTimers = 0
		heap.Init(&p.timers)
	}
	if len(p.timers) > 0 && p.timers[0].due < p.wakeAt {
		p.wakeAt = p.timers[0].due
		p.emit(SetTimer{max(p.wakeAt-p.now, 0), "wake"})
	}
}
