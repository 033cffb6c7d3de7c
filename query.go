package rosemarylb

// QueryKind is the type of a query.
type QueryKind uint8

// The query kinds. The proxy issues the last five itself.
const (
	// QueryInvalid is a query that cannot be parsed.
	QueryInvalid QueryKind = iota
	// QueryBegin begins a read-write transaction.
	QueryBegin
	// QueryBeginRead begins a read-only transaction.
	QueryBeginRead
	// QueryCommit commits the transaction.
	QueryCommit
	// QueryRollback rolls the transaction back.
	QueryRollback
	// QueryRead reads an item.
	QueryRead
	// QueryWrite writes an item.
	QueryWrite
	// QuerySet sets a session variable.
	QuerySet
	// QueryPrepare creates a prepared statement.
	QueryPrepare
	// QueryExecute executes a prepared statement.
	QueryExecute
	// QueryDeallocate removes a prepared statement.
	QueryDeallocate
	// QueryReset clears the session variables and prepared statements of a
	// connection.
	QueryReset
	// QueryStatus requests the endpoint's state.
	QueryStatus
	// QueryPause pauses replication on a replica.
	QueryPause
	// QueryResume resumes replication on a replica.
	QueryResume
	// QueryStepDown demotes a primary of an earlier term to a replica.
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

// Query is a statement in a form that is independent of the wire protocol.
type Query struct {
	// ID is the identifier that the caller assigned, empty for a query of the
	// proxy itself.
	ID string
	// Kind is the type of the query.
	Kind QueryKind
	// Name is the name of a session variable or prepared statement.
	Name string
	// Value is the value of a session variable, or the text of a prepared
	// statement.
	Value string
	// Writes is true if the query may write.
	Writes bool
	// Text is forwarded to the endpoint unchanged: the text of a read or write,
	// or the arguments of a QueryExecute.
	Text string
	// MinPosition is the minimum position of the endpoint's log. An endpoint that has
	// not reached it rejects the query.
	MinPosition Position
	// Term is the term of a QueryPause or QueryStepDown.
	Term Term
	// Rank is the priority class of a query that is relayed to another instance.
	Rank Rank
	// Team is the team of the caller of a relayed query, empty if it has none.
	Team TeamName
	// OnReplica is true for a relayed query that may run while its endpoint is a replica.
	OnReplica bool
	// TimeoutMillis is the time left until the deadline of a relayed query, in
	// milliseconds.
	TimeoutMillis int64
}

// WithRankAndTimeout returns the query to relay with its rank and the time left until
// its deadline, in milliseconds.
func (q Query) WithRankAndTimeout(rank Rank, timeoutMillis int64) Query {
	q.Rank = rank
	q.TimeoutMillis = timeoutMillis
	return q
}

// WithTeam returns the query to relay with the team of its caller.
func (q Query) WithTeam(t TeamName) Query {
	q.Team = t
	return q
}

// WithOnReplica returns the query to relay to an endpoint that is a replica.
func (q Query) WithOnReplica() Query {
	q.OnReplica = true
	return q
}

// WithName returns the query with another name.
func (q Query) WithName(name string) Query {
	q.Name = name
	return q
}

// WithStatement returns the query for a prepared statement with the given text.
func (q Query) WithStatement(text string, writes bool) Query {
	q.Value = text
	q.Writes = writes
	return q
}

// WithMinPosition returns the query with a minimum position of the endpoint's log.
func (q Query) WithMinPosition(p Position) Query {
	q.MinPosition = p
	return q
}

// MayCommit reports whether the query can commit changes: it commits a
// transaction, or writes outside of one.
func (q Query) MayCommit(inTransaction bool) bool {
	if q.Kind == QueryCommit {
		return true
	}
	return !inTransaction && q.Writes
}
