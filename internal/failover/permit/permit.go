// Package permit derives permits to use primaries from a keeper's grants or from
// its record in the store. A permit's duration counts from the time of the
// request, never from that of the answer, so that it ends no later for the
// instance than for the keeper.
package permit

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

// FromGrants returns the permits for the grants that a keeper answered to a
// request sent at requestedAt. A grant's position is dated back by its age, counted
// from requestedAt.
func FromGrants(grants []keeper.Grant, requestedAt time.Time) []rosemarylb.Permit {
	var permits []rosemarylb.Permit
	for _, g := range grants {
		p := rosemarylb.Permit{
			Group:       g.Group,
			Primary:     g.Primary,
			Term:        g.Term,
			RequestedAt: requestedAt,
			ExpiresAt:   requestedAt.Add(keeper.PermitDuration),
		}
		if !g.Position.IsZero() {
			p = p.WithPosition(g.Position, requestedAt.Add(-time.Duration(g.PositionMicros)*time.Microsecond))
		}
		permits = append(permits, p)
	}
	return permits
}

// FromRecord returns the permits for a record that was requested from the store
// at requestedAt, which answered in the given era. It returns none for a group whose
// primary is unknown or is being replaced, and none for a record of an earlier era.
func FromRecord(r keeper.Record, era uint64, requestedAt time.Time) []rosemarylb.Permit {
	if r.Era() < era {
		return nil
	}
	var permits []rosemarylb.Permit
	for name, l := range r.Groups {
		if l.FailingOver || l.Primary == "" {
			continue
		}
		permits = append(permits, rosemarylb.Permit{
			Group:       name,
			Primary:     l.Primary,
			Term:        l.Term,
			RequestedAt: requestedAt,
			ExpiresAt:   requestedAt.Add(keeper.PermitDuration),
		})
	}
	return permits
}
