package rosemarylb

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
)

// Router chooses where a request runs.
type Router interface {
	// Route returns the target for a request, and why there is none.
	Route(v View, known Knowledge, r Request, now time.Time) (Target, Reason)
}

// Knowledge is what an instance has learned of endpoints from answers.
type Knowledge interface {
	// State returns the last known state of an endpoint.
	State(id EndpointID) (EndpointState, bool)
	// AvoidUntil returns until when an endpoint is not to be chosen.
	AvoidUntil(id EndpointID) time.Time
}

// Placement assigns each endpoint to the instance that owns its connections.
type Placement interface {
	// Owner returns the owning instance, false when none is alive.
	Owner(members []Member, e EndpointSpec) (Member, bool)
}

// Queue is an immutable queue of requests that wait for one endpoint.
type Queue interface {
	// WithRequest returns the queue with one more request, and the request
	// that is refused for it: the new one, another one, or none.
	WithRequest(r Request, now time.Time) (Queue, Refusal)
	// Next returns the request to serve next and the queue without it, and
	// the requests that can no longer meet their deadlines.
	Next(now time.Time) (next Dispatch, rest Queue)
	// WithoutRequest returns the queue without a request, false if absent.
	WithoutRequest(id RequestID) (Queue, bool)
	// WithoutExpired returns the queue without the requests that may not wait
	// any longer, and those requests.
	WithoutExpired(now time.Time) (Queue, []Request)
	// WithServed returns the queue told how long a request occupied a slot.
	WithServed(rank Rank, service time.Duration) Queue
	// WithService returns the queue under the settings of a configuration, for
	// an endpoint with a number of slots.
	WithService(s Service, slots int) Queue
	// Depth returns how many requests wait in a rank.
	Depth(rank Rank) int
}

// Refusal is a request that a queue does not keep.
type Refusal struct {
	// Request is the refused request.
	Request Request
	// Reason says why; ReasonNone when nothing is refused.
	Reason Reason
}

// Dispatch is what a queue gives out.
type Dispatch struct {
	// Found is true when Request is to be served.
	Found bool
	// Request is the next request.
	Request Request
	// Expired are the requests that are refused as not run.
	Expired []Request
}

// Probe is what a keeper was told, or not told, by one endpoint.
type Probe struct {
	// Endpoint is the endpoint asked.
	Endpoint EndpointID
	// Answered is false when the endpoint refused or kept silent.
	Answered bool
	// Granted answers a request for a term or a promotion.
	Granted bool
	// Command is what was asked.
	Command Command
	// State is the endpoint's state, when it answered.
	State EndpointState
}

// CommandKind is what a keeper asks of an endpoint.
type CommandKind uint8

// The commands. Each may be repeated without harm.
const (
	// CommandStatus asks for the endpoint's state.
	CommandStatus CommandKind = iota
	// CommandFence asks the endpoint to give a term to one proposer.
	CommandFence
	// CommandPromote makes the endpoint the primary of a term it has given.
	CommandPromote
	// CommandFollow makes the endpoint a replica of a term's primary.
	CommandFollow
	// CommandEvict breaks the connections that a dead instance left behind.
	CommandEvict
)

var commandNames = [...]string{"status", "fence", "promote", "follow", "evict"}

// String returns the name of the command.
func (k CommandKind) String() string {
	if int(k) >= len(commandNames) {
		return "invalid"
	}
	return commandNames[k]
}

// Command is one order to an endpoint.
type Command struct {
	// Kind is what is asked.
	Kind CommandKind
	// Endpoint is the endpoint asked.
	Endpoint EndpointID
	// Term is the term it concerns.
	Term Term
	// Proposer names the arbiter that asks for the term.
	Proposer InstanceID
	// Upstream is the address of the primary to follow.
	Upstream string
	// Evicted is the instance whose connections are broken.
	Evicted InstanceID
}

// Arbiter decides, for one database, when and whom to promote. It is an
// immutable value.
type Arbiter interface {
	// WithProbe returns the arbiter told of an endpoint's answer.
	WithProbe(p Probe, now time.Time) Arbiter
	// WithDatabase returns the arbiter for a changed group.
	WithDatabase(d Database) Arbiter
	// WithAnnounced returns the arbiter told of a primary known elsewhere.
	WithAnnounced(p Primary) Arbiter
	// Decide returns the commands that are due, the primary to announce and
	// the deadline of the next decision.
	Decide(now time.Time) (Arbiter, Decision)
	// Summary describes the state for a dump.
	Summary() string
}

// Decision is what an arbiter wants done.
type Decision struct {
	// Commands are sent to endpoints.
	Commands []Command
	// Primary is announced when Announce is true.
	Primary Primary
	// Announce is true when Primary is newly known.
	Announce bool
	// Next is when Decide has to be called again.
	Next time.Time
}

// Acknowledger decides when an answer may leave. It is an immutable value.
type Acknowledger interface {
	// WithPrimary returns the acknowledger for another primary.
	WithPrimary(p Primary) Acknowledger
	// WithState returns the acknowledger told of a replica's state.
	WithState(s EndpointState) Acknowledger
	// Confirmed reports whether enough endpoints held the position in the
	// primary's term, by states asked for at or after since.
	Confirmed(p Position, since time.Time) bool
	// Replaced reports whether an endpoint has promised a later term.
	Replaced() bool
}

// Object is a value in the platform's service.
type Object struct {
	// Name names the object.
	Name string
	// Version changes with each write; 0 for an object that does not exist.
	Version uint64
	// Value is the content, at most a megabyte.
	Value []byte
}

