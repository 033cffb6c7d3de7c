package queue

import (
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

const (
	// maxLag bounds the service time that a caller can claim afterwards because it was
	// passed over while its requests were not eligible.
	maxLag = 100 * time.Millisecond
	// maxLead bounds the service time for which a caller waits until others have had as
	// much. Without it, one statement that ran for a minute would keep its caller
	// behind all others for a minute of each of them.
	maxLead = time.Second
	// turnCharge is the service time that a caller is charged with until its request was
	// served, so that several slots do not all go to the same caller. It is constant: a
	// moving average that changes while requests run would favour the callers whose
	// requests end when it is high.
	turnCharge = 10 * time.Millisecond
)

// rankQueue is an immutable queue of the waiting requests of one rank. Its callers
// take turns by service time: the next request is that of the caller that has
// received least, divided by its weight. A caller without requests earns no claim.
// Each operation takes time logarithmic in the number of callers and requests.
type rankQueue struct {
	depth int
	// clock is the latest virtual time at which a caller was given its turn.
	clock    virtualTime
	sequence uint64
	// weight is the sum of the weights of the waiting callers.
	weight int
	// callers are the waiting callers, and those without requests that have received
	// more than the clock shows.
	callers *immutable.Map[string, callerQueue]
	// turns are the waiting callers, the next one first.
	turns *immutable.SortedMap[callerKey, struct{}]
	// lengths are the waiting callers, the one with most requests first.
	lengths *immutable.SortedMap[callerKey, struct{}]
	// ahead are the callers without requests, the one that has received least first.
	ahead     *immutable.SortedMap[callerKey, struct{}]
	places    *immutable.Map[rosemarylb.RequestID, requestKey]
	deadlines *immutable.SortedMap[requestKey, rosemarylb.RequestID]
}

func newRankQueue() rankQueue {
	return rankQueue{
		callers:   immutable.NewMap[string, callerQueue](nil),
		turns:     immutable.NewSortedMap[callerKey, struct{}](callerKeyComparer{}),
		lengths:   immutable.NewSortedMap[callerKey, struct{}](callerKeyComparer{}),
		ahead:     immutable.NewSortedMap[callerKey, struct{}](callerKeyComparer{}),
		places:    immutable.NewMap[rosemarylb.RequestID, requestKey](requestIDHasher{}),
		deadlines: immutable.NewSortedMap[requestKey, rosemarylb.RequestID](requestKeyComparer{}),
	}
}

// caller returns the queue of a caller. One that is not known has received no more
// than the clock shows.
func (q rankQueue) caller(name string) callerQueue {
	c, found := q.callers.Get(name)
	if !found {
		return newCallerQueue(name, q.clock)
	}
	return c
}

// withCaller replaces the queue of a caller. It forgets a caller without requests
// that has not received more than the clock shows.
func (q rankQueue) withCaller(c callerQueue) rankQueue {
	was, known := q.callers.Get(c.name)
	switch {
	case known && was.isWaiting():
		q.turns = q.turns.Delete(was.turnKey())
		q.lengths = q.lengths.Delete(was.lengthKey())
		q.weight -= was.weight
	case known:
		q.ahead = q.ahead.Delete(was.turnKey())
	}
	switch {
	case c.isWaiting():
		q.turns = q.turns.Set(c.turnKey(), struct{}{})
		q.lengths = q.lengths.Set(c.lengthKey(), struct{}{})
		q.weight += c.weight
	case c.reached > q.clock:
		q.ahead = q.ahead.Set(c.turnKey(), struct{}{})
	default:
		if known {
			q.callers = q.callers.Delete(c.name)
		}
		return q
	}
	q.callers = q.callers.Set(c.name, c)
	return q
}

// withRequest adds a request, or replaces one of the same ID. A caller that had none
// waits from the present virtual time on, or from the one that it has reached if that
// is later.
func (q rankQueue) withRequest(r rosemarylb.Request) rankQueue {
	q, _ = q.withoutRequest(r.ID)
	q.sequence++
	c := q.caller(r.Caller)
	if !c.isWaiting() {
		c.order = q.sequence
	}
	c.weight = max(r.Weight, 1)
	c.requests = c.requests.Set(q.sequence, &r)
	key := requestKey{
		deadline: r.QueueDeadline,
		sequence: q.sequence,
		caller:   r.Caller,
	}
	q.places = q.places.Set(r.ID, key)
	q.deadlines = q.deadlines.Set(key, r.ID)
	q.depth++
	return q.withCaller(c)
}

// workAhead returns an upper bound on the service time of the waiting requests that
// are served before a new one of the caller, at a mean service time: its own, what
// the others are due until then, and one request more of each other.
func (q rankQueue) workAhead(r rosemarylb.Request, mean time.Duration) time.Duration {
	c := q.caller(r.Caller)
	ownWork := time.Duration(c.requests.Len()) * mean
	others, otherWeight := q.turns.Len(), q.weight
	if c.isWaiting() {
		others--
		otherWeight -= c.weight
	}
	lead := time.Duration(max(c.reached-q.clock, 0))
	due := lead + ownWork/time.Duration(max(r.Weight, 1))
	work := ownWork + due*time.Duration(otherWeight) + mean*time.Duration(others)
	return min(work, time.Duration(q.depth)*mean)
}

// withEvictionFor frees a place in a full queue for a new request. It evicts the
// newest request of the caller with the most waiting requests, if these are more
// than the new request's caller would have, and returns the queue without it and
// the evicted request. Otherwise it returns the queue unchanged and the new
// request.
func (q rankQueue) withEvictionFor(r rosemarylb.Request) (rankQueue, rosemarylb.Request) {
	longest, _, found := q.lengths.Iterator().Next()
	if !found {
		return q, r
	}
	c := q.caller(longest.name)
	if c.requests.Len() <= q.caller(r.Caller).requests.Len()+1 {
		return q, r
	}
	newest := *c.last()
	q, _ = q.withoutRequest(newest.ID)
	return q, newest
}

// first returns the first request, in the order of the turns, that is eligible, false
// if there is none. A nil function accepts all.
func (q rankQueue) first(eligible func(rosemarylb.Request) bool) (rosemarylb.Request, bool) {
	i := q.turns.Iterator()
	for !i.Done() {
		key, _, _ := i.Next()
		if r := q.caller(key.name).first(); eligible == nil || eligible(*r) {
			return *r, true
		}
	}
	return rosemarylb.Request{}, false
}

// withTurn removes the request that is served next, and charges its caller with
// turnCharge.
func (q rankQueue) withTurn(r rosemarylb.Request) rankQueue {
	reached := q.caller(r.Caller).reached
	q, _ = q.withoutRequest(r.ID)
	q.sequence++
	q.clock = max(q.clock, reached)
	c := q.caller(r.Caller)
	c.weight = max(r.Weight, 1)
	c.reached = max(reached, q.clock-virtualTime(maxLag)).after(turnCharge, c.weight)
	c.order = q.sequence
	return q.withCaller(c).withoutCaughtUp()
}

// withService replaces the charge of a caller for a request by its service time.
func (q rankQueue) withService(r rosemarylb.Request, service time.Duration) rankQueue {
	c := q.caller(r.Caller)
	c.reached = min(c.reached.after(service-turnCharge, max(r.Weight, 1)), q.clock+virtualTime(maxLead))
	return q.withCaller(c)
}

// withoutCaughtUp forgets the callers without requests that the clock has reached.
func (q rankQueue) withoutCaughtUp() rankQueue {
	for q.ahead.Len() > 0 {
		key, _, _ := q.ahead.Iterator().Next()
		if virtualTime(key.value) > q.clock {
			break
		}
		q.ahead = q.ahead.Delete(key)
		q.callers = q.callers.Delete(key.name)
	}
	return q
}

// withoutRequest returns the queue without a request, false if it is not in the
// queue.
func (q rankQueue) withoutRequest(id rosemarylb.RequestID) (rankQueue, bool) {
	key, found := q.places.Get(id)
	if !found {
		return q, false
	}
	q.places = q.places.Delete(id)
	q.deadlines = q.deadlines.Delete(key)
	q.depth--
	c := q.caller(key.caller)
	c.requests = c.requests.Delete(key.sequence)
	return q.withCaller(c), true
}

// withoutExpired returns the queue without the requests whose QueueDeadline has
// passed, and those requests.
func (q rankQueue) withoutExpired(now time.Time) (rankQueue, []rosemarylb.Request) {
	var expired []rosemarylb.Request
	for q.deadlines.Len() > 0 {
		key, id, _ := q.deadlines.Iterator().Next()
		if !now.After(key.deadline) {
			break
		}
		r, _ := q.caller(key.caller).requests.Get(key.sequence)
		expired = append(expired, *r)
		q, _ = q.withoutRequest(id)
	}
	return q, expired
}
