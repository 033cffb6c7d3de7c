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
