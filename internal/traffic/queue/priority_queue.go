// Package queue orders the requests that wait for an endpoint by rank, with a
// minimum share for each rank, and sheds those that would miss their deadlines.
package queue

import (
	"time"

	"rosemarylb"
)

const (
	// serviceTimeWeightPercent is the weight of a new service time in its moving
	// average, in percent.
	serviceTimeWeightPercent = 10
	percent                  = 100
	// maxCredit bounds the service time that a rank can accumulate as credit or
	// debt while requests of other ranks are served.
	maxCredit = 100 * time.Millisecond
	// initialServiceTime is the mean service time assumed before the first
	// measurement.
	initialServiceTime = time.Millisecond
)

// PriorityQueue is an immutable queue that serves the most urgent rank first, but
// guarantees each waiting rank a minimum share of the service time, which it
// tracks with a credit per rank. Within a rank, callers take turns by service time
// and weight. With load shedding it rejects requests that are
// expected to miss their deadlines before they are sent to the endpoint.
type PriorityQueue struct {
	queues          [rosemarylb.RankCount]rankQueue
	credits         [rosemarylb.RankCount]time.Duration
	meanServiceTime [rosemarylb.RankCount]time.Duration
	minShares       [rosemarylb.RankCount]int
	slots           int
	maxDepth        int
	loadShedding    bool
}

// Option changes a queue under construction.
type Option func(*PriorityQueue)

// WithMinShares sets the minimum share of each rank, in percent of the service
// time.
func WithMinShares(shares [rosemarylb.RankCount]int) Option {
	return func(q *PriorityQueue) {
		q.minShares = shares
	}
}

// WithSlots sets the number of requests that the endpoint serves concurrently.
func WithSlots(slots int) Option {
	return func(q *PriorityQueue) {
		q.slots = max(slots, 1)
	}
}

// WithMaxDepth sets the maximum number of waiting requests of each rank.
func WithMaxDepth(limit int) Option {
	return func(q *PriorityQueue) {
		q.maxDepth = limit
	}
}

// WithoutLoadShedding disables load shedding: a request that will miss its deadline
// stays in the queue until its QueueDeadline has passed.
func WithoutLoadShedding() Option {
	return func(q *PriorityQueue) {
		q.loadShedding = false
	}
}

// NewPriorityQueue returns an empty queue. By default it has one slot, a depth of one
// request for each rank, no minimum shares, and load shedding enabled.
func NewPriorityQueue(options ...Option) rosemarylb.Queue {
	q := PriorityQueue{
		slots:        1,
		maxDepth:     1,
		loadShedding: true,
	}
	for i := range q.queues {
		q.queues[i] = newRankQueue()
		q.meanServiceTime[i] = initialServiceTime
	}
	for _, o := range options {
		o(&q)
	}
	return q
}

// WithRequest implements rosemarylb.Queue. When the queue of the rank is full, it
// rejects either the new request or the one evicted for it.
func (q PriorityQueue) WithRequest(r rosemarylb.Request, now time.Time) (rosemarylb.Queue, rosemarylb.Rejection) {
	if q.loadShedding && now.Add(q.expectedDelay(r)).After(r.QueueDeadline) {
		return q, rosemarylb.Rejection{
			Request: r,
			Reason:  rosemarylb.ReasonDeadline,
		}
	}
	var rejection rosemarylb.Rejection
	if q.queues[r.Rank].depth >= q.maxDepth {
		remaining, dropped := q.queues[r.Rank].withEvictionFor(r)
		rejection = rosemarylb.Rejection{
			Request: dropped,
			Reason:  rosemarylb.ReasonOverload,
		}
		if dropped.ID == r.ID {
			return q, rejection
		}
		q.queues[r.Rank] = remaining
	}
	if q.queues[r.Rank].depth == 0 {
		q.credits[r.Rank] = min(q.credits[r.Rank], 0)
	}
	q.queues[r.Rank] = q.queues[r.Rank].withRequest(r)
	return q, rejection
}

// expectedDelay returns the expected time until a new request is served to its
// end, with the requests ahead of it spread over the slots. A rank with a minimum
// share waits at most as long as its own requests take at that share.
func (q PriorityQueue) expectedDelay(r rosemarylb.Request) time.Duration {
	rank := r.Rank
	ownWork := q.queues[rank].workAhead(r, q.meanServiceTime[rank])
	work := ownWork
	for higher := range rank {
		work += time.Duration(q.queues[higher].depth) * q.meanServiceTime[higher]
	}
	if share := q.minShares[rank]; share > 0 {
		work = min(work, ownWork*percent/time.Duration(share))
	}
	return work/time.Duration(q.slots) + q.meanServiceTime[rank]
}

