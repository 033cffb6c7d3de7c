// Package queue orders the requests that wait for an endpoint.
package queue

import (
	"time"

	"rosemarylb"
)

const (
	// smoothing is the weight, in percent, of a new service time in its mean.
	smoothing = 10
	percent   = 100
	// creditLimit bounds what a rank can save up while others are served.
	creditLimit = 100 * time.Millisecond
	// initialService is the service time assumed before any was measured.
	initialService = time.Millisecond
)

// Shares serves the most urgent rank first, but gives each rank that waits
// its least share of the service time. It refuses early what cannot meet its
// deadline.
type Shares struct {
	lanes   [rosemarylb.RankCount]lane
	credit  [rosemarylb.RankCount]time.Duration
	service [rosemarylb.RankCount]time.Duration
	shares  [rosemarylb.RankCount]int
	slots   int
	limit   int
	shed    bool
}

// Option changes a queue under construction.
type Option func(*Shares)

// WithShares sets the least share of each rank in percent of service time.
func WithShares(shares [rosemarylb.RankCount]int) Option {
	return func(s *Shares) {
		s.shares = shares
	}
}

// WithSlots sets how many requests the endpoint serves at the same time.
func WithSlots(slots int) Option {
	return func(s *Shares) {
		s.slots = max(slots, 1)
	}
}

// WithLimit sets how many requests of each rank may wait.
func WithLimit(limit int) Option {
	return func(s *Shares) {
		s.limit = limit
	}
}

// WithoutShedding keeps requests that will miss their deadlines until then.
func WithoutShedding() Option {
	return func(s *Shares) {
		s.shed = false
	}
}

// NewShares returns the default queue.
func NewShares(options ...Option) rosemarylb.Queue {
	s := Shares{
		slots: 1,
		limit: 1,
		shed:  true,
	}
	for i := range s.lanes {
		s.lanes[i] = newLane()
		s.service[i] = initialService
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithRequest implements rosemarylb.Queue.
func (s Shares) WithRequest(r rosemarylb.Request, now time.Time) (rosemarylb.Queue, rosemarylb.Refusal) {
	if s.shed && now.Add(s.delay(r)).After(r.QueueUntil) {
		return s, rosemarylb.Refusal{
			Request: r,
			Reason:  rosemarylb.ReasonDeadline,
		}
	}
	var refusal rosemarylb.Refusal
	if s.lanes[r.Rank].depth >= s.limit {
		rest, dropped := s.lanes[r.Rank].withRoomFor(r)
		refusal = rosemarylb.Refusal{
			Request: dropped,
			Reason:  rosemarylb.ReasonOverload,
		}
		if dropped.ID == r.ID {
			return s, refusal
		}
		s.lanes[r.Rank] = rest
	}
	if s.lanes[r.Rank].depth == 0 {
		s.credit[r.Rank] = min(s.credit[r.Rank], 0)
	}
	s.lanes[r.Rank] = s.lanes[r.Rank].withRequest(r)
	return s, refusal
}

// delay returns the expected time from now to the end of a new request's
// service, the work ahead of it spread over the slots. A rank with a least
// share never waits longer than its own work served at that share.
func (s Shares) delay(r rosemarylb.Request) time.Duration {
	rank := r.Rank
	own := time.Duration(s.lanes[rank].ahead(r.Caller)) * s.service[rank]
	ahead := own
	for higher := range rank {
		ahead += time.Duration(s.lanes[higher].depth) * s.service[higher]
	}
	if share := s.shares[rank]; share > 0 {
		ahead = min(ahead, own*percent/time.Duration(share))
	}
	return ahead/time.Duration(s.slots) + s.service[rank]
}

// Next implements rosemarylb.Queue.
func (s Shares) Next(now time.Time) (rosemarylb.Dispatch, rosemarylb.Queue) {
	var expired []rosemarylb.Request
	for {
		rank, found := s.choose()
		if !found {
			return rosemarylb.Dispatch{
				Expired: expired,
			}, s
		}
		var r rosemarylb.Request
		r, s.lanes[rank] = s.lanes[rank].pop()
		if s.late(r, now) {
			expired = append(expired, r)
			continue
		}
		return rosemarylb.Dispatch{
			Found:   true,
			Request: r,
			Expired: expired,
		}, s
	}
}

func (s Shares) late(r rosemarylb.Request, now time.Time) bool {
	if s.shed {
		now = now.Add(s.service[r.Rank])
	}
	return now.After(r.QueueUntil)
}

// choose returns the rank to serve: one owed a part of its least share, the
// most owed first, or else the most urgent that waits.
func (s Shares) choose() (rosemarylb.Rank, bool) {
	chosen, found := rosemarylb.Rank(0), false
	owed := time.Duration(0)
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if s.lanes[rank].depth == 0 {
			continue
		}
		if !found {
			chosen, found = rank, true
		}
		if s.credit[rank] > s.service[rank] && s.credit[rank] > owed {
			chosen, owed = rank, s.credit[rank]
		}
	}
	return chosen, found
}

// WithoutRequest implements rosemarylb.Queue.
func (s Shares) WithoutRequest(id rosemarylb.RequestID) (rosemarylb.Queue, bool) {
	for i := range s.lanes {
		rest, found := s.lanes[i].without(id)
		if found {
			s.lanes[i] = rest
			return s, true
		}
	}
	return s, false
}

// WithoutExpired implements rosemarylb.Queue.
func (s Shares) WithoutExpired(now time.Time) (rosemarylb.Queue, []rosemarylb.Request) {
	var expired []rosemarylb.Request
	for i := range s.lanes {
		var late []rosemarylb.Request
		s.lanes[i], late = s.lanes[i].withoutExpired(now)
		expired = append(expired, late...)
	}
	return s, expired
}

// WithServed implements rosemarylb.Queue: every rank that waits earns its
// share of the time served, and the served rank pays for it.
func (s Shares) WithServed(rank rosemarylb.Rank, service time.Duration) rosemarylb.Queue {
	mean := s.service[rank]
	s.service[rank] = mean + (service-mean)*smoothing/percent
	for i := range s.lanes {
		if s.lanes[i].depth == 0 && rosemarylb.Rank(i) != rank {
			continue
		}
		s.credit[i] += service * time.Duration(s.shares[i]) / percent
	}
	s.credit[rank] -= service
	for i := range s.credit {
		s.credit[i] = min(max(s.credit[i], -creditLimit), creditLimit)
	}
	return s
}

// WithService implements rosemarylb.Queue.
func (s Shares) WithService(v rosemarylb.Service, slots int) rosemarylb.Queue {
	s.shares = v.Shares
	s.limit = v.QueueLimit
	s.slots = max(slots, 1)
	return s
}

// Depth implements rosemarylb.Queue.
func (s Shares) Depth(rank rosemarylb.Rank) int {
	return s.lanes[rank].depth
}
