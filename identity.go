package rosemarylb

import "strconv"

// InstanceID names one instance of the proxy.
type InstanceID string

// DomainName names a failure domain, such as one data centre.
type DomainName string

// RegionName names a region, a set of failure domains near each other.
type RegionName string

// DatabaseName names a replicated database, served by a group of endpoints.
type DatabaseName string

// EndpointID names one database server of a group.
type EndpointID string

// SessionID numbers a caller's session on the instance that accepted it.
type SessionID uint64

// RequestID identifies a request in the whole fleet. An answer that carries
// another identity than the one awaited is dropped.
type RequestID struct {
	// Instance is the instance that accepted the caller.
	Instance InstanceID
	// Session is the caller's session on that instance.
	Session SessionID
	// Sequence numbers the requests of that instance, and rises over its
	// restarts.
	Sequence uint64
}

// String returns the identity in the form instance/session/sequence.
func (r RequestID) String() string {
	return string(r.Instance) + "/" +
		strconv.FormatUint(uint64(r.Session), 10) + "/" +
		strconv.FormatUint(r.Sequence, 10)
}
