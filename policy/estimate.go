package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// rlsEstimator fits y = theta·x by recursive least squares with forgetting.
type rlsEstimator struct {
	theta      []float64
	covariance [][]float64
	// forgetting is the weight of the past at each sample, traceBound the trace of
	// the covariance above which nothing is forgotten.
	forgetting, traceBound float64
}

func newRLS(theta []float64, forgetting, traceBound float64) *rlsEstimator {
	f := &rlsEstimator{theta: theta, forgetting: forgetting, traceBound: traceBound}
	for i := range theta {
		f.covariance = append(f.covariance, make([]float64, len(theta)))
		f.covariance[i][i] = 1
	}
	return f
}

// withCoefficient is the fit with one more figure at that place, of which nothing is known.
func (f *rlsEstimator) withCoefficient(at int) *rlsEstimator {
	g := newRLS(slices.Insert(slices.Clone(f.theta), at, 0), f.forgetting, f.traceBound)
	for i, row := range f.covariance {
		wider := slices.Insert(slices.Clone(row), at, 0)
		if i >= at {
			i++
		}
		g.covariance[i] = wider
	}
	return g
}

// update takes one sample; one that would leave the fit non-finite is dropped.
func (f *rlsEstimator) update(x []float64, y float64) {
	n := len(x)
	px := make([]float64, n)
	den, err := f.forgetting, y
	for i := range n {
		for k := range n {
			px[i] += f.covariance[i][k] * x[k]
		}
		den += x[i] * px[i]
		err -= f.theta[i] * x[i]
	}
	if math.IsNaN(err) || math.IsInf(err, 0) || den <= 0 {
		return
	}
	trace := 0.0
	for i := range n {
		trace += f.covariance[i][i]
	}
	grow := 1 / f.forgetting
	if trace > f.traceBound {
		grow = 1 // forgetting without excitation would let the covariance run away
	}
	for i := range n {
		f.theta[i] += px[i] / den * err
		for k := range n {
			f.covariance[i][k] = (f.covariance[i][k] - px[i]*px[k]/den) * grow
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
func (g *shareRegulator) regressors(i int, u []float64) []float64 {
	x := append([]float64{g.output[i]}, u...)
	return append(x, 1)
}

func (g *shareRegulator) predict(i int, u []float64) float64 {
	v := 0.0
	for k, x := range g.regressors(i, u) {
		v += g.models[i].theta[k] * x
	}
	return max(v, 0)
}

// weightedSystem returns the shares' gains and the misses of ref, the latencies' rows
// weightedSystem by latency.
func (g *shareRegulator) weightedSystem(ref []float64, latency float64) (b [][]float64, miss []float64) {
	n := len(g.share)
	for i := range 2 * n {
		w := 1.0
		if i >= n {
			w = latency
		}
		row := make([]float64, n)
		for k := range row {
			row[k] = w * g.models[i].theta[1+k]
		}
		b, miss = append(b, row), append(miss, w*(ref[i]-g.predict(i, g.share)))
	}
	return b, miss
}

// valueCutoff is the worth above which lies that part of the units, of asks sorted from the
// dearest down, and the part of further such asks that is expected to lie above it.
func valueCutoff(asks []ask, part float64) (price, above float64) {
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
