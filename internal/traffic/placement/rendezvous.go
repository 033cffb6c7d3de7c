// Package placement assigns endpoints to the instances that own their
// connections.
package placement

import (
	"rosemarylb"

	"github.com/cespare/xxhash/v2"
)

// Tiers of nearness between an instance and an endpoint.
const (
	tierDomain = iota
	tierRegion
	tierRemote
	tierCount
)

// Rendezvous places an endpoint on the live instance with the highest hash of
// the pair, among those nearest to it. A lost instance moves only what it
// owned.
type Rendezvous struct{}

// NewRendezvous returns the default placement.
func NewRendezvous() rosemarylb.Placement {
	return Rendezvous{}
}

// Owner implements rosemarylb.Placement. Leaving instances own nothing.
func (Rendezvous) Owner(members []rosemarylb.Member, e rosemarylb.EndpointSpec) (rosemarylb.Member, bool) {
	var best [tierCount]rosemarylb.Member
	var weight [tierCount]uint64
	var found [tierCount]bool
	for _, m := range members {
		if m.Status != rosemarylb.MemberAlive {
			continue
		}
		t := tier(m, e)
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

// Weight returns the rendezvous weight of an instance for a key.
func Weight(id rosemarylb.InstanceID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

func tier(m rosemarylb.Member, e rosemarylb.EndpointSpec) int {
	switch {
	case m.Domain == e.Domain:
		return tierDomain
	case m.Region == e.Region:
		return tierRegion
	default:
		return tierRemote
	}
}
