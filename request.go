package rosemarylb

import "time"

// Class says what a request does to a database.
type Class uint8

// The classes of requests.
const (
	// ClassRead reads in a transaction of its own, and may be repeated.
	ClassRead Class = iota
	// ClassWrite may change data, in a transaction of its own.
	ClassWrite
	// ClassBegin opens a transaction that goes on after the request.
	ClassBegin
	// ClassWithin belongs to an open transaction and leaves it open.
	ClassWithin
	// ClassCommit ends an open transaction with its commit.
	ClassCommit
	// ClassRollback ends an open transaction without effect.
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

// MayCommit reports whether a request of the class can make changes last.
func (c Class) MayCommit() bool {
	return c == ClassWrite || c == ClassCommit
}

// Statement is a prepared statement that a request needs on its connection.
type Statement struct {
	// Name is the statement's name, the same in the whole fleet.
	Name string
	// Query is its text.
	Query string
	// ParameterTypes are the declared type identifiers.
	ParameterTypes []uint32
}

// Target says where a request is to run.
type Target struct {
	// Endpoint is the endpoint that should serve the request.
	Endpoint EndpointID
	// Owner is the instance that owns the endpoint's connections.
	Owner InstanceID
	// Lease identifies the connection of an open transaction, 0 without one.
	Lease uint64
	// Term is the term that the endpoint must be the primary of, 0 for a
	// replica.
	Term Term
	// WaitUntil is how long a replica may take to reach the floor.
	WaitUntil time.Time
}

// Request is one unit of work: all that a caller sends up to the point where
// it waits for an answer.
type Request struct {
	// ID identifies the request.
	ID RequestID
	// Database is the database that the session is connected to.
	Database DatabaseName
	// Caller is the user that the session logged in as.
	Caller string
	// Rank is its class of service.
	Rank Rank
	// Class says what it does.
	Class Class
	// Floor is the least position that a read has to see.
	Floor Floor
	// FloorAt is when the floor was raised, the zero time when long ago.
	FloorAt time.Time
	// Latest asks for data confirmed as current after the request arrived.
	Latest bool
	// AsOf lets a read see data current at that time, the zero time never.
	AsOf time.Time
	// ArrivedAt is when the instance received the request.
	ArrivedAt time.Time
	// QueueUntil is when it is refused if its service has not begun.
	QueueUntil time.Time
	// Deadline is when the caller's interest ends.
	Deadline time.Time
	// Key makes a request idempotent, empty without one.
	Key string
	// Target says where it is to run.
	Target Target
	// Statements are the prepared statements that it needs.
	Statements []Statement
	// Payload is the request in the protocol of the front end.
	Payload []byte
}

// WithTarget returns the request sent to another target.
func (r Request) WithTarget(t Target) Request {
	r.Target = t
	return r
}

// WithQueueUntil returns the request with another limit of waiting.
func (r Request) WithQueueUntil(until time.Time) Request {
	r.QueueUntil = until
	return r
}

// WithClass returns the request taken for another class.
func (r Request) WithClass(c Class) Request {
	r.Class = c
	return r
}

// WithPayload returns the request with another payload.
func (r Request) WithPayload(payload []byte) Request {
	r.Payload = payload
	return r
}

// WithID returns the request under another identity.
func (r Request) WithID(id RequestID) Request {
	r.ID = id
	return r
}

// Traceless reports whether the request leaves nothing behind when it has
// run, so that it counts as not run once its answer is lost.
func (r Request) Traceless() bool {
	return r.Class == ClassRead
}

// Repeatable reports whether running the request twice does no harm.
func (r Request) Repeatable() bool {
	return r.Traceless() || r.Key != ""
}
