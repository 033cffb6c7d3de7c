// Package ownership decides which instances hold the connections to an endpoint where
// each connection belongs to a team, and which connection makes room for another. It
// answers a load of many small teams and a few large ones, on more instances than an
// endpoint accepts connections.
package ownership

import (
	"cmp"
	"slices"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
)

const (
	// connectionsPerOwner is the number of connections that an owner holds at least,
	// where the endpoint accepts that many. Fewer leave no room for teams with open
	// transactions beside those whose statements run.
	connectionsPerOwner = 15
	// minOwners is the smallest number of owners, so that the loss of one leaves another
	// with open connections.
	minOwners = 2
	// spareDivisor is the divisor of an endpoint's connections that gives how many of
	// them have no owner. They let an instance that replaces a lost owner connect while
	// the endpoint still counts the connections of the lost one.
	spareDivisor = 8
)

// Owners are the instances that hold the connections to an endpoint. The value is
// immutable, and the same on all instances that know the same peers.
type Owners struct {
	endpoint  rosemarylb.EndpointID
	addresses []string
	limit     int
}

// NewOwners chooses the owners of an endpoint that accepts a number of connections, by
// rendezvous hashing among the peers of its failure domain. If these are too few, all
// peers of its region are candidates.
func NewOwners(e rosemarylb.EndpointSpec, peers []rosemarylb.RelayPeer, connections int) Owners {
	count := Count(connections)
	candidates := addressesIn(peers, func(p rosemarylb.RelayPeer) bool {
		return p.Domain == e.Domain
	})
	if len(candidates) < count {
		candidates = addressesIn(peers, func(p rosemarylb.RelayPeer) bool {
			return p.Region == e.Region
		})
	}
	sortByWeight(candidates, string(e.ID))
	return Owners{
		endpoint:  e.ID,
		addresses: candidates[:min(count, len(candidates))],
		limit:     Limit(connections),
	}
}

// Count returns the number of owners of an endpoint that accepts a number of
// connections.
func Count(connections int) int {
	return max(owned(connections)/connectionsPerOwner, minOwners)
}

// Limit returns the number of connections that each owner of an endpoint may hold.
func Limit(connections int) int {
	return max(owned(connections)/Count(connections), 1)
}

// owned returns how many of an endpoint's connections have an owner.
func owned(connections int) int {
	return connections - connections/spareDivisor
}

// Limit returns the number of connections that each owner may hold.
func (o Owners) Limit() int {
	return o.limit
}

// Includes reports whether the instance with the given address is an owner.
func (o Owners) Includes(address string) bool {
	return slices.Contains(o.addresses, address)
}

// RankedFor returns the addresses of the owners in the order in which a team's queries
// prefer them, so that the queries of a team meet at few connections.
func (o Owners) RankedFor(team rosemarylb.TeamName) []string {
	ranked := slices.Clone(o.addresses)
	sortByWeight(ranked, string(o.endpoint)+"\x00"+string(team))
	return ranked
}

func addressesIn(peers []rosemarylb.RelayPeer, include func(rosemarylb.RelayPeer) bool) []string {
	var addresses []string
	for _, p := range peers {
		if include(p) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// sortByWeight sorts addresses by their rendezvous weight for a key, highest first.
func sortByWeight(addresses []string, key string) {
	weights := make(map[string]uint64, len(addresses))
	for _, a := range addresses {
		weights[a] = placement.Weight(rosemarylb.InstanceID(a), key)
	}
	slices.SortFunc(addresses, func(x, y string) int {
		return cmp.Or(cmp.Compare(weights[y], weights[x]), cmp.Compare(x, y))
	})
}
