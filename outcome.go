package rosemarylb

// OutcomeKind says what became of a request.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OutcomeDone carries the endpoint's whole answer, also an error of it.
	OutcomeDone OutcomeKind = iota
	// OutcomeNotRun tells that the request had no effect and will have none.
	OutcomeNotRun
	// OutcomeUnknown tells that the request was sent and its answer lost.
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

// Reason says why a request was not run or its outcome is unknown.
type Reason uint8

// The reasons.
const (
	// ReasonNone goes with OutcomeDone.
	ReasonNone Reason = iota
	// ReasonOverload is a full ring or queue.
	ReasonOverload
	// ReasonDeadline is a deadline that could not be met.
	ReasonDeadline
	// ReasonWrongOwner is an instance that does not own the endpoint.
	ReasonWrongOwner
	// ReasonWrongTerm is an endpoint that is not the primary of the term.
	ReasonWrongTerm
	// ReasonBehind is a replica that did not reach the floor in time.
	ReasonBehind
	// ReasonUnreachable is an endpoint or instance that does not answer.
	ReasonUnreachable
	// ReasonNoPrimary is a database without a primary.
	ReasonNoPrimary
	// ReasonLost is a connection that broke while a request was on it.
	ReasonLost
	// ReasonReplaced is a primary that was replaced before its commit was
	// confirmed.
	ReasonReplaced
	// ReasonLeaseGone is a transaction whose connection is gone.
	ReasonLeaseGone
	// ReasonCanceled is a request that its caller canceled while it waited.
	ReasonCanceled
	// ReasonLeaving is an instance that shuts down.
	ReasonLeaving
	// ReasonTooLarge is an answer over the size limit.
	ReasonTooLarge
	// ReasonReadOnly is a write that reached a replica, which refused it.
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

// Retryable reports whether another target may serve a request that was not
// run for this reason.
func (r Reason) Retryable() bool {
	switch r {
	case ReasonWrongOwner, ReasonWrongTerm, ReasonBehind, ReasonUnreachable, ReasonNoPrimary, ReasonReadOnly:
		return true
	default:
		return false
	}
}

// Outcome is what became of a request.
type Outcome struct {
	// ID is the identity of the request that this answers.
	ID RequestID
	// Kind says whether it ran.
	Kind OutcomeKind
	// Reason says why not, or why it is not known.
	Reason Reason
	// Endpoint is the endpoint that served it.
	Endpoint EndpointID
	// Position is what the answer contains, confirmed; zero if none is known.
	Position Position
	// State is the endpoint's last known state, for later routing.
	State EndpointState
	// Lease is the connection of a transaction left open, 0 if none.
	Lease uint64
	// Failed is true when the transaction left open can only be rolled back.
	Failed bool
	// Payload is the whole answer in the protocol of the front end.
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

// NewUnknown returns the outcome of a request whose answer was lost.
func NewUnknown(id RequestID, reason Reason) Outcome {
	return Outcome{
		ID:     id,
		Kind:   OutcomeUnknown,
		Reason: reason,
	}
}

// WithLease returns the outcome that leaves a transaction open on a
// connection. What it wrote is not committed, so it has no position.
func (o Outcome) WithLease(lease uint64, failed bool) Outcome {
	o.Lease = lease
	o.Failed = failed
	return o.WithoutPosition()
}

// WithoutPosition returns the outcome that tells of no position.
func (o Outcome) WithoutPosition() Outcome {
	o.Position = Position{}
	return o
}

// WithEndpoint returns the outcome of another endpoint.
func (o Outcome) WithEndpoint(id EndpointID) Outcome {
	o.Endpoint = id
	return o
}

// WithState returns the outcome with the state of its endpoint.
func (o Outcome) WithState(s EndpointState) Outcome {
	o.State = s
	o.Endpoint = s.ID
	return o
}