// Next implements rosemarylb.Queue. A rank without an eligible request leaves its turn
// to the others.
func (q PriorityQueue) Next(
	now time.Time, eligible func(rosemarylb.Request) bool,
) (rosemarylb.Dispatch, rosemarylb.Queue) {
	var d rosemarylb.Dispatch
	for i := range q.queues {
		var expired []rosemarylb.Request
		q.queues[i], expired = q.queues[i].withoutExpired(now.Add(q.reservedTime(rosemarylb.Rank(i))))
		d.Expired = append(d.Expired, expired...)
	}
	var passed [rosemarylb.RankCount]bool
	for {
		rank, found := q.selectRank(passed)
		if !found {
			return d, q
		}
		d.Request, d.Found = q.queues[rank].first(eligible)
		if d.Found {
			q.queues[rank] = q.queues[rank].withTurn(d.Request)
			return d, q
		}
		passed[rank] = true
	}
}

// reservedTime returns how long before its QueueDeadline a request has to start: with
// load shedding, early enough to be served in time.
func (q PriorityQueue) reservedTime(rank rosemarylb.Rank) time.Duration {
	if q.loadShedding {
		return q.meanServiceTime[rank]
	}
	return 0
}

// selectRank returns the rank to serve next, false when no request waits in a rank
// that has not been passed over. A rank
// whose credit exceeds its mean service time goes first, the highest credit
// before others; without one, the most urgent waiting rank does.
func (q PriorityQueue) selectRank(passed [rosemarylb.RankCount]bool) (rosemarylb.Rank, bool) {
	chosen, found := rosemarylb.Rank(0), false
	highestCredit := time.Duration(0)
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if q.queues[rank].depth == 0 || passed[rank] {
			continue
		}
		if !found {
			chosen, found = rank, true
		}
		if q.credits[rank] > q.meanServiceTime[rank] && q.credits[rank] > highestCredit {
			chosen, highestCredit = rank, q.credits[rank]
		}
	}
	return chosen, found
}

// WithoutRequest implements rosemarylb.Queue.
func (q PriorityQueue) WithoutRequest(id rosemarylb.RequestID) (rosemarylb.Queue, bool) {
	for i := range q.queues {
		remaining, found := q.queues[i].withoutRequest(id)
		if found {
			q.queues[i] = remaining
			return q, true
		}
	}
	return q, false
}

// WithoutExpired implements rosemarylb.Queue.
func (q PriorityQueue) WithoutExpired(now time.Time) (rosemarylb.Queue, []rosemarylb.Request) {
	var expired []rosemarylb.Request
	for i := range q.queues {
		var expiredInRank []rosemarylb.Request
		q.queues[i], expiredInRank = q.queues[i].withoutExpired(now)
		expired = append(expired, expiredInRank...)
	}
	return q, expired
}

// WithServed implements rosemarylb.Queue. Every waiting rank is credited with its
// minimum share of the service time, and the served rank is charged with all of
// it.
func (q PriorityQueue) WithServed(r rosemarylb.Request, serviceTime time.Duration) rosemarylb.Queue {
	rank := r.Rank
	mean := q.meanServiceTime[rank]
	q.queues[rank] = q.queues[rank].withService(r, serviceTime)
	q.meanServiceTime[rank] = mean + (serviceTime-mean)*serviceTimeWeightPercent/percent
	for i := range q.queues {
		if q.queues[i].depth == 0 && rosemarylb.Rank(i) != rank {
			continue
		}
		q.credits[i] += serviceTime * time.Duration(q.minShares[i]) / percent
	}
	q.credits[rank] -= serviceTime
	for i := range q.credits {
		q.credits[i] = min(max(q.credits[i], -maxCredit), maxCredit)
	}
	return q
}

// WithServiceConfig implements rosemarylb.Queue. Waiting requests over a lowered limit
// stay in the queue.
func (q PriorityQueue) WithServiceConfig(config rosemarylb.ServiceConfig, slots int) rosemarylb.Queue {
	q.minShares = config.Shares
	q.maxDepth = config.QueueLimit
	q.slots = max(slots, 1)
	return q
}

// Depth implements rosemarylb.Queue.
func (q PriorityQueue) Depth(rank rosemarylb.Rank) int {
	return q.queues[rank].depth
}
