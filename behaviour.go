package rosemarylb

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
)

// Router selects the endpoint that runs a request.
type Router interface {
	// Route returns the target of a request. If no endpoint qualifies, it
	// returns the zero Target and the reason.
	Route(v View, known EndpointStates, r Request, now time.Time) (Target, Reason)
}

// EndpointStates holds the endpoint states that an instance has collected from
// probes and replies.
type EndpointStates interface {
	// State returns the last known state of an endpoint, and false if there is
	// none.
	State(id EndpointID) (EndpointState, bool)
	// AvoidUntil returns the time before which the router must not select the
	// endpoint.
	AvoidUntil(id EndpointID) time.Time
}

// Placement assigns each endpoint to the instance that owns its connections.
type Placement interface {
	// Owner returns the owning instance, and false if no instance is alive.
	Owner(members []Member, e EndpointSpec) (Member, bool)
}

// Queue is an immutable queue of requests that wait for one endpoint.
type Queue interface {
	// WithRequest adds a request. It rejects the new request if the request
	// cannot meet its deadline. If the queue is full, it rejects the new request
	// or a queued one.
	WithRequest(r Request, now time.Time) (Queue, Rejection)
	// Next removes the request to serve next, and every request that can no
	// longer meet its deadline. It passes over callers whose first request is not
	// eligible; a nil function accepts all requests.
	Next(now time.Time, eligible func(Request) bool) (next Dispatch, rest Queue)
	// WithoutRequest removes a request. It returns false if the request is not
	// in the queue.
	WithoutRequest(id RequestID) (Queue, bool)
	// WithoutExpired removes the requests whose queueing deadline has passed
	// and returns them.
	WithoutExpired(now time.Time) (Queue, []Request)
	// WithServed records for how long a request occupied a slot. The time counts
	// for the request's rank, and for its caller by the request's weight.
	WithServed(r Request, service time.Duration) Queue
	// WithServiceConfig applies the limits of a configuration for an endpoint with
	// the given number of slots.
	WithServiceConfig(s ServiceConfig, slots int) Queue
	// Depth returns the number of queued requests of a rank.
	Depth(rank Rank) int
}

// Rejection is a request that a queue rejected.
type Rejection struct {
	// Request is the rejected request.
	Request Request
	// Reason is the cause, ReasonNone if no request was rejected.
	Reason Reason
}

// Dispatch is the result of Queue.Next.
type Dispatch struct {
	// Found is true if Request is set.
	Found bool
	// Request is the request to serve next.
	Request Request
	// Expired are the requests to answer with OutcomeNotRun.
	Expired []Request
}

// ProbeResult is the result of one command to an endpoint.
type ProbeResult struct {
	// Endpoint is the endpoint that the command was sent to.
	Endpoint EndpointID
	// Answered is false if the endpoint refused the command or did not reply
	// in time.
	Answered bool
	// Granted is the endpoint's vote on a CommandFence or CommandPromote.
	Granted bool
	// Command is the command that was sent.
	Command Command
	// State is the endpoint's state, valid if Answered.
	State EndpointState
}

// CommandKind is the type of a command to an endpoint.
type CommandKind uint8

