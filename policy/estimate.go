package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// rls fits y = theta·x by recursive least squares with forgetting.
type rls struct {
	theta []float64
	cov   [][]float64
	// forget is the weight of the past at each sample, bound the trace of
	// the covariance above which nothing is forgotten.
	forget, bound float64
}

func newRLS(theta []float64, forget, bound float64) *rls {
	f := &rls{theta: theta, forget: forget, bound: bound}
	for i := range theta {
		f.cov = append(f.cov, make([]float64, len(theta)))
		f.cov[i][i] = 1
	}
	return f
}

// grown is the fit with one more figure at that place, of which nothing is known.
func (f *rls) grown(at int) *rls {
	g := newRLS(slices.Insert(slices.Clone(f.theta), at, 0), f.forget, f.bound)
	for i, row := range f.cov {
		wider := slices.Insert(slices.Clone(row), at, 0)
		if i >= at {
			i++
		}
		g.cov[i] = wider
	}
	return g
}

// update takes one sample; one that would leave the fit non-finite is dropped.
func (f *rls) update(x []float64, y float64) {
	n := len(x)
	px := make([]float64, n)
	den, err := f.forget, y
	for i := range n {
		for k := range n {
			px[i] += f.cov[i][k] * x[k]
		}
		den += x[i] * px[i]
		err -= f.theta[i] * x[i]
	}
	if math.IsNaN(err) || math.IsInf(err, 0) || den <= 0 {
		return
	}
	trace := 0.0
	for i := range n {
		trace += f.cov[i][i]
	}
	grow := 1 / f.forget
	if trace > f.bound {
		grow = 1 // forgetting without excitation would let the covariance run away
	}
	for i := range n {
		f.theta[i] += px[i] / den * err
		for k := range n {
			f.cov[i][k] = (f.cov[i][k] - px[i]*px[k]/den) * grow
		}
	}
}

// controlStep returns the change of u that minimises |miss-B du|^2 + |q du|^2,
// nil if there is no finite one. The rows of b and miss come weighted by W.
func controlStep(b [][]float64, miss []float64, q float64) []float64 {
	n := len(b[0])
	bm := mat.NewDense(len(b), n, nil)
	for i, row := range b {
		bm.SetRow(i, row)
	}
	var h mat.Dense
	h.Mul(bm.T(), bm)
	for k := range n {
		h.Set(k, k, h.At(k, k)+q*q)
	}
	var rhs, du mat.VecDense
	rhs.MulVec(bm.T(), mat.NewVecDense(len(miss), miss))
	if du.SolveVec(&h, &rhs) != nil {
		return nil
	}
	for _, v := range du.RawVector().Data {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
	}
	return du.RawVector().Data
}
func (g *regulator) row(i int, u []float64) []float64 {
	x := append([]float64{g.y[i]}, u...)
	return append(x, 1)
}

func (g *regulator) predict(i int, u []float64) float64 {
	v := 0.0
	for k, x := range g.row(i, u) {
		v += g.fits[i].theta[k] * x
	}
	return max(v, 0)
}

// weighted returns the shares' gains and the misses of ref, the latencies' rows
// weighted by latency.
func (g *regulator) weighted(ref []float64, latency float64) (b [][]float64, miss []float64) {
	n := len(g.u)
	for i := range 2 * n {
		w := 1.0
		if i >= n {
			w = latency
		}
		row := make([]float64, n)
		for k := range row {
			row[k] = w * g.fits[i].theta[1+k]
		}
		b, miss = append(b, row), append(miss, w*(ref[i]-g.predict(i, g.u)))
	}
	return b, miss
}

// cut is the worth above which lies that part of the units, of asks sorted from the
// dearest down, and the part of further such asks that is expected to lie above it.
func cut(asks []ask, part float64) (price, above float64) {
	left := 0.0
	for _, a := range asks {
		left += part * a.units
	}
	for i, a := range asks {
		if left -= a.units; left < 0 {
			return a.worth, float64(i+1) / float64(len(asks)+1)
		}
	}
	return 0, 1
}
