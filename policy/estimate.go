package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// rlsEstimator fits y = theta·x by recursive least squares with exponential forgetting.
type rlsEstimator struct {
	theta      []float64
	covariance [][]float64
	// forgetting is the factor by which each sample discounts the earlier ones. Above a covariance
	// trace of traceBound nothing is discounted.
	forgetting, traceBound float64
}

// newRLS returns an estimator that starts at theta with a unit covariance.
func newRLS(theta []float64, forgetting, traceBound float64) *rlsEstimator {
	f := &rlsEstimator{theta: theta, forgetting: forgetting, traceBound: traceBound}
	for i := range theta {
		f.covariance = append(f.covariance, make([]float64, len(theta)))
		f.covariance[i][i] = 1
	}
	return f
}

// withCoefficient returns the estimator with a further coefficient, 0 and unit variance, at index.
func (f *rlsEstimator) withCoefficient(index int) *rlsEstimator {
	wide := newRLS(slices.Insert(slices.Clone(f.theta), index, 0), f.forgetting, f.traceBound)
	for i, row := range f.covariance {
		wideRow := slices.Insert(slices.Clone(row), index, 0)
		if i >= index {
			i++
		}
		wide.covariance[i] = wideRow
	}
	return wide
}

// update takes one sample. A sample that would make the estimate non-finite is dropped.
func (f *rlsEstimator) update(x []float64, y float64) {
	n := len(x)
	covX := make([]float64, n)
	denominator, residual := f.forgetting, y
	for i := range n {
		for k := range n {
			covX[i] += f.covariance[i][k] * x[k]
		}
		denominator += x[i] * covX[i]
		residual -= f.theta[i] * x[i]
	}
	if math.IsNaN(residual) || math.IsInf(residual, 0) || denominator <= 0 {
		return
	}
	trace := 0.0
	for i := range n {
		trace += f.covariance[i][i]
	}
	scale := 1 / f.forgetting
	if trace > f.traceBound {
		scale = 1 // without excitation, forgetting would let the covariance grow without bound
	}
	for i := range n {
		f.theta[i] += covX[i] / denominator * residual
		for k := range n {
			f.covariance[i][k] = (f.covariance[i][k] - covX[i]*covX[k]/denominator) * scale
		}
	}
}

// controlStep returns the change that minimises |deviation - B change|^2 + |penalty change|^2,
// where gains holds the rows of B, or nil if there is no finite one.
func controlStep(gains [][]float64, deviation []float64, penalty float64) []float64 {
	n := len(gains[0])
	gainMatrix := mat.NewDense(len(gains), n, nil)
	for i, row := range gains {
		gainMatrix.SetRow(i, row)
	}
	var normal mat.Dense
	normal.Mul(gainMatrix.T(), gainMatrix)
	for k := range n {
		normal.Set(k, k, normal.At(k, k)+penalty*penalty)
	}
	var rhs, change mat.VecDense
	rhs.MulVec(gainMatrix.T(), mat.NewVecDense(len(deviation), deviation))
	if change.SolveVec(&normal, &rhs) != nil {
		return nil
	}
	for _, v := range change.RawVector().Data {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
	}
	return change.RawVector().Data
}

// regressors returns the inputs of model i: its last output, the shares and the constant 1.
func (g *shareRegulator) regressors(i int, share []float64) []float64 {
	x := append([]float64{g.output[i]}, share...)
	return append(x, 1)
}

// predict returns output i as predicted for those shares, at least 0.
func (g *shareRegulator) predict(i int, share []float64) float64 {
	sum := 0.0
	for k, x := range g.regressors(i, share) {
		sum += g.models[i].theta[k] * x
	}
	return max(sum, 0)
}

// weightedSystem returns, for each output, the gains of the shares and the deviation from the
// reference. The rows of the inverse latencies are multiplied by inverseLatencyWeight.
func (g *shareRegulator) weightedSystem(reference []float64,
	inverseLatencyWeight float64) (gains [][]float64, deviation []float64) {
	n := len(g.share)
	for i := range 2 * n {
		weight := 1.0
		if i >= n {
			weight = inverseLatencyWeight
		}
		row := make([]float64, n)
		for k := range row {
			row[k] = weight * g.models[i].theta[1+k]
		}
		gains, deviation = append(gains, row), append(deviation, weight*(reference[i]-g.predict(i, g.share)))
	}
	return gains, deviation
}

// rankCutoff returns the rank above which that fraction of the units lies, for demands in descending
// order of rank, and the fraction of further such demands that is expected to lie above it.
func rankCutoff(demands []demand, fraction float64) (cutoff, fractionAbove float64) {
	remaining := 0.0
	for _, a := range demands {
		remaining += fraction * a.units
	}
	for i, a := range demands {
		if remaining -= a.units; remaining < 0 {
			return a.rank, float64(i+1) / float64(len(demands)+1)
		}
	}
	return 0, 1
}
