package rosemarylb

// OutcomeKind is the kind of a request's outcome.
type OutcomeKind uint8

// The outcome kinds.
const (
	// OutcomeDone means that the endpoint replied, with a result or an error.
	OutcomeDone OutcomeKind = iota
	// OutcomeNotRun means that the request had no effect and will have none.
	OutcomeNotRun
	// OutcomeUnknown means that the request was sent but its reply was lost, so
	// it may have taken effect.
	OutcomeUnknown
)

var outcomeNames = [...]string{"done", "not-run", "unknown"}

// String returns the name of the kind.
func (k OutcomeKind) String() string {
	if int(k) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[k]
}

// Reason is the cause of OutcomeNotRun or OutcomeUnknown.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the reason of OutcomeDone.
	ReasonNone Reason = iota
	// ReasonOverload means that a ring or queue is full.
	ReasonOverload
	// ReasonDeadline means that the deadline cannot be met.
	ReasonDeadline
	// ReasonWrongOwner means that the instance does not own the endpoint.
	ReasonWrongOwner
	// ReasonWrongTerm means that the endpoint is not the primary of the term.
	ReasonWrongTerm
	// ReasonReplicaLagging means that the replica did not reach the floor in time.
	ReasonReplicaLagging
	// ReasonUnreachable means that the endpoint or instance does not respond.
	ReasonUnreachable
	// ReasonNoPrimary means that the database has no primary.
	ReasonNoPrimary
	// ReasonLost means that the connection broke while the request was in
	// flight.
	ReasonLost
	// ReasonPrimaryReplaced means that a new primary was promoted before the commit was
	// confirmed.
	ReasonPrimaryReplaced
	// ReasonPinnedConnectionLost means that the connection pinned to the transaction is
	// closed.
	ReasonPinnedConnectionLost
	// ReasonCanceled means that the caller canceled the request while it waited.
	ReasonCanceled
	// ReasonShuttingDown means that the instance is shutting down.
	ReasonShuttingDown
	// ReasonTooLarge means that the reply exceeds the size limit.
	ReasonTooLarge
	// ReasonReadOnly means that a replica rejected a write.
	ReasonReadOnly
)

var reasonNames = [...]string{
	"none", "overload", "deadline", "wrong-owner", "wrong-term", "behind", "unreachable", "no-primary",
	"lost", "replaced", "lease-gone", "canceled", "leaving", "too-large", "read-only",
}

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}

// Retryable reports whether a request that was not run for this reason may
// succeed at another target.
func (r Reason) Retryable() bool {
	switch r {
	case ReasonWrongOwner, ReasonWrongTerm, ReasonReplicaLagging, ReasonUnreachable, ReasonNoPrimary, ReasonReadOnly:
		return true
	default:
		return false
	}
}

// Outcome is the result of a request.
type Outcome struct {
	// ID identifies the request.
	ID RequestID
	// Kind is the kind of outcome.
	Kind OutcomeKind
	// Reason is the cause of an outcome other than OutcomeDone.
	Reason Reason
	// Endpoint is the endpoint that served the request.
	Endpoint EndpointID
	// Position is the confirmed position that the reply reflects, zero if
	// unknown.
	Position Position
	// State is the endpoint's last known state, for later routing decisions.
	State EndpointState
	// PinnedConnection identifies the connection that is pinned to an open
	// transaction, 0 if there is none.
	PinnedConnection uint64
	// Failed is true if the open transaction can only be rolled back.
	Failed bool
	// Payload is the complete reply in the protocol of the front end.
	Payload []byte
}

// NewNotRun returns the outcome of a request that had no effect.
func NewNotRun(id RequestID, reason Reason) Outcome {
	return Outcome{
		ID:     id,
		Kind:   OutcomeNotRun,
		Reason: reason,
	}
}

// NewUnknown returns the outcome of a request whose reply was lost.
func NewUnknown(id RequestID, reason Reason) Outcome {
	return Outcome{
		ID:     id,
		Kind:   OutcomeUnknown,
		Reason: reason,
	}
}

// WithPinnedConnection returns the outcome with a connection pinned to the open
// transaction. Its writes are not committed, so the position is cleared.
func (o Outcome) WithPinnedConnection(connection uint64, failed bool) Outcome {
	o.PinnedConnection = connection
	o.Failed = failed
	return o.WithoutPosition()
}

// WithoutPosition returns the outcome with an unknown position.
func (o Outcome) WithoutPosition() Outcome {
	o.Position = Position{}
	return o
}

// WithEndpoint returns the outcome with another endpoint.
func (o Outcome) WithEndpoint(id EndpointID) Outcome {
	o.Endpoint = id
	return o
}

// WithState returns the outcome with the endpoint and state of s.
func (o Outcome) WithState(s EndpointState) Outcome {
	o.State = s
	o.Endpoint = s.ID
	return o
}
