package rosemarylb

// Consistency is the consistency level of a route's reads.
type Consistency uint8

// The consistency levels.
const (
	// ConsistencyPrimary reads see every commit acknowledged before the read.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded reads have bounded staleness: they see every commit
	// acknowledged at least Route.StalenessMillis before the read.
	ConsistencyBounded
	// ConsistencySession reads have bounded staleness and also see every commit
	// of their own session.
	ConsistencySession
)

var consistencyNames = [...]string{"primary", "bounded", "session"}

// String returns the name of the consistency level.
func (c Consistency) String() string {
	if int(c) >= len(consistencyNames) {
		return "invalid"
	}
	return consistencyNames[c]
}

// Route maps a database name that callers connect to to a group, with the
// level of service of its callers.
type Route struct {
	// Database is the name that callers connect to.
	Database string
	// Group is the replicated database that serves the route.
	Group DatabaseName
	// Consistency is the consistency level of reads.
	Consistency Consistency
	// StalenessMillis is the maximum staleness of reads, in milliseconds.
	StalenessMillis int64
	// TimeoutMillis is the statement timeout, in milliseconds.
	TimeoutMillis int64
	// Rank is the priority class of the route's requests.
	Rank Rank
}

// Group is the configuration of a replicated database whose endpoints register
// themselves.
type Group struct {
	// Name identifies the group.
	Name DatabaseName
	// MaxConnections is the maximum number of connections to each endpoint, over
	// all instances.
	MaxConnections int
}

// Catalog is the configuration of a fleet whose endpoints register themselves.
type Catalog struct {
	// Version increases with each change of the configuration.
	Version uint64
	// Routes maps the database names that callers connect to, to their routes.
	Routes map[string]Route
	// Groups maps the names of the replicated databases to their configuration.
	Groups map[DatabaseName]Group
	// TransactionIdleMillis is the idle-in-transaction timeout, in milliseconds.
	TransactionIdleMillis int64
}

// Supersedes reports whether c is a later version than other.
func (c Catalog) Supersedes(other Catalog) bool {
	return c.Version > other.Version
}
