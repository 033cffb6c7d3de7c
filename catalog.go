package rosemarylb

// Consistency says what a route's reads have to see.
type Consistency uint8

// The consistencies.
const (
	// ConsistencyPrimary sees every commit acknowledged before the read.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded sees what was acknowledged a stated span before it.
	ConsistencyBounded
	// ConsistencySession is bounded, and sees the session's own commits.
	ConsistencySession
)

var consistencyNames = [...]string{"primary", "bounded", "session"}

// String returns the name of the consistency.
func (c Consistency) String() string {
	if int(c) >= len(consistencyNames) {
		return "invalid"
	}
	return consistencyNames[c]
}

// Route says how the callers of a database name are served.
type Route struct {
	// Database is the name that callers connect to.
	Database string
	// Group is the replicated database that serves it.
	Group DatabaseName
	// Consistency says what its reads have to see.
	Consistency Consistency
	// StalenessMillis is the age that its reads accept, in milliseconds.
	StalenessMillis int64
	// TimeoutMillis bounds one statement, in milliseconds.
	TimeoutMillis int64
	// Rank is its class of service.
	Rank Rank
}

// Group is a replicated database as configured. Its endpoints register
// themselves.
type Group struct {
	// Name names the group.
	Name DatabaseName
	// Connections is how many connections each endpoint takes, from all
	// instances together.
	Connections int
}

// Catalog is a configuration whose endpoints register themselves.
type Catalog struct {
	// Version orders configurations; it only rises.
	Version uint64
	// Routes are the routes by the names that callers connect to.
	Routes map[string]Route
	// Groups are the replicated databases by name.
	Groups map[DatabaseName]Group
	// IdleMillis is how long a transaction may stay idle, in milliseconds.
	IdleMillis int64
}

// Supersedes reports whether the configuration replaces another one.
func (c Catalog) Supersedes(other Catalog) bool {
	return c.Version > other.Version
}
