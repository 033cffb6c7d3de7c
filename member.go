package rosemarylb

// MemberStatus is the membership status of an instance.
type MemberStatus uint8

// The membership statuses. Within an incarnation, a later status in this list
// overrides an earlier one.
const (
	// MemberAlive means that the instance accepts requests.
	MemberAlive MemberStatus = iota
	// MemberLeaving means that the instance drains its requests before it shuts
	// down, and accepts no new ones.
	MemberLeaving
	// MemberDead means that the instance missed its heartbeats.
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

// Member is the membership record of an instance.
type Member struct {
	// ID identifies the instance.
	ID InstanceID
	// Address is the host:port for other instances.
	Address string
	// Domain is the failure domain of the instance.
	Domain DomainName
	// Region is the region of the domain.
	Region RegionName
	// Incarnation increases whenever the instance starts or refutes a report of
	// its death.
	Incarnation uint64
	// Status is the membership status.
	Status MemberStatus
	// Revision is the configuration revision that the instance last reported.
	Revision uint64
}

// WithStatus returns the member with another status.
func (m Member) WithStatus(s MemberStatus) Member {
	m.Status = s
	return m
}

// WithIncarnation returns the member with another incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// WithRevision returns the member with another configuration revision.
func (m Member) WithRevision(r uint64) Member {
	m.Revision = r
	return m
}

// RelayPeer is an instance that relays queries for other instances.
type RelayPeer struct {
	// Address is the host:port for relayed queries.
	Address string
	// Region is the region of the instance.
	Region RegionName
	// Domain is the failure domain of the instance, empty if unknown.
	Domain DomainName
	// InstanceAddress is the host:port for other instances, empty if unknown.
	InstanceAddress string
}

// Overrides reports whether m replaces other: it has a later incarnation, or a
// later status of the same incarnation.
func (m Member) Overrides(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Status > other.Status
}