// Store keeps objects in the platform's service. A failed call may have
// taken effect.
type Store interface {
	// Get returns an object, with version 0 when there is none.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes the object if its version still stands.
	Put(ctx context.Context, o Object) (PutOutcome, error)
	// Watch returns the object as soon as its version is past the given one,
	// or as it stands when the context ends.
	Watch(ctx context.Context, name string, version uint64) (Object, error)
	// Instances returns the platform's list of instances, which may lag.
	Instances(ctx context.Context) ([]Member, error)
}

// PutOutcome is what became of a conditional write.
type PutOutcome struct {
	// Written is false when another write came first.
	Written bool
	// Object is the object as it stands.
	Object Object
}

// ConnectionID numbers a connection to an endpoint within the process.
type ConnectionID uint64

// CallerPort answers callers in the protocol of their front end. Its methods
// never wait.
type CallerPort interface {
	// Welcome tells a session that it may ask.
	Welcome(id SessionID)
	// Answer sends a whole reply to a session.
	Answer(id SessionID, r Reply)
	// Refuse tells a session that was not welcomed why, and ends it.
	Refuse(id SessionID, r Reply)
	// Close ends a session's connection, after what was sent.
	Close(id SessionID)
}

// EndpointPort reaches endpoints in their protocol. Its methods never wait;
// what comes of them is told to the owner of the port.
type EndpointPort interface {
	// Open starts to open a connection.
	Open(id ConnectionID, e EndpointSpec)
	// Send sends a query on an open connection.
	Send(id ConnectionID, q Query)
	// Close breaks a connection.
	Close(id ConnectionID)
}

// CallerSink takes what callers do, as a front end has decoded it. Its methods
// run on an event loop and may wait for a ring whose duty never waits for the
// loops.
type CallerSink interface {
	// Joined tells of a caller that connected to a database. An instance that
	// passes queries on names the group, and the endpoint that it takes for the
	// group's primary.
	Joined(id SessionID, database string, endpoint EndpointID)
	// Asked brings a query.
	Asked(id SessionID, q Query)
	// Left tells that the caller is gone.
	Left(id SessionID)
}

// EndpointSink takes what comes of an EndpointPort, under the same rule.
type EndpointSink interface {
	// Opened tells that a connection may be used.
	Opened(id ConnectionID)
	// Replied brings the whole reply to the last query sent.
	Replied(id ConnectionID, r Reply)
	// Lost tells that a connection broke or was refused, with the endpoint's
	// code if it gave one.
	Lost(id ConnectionID, code ReplyCode)
}

// Directory tells which endpoints have registered themselves and what the
// operators have configured. A failed call tells nothing.
type Directory interface {
	// Endpoints returns all registered endpoints.
	Endpoints(ctx context.Context) (Listing, error)
	// Changes returns the listing changed by what happened after it, as soon
	// as something has or when the wait ends. ErrHistory tells that the
	// changes are no longer known.
	Changes(ctx context.Context, since Listing) (Listing, error)
	// Catalog returns the configuration as it stands.
	Catalog(ctx context.Context) (Catalog, uint64, error)
	// CatalogAfter returns the configuration once it changed after a
	// revision, or with the same revision when the wait ends.
	CatalogAfter(ctx context.Context, revision uint64) (Catalog, uint64, error)
}

// ErrHistory reports changes that are no longer known: list again.
var ErrHistory = errors.New("the changes since then are no longer known")

// Listing is the list of registered endpoints at a revision. It is not to be
// changed.
type Listing struct {
	// Revision is the revision as of which it stood.
	Revision uint64
	// Endpoints are the endpoints by name.
	Endpoints map[EndpointID]EndpointSpec
}

// WithChanges returns the listing at a later revision, with some endpoints
// changed and others removed.
func (l Listing) WithChanges(revision uint64, changed []EndpointSpec, removed []EndpointID) Listing {
	l.Revision = revision
	if len(changed) == 0 && len(removed) == 0 {
		return l
	}
	l.Endpoints = maps.Clone(l.Endpoints)
	for _, e := range changed {
		l.Endpoints[e.ID] = e
	}
	for _, id := range removed {
		delete(l.Endpoints, id)
	}
	return l
}

// Promoter has somebody else carry out a promotion.
type Promoter interface {
	// Promote makes an endpoint the primary of its group's next term. The
	// token rises with each change of the holder. A call without an answer
	// may have taken effect; none takes effect after the context ended and
	// the call returned.
	Promote(ctx context.Context, p Promotion) PromotionOutcome
}

// Promotion is one order to promote an endpoint.
type Promotion struct {
	// Group is the replicated database.
	Group DatabaseName
	// Endpoint is to lead it.
	Endpoint EndpointID
	// Holder is the instance that gives the order.
	Holder InstanceID
	// Token is the holder's fencing token.
	Token uint64
}

// PromotionOutcome is what became of a promotion.
type PromotionOutcome uint8

// The outcomes of promotions.
const (
	// PromotionUnknown may have taken effect.
	PromotionUnknown PromotionOutcome = iota
	// PromotionDone is accepted; the endpoint leads a little later.
	PromotionDone
	// PromotionRefused had no effect, and won't for this endpoint.
	PromotionRefused
	// PromotionDeferred had no effect, and may be tried again.
	PromotionDeferred
)

var promotionNames = [...]string{"unknown", "done", "refused", "deferred"}

// String returns the name of the outcome.
func (o PromotionOutcome) String() string {
	if int(o) >= len(promotionNames) {
		return "invalid"
	}
	return promotionNames[o]
}
