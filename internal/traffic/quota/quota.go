// Package quota decides which operations of a team may run under its quota, which
// holds over all instances. The keeper has a Ledger with a token bucket for each team,
// and each instance an Allowance that asks the keeper for tokens. Both are immutable
// and use no clock of their own. The design is for 80 instances with 82 teams and 700
// operations a second, and for up to 3,000 instances with 10,000 teams.
package quota

import (
	"time"

	"rosemarylb"
)

const (
	// tokenLifetime is how long a granted token may be used, counted from before its
	// request was sent. It extends a window of operations beyond the window of their
	// grants, by 8 % of the rate.
	tokenLifetime = 400 * time.Millisecond
	// standingLifetime is how long a standing rate is valid, counted from before its
	// request was sent. It covers the loss of the keeper while the store does not answer,
	// in which no other instance can take the lease.
	standingLifetime = 8 * time.Second
	// RequestTimeout is how long an instance accepts the reply to a request.
	RequestTimeout = 250 * time.Millisecond
	// standingDelay is how long after the last answered request was sent an instance
	// begins to use its standing rates. It exceeds acknowledgeTimeout by RequestTimeout,
	// the longest time between the sending of an answered request and its receipt.
	standingDelay = acknowledgeTimeout + RequestTimeout
	// acknowledgeTimeout is how long after the receipt of the last request whose reply
	// is known to have arrived a keeper subtracts the standing rates of an instance.
	// Two reports, of which the second acknowledges the first, fit into it, with a late
	// sweep of the ledger.
	acknowledgeTimeout = 550 * time.Millisecond
	// reportInterval is the time between two requests of an instance that holds a
	// standing rate.
	reportInterval = 150 * time.Millisecond
	// standingFraction is the part of a team's rate that all standing rates share.
	standingFraction = 0.9
	// minStandingMillis is the least standing rate, in thousandths of an operation a
	// second. A lower one would not yield a whole operation before it expires.
	minStandingMillis = 450
	// patience is how far ahead of its tokens a bucket lets operations wait instead of
	// refusing them. It covers the time by which the requests of instances delay and
	// bunch the operations of a team that keeps within its limit.
	patience = 250 * time.Millisecond
	// minBurstPeriod is the least time in which a bucket fills. It exceeds the time between
	// two requests of one instance. With tokenLifetime it makes up the 10 % of the rate
	// by which a window may exceed the quota.
	minBurstPeriod = 100 * time.Millisecond
	// MaxWait is how long an operation waits for a token.
	MaxWait = 2500 * time.Millisecond
	// maxLimit is the highest rate and burst. Sums of higher ones would overflow.
	maxLimit = 1e8
	// window is the length of the window for which a quota is stated.
	window = 5 * time.Second
)

// Request is an instance's request for tokens, and its report of what it holds.
type Request struct {
	// From is the instance, and Process a number of its process that increases
	// with each start.
	From    rosemarylb.InstanceID
	Process uint64
	// Sequence increases with each request of a process.
	Sequence uint64
	// Acknowledged is the sequence of the last request whose reply was applied, 0 for
	// none.
	Acknowledged uint64
	// CatalogVersion is the version of the configuration that the instance has.
	CatalogVersion uint64
	// Demands holds every team for which the instance wants tokens or has a standing
	// rate.
	Demands []Demand
}

// Demand is what an instance wants and holds for one team.
type Demand struct {
	// Team is the name of the team.
	Team rosemarylb.TeamName
	// Wanted is the number of tokens, of which Waiting are for operations that wait.
	Wanted, Waiting int
	// RateMillis is the rate of the team's operations at the instance, in thousandths of
	// an operation a second.
	RateMillis int64
	// StandingMillis is the standing rate that the instance holds, in the same unit.
	StandingMillis int64
	// Deputy is true if the instance grants the team's tokens while the keeper does not
	// answer.
	Deputy bool
}

// Reply is the keeper's reply to a Request.
type Reply struct {
	// Answered is false when the instance that replies may not grant tokens.
	Answered bool
	// Grants are the answers to the demands, in the order of the request.
	Grants []Grant
}

// Grant is the keeper's answer to a Demand.
type Grant struct {
	// Tokens is the number of tokens granted.
	Tokens int
	// Held is the number of waiting operations that should wait on, as they are within
	// the limit. The others are refused.
	Held int
	// StandingMillis is the rate at which the instance may admit operations while the
	// keeper does not answer, in thousandths of an operation a second.
	StandingMillis int64
	// RetryMillis is the time after which a refused operation may be sent again, in
	// milliseconds.
	RetryMillis int64
}

// millis returns a rate in thousandths of an operation a second.
func millis(rate float64) int64 {
	return int64(rate * 1000)
}
