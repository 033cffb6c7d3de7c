package duty

import (
	"context"
	"sync/atomic"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// dumpRequestCapacity is the number of dump requests that are buffered for a
// duty.
const dumpRequestCapacity = 4

// ErrStopped is returned by Dump when the duty has stopped.
var ErrStopped = errors.New("the duty has stopped")

// Handler processes the events of a duty. Its methods are called on the duty's
// thread only. They must not block, except in a duty whose purpose is to make
// blocking calls.
type Handler[T any] interface {
	// Handle processes an event.
	Handle(now time.Time, item T)
	// Tick is called when the deadline returned by Next has passed.
	Tick(now time.Time)
	// Next returns the deadline of the next tick, or the zero time if there is
	// none.
	Next() time.Time
	// Dump returns the state for a dump, as a value that encodes as JSON.
	Dump() any
}

// Duty is a running event loop on a thread of its own.
type Duty struct {
	name         string
	dumpRequests chan chan any
	stopped      chan struct{}
	ringStatuses func() []RingStatus
	timerWakeups atomic.Uint64
}

// systemClock is the clock of package time.
type systemClock struct{}

// Now implements rosemarylb.Clock.
func (systemClock) Now() time.Time {
	return time.Now()
}

// Start runs a handler on a new thread that receives events from one or two
// rings. Events of the first ring take priority over those of the second, ticks,
// dumps and the stop. The returned function stops the thread and waits until it
// has ended; events left in the rings are not processed.
func Start[T any](name string, h Handler[T], rings ...*Ring[T]) (*Duty, func()) {
	return StartWithClock[T](systemClock{}, name, h, rings...)
}

// StartWithClock is like Start, but takes times and deadlines from the given clock.
func StartWithClock[T any](c rosemarylb.Clock, name string, h Handler[T], rings ...*Ring[T]) (*Duty, func()) {
	d := &Duty{
		name:         name,
		dumpRequests: make(chan chan any, dumpRequestCapacity),
		stopped:      make(chan struct{}),
		ringStatuses: ringStatusFunc(rings),
	}
	var lowPriority chan T
	if len(rings) > 1 {
		lowPriority = rings[1].items
	}
	l := &loop[T]{
		clock:        c,
		handler:      h,
		highPriority: rings[0].items,
		lowPriority:  lowPriority,
		dumpRequests: d.dumpRequests,
		stop:         make(chan struct{}),
		timer:        time.NewTimer(time.Hour),
		timerWakeups: &d.timerWakeups,
	}
	go l.run(d.stopped)
	return d, func() {
		close(l.stop)
		<-d.stopped
	}
}

// Spawn runs a blocking function on a new thread, such as the accept loop of a
// server. The returned function waits until it has returned.
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

// Dump returns a report of the duty. The state is read on the duty's thread. It
// returns ErrStopped if the duty has stopped, and the context's error if the
// duty does not answer in time.
func (d *Duty) Dump(ctx context.Context) (Report, error) {
	reply := make(chan any, 1)
	select {
	case d.dumpRequests <- reply:
	case <-d.stopped:
		return Report{}, ErrStopped
	case <-ctx.Done():
		return Report{}, errors.Wrapf(ctx.Err(), "dump of %s", d.name)
	}
	select {
	case state := <-reply:
		return Report{
			Duty:         d.name,
			Rings:        d.ringStatuses(),
			TimerWakeups: d.timerWakeups.Load(),
			State:        state,
		}, nil
	case <-d.stopped:
		return Report{}, ErrStopped
	case <-ctx.Done():
		return Report{}, errors.Wrapf(ctx.Err(), "dump of %s", d.name)
	}
}

// Report is the part of a dump that describes one duty.
type Report struct {
	// Duty is the name of the duty.
	Duty string `json:"duty"`
	// Rings describes the rings that the duty receives events from.
	Rings []RingStatus `json:"rings"`
	// TimerWakeups is the number of times that the timer woke the duty since its start.
	TimerWakeups uint64 `json:"wakes"`
	// State is the value returned by Handler.Dump.
	State any `json:"state"`
}

// ringStatusFunc returns a function that returns the status of the rings.
func ringStatusFunc[T any](rings []*Ring[T]) func() []RingStatus {
	return func() []RingStatus {
		var statuses []RingStatus
		for _, r := range rings {
			statuses = append(statuses, r.Status())
		}
		return statuses
	}
}

// loop is the event loop of a duty.
type loop[T any] struct {
	clock         rosemarylb.Clock
	handler       Handler[T]
	highPriority  chan T
	lowPriority   chan T
	dumpRequests  chan chan any
	stop          chan struct{}
	timer         *time.Timer
	timerDeadline time.Time
	timerWakeups  *atomic.Uint64
}

func (l *loop[T]) run(stopped chan struct{}) {
	defer close(stopped)
	defer l.timer.Stop()
	for {
		l.resetTimer()
		// A select with several ready cases picks one at random, so the first ring
		// is polled alone.
		select {
		case item := <-l.highPriority:
			l.handler.Handle(l.clock.Now(), item)
			continue
		default:
		}
		select {
		case item := <-l.highPriority:
			l.handler.Handle(l.clock.Now(), item)
		case item := <-l.lowPriority:
			l.handler.Handle(l.clock.Now(), item)
		case <-l.timer.C:
			l.timerWakeups.Add(1)
			l.handleTimer(l.clock.Now())
		case reply := <-l.dumpRequests:
			reply <- l.handler.Dump()
		case <-l.stop:
			return
		}
	}
}

// handleTimer calls Tick if the next deadline has passed.
func (l *loop[T]) handleTimer(now time.Time) {
	l.timerDeadline = time.Time{}
	next := l.handler.Next()
	if !next.IsZero() && !next.After(now) {
		l.handler.Tick(now)
	}
}

// resetTimer resets the timer if the next deadline is earlier than the one it is
// set to. It doesn't postpone the timer: after an early expiry, handleTimer finds
// no deadline due and the timer is set again.
func (l *loop[T]) resetTimer() {
	next := l.handler.Next()
	if next.IsZero() {
		return
	}
	if !l.timerDeadline.IsZero() && !next.Before(l.timerDeadline) {
		return
	}
	l.timerDeadline = next
	l.timer.Reset(next.Sub(l.clock.Now()))
}
