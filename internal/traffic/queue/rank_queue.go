package queue

import (
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

// rankQueue is an immutable queue of the waiting requests of one rank. It serves
// callers round-robin, so that one with many requests cannot starve the others.
type rankQueue struct {
	depth int
	// callerOrder lists the callers with waiting requests, next one first.
	callerOrder      *immutable.List[string]
	requestsByCaller *immutable.Map[string, *immutable.List[*rosemarylb.Request]]
}

func newRankQueue() rankQueue {
	return rankQueue{
		callerOrder:      immutable.NewList[string](),
		requestsByCaller: immutable.NewMap[string, *immutable.List[*rosemarylb.Request]](nil),
	}
}

func (q rankQueue) withRequest(r rosemarylb.Request) rankQueue {
	q.depth++
	requests, found := q.requestsByCaller.Get(r.Caller)
	if !found {
		requests = immutable.NewList[*rosemarylb.Request]()
		q.callerOrder = q.callerOrder.Append(r.Caller)
	}
	q.requestsByCaller = q.requestsByCaller.Set(r.Caller, requests.Append(&r))
	return q
}

// requestsAhead returns an upper bound on the waiting requests that are served
// before a new one of the caller: its own, and in round-robin order at most one
// of each caller per request of its own, the new one included.
func (q rankQueue) requestsAhead(caller string) int {
	own := 0
	if requests, found := q.requestsByCaller.Get(caller); found {
		own = requests.Len()
	}
	return min(q.depth, own+(own+1)*q.callerOrder.Len())
}

// withEvictionFor frees a place in a full queue for a new request. It evicts the
// newest request of the caller with the most waiting requests, if these are more
// than the new request's caller would have, and returns the queue without it and
// the evicted request. Otherwise it returns the queue unchanged and the new
// request.
func (q rankQueue) withEvictionFor(r rosemarylb.Request) (rankQueue, rosemarylb.Request) {
	own := 0
	if requests, found := q.requestsByCaller.Get(r.Caller); found {
		own = requests.Len()
	}
	var longest *immutable.List[*rosemarylb.Request]
	i := q.requestsByCaller.Iterator()
	for !i.Done() {
		_, requests, _ := i.Next()
		if requests.Len() > own+1 && (longest == nil || requests.Len() > longest.Len()) {
			longest = requests
		}
	}
	if longest == nil {
		return q, r
	}
	newest := *longest.Get(longest.Len() - 1)
	q.requestsByCaller = q.requestsByCaller.Set(newest.Caller, longest.Slice(0, longest.Len()-1))
	q.depth--
	return q, newest
}

// pop returns the next request that may be taken, and the queue without it. It is
// false if there is none.
func (q rankQueue) pop(mayTake func(rosemarylb.Request) bool) (rosemarylb.Request, rankQueue, bool) {
	i := q.callerOrder.Iterator()
	for !i.Done() {
		_, caller := i.Next()
		requests, _ := q.requestsByCaller.Get(caller)
		r := *requests.Get(0)
		if !mayTake(r) {
			continue
		}
		q.depth--
		q.callerOrder = removeCaller(q.callerOrder, caller)
		if requests.Len() == 1 {
			q.requestsByCaller = q.requestsByCaller.Delete(caller)
			return r, q, true
		}
		q.requestsByCaller = q.requestsByCaller.Set(caller, requests.Slice(1, requests.Len()))
		q.callerOrder = q.callerOrder.Append(caller)
		return r, q, true
	}
	return rosemarylb.Request{}, q, false
}

// withoutRequest returns the queue without a request, false if it is not in the
// queue.
func (q rankQueue) withoutRequest(id rosemarylb.RequestID) (rankQueue, bool) {
	i := q.requestsByCaller.Iterator()
	for !i.Done() {
		caller, requests, _ := i.Next()
		remaining, found := removeRequest(requests, id)
		if !found {
			continue
		}
		q.depth--
		if remaining.Len() > 0 {
			q.requestsByCaller = q.requestsByCaller.Set(caller, remaining)
			return q, true
		}
		q.requestsByCaller = q.requestsByCaller.Delete(caller)
		q.callerOrder = removeCaller(q.callerOrder, caller)
		return q, true
	}
	return q, false
}

// withoutExpired returns the queue without the requests whose QueueDeadline has
// passed, and those requests.
func (q rankQueue) withoutExpired(now time.Time) (rankQueue, []rosemarylb.Request) {
	var expired []rosemarylb.Request
	i := q.requestsByCaller.Iterator()
	for !i.Done() {
		_, requests, _ := i.Next()
		j := requests.Iterator()
		for !j.Done() {
			if _, r := j.Next(); now.After(r.QueueDeadline) {
				expired = append(expired, *r)
			}
		}
	}
	for _, r := range expired {
		q, _ = q.withoutRequest(r.ID)
	}
	return q, expired
}

func removeRequest(
	list *immutable.List[*rosemarylb.Request], id rosemarylb.RequestID,
) (*immutable.List[*rosemarylb.Request], bool) {
	remaining := immutable.NewList[*rosemarylb.Request]()
	found := false
	i := list.Iterator()
	for !i.Done() {
		_, r := i.Next()
		if r.ID == id {
			found = true
			continue
		}
		remaining = remaining.Append(r)
	}
	return remaining, found
}

func removeCaller(callers *immutable.List[string], caller string) *immutable.List[string] {
	remaining := immutable.NewList[string]()
	i := callers.Iterator()
	for !i.Done() {
		_, name := i.Next()
		if name != caller {
			remaining = remaining.Append(name)
		}
	}
	return remaining
}
