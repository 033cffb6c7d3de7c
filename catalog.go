package rosemarylb

import (
	"iter"
	"maps"
)

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
	// AuthExempt is true for a route that callers may use without an API key.
	AuthExempt bool
}

// Group is the configuration of a replicated database whose endpoints register
// themselves.
type Group struct {
	// Name identifies the group.
	Name DatabaseName
	// MaxConnections is the maximum number of connections to each endpoint, over
	// all instances.
	MaxConnections int
	// SyncReplicas is the number of replicas that have received a commit before the
	// primary acknowledges it, 0 for asynchronous replication.
	SyncReplicas int
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

	// teams is nil where callers are not authenticated.
	teams      map[TeamName]Team
	teamsByKey map[KeyDigest]TeamName
}

// WithTeams returns the catalog with the teams whose callers it authenticates. A key
// of several teams belongs to the first of them.
func (c Catalog) WithTeams(teams []Team) Catalog {
	c.teams = make(map[TeamName]Team, len(teams))
	c.teamsByKey = make(map[KeyDigest]TeamName, len(teams))
	for _, t := range teams {
		c.teams[t.Name] = t
		for _, key := range t.Keys {
			if _, taken := c.teamsByKey[key]; !taken {
				c.teamsByKey[key] = t.Name
			}
		}
	}
	return c
}

// Authenticates reports whether callers need an API key.
func (c Catalog) Authenticates() bool {
	return c.teams != nil
}

// Team returns a team by name, and false if there is none.
func (c Catalog) Team(name TeamName) (Team, bool) {
	t, found := c.teams[name]
	return t, found
}

// Teams returns all teams in no particular order.
func (c Catalog) Teams() iter.Seq[Team] {
	return maps.Values(c.teams)
}

// TeamOf returns the team that holds an API key, and false if none does.
func (c Catalog) TeamOf(key KeyDigest) (TeamName, bool) {
	name, found := c.teamsByKey[key]
	return name, found
}

// Admit returns the team of a caller with the given key on a route, empty if it has
// none. It returns false if the caller has to be refused.
func (c Catalog) Admit(r Route, key KeyDigest) (TeamName, bool) {
	if !c.Authenticates() {
		return "", true
	}
	team, known := c.TeamOf(key)
	return team, known || r.AuthExempt
}

// Supersedes reports whether c is a later version than other.
func (c Catalog) Supersedes(other Catalog) bool {
	return c.Version > other.Version
}
