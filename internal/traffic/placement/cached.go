package placement

import "rosemarylb"

// Cached caches the owners computed by another placement until the member list
// changes. It is not safe for concurrent use: each duty needs its own.
type Cached struct {
	placement       rosemarylb.Placement
	firstMember     *rosemarylb.Member
	memberCount     int
	ownerByEndpoint map[rosemarylb.EndpointSpec]rosemarylb.Member
}

// NewCached returns a placement that caches the results of p.
func NewCached(p rosemarylb.Placement) rosemarylb.Placement {
	return &Cached{
		placement: p,
	}
}

// Owner implements rosemarylb.Placement. Member lists are immutable, so a list
// at the same address and of the same length is unchanged.
func (c *Cached) Owner(members []rosemarylb.Member, e rosemarylb.EndpointSpec) (rosemarylb.Member, bool) {
	if len(members) == 0 {
		return rosemarylb.Member{}, false
	}
	if c.firstMember != &members[0] || c.memberCount != len(members) {
		c.firstMember, c.memberCount = &members[0], len(members)
		c.ownerByEndpoint = map[rosemarylb.EndpointSpec]rosemarylb.Member{}
	}
	if m, known := c.ownerByEndpoint[e]; known {
		return m, true
	}
	m, found := c.placement.Owner(members, e)
	if found {
		c.ownerByEndpoint[e] = m
	}
	return m, found
}
