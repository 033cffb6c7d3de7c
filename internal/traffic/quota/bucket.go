package quota

import (
	"math"
	"time"

	"rosemarylb"
)

// bucket is the token bucket of a team at the keeper. All rates that end in millis are
// in thousandths of an operation a second, so that sums of them are exact.
type bucket struct {
	team      rosemarylb.TeamName
	rate      float64
	burst     float64
	tokens    float64
	settledAt time.Time
	// promisedMillis is the sum of the standing rates that instances may hold, and
	// silentMillis the part of it that may be in use.
	promisedMillis int64
	silentMillis   int64
	// demandMillis is the sum of the rates that instances report.
	demandMillis int64
	counter      grantCounter
	tolerance    Tolerance
	// steadyFrom is when the grants of former keepers no longer share a window with
	// those of this one. Before, the bucket fills at the rate of the quota alone.
	steadyFrom time.Time
	// formerRate and formerBurst are the limits before the last change, which the
	// counter still covers until formerUntil.
	formerRate  float64
	formerBurst float64
	formerUntil time.Time
}

// standingLimitMillis is what all standing rates of the team may add up to.
func (b bucket) standingLimitMillis() int64 {
	return millis(b.rate * standingFraction)
}

// unreportedMillis is the sum of the standing rates that a predecessor may have given
// and that no instance has reported.
func (b bucket) unreportedMillis() int64 {
	return max(b.standingLimitMillis()-b.promisedMillis, 0)
}

// settled returns the bucket with the tokens that it gained until now, of which those
// until unreportedUntil exclude the unreported standing rates.
func (b bucket) settled(now, unreportedUntil time.Time) bucket {
	if b.settledAt.Before(unreportedUntil) {
		b = b.filled(earlier(now, unreportedUntil), b.silentMillis+b.unreportedMillis())
	}
	return b.filled(now, b.silentMillis)
}

// filled adds the tokens until a time, at the rate less what standing rates may use.
func (b bucket) filled(until time.Time, usedMillis int64) bucket {
	if !until.After(b.settledAt) {
		return b
	}
	rate := b.rate
	if !b.settledAt.Before(b.steadyFrom) && !b.settledAt.Before(b.formerUntil) {
		rate = b.tolerance.fillRate(b.rate, b.burst)
	}
	rate = max(rate-float64(usedMillis)/1000, 0)
	b.tokens = min(b.tokens+rate*until.Sub(b.settledAt).Seconds(), b.burst)
	b.settledAt = until
	return b
}

// withHolding adds a holding of an instance, or subtracts it for a sign of -1. The
// standing rate of a silent instance counts as in use.
func (b bucket) withHolding(h holding, silent bool, sign int64) bucket {
	b.promisedMillis += sign * h.standingMillis
	b.demandMillis += sign * h.demandMillis
	if silent {
		b.silentMillis += sign * h.standingMillis
	}
	return b
}

// withLimits sets the limits of a settled bucket. A lower burst takes tokens away.
func (b bucket) withLimits(t rosemarylb.Team, now time.Time) bucket {
	if b.rate == rateOf(t) && b.burst == burstOf(t) {
		return b
	}
	if now.Before(b.formerUntil) {
		b.formerRate = max(b.formerRate, b.rate)
		b.formerBurst = max(b.formerBurst, b.burst)
	} else {
		b.formerRate, b.formerBurst = b.rate, b.burst
	}
	b.formerUntil = now.Add(window + tokenLifetime + sliceDuration)
	b.rate = rateOf(t)
	b.burst = burstOf(t)
	b.tokens = min(b.tokens, b.burst)
	return b
}

// rateOf returns a team's rate in operations a second.
func rateOf(t rosemarylb.Team) float64 {
	return min(t.RatePerSecond, maxLimit)
}

// burstOf returns the size of a team's bucket. It holds at least one token, as the team
// could run nothing otherwise, and the tokens of minBurstPeriod, as a smaller bucket
// would overflow between two requests.
func burstOf(t rosemarylb.Team) float64 {
	return min(max(t.Burst, rateOf(t)*minBurstPeriod.Seconds(), 1), maxLimit)
}

// withGrant takes up to n tokens out of a settled bucket.
func (b bucket) withGrant(n int, now time.Time) (bucket, int) {
	b.counter = b.counter.withGrants(0, now)
	ceiling := b.ceiling(now)
	granted := min(n, int(b.tokens), int(ceiling-b.counter.sum-b.silentOperations()))
	if granted <= 0 {
		return b, 0
	}
	b.tokens -= float64(granted)
	b.counter = b.counter.withGrants(granted, now)
	rosemarylb.Invariantf(b.counter.sum <= ceiling, "granted %d operations of team %s in one window, the limit is %d",
		b.counter.sum, b.team, ceiling)
	return b, granted
}

// silentOperations is the highest number of operations that silent instances may run at
// their standing rates in a window. Without a tolerance the rate at which the bucket fills accounts
// for them alone.
func (b bucket) silentOperations() int64 {
	if b.tolerance == (Tolerance{}) {
		return 0
	}
	return int64(float64(b.silentMillis) / 1000 * min(standingLifetime, window+tokenLifetime).Seconds())
}

// ceiling is the highest number of grants in the windows that end now. For one window
// after a change of the limits it is that of the higher ones.
func (b bucket) ceiling(now time.Time) int64 {
	rate, burst := b.rate, b.burst
	if now.Before(b.formerUntil) {
		rate, burst = max(rate, b.formerRate), max(burst, b.formerBurst)
	}
	return int64(b.tolerance.ceiling(rate, burst))
}

// credit is the number of further operations that are within the limit although the
// bucket has no token for them yet. While the bucket fills more slowly than the limit
// allows, it includes a full burst.
func (b bucket) credit(reduced bool) float64 {
	c := b.tokens + b.rate*patience.Seconds()
	if reduced || b.silentMillis > 0 {
		c = max(c, b.burst)
	}
	return c
}

// retryMillis is the time until the bucket lets one more operation wait.
func (b bucket) retryMillis(credit float64) int64 {
	rate := max(b.rate-float64(b.silentMillis)/1000, b.rate*(1-standingFraction))
	if rate <= 0 {
		return window.Milliseconds()
	}
	ms := math.Ceil((1 - credit) / rate * 1000)
	return int64(min(max(ms, 1), float64(window.Milliseconds())))
}

// earlier returns the earlier of two times.
func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}
