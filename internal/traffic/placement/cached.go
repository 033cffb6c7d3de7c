package placement

import "rosemarylb"

// Cached remembers the owners that another placement gives until the members
// change. It belongs to one duty.
type Cached struct {
	placement rosemarylb.Placement
	first     *rosemarylb.Member
	count     int
	owners    map[rosemarylb.EndpointSpec]rosemarylb.Member
}

// NewCached returns a placement that remembers.
func NewCached(p rosemarylb.Placement) rosemarylb.Placement {
	return &Cached{
		placement: p,
	}
}

// Owner implements rosemarylb.Placement. Lists of members are immutable, so
// the same list has the same owners.
func (c *Cached) Owner(members []rosemarylb.Member, e rosemarylb.EndpointSpec) (rosemarylb.Member, bool) {
	if len(members) == 0 {
		return rosemarylb.Member{}, false
	}
	if c.first != &members[0] || c.count != len(members) {
		c.first, c.count = &members[0], len(members)
		c.owners = map[rosemarylb.EndpointSpec]rosemarylb.Member{}
	}
	if m, known := c.owners[e]; known {
		return m, true
	}
	m, found := c.placement.Owner(members, e)
	if found {
		c.owners[e] = m
	}
	return m, found
}
