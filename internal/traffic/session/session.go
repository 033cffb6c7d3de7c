// Package session decides, for one caller, what its requests ask for, where
// its floor stands and what follows from an outcome. It knows no protocol.
package session

import (
	"time"

	"rosemarylb"
)

const (
	// retryStep is the unit of the wait before a request is routed again.
	retryStep = 10 * time.Millisecond
	// retryLimit bounds that wait.
	retryLimit = 100 * time.Millisecond
)

// Ask is what a caller wants done, taken out of its protocol.
type Ask struct {
	// Text is the statement's text, or all texts of one request in turn.
	Texts []string
	// Statements are the prepared statements that the payload refers to.
	Statements []rosemarylb.Statement
	// Payload is the request as it goes to the endpoint.
	Payload []byte
}

// Session is the immutable state of one caller's session.
type Session struct {
	id       rosemarylb.SessionID
	database rosemarylb.DatabaseName
	caller   rosemarylb.CallerSpec
	floor    rosemarylb.Floor
	floorAt  time.Time
	lease    rosemarylb.Target
	aborted  bool
	key      string
	attempts int
	unsure   bool
	request  rosemarylb.Request
	active   bool
}

// NewSession returns the state of a session that has just begun. Its floor is
// unknown: the caller may have written through another instance.
func NewSession(id rosemarylb.SessionID, d rosemarylb.DatabaseName, c rosemarylb.CallerSpec) Session {
	return Session{
		id:       id,
		database: d,
		caller:   c,
	}
}

// ID returns the session's number.
func (s Session) ID() rosemarylb.SessionID {
	return s.id
}

// Database returns the database that the session is connected to.
func (s Session) Database() rosemarylb.DatabaseName {
	return s.database
}

// Caller returns the service that the session gets.
func (s Session) Caller() rosemarylb.CallerSpec {
	return s.caller
}

// Floor returns the least position that the next read has to see.
func (s Session) Floor() rosemarylb.Floor {
	return s.floor
}

// Open reports whether a transaction is open, also one that has failed.
func (s Session) Open() bool {
	return s.lease.Lease != 0 || s.aborted
}

// Aborted reports whether the open transaction has lost its connection and
// can only be ended.
func (s Session) Aborted() bool {
	return s.aborted
}

// Lease returns the target of the open transaction, and whether there is one.
func (s Session) Lease() (rosemarylb.Target, bool) {
	return s.lease, s.lease.Lease != 0
}

// Active returns the request in flight, if there is one.
func (s Session) Active() (rosemarylb.Request, bool) {
	return s.request, s.active
}

// WithFloor returns the session with the floor that its caller brought from
// another instance. A lower one than is known changes nothing.
func (s Session) WithFloor(p rosemarylb.Position) Session {
	s.floor = s.floor.WithPosition(p)
	return s
}

// WithRequest returns the session with its request in flight changed: sent to
// another target or under another identity.
func (s Session) WithRequest(r rosemarylb.Request) Session {
	s.request = r
	return s
}

// WithCaller returns the session with another service.
func (s Session) WithCaller(c rosemarylb.CallerSpec) Session {
	s.caller = c
	return s
}

// WithKey returns the session whose next write carries an idempotency key.
func (s Session) WithKey(key string) Session {
	s.key = key
	return s
}

// WithEnded returns the session after its failed transaction was ended.
func (s Session) WithEnded() Session {
	s.aborted = false
	return s
}

// WithAsk returns the session at work on a request for what its caller asks.
func (s Session) WithAsk(
	a Ask, id rosemarylb.RequestID, limits rosemarylb.Service, now time.Time,
) (Session, rosemarylb.Request) {
	rosemarylb.Invariantf(!s.active, "session %d has a second request in flight", s.id)
	r := rosemarylb.Request{
		ID:         id,
		Database:   s.database,
		Caller:     s.caller.Name,
		Rank:       s.caller.Rank,
		Class:      s.classify(a.Texts),
		Floor:      s.floor,
		FloorAt:    s.floorAt,
		Latest:     s.caller.Latest,
		ArrivedAt:  now,
		Deadline:   now.Add(time.Duration(limits.RequestMillis) * time.Millisecond),
		Statements: a.Statements,
		Payload:    a.Payload,
		Target:     s.lease,
	}
	if s.caller.StalenessMillis > 0 {
		r.AsOf = now.Add(-time.Duration(s.caller.StalenessMillis) * time.Millisecond)
	}
	if r.Class == rosemarylb.ClassWrite {
		r.Key = s.key
		s.key = ""
	}
	s.request = r
	s.active = true
	s.attempts = 0
	s.unsure = false
	return s, r
}

