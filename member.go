package rosemarylb

// MemberStatus is how the fleet sees an instance.
type MemberStatus uint8

// The statuses, in the order in which a later one overrides an earlier one
// of the same incarnation.
const (
	// MemberAlive serves.
	MemberAlive MemberStatus = iota
	// MemberLeaving finishes its work and takes no new one.
	MemberLeaving
	// MemberDead missed its heartbeats.
	MemberDead
)

var memberStatusNames = [...]string{"alive", "leaving", "dead"}

// String returns the name of the status.
func (s MemberStatus) String() string {
	if int(s) >= len(memberStatusNames) {
		return "invalid"
	}
	return memberStatusNames[s]
}

// Member is an instance as the others know it.
type Member struct {
	// ID names the instance.
	ID InstanceID
	// Address is the host:port where other instances reach it.
	Address string
	// Domain is the failure domain that it stands in.
	Domain DomainName
	// Region is the region of that domain.
	Region RegionName
	// Incarnation rises whenever the instance starts or refutes its death.
	Incarnation uint64
	// Status is how it is seen.
	Status MemberStatus
	// Revision is the configuration revision that it last reported.
	Revision uint64
}

// WithStatus returns the member seen in another status.
func (m Member) WithStatus(s MemberStatus) Member {
	m.Status = s
	return m
}

// WithIncarnation returns the member in a later incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// WithRevision returns the member with the revision that it reported.
func (m Member) WithRevision(r uint64) Member {
	m.Revision = r
	return m
}

// Peer is an instance that takes queries which others pass on.
type Peer struct {
	// Address is where it takes them, host:port.
	Address string
	// Region is where it stands.
	Region RegionName
}

// Overrides reports whether m is newer knowledge than other.
func (m Member) Overrides(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Status > other.Status
}
