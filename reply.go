package rosemarylb

// ReplyCode is the status code of a reply.
type ReplyCode uint8

// The reply codes.
const (
	// ReplyDone means success.
	ReplyDone ReplyCode = iota
	// ReplyBusy means that the query was rejected for lack of capacity.
	ReplyBusy
	// ReplyAborted means that the transaction was rolled back.
	ReplyAborted
	// ReplyReplicaLagging means that the replica's log has not reached the minimum
	// position of the query.
	ReplyReplicaLagging
	// ReplyReadOnly means that a write reached an endpoint that is not the
	// primary.
	ReplyReadOnly
	// ReplyWrongEndpoint means that the address now belongs to another endpoint.
	ReplyWrongEndpoint
	// ReplyConnectionLimit means that the endpoint accepts no more connections.
	ReplyConnectionLimit
	// ReplyNoStatement means that the connection does not have the prepared
	// statement.
	ReplyNoStatement
	// ReplyFailed means that the query ran and failed.
	ReplyFailed
	// ReplyTimeout means that the query exceeded its timeout.
	ReplyTimeout
	// ReplyUnknown means that the outcome of a commit is unknown.
	ReplyUnknown
	// ReplyMalformed means that the query is invalid, or not allowed in the
	// current state of the session.
	ReplyMalformed
	// ReplyNoDatabase means that the database has no route.
	ReplyNoDatabase
	// ReplyOther is any other error of an endpoint.
	ReplyOther
	// ReplyUnauthenticated means that the caller's API key is not known, or no longer.
	ReplyUnauthenticated
)

var replyNames = [...]string{
	"done", "busy", "aborted", "behind", "read-only", "wrong-endpoint", "connection-limit", "no-statement",
	"failed", "timeout", "unknown", "malformed", "no-database", "other",
	"unauthenticated",
}

// String returns the name of the code.
func (c ReplyCode) String() string {
	if int(c) >= len(replyNames) {
		return "invalid"
	}
	return replyNames[c]
}

// NotRun reports whether the code means that the query had no effect.
func (c ReplyCode) NotRun() bool {
	switch c {
	case ReplyBusy, ReplyReplicaLagging, ReplyReadOnly, ReplyWrongEndpoint, ReplyConnectionLimit, ReplyNoStatement:
		return true
	default:
		return false
	}
}

// TransactionState is the transaction state of a session between queries.
type TransactionState uint8

// The transaction states.
const (
	// TransactionNone means that no transaction is open.
	TransactionNone TransactionState = iota
	// TransactionOpen means that a transaction is open.
	TransactionOpen
	// TransactionFailed means that the open transaction can only be rolled back.
	TransactionFailed
)

var transactionNames = [...]string{"none", "open", "failed"}

// String returns the name of the state.
func (s TransactionState) String() string {
	if int(s) >= len(transactionNames) {
		return "invalid"
	}
	return transactionNames[s]
}

// Reply is the complete reply to a query.
type Reply struct {
	// Code is the status code.
	Code ReplyCode
	// Text is the error message for a code other than ReplyDone.
	Text string
	// Rows are the result rows as the endpoint sent them.
	Rows []string
	// Signature is the endpoint's proof that it ran the query.
	Signature string
	// State is the transaction state after the query.
	State TransactionState
	// Position is the end of the endpoint's log, zero if unknown.
	Position Position
	// Endpoint is the endpoint's state, in reply to a QueryStatus.
	Endpoint EndpointState
}

// NewReply returns a reply that the proxy itself generates.
func NewReply(code ReplyCode, text string) Reply {
	return Reply{
		Code: code,
		Text: text,
	}
}

// WithState returns the reply with another transaction state.
func (r Reply) WithState(s TransactionState) Reply {
	r.State = s
	return r
}
