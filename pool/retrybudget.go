package pool

const (
	// maxRetryBurst is the maximum number of retries that may be placed at once.
	maxRetryBurst = 32
	// requestsPerRetry is the number of new requests that earn one retry.
	requestsPerRetry = 10
)

// retryBudget limits the share of requests that are retries. Without a limit, failing servers would
// multiply the load on the others.
type retryBudget struct {
	credit int // number of new requests that were not yet used for a retry
}

// allow counts a request and reports whether it may be placed. A new request always may; a retry
// needs credit.
func (b *retryBudget) allow(isRetry bool) bool {
	switch {
	case !isRetry:
		b.credit = min(b.credit+1, maxRetryBurst*requestsPerRetry)
		return true
	case b.credit < requestsPerRetry:
		return false
	}
	b.credit -= requestsPerRetry
	return true
}
