package proxy

import (
	"time"

	"rosemarylb"
)

// Event is what the proxy decides on.
type Event interface {
	proxyEvent()
}

// Joined tells of a caller that connected to a database.
type Joined struct {
	// Session is the new session.
	Session rosemarylb.SessionID
	// Database is the name that it asked for.
	Database string
	// Endpoint is set for a session of another instance, which passes on
	// queries for the primary of the group that Database names: the endpoint
	// that it takes for the primary.
	Endpoint rosemarylb.EndpointID
}

// Peered tells of the instances that take queries which others pass on.
type Peered struct {
	// Peers are the instances.
	Peers []rosemarylb.Peer
}

// Asked brings a query of a session.
type Asked struct {
	// Session is the session.
	Session rosemarylb.SessionID
	// Query is the query.
	Query rosemarylb.Query
}

// Left tells that a caller is gone.
type Left struct {
	// Session is the session that ended.
	Session rosemarylb.SessionID
}

// Opened tells that a connection to an endpoint may be used.
type Opened struct {
	// Connection is the connection.
	Connection rosemarylb.ConnectionID
}

// Replied brings an endpoint's whole reply.
type Replied struct {
	// Connection is the connection that it came on.
	Connection rosemarylb.ConnectionID
	// Reply is the reply.
	Reply rosemarylb.Reply
}

// Lost tells that a connection broke or could not be opened.
type Lost struct {
	// Connection is the connection.
	Connection rosemarylb.ConnectionID
	// Code says why an endpoint refused it, ReplyDone when it did not say.
	Code rosemarylb.ReplyCode
}

// Registered brings the endpoints as they have registered themselves.
type Registered struct {
	// Endpoints are all known endpoints.
	Endpoints []rosemarylb.EndpointSpec
}

// Configured brings a configuration.
type Configured struct {
	// Catalog is the configuration.
	Catalog rosemarylb.Catalog
}

// Permitted brings permits to use primaries.
type Permitted struct {
	// Permits are the permits.
	Permits []rosemarylb.Permit
}

// Shared tells how the connections of endpoints are divided.
type Shared struct {
	// Share is this instance's part.
	Share rosemarylb.Share
}

// Drained starts the end of all sessions.
type Drained struct {
	// CloseAt is when idle sessions are closed.
	CloseAt time.Time
	// AbortAt is when open transactions are rolled back.
	AbortAt time.Time
}

func (Joined) proxyEvent()     {}
func (Peered) proxyEvent()     {}
func (Asked) proxyEvent()      {}
func (Left) proxyEvent()       {}
func (Opened) proxyEvent()     {}
func (Replied) proxyEvent()    {}
func (Lost) proxyEvent()       {}
func (Registered) proxyEvent() {}
func (Configured) proxyEvent() {}
func (Permitted) proxyEvent()  {}
func (Shared) proxyEvent()     {}
func (Drained) proxyEvent()    {}
