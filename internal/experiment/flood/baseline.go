// Package flood compares policies of a queue while one rank floods in.
package flood

import (
	"time"

	"rosemarylb"
)

// order chooses which rank a baseline serves next.
type order uint8

const (
	orderArrival order = iota
	orderStrict
	orderWeighted
)

// baseline is a queue of the usual kinds, without fairness between callers
// and without early refusal.
type baseline struct {
	order   order
	limit   int
	lanes   [rosemarylb.RankCount][]rosemarylb.Request
	weights [rosemarylb.RankCount]int
	given   [rosemarylb.RankCount]int
}

// WithRequest implements rosemarylb.Queue.
func (b *baseline) WithRequest(r rosemarylb.Request, _ time.Time) (rosemarylb.Queue, rosemarylb.Rejection) {
	if len(b.lanes[r.Rank]) >= b.limit {
		return b, rosemarylb.Rejection{
			Request: r,
			Reason:  rosemarylb.ReasonOverload,
		}
	}
	b.lanes[r.Rank] = append(b.lanes[r.Rank], r)
	return b, rosemarylb.Rejection{}
}

// Next implements rosemarylb.Queue.
func (b *baseline) Next(now time.Time) (rosemarylb.Dispatch, rosemarylb.Queue) {
	var d rosemarylb.Dispatch
	for {
		rank, found := b.choose()
		if !found {
			return d, b
		}
		r := b.lanes[rank][0]
		b.lanes[rank] = b.lanes[rank][1:]
		if now.After(r.QueueDeadline) {
			d.Expired = append(d.Expired, r)
			continue
		}
		b.given[rank]++
		d.Found = true
		d.Request = r
		return d, b
	}
}

func (b *baseline) choose() (rosemarylb.Rank, bool) {
	best, found := rosemarylb.Rank(0), false
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if len(b.lanes[rank]) == 0 {
			continue
		}
		if !found || b.before(rank, best) {
			best, found = rank, true
		}
	}
	return best, found
}

// before reports whether a rank goes before one that is more urgent.
func (b *baseline) before(rank, other rosemarylb.Rank) bool {
	switch b.order {
	case orderArrival:
		return b.lanes[rank][0].ArrivedAt.Before(b.lanes[other][0].ArrivedAt)
	case orderWeighted:
		return b.given[rank]*b.weights[other] < b.given[other]*b.weights[rank]
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
func (b *baseline) WithServed(rosemarylb.Rank, time.Duration) rosemarylb.Queue {
	return b
}

// WithServiceConfig implements rosemarylb.Queue.
func (b *baseline) WithServiceConfig(rosemarylb.ServiceConfig, int) rosemarylb.Queue {
	return b
}

// Depth implements rosemarylb.Queue.
func (b *baseline) Depth(rank rosemarylb.Rank) int {
	return len(b.lanes[rank])
}
