package quota

import (
	"math"
	"time"
)

const (
	// demandPeriod is the period over which the rate of a team's operations is averaged.
	demandPeriod = time.Second
	// minDemandMillis is the rate below which a team counts as idle, in thousandths of
	// an operation a second.
	minDemandMillis = 50
	// aheadPeriod is how much of a team's operations tokens are asked for in advance.
	// The tokens for it are used up well within tokenLifetime.
	aheadPeriod = 100 * time.Millisecond
	// minAheadTokens is the number of operations in aheadPeriod from which on tokens are
	// asked for in advance.
	minAheadTokens = 2
)

// lot is a number of tokens that expire together.
type lot struct {
	tokens    int
	expiresAt time.Time
}

// balance is what an instance holds for one team.
type balance struct {
	lots []lot
	// waiting is the number of operations that wait, of which asked were included in
	// the request in flight, and refusals have to be refused.
	waiting  int
	asked    int
	refusals int
	// demand is the average rate in operations a second at demandAt.
	demand   float64
	demandAt time.Time
	// standingMillis is valid until standingUntil; standingTokens are the operations
	// that it allows at standingAt.
	standingMillis int64
	standingTokens float64
	standingAt     time.Time
	standingUntil  time.Time
	// retryAt is when operations are within the limit again, and need not be refused at
	// once.
	retryAt time.Time
}

// withArrival counts an operation in the demand.
func (b balance) withArrival(now time.Time) balance {
	b.demand = b.demandNow(now) + 1/demandPeriod.Seconds()
	b.demandAt = now
	return b
}

// demandNow returns the rate of operations, in operations a second.
func (b balance) demandNow(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/demandPeriod.Seconds())
}

// withoutExpired drops expired tokens and an expired standing rate.
func (b balance) withoutExpired(now time.Time) balance {
	for len(b.lots) > 0 && (b.lots[0].tokens == 0 || !now.Before(b.lots[0].expiresAt)) {
		b.lots = b.lots[1:]
	}
	if !now.Before(b.standingUntil) {
		b.standingMillis = 0
	}
	return b
}

// tokens returns the number of tokens that have not expired.
func (b balance) tokens(now time.Time) int {
	n := 0
	for _, l := range b.lots {
		if now.Before(l.expiresAt) {
			n += l.tokens
		}
	}
	return n
}

// withTokenUsed uses the token that expires first. It returns false if there is none.
func (b balance) withTokenUsed(now time.Time) (balance, bool) {
	b = b.withoutExpired(now)
	if len(b.lots) == 0 {
		return b, false
	}
	lots := append([]lot(nil), b.lots...)
	lots[0].tokens--
	b.lots = lots
	return b.withoutExpired(now), true
}

// withStandingUsed admits an operation at the standing rate, false if the rate does
// not allow it yet.
func (b balance) withStandingUsed(now time.Time) (balance, bool) {
	until := earlier(now, b.standingUntil)
	if until.After(b.standingAt) {
		b.standingTokens += float64(b.standingMillis) / 1000 * until.Sub(b.standingAt).Seconds()
		b.standingAt = until
	}
	if b.standingTokens < 1 || !now.Before(b.standingUntil) {
		return b, false
	}
	b.standingTokens--
	return b, true
}

// withGrant applies the grant of a request that was sent at the given time.
func (b balance) withGrant(g Grant, sentAt, now time.Time) balance {
	b = b.withTokens(g.Tokens, sentAt, now)
	b.refusals = min(max(b.asked-g.Tokens-g.Held, 0), b.waiting)
	b.asked = 0
	b.retryAt = time.Time{}
	if b.refusals > 0 && g.Held == 0 {
		b.retryAt = sentAt.Add(time.Duration(min(g.RetryMillis, window.Milliseconds())) * time.Millisecond)
	}
	b.standingMillis = g.StandingMillis
	b.standingTokens = 0
	b.standingAt = sentAt.Add(standingDelay)
	b.standingUntil = sentAt.Add(standingLifetime)
	return b
}

// withTokens adds tokens that were granted to a request sent at the given time.
func (b balance) withTokens(n int, sentAt, now time.Time) balance {
	b = b.withoutExpired(now)
	if n > 0 {
		b.lots = append(append([]lot(nil), b.lots...), lot{
			tokens:    n,
			expiresAt: sentAt.Add(tokenLifetime),
		})
	}
	return b
}

// aheadTokens is the number of tokens to have in advance.
func (b balance) aheadTokens(now time.Time) int {
	n := int(b.demandNow(now) * aheadPeriod.Seconds())
	if n < minAheadTokens {
		return 0
	}
	return n
}

// needsTokens reports whether tokens should be asked for in advance.
func (b balance) needsTokens(now time.Time) bool {
	return b.tokens(now) < b.aheadTokens(now)/2
}

// request returns what to ask for.
func (b balance) request(now time.Time) Demand {
	d := Demand{
		Waiting:        b.waiting,
		Wanted:         b.waiting,
		RateMillis:     millis(b.demandNow(now)),
		StandingMillis: b.standingMillis,
	}
	if d.RateMillis < minDemandMillis {
		d.RateMillis = 0
	}
	if now.Before(b.retryAt) {
		return d
	}
	d.Wanted += max(b.aheadTokens(now)-b.tokens(now), 0)
	return d
}

// isIdle reports whether nothing of the balance matters any more.
func (b balance) isIdle(now time.Time) bool {
	return b.waiting == 0 && b.tokens(now) == 0 && b.standingMillis == 0 && millis(b.demandNow(now)) < minDemandMillis
}
