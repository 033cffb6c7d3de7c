// Package flood compares queue policies in a simulation in which one rank exceeds
// its normal load.
package flood

import (
	"time"

	"rosemarylb"
)

// policyOrder is the order in which a baseline serves the ranks.
type policyOrder uint8

const (
	orderArrival policyOrder = iota
	orderStrict
	orderWeighted
)

// baseline is a conventional queue for comparison, with neither fairness between
// callers nor load shedding. Unlike other queues it is changed in place.
type baseline struct {
	order          policyOrder
	maxDepth       int
	queues         [rosemarylb.RankCount][]rosemarylb.Request
	weights        [rosemarylb.RankCount]int
	dispatchCounts [rosemarylb.RankCount]int
}

// WithRequest implements rosemarylb.Queue.
func (b *baseline) WithRequest(r rosemarylb.Request, _ time.Time) (rosemarylb.Queue, rosemarylb.Rejection) {
	if len(b.queues[r.Rank]) >= b.maxDepth {
		return b, rosemarylb.Rejection{
			Request: r,
			Reason:  rosemarylb.ReasonOverload,
		}
	}
	b.queues[r.Rank] = append(b.queues[r.Rank], r)
	return b, rosemarylb.Rejection{}
}

// Next implements rosemarylb.Queue. It regards all requests as eligible.
func (b *baseline) Next(now time.Time, _ func(rosemarylb.Request) bool) (rosemarylb.Dispatch, rosemarylb.Queue) {
	var d rosemarylb.Dispatch
	for {
		rank, found := b.chooseRank()
		if !found {
			return d, b
		}
		r := b.queues[rank][0]
		b.queues[rank] = b.queues[rank][1:]
		if now.After(r.QueueDeadline) {
			d.Expired = append(d.Expired, r)
			continue
		}
		b.dispatchCounts[rank]++
		d.Found = true
		d.Request = r
		return d, b
	}
}

// chooseRank returns the rank to serve next, if any request is queued.
func (b *baseline) chooseRank() (rosemarylb.Rank, bool) {
	best, found := rosemarylb.Rank(0), false
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if len(b.queues[rank]) == 0 {
			continue
		}
		if !found || b.goesBefore(rank, best) {
			best, found = rank, true
		}
	}
	return best, found
}

// goesBefore reports whether a rank is served before a more urgent one. Both have
// queued requests.
func (b *baseline) goesBefore(rank, other rosemarylb.Rank) bool {
	switch b.order {
	case orderArrival:
		return b.queues[rank][0].ArrivedAt.Before(b.queues[other][0].ArrivedAt)
	case orderWeighted:
		return b.dispatchCounts[rank]*b.weights[other] < b.dispatchCounts[other]*b.weights[rank]
	default:
		return false
	}
}

// WithoutRequest implements rosemarylb.Queue.
func (b *baseline) WithoutRequest(rosemarylb.RequestID) (rosemarylb.Queue, bool) {
	return b, false
}

// WithoutExpired implements rosemarylb.Queue.
func (b *baseline) WithoutExpired(time.Time) (rosemarylb.Queue, []rosemarylb.Request) {
	return b, nil
}

// WithServed implements rosemarylb.Queue.
func (b *baseline) WithServed(rosemarylb.Request, time.Duration) rosemarylb.Queue {
	return b
}

// WithServiceConfig implements rosemarylb.Queue.
func (b *baseline) WithServiceConfig(rosemarylb.ServiceConfig, int) rosemarylb.Queue {
	return b
}

// Depth implements rosemarylb.Queue.
func (b *baseline) Depth(rank rosemarylb.Rank) int {
	return len(b.queues[rank])
}
