package rosemarylb

// QueryKind says what a query asks of a database.
type QueryKind uint8

// The kinds of queries. The last five are the proxy's own.
const (
	// QueryInvalid is a text that is none of the others.
	QueryInvalid QueryKind = iota
	// QueryBegin opens a transaction that may write.
	QueryBegin
	// QueryBeginRead opens a transaction that only reads.
	QueryBeginRead
	// QueryCommit ends a transaction with its commit.
	QueryCommit
	// QueryRollback ends a transaction without effect.
	QueryRollback
	// QueryRead reads an item.
	QueryRead
	// QueryWrite writes an item.
	QueryWrite
	// QuerySet gives a session value.
	QuerySet
	// QueryPrepare names a statement.
	QueryPrepare
	// QueryExecute runs a named statement.
	QueryExecute
	// QueryDeallocate forgets a named statement.
	QueryDeallocate
	// QueryReset clears the values and names of a connection.
	QueryReset
	// QueryStatus asks for an endpoint's state.
	QueryStatus
	// QueryPause stops a replica from receiving.
	QueryPause
	// QueryResume lets a replica receive again.
	QueryResume
	// QueryStepDown makes a primary of a lower term a replica.
	QueryStepDown
)

var queryNames = [...]string{
	"invalid", "begin", "begin-read", "commit", "rollback", "read", "write", "set", "prepare", "execute",
	"deallocate", "reset", "status", "pause", "resume", "step-down",
}

// String returns the name of the kind.
func (k QueryKind) String() string {
	if int(k) >= len(queryNames) {
		return "invalid"
	}
	return queryNames[k]
}

// Query is one statement, apart from the protocol that brought it.
type Query struct {
	// ID is the caller's identity for it, empty for the proxy's own.
	ID string
	// Kind says what it asks.
	Kind QueryKind
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is a session value, or the shape of a prepared statement.
	Value string
	// Writes is true when the prepared statement writes.
	Writes bool
	// Text is what the caller sent and the endpoint gets unchanged: the whole
	// text of a read or a write, the arguments of an execution.
	Text string
	// Wait is a position that the endpoint's log has to hold, else it refuses.
	Wait Position
	// Term is the term of a pause or a step down.
	Term Term
	// Rank and WithinMillis are the class of service and the time left, in
	// milliseconds, of a query that another instance passes on.
	Rank         Rank
	WithinMillis int64
}

// WithService returns the query passed on with its class of service and the
// time left.
func (q Query) WithService(rank Rank, withinMillis int64) Query {
	q.Rank = rank
	q.WithinMillis = withinMillis
	return q
}

// WithName returns the query for another prepared name.
func (q Query) WithName(name string) Query {
	q.Name = name
	return q
}

// WithShape returns the query that runs a prepared statement of a shape.
func (q Query) WithShape(shape string, writes bool) Query {
	q.Value = shape
	q.Writes = writes
	return q
}

// WithWait returns the query that runs only on a log that holds a position.
func (q Query) WithWait(p Position) Query {
	q.Wait = p
	return q
}

// MayCommit reports whether the query, sent outside or at the end of a
// transaction, can make changes last.
func (q Query) MayCommit(inTransaction bool) bool {
	if q.Kind == QueryCommit {
		return true
	}
	return !inTransaction && q.Writes
}

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
