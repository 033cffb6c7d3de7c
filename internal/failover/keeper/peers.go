package keeper

import (
	"maps"
	"slices"

	"rosemarylb"
)

const (
	// maxPeerChanges is the number of changes of the list of peers that are kept; an
	// instance whose list is older is sent the whole list.
	maxPeerChanges = 40
	// peerVersionBits is the number of bits in the version of a list of peers that
	// count its changes. The bits above are a hash of the token of the lease, so that
	// no two holders use the same version.
	peerVersionBits = 32
)

// PeerList is an immutable list of the instances that accept relayed queries, with
// its latest changes.
type PeerList struct {
	version uint64
	peers   map[string]rosemarylb.RelayPeer
	changes []peerChange
}

// peerChange is the difference between a version of a list and the one before it.
type peerChange struct {
	added   []rosemarylb.RelayPeer
	removed []string
}

// PeerUpdate brings an instance's list of peers to a version.
type PeerUpdate struct {
	// Version is the version of the list after the update.
	Version uint64
	// Since is the version that the update changes, 0 if Added is the whole list.
	Since uint64
	// Added are the instances that are new or have changed.
	Added []rosemarylb.RelayPeer
	// Removed are the addresses of the instances that have left.
	Removed []string
}

// withPeers returns the list with the given instances, in a version of the holder
// with the given token. It is the same list if nothing has changed.
func (l PeerList) withPeers(peers []rosemarylb.RelayPeer, token uint64) PeerList {
	prefix := peerVersionPrefix(token)
	if l.version == 0 || l.version>>peerVersionBits != prefix {
		l = PeerList{
			version: prefix << peerVersionBits,
		}
	}
	var change peerChange
	next := make(map[string]rosemarylb.RelayPeer, len(peers))
	for _, p := range peers {
		next[p.Address] = p
		if former, found := l.peers[p.Address]; !found || former != p {
			change.added = append(change.added, p)
		}
	}
	for address := range l.peers {
		if _, found := next[address]; !found {
			change.removed = append(change.removed, address)
		}
	}
	if len(change.added) == 0 && len(change.removed) == 0 {
		return l
	}
	l.version++
	l.peers = next
	l.changes = append(slices.Clone(l.changes), change)
	if excess := len(l.changes) - maxPeerChanges; excess > 0 {
		l.changes = l.changes[excess:]
	}
	return l
}

// peerVersionPrefix returns the bits above the changes in the versions of the holder of
// a token. It is the token itself for those of era 0.
func peerVersionPrefix(token uint64) uint64 {
	const eraFactor = 0x9E3779B1
	return (token ^ token>>tokenEraShift*eraFactor) & (1<<peerVersionBits - 1)
}

// Version returns the version of the list.
func (l PeerList) Version() uint64 {
	return l.version
}

// UpdateSince returns the update for an instance that has the given version, 0 for
// none. It is the whole list if the changes since then are not kept.
func (l PeerList) UpdateSince(version uint64) PeerUpdate {
	missing := l.version - version
	if version == 0 || version > l.version || missing > uint64(len(l.changes)) {
		return PeerUpdate{
			Version: l.version,
			Added:   slices.Collect(maps.Values(l.peers)),
		}
	}
	update := PeerUpdate{
		Version: l.version,
		Since:   version,
	}
	added := map[string]rosemarylb.RelayPeer{}
	removed := map[string]struct{}{}
	for _, change := range l.changes[len(l.changes)-int(missing):] {
		for _, p := range change.added {
			added[p.Address] = p
			delete(removed, p.Address)
		}
		for _, address := range change.removed {
			delete(added, address)
			removed[address] = struct{}{}
		}
	}
	update.Added = slices.Collect(maps.Values(added))
	update.Removed = slices.Collect(maps.Keys(removed))
	return update
}
