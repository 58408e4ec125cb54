// Package rate enforces customers' token limits and the retry budget over all
// instances. No decision waits for a message to another instance.
//
// # Usage
//
//	l := rate.NewLimiter(clock)
//	retryAfter, ok := l.Admit(ctx, customer, tokens, maxWait)
//	l.SetPeerUsage("sierra-a-2/7", map[string]int64{"sur": 90_000}, now)
//
//	b := rate.NewFleetRetryBudget(cfg, clock, l.InstanceCount)
//	b.RecordRequest("notes")
//	if b.Allow("notes") { ... }
//
// # Limits
//
// Each instance keeps a copy of the token bucket of each customer. It subtracts
// its own charges at once. It subtracts the charges of its peers when they
// report them, some hundred milliseconds later. At most the rate times this
// delay can be granted twice, which is far below the tolerance that operators
// publish.
//
// An instance that can reach only some of its peers refills its buckets in the
// same proportion, so the two sides of a network partition together refill them
// once. When the partition heals, the tokens that each side has charged beyond
// its fraction are subtracted at the other.
//
// A customer that exceeds its limit for a moment is not rejected. Its requests
// are queued, earliest deadline first, if their tokens become available before
// their deadline. Other requests are rejected as soon as the instance determines
// that their tokens will be too late.
//
// # Retry budget
//
// Each instance may use an equal part of the extra retries of the fleet, and the
// configured ratio of its own requests. It computes both without a message to
// another instance, so the total stays within the budget under every partition.
//
// # Concurrency
//
// All methods may be called concurrently.
package rate
