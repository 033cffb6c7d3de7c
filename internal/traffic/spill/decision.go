package spill

import (
	"time"

	"rosemarylb"
)

// withDecision lowers the shares that no longer pay, and raises the one that gains most
// by one step.
func (b Balancer) withDecision(now time.Time) Balancer {
	near, found := b.nearest(now)
	if !found {
		b.shares = matrix{}
		return b
	}
	before := b.gains
	b.gains = b.gainsOver(near, now)
	best, bestRank, bestGain := Distance(0), rosemarylb.Rank(0), 0.0
	for d := range Distance(DistanceCount) {
		for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
			gain, margin := b.gains[d][rank], b.prices[d]*hysteresis
			expected := gain + (gain-before[d][rank])*horizon
			switch {
			case d <= near || !b.isKnown(d, now):
				b.shares[d][rank] = max(b.shares[d][rank]-shareStep, 0)
			case gain < -margin && expected < -margin:
				b.shares[d][rank] = max(b.shares[d][rank]-shareStep, 0)
			case gain > margin && expected > margin && b.mayRaise(d, rank) && gain/b.targets[rank] > bestGain:
				best, bestRank, bestGain = d, rank, gain/b.targets[rank]
			}
		}
	}
	if bestGain > 0 {
		b.shares[best][bestRank] = min(b.shares[best][bestRank]+shareStep, 1-b.otherShares(best, bestRank))
	}
	if b.available <= 0 {
		b = b.withLowestGainLowered()
	}
	return b
}

// gainsOver returns by how many seconds requests finish earlier at each distance than at
// the nearest one, less the price.
func (b Balancer) gainsOver(near Distance, now time.Time) matrix {
	var gains matrix
	for d := near + 1; d < DistanceCount; d++ {
		if !b.isKnown(d, now) {
			continue
		}
		for rank := range gains[d] {
			gains[d][rank] = b.finishes[near][rank] - b.finishes[d][rank] - b.prices[d]
		}
	}
	return gains
}

// mayRaise reports whether the share of a rank may rise. The budget of the link must not
// be nearly used up.
func (b Balancer) mayRaise(d Distance, r rosemarylb.Rank) bool {
	if d == DistanceRemote && b.available < b.budget*budgetSeconds*lowBudget {
		return false
	}
	return b.shares[d][r]+b.otherShares(d, r) < 1
}

// otherShares returns the part of a rank that goes to other distances than the given
// one.
func (b Balancer) otherShares(d Distance, r rosemarylb.Rank) float64 {
	sum := 0.0
	for other := range Distance(DistanceCount) {
		if other != d {
			sum += b.shares[other][r]
		}
	}
	return sum
}

// withLowestGainLowered lowers the share of the rank that gains least by using the link
// between regions, whose budget is used up.
func (b Balancer) withLowestGainLowered() Balancer {
	shares := &b.shares[DistanceRemote]
	lowest, found := 0, false
	for rank := range shares {
		if shares[rank] > 0 && (!found || b.relativeGain(rank) < b.relativeGain(lowest)) {
			lowest, found = rank, true
		}
	}
	if found {
		shares[lowest] = max(shares[lowest]-shareStep, 0)
	}
	return b
}

func (b Balancer) relativeGain(rank int) float64 {
	return b.gains[DistanceRemote][rank] / b.targets[rank]
}
