package proxy

import (
	"cmp"
	"math"
	"slices"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
)

// spareConnectionDivisor is the divisor of an endpoint's connections that gives
// how many of them have no owner. They let an instance that replaces a lost owner
// connect while the endpoint still counts the connection of the lost one.
const spareConnectionDivisor = 8

// endpointOwners are the instances that hold the connections to an endpoint with
// fewer connections than instances in its region; the others relay through them.
type endpointOwners struct {
	// peersRevision and connections are what the owners were chosen for.
	peersRevision uint64
	connections   int
	addresses     []string
	owned         bool
}

// applyPeers replaces the list of instances that accept relayed queries. While a
// new keeper has met less than half of the instances, the former list stays, so
// that the owners do not all change.
func (p *Proxy) applyPeers(peers []rosemarylb.RelayPeer) {
	if len(peers) < len(p.peers) && 2*len(peers) < p.share.Members {
		return
	}
	p.peers = peers
	p.peersRevision++
	p.peersByRegion = map[rosemarylb.RegionName]int{}
	for _, peer := range peers {
		p.peersByRegion[peer.Region]++
	}
	p.updateDeputies()
}

// ownedConnections returns the number of connections that this instance owns, 0
// or 1.
func (p *Proxy) ownedConnections(ep *endpointPool) int {
	if p.owners(ep).owned {
		return 1
	}
	return 0
}

// owners returns the owners of an endpoint. They are chosen by rendezvous hashing
// among the instances of its region, so that all instances agree on them, and few
// change when an instance comes or goes.
func (p *Proxy) owners(ep *endpointPool) endpointOwners {
	connections := ep.usableConnections()
	if ep.owners.peersRevision == p.peersRevision && ep.owners.connections == connections {
		return ep.owners
	}
	var near []string
	weights := map[string]uint64{}
	for _, peer := range p.peers {
		if peer.Region != ep.spec.Region {
			continue
		}
		near = append(near, peer.Address)
		weights[peer.Address] = placement.Weight(rosemarylb.InstanceID(peer.Address), string(ep.spec.ID))
	}
	slices.SortFunc(near, func(x, y string) int {
		return cmp.Compare(weights[y], weights[x])
	})
	near = near[:min(len(near), ownerCount(connections))]
	ep.owners = endpointOwners{
		peersRevision: p.peersRevision,
		connections:   connections,
		addresses:     near,
		owned:         slices.Contains(near, p.address),
	}
	return ep.owners
}

// ownerCount returns how many of an endpoint's connections have an owner.
func ownerCount(connections int) int {
	return max(connections-connections/spareConnectionDivisor, 1)
}

// provisionalConnections returns the number of connections, 0 or 1, that this
// instance may open to an endpoint before it knows the others: after a loss of
// power all of them start at once and would use up the limit together. The hash of
// its address decides, so how many may open one varies; three quarters of the
// number of owners are expected.
func (p *Proxy) provisionalConnections(ep *endpointPool) int {
	if p.isProvisionalOwner(ep, ownerCount(ep.usableConnections())) {
		return 1
	}
	return 0
}

// isProvisionalOwner reports whether the hash of this instance's address makes it one of
// a number of owners of an endpoint.
func (p *Proxy) isProvisionalOwner(ep *endpointPool, owners int) bool {
	expected := max(owners*3/4, 1)
	if expected >= p.share.Members {
		return true
	}
	weight := placement.Weight(rosemarylb.InstanceID(p.address), string(ep.spec.ID))
	return weight < math.MaxUint64/uint64(p.share.Members)*uint64(expected)
}

// relayCandidates returns the addresses of the instances in the region of an
// endpoint through which a relay connection may be opened: its owners, if there is
// less than one connection for each instance of the region.
func (p *Proxy) relayCandidates(ep *endpointPool) []string {
	if ep.usableConnections() < p.peersInRegion(ep.spec.Region) {
		return p.owners(ep).addresses
	}
	var near []string
	for _, peer := range p.peers {
		if peer.Region == ep.spec.Region {
			near = append(near, peer.Address)
		}
	}
	return near
}
