// Package duty provides the threads of the proxy, called duties, and the bounded
// rings that pass events between them. It is the only package with a go
// statement.
package duty

import "sync/atomic"

// Ring is a bounded queue of events for a duty. It is safe for concurrent use.
type Ring[T any] struct {
	name    string
	items   chan T
	refused atomic.Uint64
}

// NewRing returns an empty ring with a capacity in events.
func NewRing[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		name:  name,
		items: make(chan T, capacity),
	}
}

// Offer adds an event without blocking. It returns false if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an event and blocks while the ring is full. The duty that receives
// the events must not wait for the caller, or the two can deadlock.
func (r *Ring[T]) Put(item T) {
	r.items <- item
}

// Depth returns the number of queued events.
func (r *Ring[T]) Depth() int {
	return len(r.items)
}

// Status returns the current state of the ring.
func (r *Ring[T]) Status() RingStatus {
	return RingStatus{
		Name:     r.name,
		Depth:    len(r.items),
		Capacity: cap(r.items),
		Refused:  r.refused.Load(),
	}
}

// RingStatus is a snapshot of a ring.
type RingStatus struct {
	// Name is the name of the ring.
	Name string `json:"name"`
	// Depth is the number of queued events.
	Depth int `json:"depth"`
	// Capacity is the maximum number of queued events.
	Capacity int `json:"capacity"`
	// Refused is the number of events that Offer has refused.
	Refused uint64 `json:"refused"`
}

// Latest is a ring of capacity one in which a new value replaces the old one.
// One duty stores values; any thread may load the latest.
type Latest[T any] struct {
	value atomic.Pointer[T]
}

// NewLatest returns a Latest that holds an initial value.
func NewLatest[T any](initial T) *Latest[T] {
	l := &Latest[T]{}
	l.value.Store(&initial)
	return l
}

// Load returns the latest value.
func (l *Latest[T]) Load() T {
	return *l.value.Load()
}

// Store replaces the value.
func (l *Latest[T]) Store(value T) {
	l.value.Store(&value)
}
