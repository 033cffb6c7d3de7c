package queue

import (
	"cmp"
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

// virtualTime is a point in time on the service clock of a rank: the service time
// that a caller of weight 1 had received by then, in nanoseconds.
type virtualTime int64

// after returns the virtual time at which a caller has received more service.
func (v virtualTime) after(service time.Duration, weight int) virtualTime {
	return v + virtualTime(service)/virtualTime(weight)
}

// callerQueue is the immutable queue of one caller in a rank.
type callerQueue struct {
	name   string
	weight int
	// reached is the virtual time that the caller's use of the slots has reached. The
	// caller that has reached least is served next.
	reached virtualTime
	// order decides between callers that have reached the same virtual time.
	order uint64
	// requests are the waiting requests by their sequence number.
	requests *immutable.SortedMap[uint64, *rosemarylb.Request]
}

func newCallerQueue(name string, reached virtualTime) callerQueue {
	return callerQueue{
		name:     name,
		weight:   1,
		reached:  reached,
		requests: immutable.NewSortedMap[uint64, *rosemarylb.Request](nil),
	}
}

// isWaiting reports whether the caller has waiting requests.
func (c callerQueue) isWaiting() bool {
	return c.requests.Len() > 0
}

// first returns the oldest waiting request. The queue must not be empty.
func (c callerQueue) first() *rosemarylb.Request {
	_, r, _ := c.requests.Iterator().Next()
	return r
}

// last returns the newest waiting request. The queue must not be empty.
func (c callerQueue) last() *rosemarylb.Request {
	i := c.requests.Iterator()
	i.Last()
	_, r, _ := i.Next()
	return r
}

// turnKey orders callers by their next turn.
func (c callerQueue) turnKey() callerKey {
	return callerKey{
		value: int64(c.reached),
		order: c.order,
		name:  c.name,
	}
}

// lengthKey orders callers by their waiting requests, most first.
func (c callerQueue) lengthKey() callerKey {
	return callerKey{
		value: -int64(c.requests.Len()),
		name:  c.name,
	}
}

// callerKey is the position of a caller in an ordered set of callers.
type callerKey struct {
	value int64
	order uint64
	name  string
}

type callerKeyComparer struct{}

// Compare implements immutable.Comparer.
func (callerKeyComparer) Compare(a, b callerKey) int {
	return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.order, b.order), cmp.Compare(a.name, b.name))
}

// requestKey is the position of a request in the order of the queueing deadlines,
// and its place in the queue of its caller.
type requestKey struct {
	deadline time.Time
	sequence uint64
	caller   string
}

type requestKeyComparer struct{}

// Compare implements immutable.Comparer.
func (requestKeyComparer) Compare(a, b requestKey) int {
	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.sequence, b.sequence))
}

type requestIDHasher struct{}

// Hash implements immutable.Hasher.
func (requestIDHasher) Hash(id rosemarylb.RequestID) uint32 {
	// Sequence numbers are consecutive, and the map uses the low bits first.
	const odd = 0x9E3779B97F4A7C15
	mixed := (id.Sequence ^ uint64(id.Session)<<32) * odd
	return uint32(mixed >> 32)
}

// Equal implements immutable.Hasher.
func (requestIDHasher) Equal(a, b rosemarylb.RequestID) bool {
	return a == b
}
