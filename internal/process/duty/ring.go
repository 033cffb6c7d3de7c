// Package duty runs the threads of the proxy and the bounded rings that join
// them. It is the only package with a go statement.
package duty

import "sync/atomic"

// Ring is a bounded queue of events toward one duty.
type Ring[T any] struct {
	name    string
	items   chan T
	refused atomic.Uint64
}

// NewRing returns an empty ring that holds up to capacity events.
func NewRing[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		name:  name,
		items: make(chan T, capacity),
	}
}

// Offer adds an event and never waits; it returns false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an event and waits while the ring is full. Only event loops use
// it, toward duties that never wait for those loops.
func (r *Ring[T]) Put(item T) {
	r.items <- item
}

// Depth returns how many events wait.
func (r *Ring[T]) Depth() int {
	return len(r.items)
}

// Status returns the ring's figures for a dump.
func (r *Ring[T]) Status() RingStatus {
	return RingStatus{
		Name:     r.name,
		Depth:    len(r.items),
		Capacity: cap(r.items),
		Refused:  r.refused.Load(),
	}
}

// RingStatus is a ring's state at one moment.
type RingStatus struct {
	// Name names the ring.
	Name string `json:"name"`
	// Depth is how many events wait.
	Depth int `json:"depth"`
	// Capacity is how many may wait.
	Capacity int `json:"capacity"`
	// Refused counts the events refused since the start.
	Refused uint64 `json:"refused"`
}

// Latest is a ring of one place whose newest value replaces the older one.
// One duty writes it and any may read it.
type Latest[T any] struct {
	value atomic.Pointer[T]
}

// NewLatest returns a place that holds an initial value.
func NewLatest[T any](initial T) *Latest[T] {
	l := &Latest[T]{}
	l.value.Store(&initial)
	return l
}

// Load returns the newest value.
func (l *Latest[T]) Load() T {
	return *l.value.Load()
}

// Store replaces the value.
func (l *Latest[T]) Store(value T) {
	l.value.Store(&value)
}
