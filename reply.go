package rosemarylb

// ReplyCode says how a query ended.
type ReplyCode uint8

// The codes of replies.
const (
	// ReplyDone is a success.
	ReplyDone ReplyCode = iota
	// ReplyBusy is a refusal for want of capacity.
	ReplyBusy
	// ReplyAborted tells that the transaction is rolled back.
	ReplyAborted
	// ReplyBehind is a replica that lacks a position.
	ReplyBehind
	// ReplyReadOnly is a write at an endpoint that does not lead.
	ReplyReadOnly
	// ReplyWrongEndpoint is an address that another endpoint has taken over.
	ReplyWrongEndpoint
	// ReplyConnectionLimit is an endpoint that takes no more connections.
	ReplyConnectionLimit
	// ReplyNoStatement is a prepared name that the connection lacks.
	ReplyNoStatement
	// ReplyFailed is a query that ran and failed.
	ReplyFailed
	// ReplyTimeout is a query that ran for too long.
	ReplyTimeout
	// ReplyUnknown is a commit whose outcome is not known.
	ReplyUnknown
	// ReplyMalformed is a query that is not understood or out of place.
	ReplyMalformed
	// ReplyNoDatabase is a database that no route names.
	ReplyNoDatabase
	// ReplyOther is any other error of an endpoint.
	ReplyOther
)

var replyNames = [...]string{
	"done", "busy", "aborted", "behind", "read-only", "wrong-endpoint", "connection-limit", "no-statement",
	"failed", "timeout", "unknown", "malformed", "no-database", "other",
}

// String returns the name of the code.
func (c ReplyCode) String() string {
	if int(c) >= len(replyNames) {
		return "invalid"
	}
	return replyNames[c]
}

// NotRun reports whether the code tells that the query had no effect.
func (c ReplyCode) NotRun() bool {
	switch c {
	case ReplyBusy, ReplyBehind, ReplyReadOnly, ReplyWrongEndpoint, ReplyConnectionLimit, ReplyNoStatement:
		return true
	default:
		return false
	}
}

// TransactionState is the state of a session between two queries.
type TransactionState uint8

// The transaction states.
const (
	// TransactionNone is outside a transaction.
	TransactionNone TransactionState = iota
	// TransactionOpen is within one.
	TransactionOpen
	// TransactionFailed is within one that can only be rolled back.
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

// Reply is the whole answer to a query.
type Reply struct {
	// Code says how the query ended.
	Code ReplyCode
	// Text explains a code other than ReplyDone.
	Text string
	// Rows are the rows, as the endpoint sent them.
	Rows []string
	// Signature is the endpoint's mark of having run the query.
	Signature string
	// State is the transaction state after it.
	State TransactionState
	// Position is the last entry of the endpoint's log, zero if not told.
	Position Position
	// Endpoint is the endpoint's state, in reply to a question for it.
	Endpoint EndpointState
}

// NewReply returns the reply of the proxy itself.
func NewReply(code ReplyCode, text string) Reply {
	return Reply{
		Code: code,
		Text: text,
	}
}

// WithState returns the reply that leaves a session in another state.
func (r Reply) WithState(s TransactionState) Reply {
	r.State = s
	return r
}
