package rosemarylb

import "time"

// EndpointLoad is the use of an endpoint by all instances, as it reported it. Health and
// role are no part of it.
type EndpointLoad struct {
	// Endpoint is the endpoint.
	Endpoint EndpointID
	// Busy is the number of slots that execute a statement.
	Busy int
	// Connections is the number of open connections.
	Connections int
	// ObservedAt is when the endpoint was asked, the zero time if the load is not known.
	ObservedAt time.Time
}

// IsKnown reports whether the endpoint has reported its load.
func (l EndpointLoad) IsKnown() bool {
	return !l.ObservedAt.IsZero()
}
