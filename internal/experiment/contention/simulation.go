package contention

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarylb"
)

// Rules are how callers behave and how the queue is configured.
type Rules struct {
	// Patience is how long a caller waits for the answer to an attempt, by rank.
	Patience [rosemarylb.RankCount]time.Duration
	// Attempts is how often a caller sends a request that is refused.
	Attempts int
	// Shares are the minimum shares of the ranks, in percent.
	Shares [rosemarylb.RankCount]int
	// Depth is the maximum number of waiting requests of a rank.
	Depth int
}

const (
	// retryDelay is the mean time after which a caller repeats a refused request. It
	// doubles with each attempt.
	retryDelay = 100 * time.Millisecond
	// targetDivisor gives the time within which an answer has its full worth, from the
	// caller's patience.
	targetDivisor = 4
)

// NewRules returns callers that wait for 0.4, 1 or 4 s and try three times.
func NewRules() Rules {
	return Rules{
		Patience: [rosemarylb.RankCount]time.Duration{400 * time.Millisecond, time.Second, 4 * time.Second},
		Attempts: 3,
		Shares:   [rosemarylb.RankCount]int{0, 10, 10},
		Depth:    512,
	}
}

// Operation is a request with its fate.
type Operation struct {
	Arrival
	// Attempts is the number of attempts so far.
	Attempts int
	// OfferedAt is the time of the last attempt.
	OfferedAt time.Duration
	// StartedAt is the time at which the request got a slot, 0 if it got none.
	StartedAt time.Duration
	// EndedAt is the time of the answer or of the last refusal.
	EndedAt time.Duration
	// Answered is false if the request was refused.
	Answered bool
}

// Worth returns the worth of the answer: 1 within the target of the rank, falling to
// 0 at the end of the caller's patience, counted from the first attempt.
func (o Operation) Worth(r Rules) float64 {
	if !o.Answered {
		return 0
	}
	target := r.Patience[o.Rank] / targetDivisor
	late := max(o.EndedAt-o.At-target, 0)
	return max(1-late.Seconds()/(r.Patience[o.Rank]-target).Seconds(), 0)
}

// simulation is a discrete-event simulation of a queue with slots.
type simulation struct {
	policy     Policy
	load       Load
	rules      Rules
	random     *rand.Rand
	queue      rosemarylb.Queue
	now        time.Duration
	operations []Operation
	// running and returning are the operations that occupy a slot and those that are
	// to be repeated, the first to end or to return last.
	running, returning []event
}

// event is the time at which something happens to an operation.
type event struct {
	at        time.Duration
	operation int
}

func insert(events []event, e event) []event {
	i, _ := slices.BinarySearchFunc(events, e, func(a, b event) int {
		return int(b.at - a.at)
	})
	return slices.Insert(events, i, e)
}

// Run simulates the arrivals under a policy until all requests are answered or
// refused. The operations are in the order of the arrivals.
func Run(p Policy, l Load, r Rules, arrivals []Arrival) []Operation {
	s := &simulation{
		policy: p,
		load:   l,
		rules:  r,
		random: rand.New(rand.NewPCG(1, 13)),
		queue:  p.newQueue(l.Slots, r.Depth, r.Shares),
	}
	for _, a := range arrivals {
		s.operations = append(s.operations, Operation{
			Arrival: a,
		})
	}
	next := 0
	for {
		// Ties go to the end of a service, which frees a slot.
		arrival, returning, ending := next < len(arrivals), len(s.returning) > 0, len(s.running) > 0
		ending = ending && (!returning || s.running[len(s.running)-1].at <= s.returning[len(s.returning)-1].at) &&
			(!arrival || s.running[len(s.running)-1].at <= arrivals[next].At)
		returning = returning && (!arrival || s.returning[len(s.returning)-1].at <= arrivals[next].At)
		switch {
		case ending:
			s.end()
		case returning:
			e := s.returning[len(s.returning)-1]
			s.returning = s.returning[:len(s.returning)-1]
			s.now = e.at
			s.offer(e.operation)
		case arrival:
			s.now = arrivals[next].At
			s.offer(next)
			next++
		default:
			return s.operations
		}
		s.dispatch()
	}
}

// time returns a point in time of the run in the form that the queue uses.
func (s *simulation) time(at time.Duration) time.Time {
	return time.Unix(1000, 0).Add(at)
}

func (s *simulation) request(n int) rosemarylb.Request {
	o := s.operations[n]
	return s.policy.visible(rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: uint64(n),
		},
		Caller:        s.load.Teams[o.Team].Name,
		Weight:        s.load.Teams[o.Team].Weight,
		Rank:          o.Rank,
		ArrivedAt:     s.time(o.OfferedAt),
		QueueDeadline: s.time(o.OfferedAt + s.rules.Patience[o.Rank]),
	})
}

// offer sends an attempt of an operation to the queue.
func (s *simulation) offer(n int) {
	s.operations[n].Attempts++
	s.operations[n].OfferedAt = s.now
	rest, rejection := s.queue.WithRequest(s.request(n), s.time(s.now))
	s.queue = rest
	if rejection.Reason != rosemarylb.ReasonNone {
		s.refuse(rejection.Request)
	}
}

// refuse ends an attempt. The caller repeats it while it has attempts left.
func (s *simulation) refuse(r rosemarylb.Request) {
	n := int(r.ID.Sequence)
	o := &s.operations[n]
	if o.Attempts >= s.rules.Attempts {
		o.EndedAt = s.now
		return
	}
	delay := float64(retryDelay<<(o.Attempts-1)) * (0.5 + s.random.Float64())
	s.returning = insert(s.returning, event{
		at:        s.now + time.Duration(delay),
		operation: n,
	})
}

// dispatch gives the free slots to waiting requests.
func (s *simulation) dispatch() {
	for len(s.running) < s.load.Slots {
		d, rest := s.queue.Next(s.time(s.now), nil)
		s.queue = rest
		for _, r := range d.Expired {
			s.refuse(r)
		}
		if !d.Found {
			return
		}
		n := int(d.Request.ID.Sequence)
		s.operations[n].StartedAt = s.now
		s.running = insert(s.running, event{
			at:        s.now + s.operations[n].Service,
			operation: n,
		})
	}
}

// end ends the request that is served first.
func (s *simulation) end() {
	e := s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	s.now = e.at
	o := &s.operations[e.operation]
	o.EndedAt, o.Answered = s.now, true
	s.queue = s.queue.WithServed(s.request(e.operation), s.policy.reported(o.Service))
}
