// Package placement assigns each endpoint to the instance that owns the
// connections to it.
package placement

import (
	"rosemarylb"

	"github.com/cespare/xxhash/v2"
)

// Distance tiers between an instance and an endpoint, nearest first.
const (
	tierDomain = iota
	tierRegion
	tierRemote
	tierCount
)

// Rendezvous implements rendezvous hashing: among the live instances nearest to
// an endpoint, the one with the highest weight for the endpoint owns it. When an
// instance fails, only the endpoints that it owned move.
type Rendezvous struct{}

// NewRendezvous returns the default placement.
func NewRendezvous() rosemarylb.Placement {
	return Rendezvous{}
}

// Owner implements rosemarylb.Placement. Only instances with the status alive
// own endpoints; leaving and dead ones own none.
func (Rendezvous) Owner(members []rosemarylb.Member, e rosemarylb.EndpointSpec) (rosemarylb.Member, bool) {
	var best [tierCount]rosemarylb.Member
	var weight [tierCount]uint64
	var found [tierCount]bool
	for _, m := range members {
		if m.Status != rosemarylb.MemberAlive {
			continue
		}
		t := distanceTier(m, e)
		w := Weight(m.ID, string(e.ID))
		if !found[t] || w > weight[t] {
			best[t] = m
			weight[t] = w
			found[t] = true
		}
	}
	for t := range best {
		if found[t] {
			return best[t], true
		}
	}
	return rosemarylb.Member{}, false
}

// Weight returns the rendezvous hashing weight of an instance for a key, which
// is the same on all instances.
func Weight(id rosemarylb.InstanceID, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

func distanceTier(m rosemarylb.Member, e rosemarylb.EndpointSpec) int {
	switch {
	case m.Domain == e.Domain:
		return tierDomain
	case m.Region == e.Region:
		return tierRegion
	default:
		return tierRemote
	}
}
