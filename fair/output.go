package fair

import "wasabidock.dev/dock/ident"

const (
	// firstOutput is the output length assumed of a customer that has not
	// been seen, in tokens.
	firstOutput = 192
	// outputGain is the part of a new length in the estimate.
	outputGain = 0.1
)

// OutputEstimator estimates the output lengths of the customers' requests from those
// that have ended.
type OutputEstimator struct {
	mean map[ident.Customer]float64
}

// NewOutputEstimator returns an estimator that has seen nothing.
func NewOutputEstimator() *OutputEstimator {
	return &OutputEstimator{mean: make(map[ident.Customer]float64)}
}

// Estimate returns the expected output of a request, at most limit tokens.
func (o *OutputEstimator) Estimate(c ident.Customer, limit int64) int64 {
	n := int64(firstOutput)
	if m, ok := o.mean[c]; ok {
		n = int64(m)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, 1)
}

// Record records the output of a request that ended by itself.
func (o *OutputEstimator) Record(c ident.Customer, tokens int64) {
	m, ok := o.mean[c]
	if !ok {
		m = firstOutput
	}
	o.mean[c] = m + outputGain*(float64(tokens)-m)
}