// The command kinds. All commands are idempotent.
const (
	// CommandStatus requests the endpoint's state.
	CommandStatus CommandKind = iota
	// CommandFence requests the endpoint's vote for a proposer's term. An
	// endpoint votes for one proposer per term.
	CommandFence
	// CommandPromote makes the endpoint the primary of a term it voted for.
	CommandPromote
	// CommandFollow makes the endpoint a replica of a term's primary.
	CommandFollow
	// CommandEvict closes the connections of an instance that has died.
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

// Command is a command to an endpoint.
type Command struct {
	// Kind is the type of the command.
	Kind CommandKind
	// Endpoint is the recipient.
	Endpoint EndpointID
	// Term is the term that the command applies to.
	Term Term
	// Proposer is the candidate that requests a vote in CommandFence.
	Proposer InstanceID
	// Upstream is the address of the primary to replicate from in
	// CommandFollow.
	Upstream string
	// Evicted is the instance whose connections CommandEvict closes.
	Evicted InstanceID
}

// Arbiter runs leader election and failover for one database. Implementations
// are immutable.
type Arbiter interface {
	// WithProbe records the result of a command.
	WithProbe(p ProbeResult, now time.Time) Arbiter
	// WithDatabase replaces the configuration of the group.
	WithDatabase(d Database) Arbiter
	// WithAnnounced records a primary that another instance announced.
	WithAnnounced(p Primary) Arbiter
	// Decide returns the commands that are due, the primary to announce and
	// the time of the next call.
	Decide(now time.Time) (Arbiter, Decision)
	// Summary returns a description of the state for diagnostic dumps.
	Summary() string
}

// Decision is the result of Arbiter.Decide.
type Decision struct {
	// Commands are the commands to send to endpoints.
	Commands []Command
	// Primary is the primary to announce, valid if Announce.
	Primary Primary
	// Announce is true if Primary has not been announced before.
	Announce bool
	// Next is the time at which Decide must be called again.
	Next time.Time
}

// Acknowledger decides when a reply is durable on a quorum and may be sent to
// its caller. Implementations are immutable.
type Acknowledger interface {
	// WithPrimary sets the primary whose positions are to be confirmed.
	WithPrimary(p Primary) Acknowledger
	// WithState records the state of a replica.
	WithState(s EndpointState) Acknowledger
	// Confirmed reports whether a quorum held the position in the primary's
	// term, according to probes sent at or after since.
	Confirmed(p Position, since time.Time) bool
	// Replaced reports whether an endpoint has promised a later term.
	Replaced() bool
}

// Object is a versioned object in the platform's store.
type Object struct {
	// Name is the key of the object.
	Name string
	// Version increases with each write. Its revision is 0 for an object that does not
	// exist.
	Version Version
	// Value is the content, at most 1 MB.
	Value []byte
}

// Store is the platform's object store. A call that returns an error may have
// taken effect.
type Store interface {
	// Get returns an object. Its revision is 0 if it does not exist.
	Get(ctx context.Context, name string) (Object, error)
	// Put is a compare-and-swap: it writes the object if the stored revision equals
	// that of o.Version. The era is not part of the condition, so that a write may take
	// effect in a later era in which the store has issued the revision again.
	Put(ctx context.Context, o Object) (PutOutcome, error)
	// Watch blocks until the object has a later version than the given one, or
	// until the context ends, and returns the current object.
	Watch(ctx context.Context, name string, version Version) (Object, error)
	// Instances returns the platform's list of instances, which may be stale.
	Instances(ctx context.Context) ([]Member, error)
}

// PutOutcome is the result of Store.Put.
type PutOutcome struct {
	// Written is false if the stored version differed.
	Written bool
	// Object is the stored object after the call.
	Object Object
}

// ConnectionID identifies a connection to an endpoint within the process.
type ConnectionID uint64

// CallerPort sends replies to callers in the protocol of their front end. Its
// methods do not block.
type CallerPort interface {
	// Accept accepts a session, which may then send queries.
	Accept(id SessionID)
	// SendReply sends a complete reply to a session.
	SendReply(id SessionID, r Reply)
	// Reject rejects a session that was not accepted: it sends the reason and
	// closes the connection.
	Reject(id SessionID, r Reply)
	// Close closes a session's connection after flushing pending replies.
	Close(id SessionID)
}

// EndpointPort sends queries to endpoints in their protocol. Its methods do
// not block; results are delivered to an EndpointSink.
type EndpointPort interface {
	// Open starts to open a connection.
	Open(id ConnectionID, e EndpointSpec)
	// Send sends a query on an open connection.
	Send(id ConnectionID, q Query)
	// Close closes a connection without waiting for pending replies.
	Close(id ConnectionID)
}

// SessionRequest is a request to open a session.
type SessionRequest struct {
	// Database is the name that a caller connects to, or the group of an instance that
	// relays queries.
	Database string
	// Key is the digest of the caller's API key, zero for a relay session.
	Key KeyDigest
	// Endpoint is set in a relay session: the endpoint that the other instance regards
	// as the primary.
	Endpoint EndpointID
}

// CallerSink receives the decoded events of a front end. Its methods run on an
// event loop. They may block on a ring only if the duty that drains the ring
// never waits for an event loop; otherwise the two would deadlock.
type CallerSink interface {
	// SessionOpened reports a new session.
	SessionOpened(id SessionID, r SessionRequest)
	// QueryReceived delivers a query of a session.
	QueryReceived(id SessionID, q Query)
	// SessionClosed reports that the caller closed the session or its connection broke.
	SessionClosed(id SessionID)
}

// EndpointSink receives the results of an EndpointPort. The rule about
// blocking in CallerSink applies here too.
type EndpointSink interface {
	// ConnectionOpened reports that a connection is ready for queries.
	ConnectionOpened(id ConnectionID)
	// ReplyReceived delivers the complete reply to the last query sent.
	ReplyReceived(id ConnectionID, r Reply)
	// ConnectionLost reports that a connection broke or was refused. The code is the
	// endpoint's, if it sent one.
	ConnectionLost(id ConnectionID, code ReplyCode)
}

// Directory provides the endpoints that have registered themselves and the
// configuration that operators have stored.
type Directory interface {
	// ListEndpoints returns all registered endpoints.
	ListEndpoints(ctx context.Context) (EndpointListing, error)
	// WatchEndpoints blocks until an endpoint changes after the listing's version,
	// or until the context ends, and returns the updated listing. It returns
	// ErrCompacted if the changes since that version have been compacted or belong to an
	// earlier era.
	WatchEndpoints(ctx context.Context, since EndpointListing) (EndpointListing, error)
	// Catalog returns the current configuration and the directory's version, in which
	// the configuration need not be the one that was written last: a restored store
	// returns an older one.
	Catalog(ctx context.Context) (Catalog, Version, error)
	// WatchCatalog blocks until the configuration changes after a version. If
	// the context ends first, it returns the same version. It returns ErrCompacted as
	// WatchEndpoints does.
	WatchCatalog(ctx context.Context, since Version) (Catalog, Version, error)
}

// ErrCompacted is returned by Directory.WatchEndpoints when the changes since a
// version have been compacted or belong to an earlier era. The caller has to list the
// endpoints again.
var ErrCompacted = errors.New("the changes since then are no longer known")

// EndpointListing is the set of registered endpoints at a version. It is immutable.
type EndpointListing struct {
	// Version is the version of the directory that was listed.
	Version Version
	// Endpoints maps the name of each endpoint to its description.
	Endpoints map[EndpointID]EndpointSpec
}

// WithChanges returns the listing at another version, with endpoints added or
// replaced by changed and deleted by removed.
func (l EndpointListing) WithChanges(version Version, changed []EndpointSpec, removed []EndpointID) EndpointListing {
	l.Version = version
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

// Promoter delegates promotions to an external service.
type Promoter interface {
	// Promote makes an endpoint the primary of its group's next term. A call
	// that returns PromotionUnknown may have taken effect, but no call takes
	// effect after its context has ended and it has returned.
	Promote(ctx context.Context, p Promotion) PromotionOutcome
}

// Promotion is a request to promote an endpoint.
type Promotion struct {
	// Group is the replicated database.
	Group DatabaseName
	// Endpoint is the endpoint to promote.
	Endpoint EndpointID
	// Holder is the instance that holds the lease and sends the request.
	Holder InstanceID
	// Token is the holder's fencing token. It increases whenever the lease
	// changes hands.
	Token uint64
	// Deadline is the time, by the holder's Clock, at which the request is given up.
	// It must not be sent later: the next holder may have sent its own by then.
	Deadline time.Time
}

// PromotionOutcome is the result of Promoter.Promote.
type PromotionOutcome uint8

// The promotion outcomes.
const (
	// PromotionUnknown means that the promotion may have taken effect.
	PromotionUnknown PromotionOutcome = iota
	// PromotionDone means that the promotion was accepted. The endpoint becomes
	// primary asynchronously.
	PromotionDone
	// PromotionRefused means that the promotion had no effect and must not be
	// retried for this endpoint.
	PromotionRefused
	// PromotionDeferred means that the promotion had no effect and may be
	// retried.
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
