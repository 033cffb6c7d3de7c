// Package session holds the state of one caller's session: the class of its
// requests, the minimum position of its reads, its transaction, and whether a
// request is retried. It is independent of the wire protocol. It serves the
// PostgreSQL sessions of package caller; package sessionstate is its counterpart for
// package proxy.
package session

import (
	"time"

	"rosemarylb"
)

const (
	// retryBackoffStep is what each retry of a request adds to the backoff before
	// it.
	retryBackoffStep = 10 * time.Millisecond
	// maxRetryBackoff is the maximum backoff before a retry.
	maxRetryBackoff = 100 * time.Millisecond
)

// DecodedRequest is a request from a caller, decoded from its wire protocol.
type DecodedRequest struct {
	// Texts are the statement texts of the request, in order.
	Texts []string
	// Statements are the prepared statements that Payload refers to.
	Statements []rosemarylb.Statement
	// Payload is the encoded request to send to the endpoint.
	Payload []byte
}

// Session is the immutable state of one caller's session.
type Session struct {
	id                rosemarylb.SessionID
	database          rosemarylb.DatabaseName
	caller            rosemarylb.CallerSpec
	floor             rosemarylb.Floor
	floorRaisedAt     time.Time
	transactionTarget rosemarylb.Target
	aborted           bool
	idempotencyKey    string
	retries           int
	mayHaveRun        bool
	request           rosemarylb.Request
	requestInFlight   bool
}

// NewSession returns the state of a new session. Its minimum position is unknown,
// since the caller may have written through another instance before.
func NewSession(id rosemarylb.SessionID, d rosemarylb.DatabaseName, c rosemarylb.CallerSpec) Session {
	return Session{
		id:       id,
		database: d,
		caller:   c,
	}
}

// ID returns the session ID.
func (s Session) ID() rosemarylb.SessionID {
	return s.id
}

// Database returns the database that the session is connected to.
func (s Session) Database() rosemarylb.DatabaseName {
	return s.database
}

// Caller returns the configuration of the session's user.
func (s Session) Caller() rosemarylb.CallerSpec {
	return s.caller
}

// Floor returns the minimum position that the next read has to see.
func (s Session) Floor() rosemarylb.Floor {
	return s.floor
}

// InTransaction reports whether a transaction is open, including one whose connection
// was lost.
func (s Session) InTransaction() bool {
	return s.transactionTarget.PinnedConnection != 0 || s.aborted
}

// TransactionAborted reports whether the open transaction has lost its connection,
// so that the caller can only end it.
func (s Session) TransactionAborted() bool {
	return s.aborted
}

// TransactionTarget returns the target with the connection that is pinned to the open
// transaction, false if there is none.
func (s Session) TransactionTarget() (rosemarylb.Target, bool) {
	return s.transactionTarget, s.transactionTarget.PinnedConnection != 0
}

// RequestInFlight returns the request in flight, false if there is none.
func (s Session) RequestInFlight() (rosemarylb.Request, bool) {
	return s.request, s.requestInFlight
}

// WithFloor returns the session with its minimum position raised to one that the
// caller got from another instance. A lower position changes nothing.
func (s Session) WithFloor(p rosemarylb.Position) Session {
	s.floor = s.floor.WithPosition(p)
	return s
}

// WithRequestInFlight returns the session with a changed request in flight, such as one
// with another target, ID or payload.
func (s Session) WithRequestInFlight(r rosemarylb.Request) Session {
	s.request = r
	return s
}

// WithCaller returns the session with another configuration of its user.
func (s Session) WithCaller(c rosemarylb.CallerSpec) Session {
	s.caller = c
	return s
}

// WithIdempotencyKey returns the session with an idempotency key for its next write.
func (s Session) WithIdempotencyKey(key string) Session {
	s.idempotencyKey = key
	return s
}

// WithTransactionEnded returns the session after its caller ended the aborted
// transaction.
func (s Session) WithTransactionEnded() Session {
	s.aborted = false
	return s
}

// WithNewRequest returns the session with a new request in flight, and that request. It
// panics when a request is in flight already.
func (s Session) WithNewRequest(
	decoded DecodedRequest, id rosemarylb.RequestID, config rosemarylb.ServiceConfig, now time.Time,
) (Session, rosemarylb.Request) {
	rosemarylb.Invariantf(!s.requestInFlight, "session %d has a second request in flight", s.id)
	r := rosemarylb.Request{
		ID:           id,
		Database:     s.database,
		Caller:       s.caller.Name,
		Rank:         s.caller.Rank,
		Class:        s.classify(decoded.Texts),
		Floor:        s.floor,
		FloorAt:      s.floorRaisedAt,
		Linearizable: s.caller.Linearizable,
		ArrivedAt:    now,
		Deadline:     now.Add(time.Duration(config.RequestMillis) * time.Millisecond),
		Statements:   decoded.Statements,
		Payload:      decoded.Payload,
		Target:       s.transactionTarget,
	}
	if s.caller.StalenessMillis > 0 {
		r.AsOf = now.Add(-time.Duration(s.caller.StalenessMillis) * time.Millisecond)
	}
	if r.Class == rosemarylb.ClassWrite {
		r.Key = s.idempotencyKey
		s.idempotencyKey = ""
	}
	s.request = r
	s.requestInFlight = true
	s.retries = 0
	s.mayHaveRun = false
	return s, r
}

