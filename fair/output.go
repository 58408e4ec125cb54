package fair

import "wasabidock.dev/dock/ident"

const (
	// initialOutputTokens is the output length assumed for a customer without completed requests.
	initialOutputTokens = 192
	// outputSmoothing is the weight of a new length in the moving average.
	outputSmoothing = 0.1
)

// OutputEstimator estimates the output length of requests by customer. The estimate is a moving
// average over the customer's completed requests. It is not safe for concurrent use.
type OutputEstimator struct {
	mean map[ident.Customer]float64 // tokens
}

// NewOutputEstimator returns an estimator without samples.
func NewOutputEstimator() *OutputEstimator {
	return &OutputEstimator{mean: make(map[ident.Customer]float64)}
}

// Estimate returns the expected output of a request in tokens, at least one and at most limit. A
// limit of zero means none.
func (o *OutputEstimator) Estimate(c ident.Customer, limit int64) int64 {
	n := int64(initialOutputTokens)
	if m, ok := o.mean[c]; ok {
		n = int64(m)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, 1)
}

// Record records the output length of a request that completed by itself.
func (o *OutputEstimator) Record(c ident.Customer, tokens int64) {
	m, ok := o.mean[c]
	if !ok {
		m = initialOutputTokens
	}
	o.mean[c] = m + outputSmoothing*(float64(tokens)-m)
}
