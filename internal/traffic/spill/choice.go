package spill

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
)

// Candidate is an endpoint that may serve a read.
type Candidate struct {
	placement.Candidate
	// Distance is its distance from the instance.
	Distance Distance
}

// Choose returns the index of the candidate for a request of a rank, -1 if none has a
// weight. It draws the distance by the shares and the endpoint by placement.Choose with
// the margin. The nearest distance with a candidate serves what no other does; the budget
// does not limit requests that can be served in no other region. The function returns
// random numbers in [0, 1); they spread the requests of instances that decide alike.
func (b Balancer) Choose(
	candidates []Candidate, r rosemarylb.Rank, margin time.Duration, random func() float64,
) int {
	var present [DistanceCount]bool
	for _, c := range candidates {
		present[c.Distance] = present[c.Distance] || c.Weight > 0
	}
	chosen := b.drawDistance(present, r, random())
	// Candidates at other distances keep their index but have no weight.
	eligible := make([]placement.Candidate, len(candidates))
	for i, c := range candidates {
		eligible[i] = c.Candidate
		if c.Distance != chosen {
			eligible[i].Weight = 0
		}
	}
	return placement.Choose(eligible, margin, random(), random())
}

// drawDistance returns a random distance with a candidate by the shares of a rank.
func (b Balancer) drawDistance(present [DistanceCount]bool, r rosemarylb.Rank, random float64) Distance {
	near := Distance(0)
	for near < DistanceCount-1 && !present[near] {
		near++
	}
	for d := near + 1; d < DistanceCount; d++ {
		share := b.shares[d][r]
		if !present[d] || d == DistanceRemote && b.available <= 0 {
			continue
		}
		if random < share {
			return d
		}
		random -= share
	}
	return near
}
