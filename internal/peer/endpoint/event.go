package endpoint

import (
	"rosemarylb"
)

// Event is what the owner duty decides on.
type Event interface {
	ownerEvent()
}

// Submitted brings a request to run.
type Submitted struct {
	// Request is the request; its times are of this instance's clock.
	Request rosemarylb.Request
}

// Canceled asks to cancel a request that waits or runs.
type Canceled struct {
	// ID identifies the request.
	ID rosemarylb.RequestID
}

// Released tells that a session with an open transaction is gone.
type Released struct {
	// ID identifies a request of the session.
	ID rosemarylb.RequestID
	// Endpoint is where the transaction is open.
	Endpoint rosemarylb.EndpointID
	// Lease is its connection.
	Lease uint64
}

// Observed brings an endpoint's state.
type Observed struct {
	// State is the state.
	State rosemarylb.EndpointState
}

// Silenced tells that an endpoint refuses or keeps silent.
type Silenced struct {
	// Endpoint is the endpoint.
	Endpoint rosemarylb.EndpointID
}

// Appointed tells of the primary of a database.
type Appointed struct {
	// Primary is the primary.
	Primary rosemarylb.Primary
}

type opened struct {
	connection *Connection
}

type answered struct {
	connection *Connection
	answer     Answer
}

type closed struct {
	connection *Connection
	sqlState   string
}

func (Submitted) ownerEvent() {}
func (Canceled) ownerEvent()  {}
func (Released) ownerEvent()  {}
func (Observed) ownerEvent()  {}
func (Silenced) ownerEvent()  {}
func (Appointed) ownerEvent() {}
func (opened) ownerEvent()    {}
func (answered) ownerEvent()  {}
func (closed) ownerEvent()    {}
