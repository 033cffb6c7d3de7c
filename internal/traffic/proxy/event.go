package proxy

import (
	"time"

	"rosemarylb"
)

// Event is an input of the proxy.
type Event interface {
	proxyEvent()
}

// SessionOpened reports that a caller or another instance opened a session.
type SessionOpened struct {
	// Session is the new session.
	Session rosemarylb.SessionID
	// Database is the requested database name, or the group name in a relay
	// session.
	Database string
	// Endpoint is set in a relay session, in which another instance forwards
	// queries for a primary: the endpoint that the other instance regards as
	// the primary.
	Endpoint rosemarylb.EndpointID
}

// Peered carries the instances that accept relayed queries.
type Peered struct {
	// Peers are the instances.
	Peers []rosemarylb.Peer
}

// QueryReceived carries a query of a session.
type QueryReceived struct {
	// Session is the session.
	Session rosemarylb.SessionID
	// Query is the query.
	Query rosemarylb.Query
}

// SessionClosed reports that a session has ended.
type SessionClosed struct {
	// Session is the session that ended.
	Session rosemarylb.SessionID
}

// ConnectionOpened reports that a connection to an endpoint is established.
type ConnectionOpened struct {
	// Connection is the connection.
	Connection rosemarylb.ConnectionID
}

// ReplyReceived carries a complete reply of an endpoint.
type ReplyReceived struct {
	// Connection is the connection that the reply arrived on.
	Connection rosemarylb.ConnectionID
	// Reply is the reply.
	Reply rosemarylb.Reply
}

// ConnectionLost reports that a connection broke or could not be established.
type ConnectionLost struct {
	// Connection is the connection.
	Connection rosemarylb.ConnectionID
	// Code is the reason that the endpoint gave, ReplyDone if it gave none.
	Code rosemarylb.ReplyCode
}

// Registered carries all registered endpoints.
type Registered struct {
	// Endpoints are the registered endpoints.
	Endpoints []rosemarylb.EndpointSpec
}

// Configured carries a configuration.
type Configured struct {
	// Catalog is the configuration.
	Catalog rosemarylb.Catalog
}

// Permitted carries permits to use primaries.
type Permitted struct {
	// Permits are the permits.
	Permits []rosemarylb.Permit
}

// Shared carries the division of endpoint connections among instances.
type Shared struct {
	// Share is the share of this instance.
	Share rosemarylb.Share
}

// Drained starts a drain, which closes all sessions.
type Drained struct {
	// CloseAt is the time from which idle sessions are closed.
	CloseAt time.Time
	// AbortAt is the time from which open transactions are rolled back.
	AbortAt time.Time
}

func (SessionOpened) proxyEvent()    {}
func (Peered) proxyEvent()           {}
func (QueryReceived) proxyEvent()    {}
func (SessionClosed) proxyEvent()    {}
func (ConnectionOpened) proxyEvent() {}
func (ReplyReceived) proxyEvent()    {}
func (ConnectionLost) proxyEvent()   {}
func (Registered) proxyEvent()       {}
func (Configured) proxyEvent()       {}
func (Permitted) proxyEvent()        {}
func (Shared) proxyEvent()           {}
func (Drained) proxyEvent()          {}
