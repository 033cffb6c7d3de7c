// Package retry limits the load that retries add.
package retry

const (
	// tokensPerRequest is the number of tokens that the first attempt of a
	// request adds. One token pays for one retry.
	tokensPerRequest = 0.1
	// maxTokens is the number of tokens in a full budget.
	maxTokens = 100
)

// Budget is an immutable retry budget, a token bucket that first attempts fill.
// In the long run it limits retries to a fixed fraction of the first attempts, so
// that retries cannot prolong an overload whose cause is gone.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() Budget {
	return Budget{
		tokens: maxTokens,
	}
}

// WithFirstAttempt returns the budget after the first attempt of a request.
func (b Budget) WithFirstAttempt() Budget {
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
	return b
}

// WithRetry returns the budget after a retry. It returns the budget unchanged
// and false when no retry is allowed.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
