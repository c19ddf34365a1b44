package region

import "testing"

func rates(slow int) (r [4]float64) {
	for i := range r {
		if r[i] = tick * (1 + drift); slow>>i&1 == 1 {
			r[i] = tick * (1 - drift)
		}
	}
	return r
}

func TestTry(t *testing.T) {
	for _, slow := range []int{0,1,2,4,8,15} {
		m := &model{rates: rates(slow), ticks: 11, moves: 1, restarts: 0, air: 1}
		n, all := m.explore(300000)
		t.Log(slow, n, all, m.broken, m.takeover, m.lent, m.deepest)
	}
}
