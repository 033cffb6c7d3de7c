package keeper

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"rosemarylb"
)

// listIntervalPerInstance is the interval between updates of the lists that a
// holder derives from all reports, for each instance that reports. Deriving them
// takes time in proportion to the instances, so it uses the same share of the
// processor in a fleet of any size. Replies to single instances use the last lists.
const listIntervalPerInstance = time.Millisecond

// fleetSummary is what the holder derives from the reports of all instances.
type fleetSummary struct {
	// recentReports is the number of instances whose report is recent.
	recentReports int
	// listedAt is when the lists below were derived.
	listedAt time.Time
	// instances are the instances that report, sorted.
	instances []rosemarylb.InstanceID
	// byCapacity are the instances that report, those with the most capacity first.
	byCapacity []rosemarylb.InstanceID
	// storeWatchers are the instances beside the holder that watch the store.
	storeWatchers []rosemarylb.InstanceID
	// peers are the instances that accept relayed queries.
	peers PeerList
}

// withFleetSummary removes silent instances and derives the summary anew.
func (k Keeper) withFleetSummary(now time.Time) Keeper {
	k.fleet.recentReports = k.members.recentReports(now)
	if now.Sub(k.fleet.listedAt) < time.Duration(k.members.count())*listIntervalPerInstance {
		return k
	}
	k.members = k.members.withoutSilent(now)
	k.fleet.listedAt = now
	k.fleet.instances = nil
	for id := range k.members.all() {
		k.fleet.instances = append(k.fleet.instances, id)
	}
	slices.Sort(k.fleet.instances)
	k.fleet.byCapacity = slices.Clone(k.fleet.instances)
	slices.SortStableFunc(k.fleet.byCapacity, func(x, y rosemarylb.InstanceID) int {
		first, _ := k.members.get(x)
		second, _ := k.members.get(y)
		return cmp.Compare(second.capacity, first.capacity)
	})
	k.fleet.storeWatchers = k.chooseStoreWatchers()
	var peers []rosemarylb.RelayPeer
	for _, id := range k.fleet.instances {
		if m, _ := k.members.get(id); m.peer.Address != "" {
			peers = append(peers, m.peer)
		}
	}
	k.fleet.peers = k.fleet.peers.withPeers(peers, k.token)
	return k
}

// chooseStoreWatchers returns the instances beside the holder that watch the store.
// They are chosen by the hash of their identifiers, so that they seldom share a
// failure domain.
func (k Keeper) chooseStoreWatchers() []rosemarylb.InstanceID {
	hashes := make(map[rosemarylb.InstanceID]uint64, len(k.fleet.instances))
	var others []rosemarylb.InstanceID
	for _, id := range k.fleet.instances {
		if id != k.self {
			others = append(others, id)
			hashes[id] = hashInstance(id)
		}
	}
	slices.SortFunc(others, func(x, y rosemarylb.InstanceID) int {
		return cmp.Or(cmp.Compare(hashes[x], hashes[y]), cmp.Compare(x, y))
	})
	return others[:min(len(others), storeWatcherCount)]
}

func hashInstance(id rosemarylb.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Share returns an instance's share of the connections to each endpoint.
func (k Keeper) Share(instance rosemarylb.InstanceID) rosemarylb.ConnectionShare {
	index, _ := slices.BinarySearch(k.fleet.instances, instance)
	return rosemarylb.ConnectionShare{
		Members: max(k.members.count(), k.record.Members),
		Index:   index,
	}
}

// Peers returns the instances that accept relayed queries.
func (k Keeper) Peers() PeerList {
	return k.fleet.peers
}
