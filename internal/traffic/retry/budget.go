// Package retry bounds how much load repeated requests may add.
package retry

const (
	// earned is what one first try adds to the budget, in retries.
	earned = 0.1
	// limit is the greatest budget, in retries.
	limit = 100
)

// Budget is an immutable allowance of retries, a fixed part of the first
// tries. When an overload ends, retries cannot keep it going.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() Budget {
	return Budget{
		tokens: limit,
	}
}

// WithRequest returns the budget after a first try.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.tokens+earned, limit)
	return b
}

// WithRetry returns the budget after a retry, false when none is allowed.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
