package pool

const (
	// maxRetries is the most requests that may be placed again at once.
	maxRetries = 32
	// retryCost is the number of new requests that earn one retry.
	retryCost = 10
)

// budget bounds the part of the requests that are placed again, so that
// failing servers do not multiply the load of the others.
type budget struct {
	earned int
}

// allow books a request and reports whether it may be placed.
func (b *budget) allow(again bool) bool {
	switch {
	case !again:
		b.earned = min(b.earned+1, maxRetries*retryCost)
		return true
	case b.earned < retryCost:
		return false
	}
	b.earned -= retryCost
	return true
}
