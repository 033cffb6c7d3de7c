package rosemarylb

import "time"

// EndpointSpec describes an endpoint as configured or registered.
type EndpointSpec struct {
	// ID identifies the endpoint.
	ID EndpointID
	// Database is the group that the endpoint belongs to.
	Database DatabaseName
	// Address is the host:port of the database protocol.
	Address string
	// Domain is the failure domain of the endpoint.
	Domain DomainName
	// Region is the region of the domain.
	Region RegionName
	// Slots is the number of statements that may run concurrently.
	Slots int
	// Connections is the maximum number of connections to the endpoint.
	Connections int
	// Leaving is true while the endpoint is drained for removal.
	Leaving bool
	// Primary is true if the endpoint last reported itself as primary.
	Primary bool
	// Via is the address of the instance that relays queries to the endpoint,
	// empty for a direct connection.
	Via string
	// Team is the team that a connection is opened for, empty for the instance itself.
	Team TeamName
	// Born increases whenever an endpoint restarts under the same name.
	Born int64
}

// WithLeaving returns the endpoint marked for removal.
func (e EndpointSpec) WithLeaving() EndpointSpec {
	e.Leaving = true
	return e
}

// WithRelay returns the endpoint reached through the relay at an address.
func (e EndpointSpec) WithRelay(address string) EndpointSpec {
	e.Via = address
	return e
}

// WithTeam returns the endpoint for a connection of a team.
func (e EndpointSpec) WithTeam(t TeamName) EndpointSpec {
	e.Team = t
	return e
}

// WithRegionAndLimit returns the endpoint with another region and connection limit.
func (e EndpointSpec) WithRegionAndLimit(region RegionName, connections int) EndpointSpec {
	e.Region = region
	e.Connections = connections
	return e
}

// EndpointState is the replication state that an endpoint reported in reply to
// one probe.
type EndpointState struct {
	// ID identifies the endpoint.
	ID EndpointID
	// Primary is true if the endpoint accepts writes in Term.
	Primary bool
	// Term is the highest term that the endpoint has promised.
	Term Term
	// Log is the position of the last entry in the endpoint's log.
	Log Position
	// Applied is the position of the last entry visible to reads.
	Applied Position
	// ProbedAt is the time at which the probe was sent, a lower bound on the
	// time of the state.
	ProbedAt time.Time
	// CaughtUpAt is a time at which Applied was the end of the primary's log, the
	// zero time if none is known.
	CaughtUpAt time.Time
	// Busy is the number of slots that execute a statement, and Connections the number
	// of open connections, of all instances together.
	Busy, Connections int
}

// WithApplied returns the state with a later applied position.
func (s EndpointState) WithApplied(p Position) EndpointState {
	s.Applied = p
	return s
}

// Primary is the announced primary of a database in one term.
type Primary struct {
	// Database is the group.
	Database DatabaseName
	// Term is the term that the endpoint was elected in.
	Term Term
	// Endpoint is the primary of the term.
	Endpoint EndpointID
}

// Supersedes reports whether p has a later term than other.
func (p Primary) Supersedes(other Primary) bool {
	return p.Term > other.Term
}
