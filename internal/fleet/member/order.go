package member

import (
	"slices"
	"strconv"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
)

// neighbours returns, for each of the fleet's rings, the live instance that
// follows or precedes self in the ring's own order. Each instance so has the
// same number of neighbours however large the fleet is.
func neighbours(
	self rosemarylb.InstanceID, members []rosemarylb.Member, following bool,
) []rosemarylb.InstanceID {
	var found []rosemarylb.InstanceID
	for ring := range ringCount {
		id, exists := neighbour(self, members, strconv.Itoa(ring), following)
		if exists && !slices.Contains(found, id) {
			found = append(found, id)
		}
	}
	return found
}

// neighbour finds the nearest weight above self's, or below it, going round
// at the end.
func neighbour(
	self rosemarylb.InstanceID, members []rosemarylb.Member, ring string, following bool,
) (rosemarylb.InstanceID, bool) {
	own := placement.Weight(self, ring)
	var best rosemarylb.InstanceID
	var distance uint64
	for _, m := range members {
		if m.ID == self || m.Status == rosemarylb.MemberDead {
			continue
		}
		away := placement.Weight(m.ID, ring) - own
		if !following {
			away = -away
		}
		if best == "" || away < distance {
			best, distance = m.ID, away
		}
	}
	return best, best != ""
}