func (s Session) classify(texts []string) rosemarylb.Class {
	open := s.Open()
	class := rosemarylb.ClassRead
	if open {
		class = rosemarylb.ClassWithin
	}
	for i, text := range texts {
		c := Classify(text, open)
		if i == 0 {
			class = c
			continue
		}
		class = Combine(class, c, open)
	}
	return class
}

// Verdict is what follows from an outcome.
type Verdict struct {
	// Retry is true when the request is to be routed again at RetryAt.
	Retry bool
	// RetryAt is when.
	RetryAt time.Time
	// Sent is true when the request had been sent before, so that trying it
	// again adds load.
	Sent bool
	// Outcome is what the caller is told otherwise.
	Outcome rosemarylb.Outcome
	// Status is the transaction status after it: I, T or E.
	Status byte
}

// WithOutcome returns the session after an outcome of its request.
func (s Session) WithOutcome(o rosemarylb.Outcome, now time.Time) (Session, Verdict) {
	if s.mayRetry(o, now) {
		s.attempts++
		s.unsure = s.unsure || o.Kind == rosemarylb.OutcomeUnknown
		if o.Reason == rosemarylb.ReasonReadOnly {
			s.request = s.request.WithClass(rosemarylb.ClassWrite)
		}
		return s, Verdict{
			Retry:   true,
			RetryAt: s.retryAt(o, now),
			Sent:    o.Kind == rosemarylb.OutcomeUnknown || o.Reason == rosemarylb.ReasonUnreachable,
		}
	}
	return s.WithEnd(o, now)
}

// WithEnd returns the session after the last outcome of its request.
func (s Session) WithEnd(o rosemarylb.Outcome, now time.Time) (Session, Verdict) {
	r := s.request
	s.active = false
	if s.unsure && o.Kind == rosemarylb.OutcomeNotRun && !r.Traceless() {
		// The last try did not run, but an earlier one may have.
		o = rosemarylb.NewUnknown(o.ID, o.Reason)
	}
	switch o.Kind {
	case rosemarylb.OutcomeDone:
		s = s.withDone(r, o, now)
	case rosemarylb.OutcomeUnknown:
		s.floor = s.floor.WithUnknown()
		s = s.withoutLease(r)
	default:
		if o.Reason == rosemarylb.ReasonLeaseGone {
			s = s.withoutLease(r)
		}
	}
	return s, Verdict{
		Outcome: o,
		Status:  s.status(o),
	}
}

func (s Session) mayRetry(o rosemarylb.Outcome, now time.Time) bool {
	r := s.request
	if r.Target.Lease != 0 || !now.Before(r.Deadline) {
		return false
	}
	switch o.Kind {
	case rosemarylb.OutcomeNotRun:
		return o.Reason.Retryable()
	case rosemarylb.OutcomeUnknown:
		return r.Repeatable() && o.Reason != rosemarylb.ReasonTooLarge
	default:
		return false
	}
}

// retryAt returns when to try again: at once where another endpoint can
// serve, else after a wait that grows.
func (s Session) retryAt(o rosemarylb.Outcome, now time.Time) time.Time {
	if s.attempts == 1 || o.Reason == rosemarylb.ReasonBehind {
		return now
	}
	return now.Add(min(time.Duration(s.attempts)*retryStep, retryLimit))
}

// withDone raises the floor: a commit to its position; a read to its term
// only, or else a session that reads the primary once would have to go on
// reading it.
func (s Session) withDone(r rosemarylb.Request, o rosemarylb.Outcome, now time.Time) Session {
	if o.Lease != 0 {
		s.lease = r.Target
		s.lease.Lease = o.Lease
		return s
	}
	s.lease = rosemarylb.Target{}
	if o.Position.IsZero() {
		return s
	}
	if r.Class == rosemarylb.ClassRead && s.floor.Known {
		s.floor = s.floor.WithTerm(o.Position.Term)
		return s
	}
	s.floor = s.floor.WithPosition(o.Position)
	s.floorAt = now
	return s
}

// withoutLease ends the lease of a lost transaction. What the caller sends on
// must not run outside of it, so the transaction stays failed until the
// caller ends it.
func (s Session) withoutLease(r rosemarylb.Request) Session {
	s.aborted = s.lease.Lease != 0 && r.Class == rosemarylb.ClassWithin
	s.lease = rosemarylb.Target{}
	return s
}

func (s Session) status(o rosemarylb.Outcome) byte {
	switch {
	case s.aborted || (s.lease.Lease != 0 && o.Failed):
		return 'E'
	case s.lease.Lease != 0:
		return 'T'
	default:
		return 'I'
	}
}
