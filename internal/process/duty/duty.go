package duty

import (
	"context"
	"sync/atomic"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// inspectionCapacity is how many dumps may wait for one duty.
const inspectionCapacity = 4

// ErrStopped reports a dump asked of a duty that has stopped.
var ErrStopped = errors.New("the duty has stopped")

// Handler decides on the events of one duty. Its methods run on the duty's
// thread only, and never wait.
type Handler[T any] interface {
	// Handle decides on one event.
	Handle(now time.Time, item T)
	// Tick is called once the deadline that Next returned has passed.
	Tick(now time.Time)
	// Next returns the deadline of the next tick, the zero time for none.
	Next() time.Time
	// Dump returns a description of the state that encodes as JSON.
	Dump() any
}

// Duty is a running thread.
type Duty struct {
	name    string
	inspect chan chan any
	stopped chan struct{}
	rings   func() []RingStatus
	wakes   atomic.Uint64
}

// steady is the process's own clock.
type steady struct{}

// Now implements rosemarylb.Clock.
func (steady) Now() time.Time {
	return time.Now()
}

// Start runs a handler on a thread of its own, fed by the given rings in
// order of preference, at most two. The returned function stops the thread
// and waits for it.
func Start[T any](name string, h Handler[T], rings ...*Ring[T]) (*Duty, func()) {
	return StartOn[T](steady{}, name, h, rings...)
}

// StartOn runs a handler like Start, with the times of another clock.
func StartOn[T any](c rosemarylb.Clock, name string, h Handler[T], rings ...*Ring[T]) (*Duty, func()) {
	d := &Duty{
		name:    name,
		inspect: make(chan chan any, inspectionCapacity),
		stopped: make(chan struct{}),
		rings:   statusOf(rings),
	}
	var second chan T
	if len(rings) > 1 {
		second = rings[1].items
	}
	l := &loop[T]{
		clock:   c,
		handler: h,
		first:   rings[0].items,
		second:  second,
		inspect: d.inspect,
		stop:    make(chan struct{}),
		timer:   time.NewTimer(time.Hour),
		wakes:   &d.wakes,
	}
	go l.run(d.stopped)
	return d, func() {
		close(l.stop)
		<-d.stopped
	}
}

// Spawn runs a library's blocking loop on a thread of its own. The returned
// function waits for the loop to end.
func Spawn(run func()) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	return func() {
		<-ended
	}
}

// Name returns the name of the duty.
func (d *Duty) Name() string {
	return d.name
}

// Dump returns the duty's state, described on its own thread.
func (d *Duty) Dump(ctx context.Context) (Report, error) {
	answer := make(chan any, 1)
	select {
	case d.inspect <- answer:
	case <-d.stopped:
		return Report{}, ErrStopped
	case <-ctx.Done():
		return Report{}, errors.Wrapf(ctx.Err(), "dump of %s", d.name)
	}
	select {
	case state := <-answer:
		return Report{
			Duty:  d.name,
			Rings: d.rings(),
			Wakes: d.wakes.Load(),
			State: state,
		}, nil
	case <-d.stopped:
		return Report{}, ErrStopped
	case <-ctx.Done():
		return Report{}, errors.Wrapf(ctx.Err(), "dump of %s", d.name)
	}
}

// Report is one duty's part of a dump.
type Report struct {
	// Duty names the duty.
	Duty string `json:"duty"`
	// Rings are the rings that feed it.
	Rings []RingStatus `json:"rings"`
	// Wakes counts how often its timer woke it since the start.
	Wakes uint64 `json:"wakes"`
	// State is the duty's own description.
	State any `json:"state"`
}

func statusOf[T any](rings []*Ring[T]) func() []RingStatus {
	return func() []RingStatus {
		var all []RingStatus
		for _, r := range rings {
			all = append(all, r.Status())
		}
		return all
	}
}

type loop[T any] struct {
	clock   rosemarylb.Clock
	handler Handler[T]
	first   chan T
	second  chan T
	inspect chan chan any
	stop    chan struct{}
	timer   *time.Timer
	armed   time.Time
	wakes   *atomic.Uint64
}

func (l *loop[T]) run(stopped chan struct{}) {
	defer close(stopped)
	defer l.timer.Stop()
	for {
		l.arm()
		select {
		case item := <-l.first:
			l.handler.Handle(l.clock.Now(), item)
			continue
		default:
		}
		select {
		case item := <-l.first:
			l.handler.Handle(l.clock.Now(), item)
		case item := <-l.second:
			l.handler.Handle(l.clock.Now(), item)
		case <-l.timer.C:
			l.wakes.Add(1)
			l.tick(l.clock.Now())
		case answer := <-l.inspect:
			answer <- l.handler.Dump()
		case <-l.stop:
			return
		}
	}
}

func (l *loop[T]) tick(now time.Time) {
	l.armed = time.Time{}
	next := l.handler.Next()
	if !next.IsZero() && !next.After(now) {
		l.handler.Tick(now)
	}
}

// arm sets the timer when the next deadline is earlier than the one set. A
// timer that fires too early only asks again.
func (l *loop[T]) arm() {
	next := l.handler.Next()
	if next.IsZero() {
		return
	}
	if !l.armed.IsZero() && !next.Before(l.armed) {
		return
	}
	l.armed = next
	l.timer.Reset(next.Sub(l.clock.Now()))
}