func (s Session) classify(texts []string) rosemarylb.Class {
	inTransaction := s.InTransaction()
	class := rosemarylb.ClassRead
	if inTransaction {
		class = rosemarylb.ClassInTransaction
	}
	for i, text := range texts {
		textClass := Classify(text, inTransaction)
		if i == 0 {
			class = textClass
			continue
		}
		class = combineClasses(class, textClass, inTransaction)
	}
	return class
}

// Action says what has to be done after an outcome.
type Action struct {
	// Retry is true when the request has to be routed again at RetryAt.
	Retry bool
	// RetryAt is the time of the retry.
	RetryAt time.Time
	// WasSent is true when the previous attempt was sent, so that the retry adds
	// load and has to be within the retry budget.
	WasSent bool
	// Outcome is the outcome to report to the caller when Retry is false.
	Outcome rosemarylb.Outcome
	// Status is the transaction status after the request: I for idle, T for an
	// open transaction, E for a failed one.
	Status byte
}

// WithOutcome returns the session after one attempt of its request had an
// outcome, and the action to take: a retry if one is allowed, else the end of the
// request.
func (s Session) WithOutcome(o rosemarylb.Outcome, now time.Time) (Session, Action) {
	if s.mayRetry(o, now) {
		s.retries++
		s.mayHaveRun = s.mayHaveRun || o.Kind == rosemarylb.OutcomeUnknown
		if o.Reason == rosemarylb.ReasonReadOnly {
			s.request = s.request.WithClass(rosemarylb.ClassWrite)
		}
		return s, Action{
			Retry:   true,
			RetryAt: s.retryAt(o, now),
			WasSent: o.Kind == rosemarylb.OutcomeUnknown || o.Reason == rosemarylb.ReasonUnreachable,
		}
	}
	return s.WithFinalOutcome(o, now)
}

// WithFinalOutcome returns the session after its request ended with an outcome, without
// a retry.
func (s Session) WithFinalOutcome(o rosemarylb.Outcome, now time.Time) (Session, Action) {
	r := s.request
	s.requestInFlight = false
	if s.mayHaveRun && o.Kind == rosemarylb.OutcomeNotRun && !r.HasNoSideEffects() {
		// The last attempt did not run, but an earlier one may have.
		o = rosemarylb.NewUnknown(o.ID, o.Reason)
	}
	switch o.Kind {
	case rosemarylb.OutcomeDone:
		s = s.withDoneOutcome(r, o, now)
	case rosemarylb.OutcomeUnknown:
		s.floor = s.floor.WithUnknown()
		s = s.withLostTransaction(r)
	default:
		if o.Reason == rosemarylb.ReasonPinnedConnectionLost {
			s = s.withLostTransaction(r)
		}
	}
	return s, Action{
		Outcome: o,
		Status:  s.status(o),
	}
}

// mayRetry reports whether another attempt is allowed. It has to be before the
// deadline and outside a transaction. An attempt that did not run is retried if
// another target may serve it, and one that may have run if running it twice does
// no harm and its reply was not over the size limit.
func (s Session) mayRetry(o rosemarylb.Outcome, now time.Time) bool {
	r := s.request
	if r.Target.PinnedConnection != 0 || !now.Before(r.Deadline) {
		return false
	}
	switch o.Kind {
	case rosemarylb.OutcomeNotRun:
		return o.Reason.Retryable()
	case rosemarylb.OutcomeUnknown:
		return r.IsIdempotent() && o.Reason != rosemarylb.ReasonTooLarge
	default:
		return false
	}
}

// retryAt returns the time of the next attempt. The first retry, and one after a
// replica that was behind, start at once since another endpoint may serve them;
// others start after a linear backoff.
func (s Session) retryAt(o rosemarylb.Outcome, now time.Time) time.Time {
	if s.retries == 1 || o.Reason == rosemarylb.ReasonReplicaLagging {
		return now
	}
	return now.Add(min(time.Duration(s.retries)*retryBackoffStep, maxRetryBackoff))
}

// withDoneOutcome records an answered request: the connection pinned to its
// transaction, or the minimum position of later reads. A read raises only the term
// of a known minimum position. With its own position, a session that once read
// from the primary would have to go on reading from it. Other requests raise the
// minimum position to their own.
func (s Session) withDoneOutcome(r rosemarylb.Request, o rosemarylb.Outcome, now time.Time) Session {
	if o.PinnedConnection != 0 {
		s.transactionTarget = r.Target
		s.transactionTarget.PinnedConnection = o.PinnedConnection
		return s
	}
	s.transactionTarget = rosemarylb.Target{}
	if o.Position.IsZero() {
		return s
	}
	if r.Class == rosemarylb.ClassRead && s.floor.Known {
		s.floor = s.floor.WithTerm(o.Position.Term)
		return s
	}
	s.floor = s.floor.WithPosition(o.Position)
	s.floorRaisedAt = now
	return s
}

// withLostTransaction drops the pinned connection of a transaction after its loss.
// Later statements of the transaction must not run outside of it, so it stays
// aborted until the caller ends it.
func (s Session) withLostTransaction(r rosemarylb.Request) Session {
	s.aborted = s.transactionTarget.PinnedConnection != 0 && r.Class == rosemarylb.ClassInTransaction
	s.transactionTarget = rosemarylb.Target{}
	return s
}

// status returns the transaction status to report to the caller.
func (s Session) status(o rosemarylb.Outcome) byte {
	switch {
	case s.aborted || (s.transactionTarget.PinnedConnection != 0 && o.Failed):
		return 'E'
	case s.transactionTarget.PinnedConnection != 0:
		return 'T'
	default:
		return 'I'
	}
}
