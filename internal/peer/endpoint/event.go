package endpoint

import (
	"rosemarylb"
)

// Event is an event that the owner handles.
type Event interface {
	ownerEvent()
}

// RequestSubmitted brings a request to run on an endpoint of this owner.
type RequestSubmitted struct {
	// Request is the request; its deadlines are by this instance's clock.
	Request rosemarylb.Request
}

// RequestCanceled cancels a queued or running request.
type RequestCanceled struct {
	// ID identifies the request.
	ID rosemarylb.RequestID
}

// SessionEnded reports that a session with an open transaction has ended.
type SessionEnded struct {
	// ID identifies a request of the session.
	ID rosemarylb.RequestID
	// Endpoint is the endpoint of the transaction.
	Endpoint rosemarylb.EndpointID
	// PinnedConnection is the ID of the connection that the transaction has pinned.
	PinnedConnection uint64
}

// StateReceived reports the state of an endpoint by its answer to a probe.
type StateReceived struct {
	// State is the reported state.
	State rosemarylb.EndpointState
}

// Unreachable reports that an endpoint refused a connection, closed it, or
// did not answer a probe in time.
type Unreachable struct {
	// Endpoint is the name of the endpoint.
	Endpoint rosemarylb.EndpointID
}

// PrimaryChanged reports the primary of a database.
type PrimaryChanged struct {
	// Primary is the primary and its term.
	Primary rosemarylb.Primary
}

type connectionOpened struct {
	connection *Connection
}

type responseReceived struct {
	connection *Connection
	response   Response
}

type connectionClosed struct {
	connection *Connection
	sqlState   string
}

func (RequestSubmitted) ownerEvent() {}
func (RequestCanceled) ownerEvent()  {}
func (SessionEnded) ownerEvent()     {}
func (StateReceived) ownerEvent()    {}
func (Unreachable) ownerEvent()      {}
func (PrimaryChanged) ownerEvent()   {}
func (connectionOpened) ownerEvent() {}
func (responseReceived) ownerEvent() {}
func (connectionClosed) ownerEvent() {}
