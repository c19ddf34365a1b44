package policy

import "math"

// Counts over a sliding window of time, and decaying counts and means.

type windowEntry struct{ time, amount float64 }

// window is a sliding window of entries, oldest first, and the sum of their amounts. Each entry is
// added and dropped once, whatever the rate of entries.
type window struct {
	entries []windowEntry
	head    int
	sum     float64
}

func (w *window) add(time, amount float64) {
	w.entries = append(w.entries, windowEntry{time, amount})
	w.sum += amount
}

// since drops the entries before t and returns the number and the sum of the rest.
func (w *window) since(t float64) (n int, sum float64) {
	for w.head < len(w.entries) && w.entries[w.head].time < t {
		w.sum -= w.entries[w.head].amount
		w.head++
	}
	if w.head == len(w.entries) {
		w.entries, w.head, w.sum = w.entries[:0], 0, 0
	} else if w.head > len(w.entries)/2 {
		w.entries = w.entries[:copy(w.entries, w.entries[w.head:])]
		w.head = 0
	}
	return len(w.entries) - w.head, w.sum
}

// oldest returns the time of the first entry. There must be one.
func (w *window) oldest() float64 { return w.entries[w.head].time }

// decayingCount is a count that decays exponentially. Its methods take the time constant as span.
type decayingCount struct{ n, updatedAt float64 }

func (c *decayingCount) add(now, span float64) { c.addN(1, now, span) }

func (c *decayingCount) addN(n, now, span float64) { c.n, c.updatedAt = c.value(now, span)+n, now }

func (c *decayingCount) value(now, span float64) float64 {
	return c.n * math.Exp((c.updatedAt-now)/span)
}

// decayingMean is a mean of durations whose earlier samples lose weight with each decay.
type decayingMean struct{ n, sum float64 }

func (g *decayingMean) add(t float64) { g.n, g.sum = g.n+1, g.sum+t }

func (g *decayingMean) decay(factor float64) { g.n, g.sum = g.n*factor, g.sum*factor }

// mean returns the mean, with prior counted as weight further samples.
func (g *decayingMean) mean(prior, weight float64) float64 {
	return (g.sum + weight*prior) / (g.n + weight)
}
