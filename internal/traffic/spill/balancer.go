// Package spill decides which share of the reads that several endpoints of a group may
// serve leaves the failure domain of the instance, by the expected finish here and
// there, the price of the distance and a budget for the link between regions.
//
// It is designed for 80 instances in 6 domains that each decide for themselves, on loads
// that are up to 120 ms old, and for 100 requests a second at an instance.
package spill

import (
	"math"
	"time"

	"rosemarylb"
)

const (
	// decisionInterval is the time between two changes of the shares. A change has to
	// show in the loads that instances learn before the next one.
	decisionInterval = 500 * time.Millisecond
	// shareStep is by how much a share changes at a time.
	shareStep = 0.05
	// horizon is the number of decisions ahead for which a gain is extrapolated. A gain
	// that the last steps will have evened out by then changes no share, as a queue goes
	// on to shrink after the load is balanced.
	horizon = 4
	// memorySeconds is the time in seconds over which samples are averaged.
	memorySeconds = 1.0
	// maxSampleAge is the age at which a sample no longer counts.
	maxSampleAge = 3 * time.Second
	// hysteresis is the part of the price by which the finish there, with the price, has
	// to differ from that here before a share changes. As it is less than the price
	// itself, two domains never both gain by sending to each other.
	hysteresis = 0.5
	// budgetSeconds is for how many seconds of the budget the link may be used at once.
	budgetSeconds = 1.0
	// lowBudget is the part of those below which shares no longer rise.
	lowBudget = 0.5
)

// Finishes are expected finishes by rank, for requests sent at the time of the sample.
type Finishes [rosemarylb.RankCount]time.Time

// matrix is a value for each distance and rank.
type matrix [DistanceCount][rosemarylb.RankCount]float64

// Balancer is the immutable state of one group at one instance.
type Balancer struct {
	// prices are in seconds of waiting.
	prices [DistanceCount]float64
	// targets are the latencies in seconds by which gains of ranks are compared.
	targets [rosemarylb.RankCount]float64
	// finishes are moving averages of the seconds until the answer.
	finishes  matrix
	sampledAt [DistanceCount]time.Time
	// shares are the parts of the requests of a rank that go to a distance beyond the
	// nearest one.
	shares matrix
	// gains are those at the last decision.
	gains     matrix
	decideAt  time.Time
	budget    float64
	available float64
	filledAt  time.Time
}

// Option changes a balancer under construction.
type Option func(*Balancer)

// WithPrice sets the price of a distance: how much longer a request is to wait nearby
// rather than travel, on top of the latency of the network.
func WithPrice(d Distance, price time.Duration) Option {
	return func(b *Balancer) {
		b.prices[d] = price.Seconds()
	}
}

// WithTarget sets the target latency of a rank. A rank with a shorter one gains more by
// the same time and is sent first.
func WithTarget(r rosemarylb.Rank, target time.Duration) Option {
	return func(b *Balancer) {
		b.targets[r] = target.Seconds()
	}
}

// WithBudget sets how many bytes a second the instance may exchange with other regions
// for reads that could be served in its own.
func WithBudget(bytesPerSecond float64) Option {
	return func(b *Balancer) {
		b.budget = bytesPerSecond
		b.available = bytesPerSecond * budgetSeconds
	}
}

// NewBalancer returns a balancer that sends no requests out yet. By default the link
// between regions has no budget, the prices are 2 ms to another domain and 20 ms to
// another region, and the targets 0.1, 0.25 and 1 s.
func NewBalancer(options ...Option) Balancer {
	b := Balancer{
		prices:    [DistanceCount]float64{0, 0.002, 0.02},
		targets:   [rosemarylb.RankCount]float64{0.1, 0.25, 1},
		budget:    math.Inf(1),
		available: math.Inf(1),
	}
	for _, o := range options {
		o(&b)
	}
	return b
}

// WithSample records the expected finishes at a distance, network included. Shares
// change at most once in each decision interval.
func (b Balancer) WithSample(d Distance, f Finishes, now time.Time) Balancer {
	part := 1.0
	if b.isKnown(d, now) {
		part = 1 - math.Exp(-now.Sub(b.sampledAt[d]).Seconds()/memorySeconds)
	}
	for rank, at := range f {
		b.finishes[d][rank] += (at.Sub(now).Seconds() - b.finishes[d][rank]) * part
	}
	b.sampledAt[d] = now
	if now.Before(b.decideAt) {
		return b
	}
	b.decideAt = now.Add(decisionInterval)
	return b.withFilledBudget(now).withDecision(now)
}

// WithTransfer records the bytes of a request and its answer that were exchanged with
// another region, though an endpoint in this one could have served it.
func (b Balancer) WithTransfer(bytes int, now time.Time) Balancer {
	b = b.withFilledBudget(now)
	b.available -= float64(bytes)
	return b
}

// HasBudget reports whether the link between regions may be used for reads that could be
// served in the region of the instance.
func (b Balancer) HasBudget() bool {
	return b.available > 0
}

// Share returns the part of the requests of a rank that go to a distance, 0 for the
// nearest one.
func (b Balancer) Share(d Distance, r rosemarylb.Rank) float64 {
	return b.shares[d][r]
}

// isKnown reports whether the last sample of a distance still counts.
func (b Balancer) isKnown(d Distance, now time.Time) bool {
	return !b.sampledAt[d].IsZero() && now.Sub(b.sampledAt[d]) < maxSampleAge
}

// nearest returns the nearest known distance, false if none is known.
func (b Balancer) nearest(now time.Time) (Distance, bool) {
	for d := range Distance(DistanceCount) {
		if b.isKnown(d, now) {
			return d, true
		}
	}
	return 0, false
}

// withFilledBudget fills the budget up to a time.
func (b Balancer) withFilledBudget(now time.Time) Balancer {
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.available = min(b.available+b.budget*now.Sub(b.filledAt).Seconds(), b.budget*budgetSeconds)
	}
	if now.After(b.filledAt) {
		b.filledAt = now
	}
	return b
}
