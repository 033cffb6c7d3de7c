package member

import (
	"slices"
	"strconv"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
)

// ringNeighbours returns the successors of self on each hash ring, or the
// predecessors if successors is false, without dead instances and duplicates.
// The number of neighbours is independent of the size of the fleet.
func ringNeighbours(
	self rosemarylb.InstanceID, members []rosemarylb.Member, successors bool,
) []rosemarylb.InstanceID {
	var found []rosemarylb.InstanceID
	for ring := range hashRingCount {
		id, exists := nearestOnRing(self, members, strconv.Itoa(ring), successors)
		if exists && !slices.Contains(found, id) {
			found = append(found, id)
		}
	}
	return found
}

// nearestOnRing returns the live instance whose hash is next to that of self on
// a ring, in ascending order if successor is true, else in descending order. It
// returns false if there is no other live instance.
func nearestOnRing(
	self rosemarylb.InstanceID, members []rosemarylb.Member, ring string, successor bool,
) (rosemarylb.InstanceID, bool) {
	origin := placement.Weight(self, ring)
	var nearest rosemarylb.InstanceID
	var shortest uint64
	for _, m := range members {
		if m.ID == self || m.Status == rosemarylb.MemberDead {
			continue
		}
		// The subtraction wraps around, as does the ring.
		distance := placement.Weight(m.ID, ring) - origin
		if !successor {
			distance = -distance
		}
		if nearest == "" || distance < shortest {
			nearest, shortest = m.ID, distance
		}
	}
	return nearest, nearest != ""
}
