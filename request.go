package rosemarylb

import "time"

// Class is the effect of a request on data and on the transaction.
type Class uint8

// The request classes.
const (
	// ClassRead is a read in a transaction of its own. It may be retried.
	ClassRead Class = iota
	// ClassWrite is a write in a transaction of its own.
	ClassWrite
	// ClassBegin begins a transaction and leaves it open.
	ClassBegin
	// ClassInTransaction runs in an open transaction and leaves it open.
	ClassInTransaction
	// ClassCommit commits an open transaction.
	ClassCommit
	// ClassRollback rolls an open transaction back.
	ClassRollback
)

var classNames = [...]string{"read", "write", "begin", "within", "commit", "rollback"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "invalid"
	}
	return classNames[c]
}

// MayCommit reports whether a request of the class can commit changes.
func (c Class) MayCommit() bool {
	return c == ClassWrite || c == ClassCommit
}

// Statement is a prepared statement that a request needs on its connection.
type Statement struct {
	// Name is the statement's name, which is unique across the fleet.
	Name string
	// Query is the statement's text.
	Query string
	// ParameterTypes are the declared type identifiers of the parameters.
	ParameterTypes []uint32
}

// Target is the destination of a request.
type Target struct {
	// Endpoint is the endpoint that runs the request.
	Endpoint EndpointID
	// Owner is the instance that owns the endpoint's connections.
	Owner InstanceID
	// PinnedConnection identifies the connection that is pinned to an open
	// transaction, 0 if there is none.
	PinnedConnection uint64
	// Term is the term in which the endpoint must be primary, 0 for a replica.
	Term Term
	// WaitDeadline is the time by which a replica must have reached the floor.
	WaitDeadline time.Time
}

// Request is the unit of routing: everything that a caller sends before it
// waits for a reply.
type Request struct {
	// ID identifies the request.
	ID RequestID
	// Database is the database that the session is connected to.
	Database DatabaseName
	// Caller is the user that the session authenticated as.
	Caller string
	// Rank is the priority class.
	Rank Rank
	// Weight is the caller's share of the service time among the callers of a rank:
	// one of weight 2 gets twice the time of one of weight 1. 0 stands for 1.
	Weight int
	// Class is the effect of the request.
	Class Class
	// Floor is the minimum position that a read must see.
	Floor Floor
	// FloorAt is the time at which the floor was last raised, the zero time if
	// that was long ago.
	FloorAt time.Time
	// Linearizable requires a linearizable read: the data must be confirmed as current
	// after the request arrived.
	Linearizable bool
	// AsOf is the time at which the data of a bounded-staleness read must have
	// been current, the zero time if the read accepts no staleness.
	AsOf time.Time
	// ArrivedAt is the time at which the instance received the request.
	ArrivedAt time.Time
	// QueueDeadline is the time at which the request is rejected if it is still
	// queued.
	QueueDeadline time.Time
	// Deadline is the time at which the request times out for the caller.
	Deadline time.Time
	// Key is the idempotency key, empty if there is none.
	Key string
	// Target is the destination.
	Target Target
	// Statements are the prepared statements that the request uses.
	Statements []Statement
	// Payload is the request in the protocol of the front end.
	Payload []byte
}

// WithTarget returns the request with another target.
func (r Request) WithTarget(t Target) Request {
	r.Target = t
	return r
}

// WithQueueDeadline returns the request with another queueing deadline.
func (r Request) WithQueueDeadline(until time.Time) Request {
	r.QueueDeadline = until
	return r
}

// WithClass returns the request with another class.
func (r Request) WithClass(c Class) Request {
	r.Class = c
	return r
}

// WithPayload returns the request with another payload.
func (r Request) WithPayload(payload []byte) Request {
	r.Payload = payload
	return r
}

// WithID returns the request with another ID.
func (r Request) WithID(id RequestID) Request {
	r.ID = id
	return r
}

// HasNoSideEffects reports whether the request has no side effects, so that it counts
// as not run if its reply is lost.
func (r Request) HasNoSideEffects() bool {
	return r.Class == ClassRead
}

// IsIdempotent reports whether the request is idempotent.
func (r Request) IsIdempotent() bool {
	return r.HasNoSideEffects() || r.Key != ""
}
