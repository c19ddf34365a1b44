package policy

import "math"

// Counts over a window of time, and such that fade.

type sent struct{ at, units float64 }

// window holds what was noted within a time, oldest first, and its sum. Each
// entry is added and dropped once, whatever the rate.
type window struct {
	all  []sent
	head int
	sum  float64
}

func (w *window) add(at, units float64) {
	w.all = append(w.all, sent{at, units})
	w.sum += units
}

// since drops what is older than t and returns the number and sum of the rest.
func (w *window) since(t float64) (n int, sum float64) {
	for w.head < len(w.all) && w.all[w.head].at < t {
		w.sum -= w.all[w.head].units
		w.head++
	}
	if w.head == len(w.all) {
		w.all, w.head, w.sum = w.all[:0], 0, 0
	} else if w.head > len(w.all)/2 {
		w.all = w.all[:copy(w.all, w.all[w.head:])]
		w.head = 0
	}
	return len(w.all) - w.head, w.sum
}

func (w *window) oldest() float64 { return w.all[w.head].at }

// fading is a count that halves and halves again with time.
type fading struct{ n, at float64 }

func (c *fading) add(now, span float64) { c.addSome(1, now, span) }

func (c *fading) addSome(n, now, span float64) { c.n, c.at = c.value(now, span)+n, now }

func (c *fading) value(now, span float64) float64 { return c.n * math.Exp((c.at-now)/span) }

// gathered is a fading sum of answers' times.
type gathered struct{ n, time float64 }

func (g *gathered) add(t float64) { g.n, g.time = g.n+1, g.time+t }

func (g *gathered) fade(keep float64) { g.n, g.time = g.n*keep, g.time*keep }

// mean fills the sum up with so many answers that took the prior.
func (g *gathered) mean(prior, weight float64) float64 {
	return (g.time + weight*prior) / (g.n + weight)
}
