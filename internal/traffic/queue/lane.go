package queue

import (
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

// lane holds the waiting requests of one rank. Callers take turns, so that
// none can crowd out its peers.
type lane struct {
	depth   int
	turns   *immutable.List[string]
	waiting *immutable.Map[string, *immutable.List[*rosemarylb.Request]]
}

func newLane() lane {
	return lane{
		turns:   immutable.NewList[string](),
		waiting: immutable.NewMap[string, *immutable.List[*rosemarylb.Request]](nil),
	}
}

func (l lane) withRequest(r rosemarylb.Request) lane {
	l.depth++
	mine, found := l.waiting.Get(r.Caller)
	if !found {
		mine = immutable.NewList[*rosemarylb.Request]()
		l.turns = l.turns.Append(r.Caller)
	}
	l.waiting = l.waiting.Set(r.Caller, mine.Append(&r))
	return l
}

// ahead returns how many requests of the lane go before a caller's next one,
// since callers take turns.
func (l lane) ahead(caller string) int {
	own := 0
	if mine, found := l.waiting.Get(caller); found {
		own = mine.Len()
	}
	return min(l.depth, own+(own+1)*l.turns.Len())
}

// withRoomFor returns the full lane without the newest request of the caller
// that has most of them waiting, and that request. It is the new request
// itself when its own caller has as many.
func (l lane) withRoomFor(r rosemarylb.Request) (lane, rosemarylb.Request) {
	own := 0
	if mine, found := l.waiting.Get(r.Caller); found {
		own = mine.Len()
	}
	var longest *immutable.List[*rosemarylb.Request]
	i := l.waiting.Iterator()
	for !i.Done() {
		_, theirs, _ := i.Next()
		if theirs.Len() > own+1 && (longest == nil || theirs.Len() > longest.Len()) {
			longest = theirs
		}
	}
	if longest == nil {
		return l, r
	}
	newest := *longest.Get(longest.Len() - 1)
	l.waiting = l.waiting.Set(newest.Caller, longest.Slice(0, longest.Len()-1))
	l.depth--
	return l, newest
}

// pop returns the next request and the lane without it.
func (l lane) pop() (rosemarylb.Request, lane) {
	l.depth--
	caller := l.turns.Get(0)
	l.turns = l.turns.Slice(1, l.turns.Len())
	mine, _ := l.waiting.Get(caller)
	r := *mine.Get(0)
	if mine.Len() == 1 {
		l.waiting = l.waiting.Delete(caller)
		return r, l
	}
	l.waiting = l.waiting.Set(caller, mine.Slice(1, mine.Len()))
	l.turns = l.turns.Append(caller)
	return r, l
}

// without returns the lane without one request, false if it is not there.
func (l lane) without(id rosemarylb.RequestID) (lane, bool) {
	i := l.waiting.Iterator()
	for !i.Done() {
		caller, mine, _ := i.Next()
		rest, found := remove(mine, id)
		if !found {
			continue
		}
		l.depth--
		if rest.Len() > 0 {
			l.waiting = l.waiting.Set(caller, rest)
			return l, true
		}
		l.waiting = l.waiting.Delete(caller)
		l.turns = removeTurn(l.turns, caller)
		return l, true
	}
	return l, false
}

// withoutExpired returns the lane without the requests whose wait has ended,
// and those requests.
func (l lane) withoutExpired(now time.Time) (lane, []rosemarylb.Request) {
	var expired []rosemarylb.Request
	i := l.waiting.Iterator()
	for !i.Done() {
		_, mine, _ := i.Next()
		each := mine.Iterator()
		for !each.Done() {
			if _, r := each.Next(); now.After(r.QueueUntil) {
				expired = append(expired, *r)
			}
		}
	}
	for _, r := range expired {
		l, _ = l.without(r.ID)
	}
	return l, expired
}

func remove(
	list *immutable.List[*rosemarylb.Request], id rosemarylb.RequestID,
) (*immutable.List[*rosemarylb.Request], bool) {
	rest := immutable.NewList[*rosemarylb.Request]()
	found := false
	i := list.Iterator()
	for !i.Done() {
		_, r := i.Next()
		if r.ID == id {
			found = true
			continue
		}
		rest = rest.Append(r)
	}
	return rest, found
}

func removeTurn(turns *immutable.List[string], caller string) *immutable.List[string] {
	rest := immutable.NewList[string]()
	i := turns.Iterator()
	for !i.Done() {
		_, name := i.Next()
		if name != caller {
			rest = rest.Append(name)
		}
	}
	return rest
}
