package rosemarylb

import "time"

// EndpointSpec describes an endpoint as configured.
type EndpointSpec struct {
	// ID names the endpoint.
	ID EndpointID
	// Database is the group that the endpoint belongs to.
	Database DatabaseName
	// Address is the host:port of its database protocol.
	Address string
	// Domain is the failure domain that it stands in.
	Domain DomainName
	// Region is the region of that domain.
	Region RegionName
	// Slots is how many statements it works on at the same time.
	Slots int
	// Connections is how many connections the proxy may hold to it.
	Connections int
	// Leaving is true while the endpoint is being removed from service.
	Leaving bool
	// Primary is true when the endpoint last said that it leads.
	Primary bool
	// Via is the address of an instance that passes queries on to the endpoint,
	// empty for a direct connection.
	Via string
	// Born rises whenever the endpoint starts anew under its name.
	Born int64
}

// WithLeaving returns the endpoint that is being removed from service.
func (e EndpointSpec) WithLeaving() EndpointSpec {
	e.Leaving = true
	return e
}

// WithVia returns the endpoint reached by way of another instance.
func (e EndpointSpec) WithVia(address string) EndpointSpec {
	e.Via = address
	return e
}

// WithPlace returns the endpoint in a region, with a limit of connections.
func (e EndpointSpec) WithPlace(region RegionName, connections int) EndpointSpec {
	e.Region = region
	e.Connections = connections
	return e
}

// EndpointState is what one probe of an endpoint told.
type EndpointState struct {
	// ID names the endpoint.
	ID EndpointID
	// Primary is true when the endpoint takes writes in Term.
	Primary bool
	// Term is the highest term that the endpoint has promised to.
	Term Term
	// Log is the last entry that the endpoint holds.
	Log Position
	// Applied is the last entry that its readers see.
	Applied Position
	// AskedAt is when the probe was sent; the state is no older.
	AskedAt time.Time
	// CurrentAt is a time as of which Applied was the whole log of the
	// primary; the zero time when it never was.
	CurrentAt time.Time
}

// WithApplied returns the state with a later applied position.
func (s EndpointState) WithApplied(p Position) EndpointState {
	s.Applied = p
	return s
}

// Primary is the announced primary of a database.
type Primary struct {
	// Database names the group.
	Database DatabaseName
	// Term is the term that the endpoint was promoted in.
	Term Term
	// Endpoint is the primary of that term.
	Endpoint EndpointID
}

// Supersedes reports whether p replaces other: a later term always does.
func (p Primary) Supersedes(other Primary) bool {
	return p.Term > other.Term
}
