package quota

import "time"

// Tolerance is by how much a team may exceed its quota in a window. Operators allow it
// because a quota that holds over all instances is counted with some delay.
type Tolerance struct {
	// Overage is a fraction of the quota of a window.
	Overage float64
	// Slack is a number of operations.
	Slack float64
}

// ceiling returns the highest number of operations that may be granted in the time that
// a grantCounter covers. All of them may run within one window.
func (t Tolerance) ceiling(rate, burst float64) float64 {
	tolerated := (rate*window.Seconds()+burst)*(1+t.Overage) + t.Slack
	covered := sliceDuration * time.Duration(sliceCount)
	return max(tolerated, rate*covered.Seconds()+burst+1)
}

// fillRate returns the rate at which a bucket fills in operations a second. What the
// ceiling leaves above the quota goes to the team that asks for it steadily, twice as
// fast as would use it up in one window; the ceiling holds all the same.
func (t Tolerance) fillRate(rate, burst float64) float64 {
	spare := t.ceiling(rate, burst) - Tolerance{}.ceiling(rate, burst)
	return rate + 2*spare/window.Seconds()
}
