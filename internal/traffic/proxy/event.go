package proxy

import (
	"rosemarylb"
	"rosemarylb/internal/traffic/explanation"
	"rosemarylb/internal/traffic/quota"
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
	// Key is the digest of the caller's API key.
	Key rosemarylb.KeyDigest
	// Endpoint is set in a relay session, in which another instance forwards
	// queries for a primary: the endpoint that the other instance regards as
	// the primary.
	Endpoint rosemarylb.EndpointID
}

// PeersChanged carries the instances that accept relayed queries.
type PeersChanged struct {
	// Peers are the instances.
	Peers []rosemarylb.RelayPeer
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

// EndpointsChanged carries all registered endpoints.
type EndpointsChanged struct {
	// Endpoints are the registered endpoints.
	Endpoints []rosemarylb.EndpointSpec
}

// CatalogChanged carries a configuration.
type CatalogChanged struct {
	// Catalog is the configuration.
	Catalog rosemarylb.Catalog
}

// PermitsReceived carries permits to use primaries.
type PermitsReceived struct {
	// Permits are the permits.
	Permits []rosemarylb.Permit
}

// ShareChanged carries the division of endpoint connections among instances.
type ShareChanged struct {
	// Share is the share of this instance.
	Share rosemarylb.ConnectionShare
}

// KeeperChanged reports that another instance has become the keeper.
type KeeperChanged struct{}

// QuotaReplied carries the keeper's reply to a request for tokens.
type QuotaReplied struct {
	// Sequence is the sequence of the request.
	Sequence uint64
	// Reply is the reply, the zero value if there was none.
	Reply quota.Reply
}

// ExplanationRequested asks where a request would go.
type ExplanationRequested struct {
	// Request is the request.
	Request explanation.Request
	// Reply receives the explanation and has to have a place for it.
	Reply chan<- explanation.Explanation
}

// LoadsReceived carries the known loads of endpoints, in place of all former ones.
type LoadsReceived struct {
	// Loads are the loads.
	Loads []rosemarylb.EndpointLoad
}

func (SessionOpened) proxyEvent()        {}
func (PeersChanged) proxyEvent()         {}
func (QueryReceived) proxyEvent()        {}
func (SessionClosed) proxyEvent()        {}
func (ConnectionOpened) proxyEvent()     {}
func (ReplyReceived) proxyEvent()        {}
func (ConnectionLost) proxyEvent()       {}
func (EndpointsChanged) proxyEvent()     {}
func (CatalogChanged) proxyEvent()       {}
func (PermitsReceived) proxyEvent()      {}
func (ShareChanged) proxyEvent()         {}
func (ExplanationRequested) proxyEvent() {}
func (LoadsReceived) proxyEvent()        {}
