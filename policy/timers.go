package policy

import (
	"container/heap"
	"slices"
)

// Timers of requests and shards.

type wake struct {
	at float64
	rq *request
	sh *shard
}

type wakes []wake

// manyWakes is the number below which wakes of requests that are over are left
// to come due by themselves.
const manyWakes = 8192

func (w wakes) Len() int { return len(w) }

func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }

func (w wakes) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *wakes) Push(x any) { *w = append(*w, x.(wake)) }

func (w *wakes) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

// wake has r looked at, or sh pumped, at that time; a shard keeps one wake.
func (p *scheduler) wake(at float64, r *request, sh *shard) {
	if sh != nil {
		if sh.wakeAt > p.now && sh.wakeAt <= at {
			return
		}
		sh.wakeAt = at
	}
	heap.Push(&p.wakes, wake{at, r, sh})
}

// due runs what has come due and arms the timer for what comes next.
func (p *scheduler) due() {
	for len(p.wakes) > 0 && p.wakes[0].at <= p.now {
		w := heap.Pop(&p.wakes).(wake)
		if w.rq != nil {
			if w.rq.over() {
				p.stale--
			}
			p.expire(w.rq)
		} else if w.at == w.sh.wakeAt {
			p.pump(w.sh)
		}
	}
	if len(p.wakes) > manyWakes && 2*p.stale > len(p.wakes) {
		p.wakes = slices.DeleteFunc(p.wakes, func(w wake) bool { return w.rq != nil && w.rq.over() })
		p.stale = 0
		heap.Init(&p.wakes)
	}
	if len(p.wakes) > 0 && p.wakes[0].at < p.armed {
		p.armed = p.wakes[0].at
		p.do(SetTimer{max(p.armed-p.now, 0), "wake"})
	}
}
