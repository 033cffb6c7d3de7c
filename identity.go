package rosemarylb

import "strconv"

// InstanceID identifies an instance of the proxy.
type InstanceID string

// DomainName identifies a failure domain, such as a data centre.
type DomainName string

// RegionName identifies a region, a set of nearby failure domains.
type RegionName string

// DatabaseName identifies a replicated database, which a group of endpoints
// serves.
type DatabaseName string

// EndpointID identifies a database server.
type EndpointID string

// SessionID identifies a caller's session on the instance that accepted it.
type SessionID uint64

// RequestID identifies a request across the fleet. A receiver discards an
// outcome whose ID is not that of a pending request.
type RequestID struct {
	// Instance is the instance that accepted the caller.
	Instance InstanceID
	// Session is the caller's session on that instance.
	Session SessionID
	// Sequence increases with each request of the instance, also across
	// restarts.
	Sequence uint64
}

// String returns the form instance/session/sequence.
func (r RequestID) String() string {
	return string(r.Instance) + "/" +
		strconv.FormatUint(uint64(r.Session), 10) + "/" +
		strconv.FormatUint(r.Sequence, 10)
}
