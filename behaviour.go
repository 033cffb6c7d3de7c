package rosemarylb

import (
	"context"
	"time"
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
