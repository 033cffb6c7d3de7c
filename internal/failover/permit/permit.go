// Package permit turns what a keeper or the store told into permits to use
// primaries. A permit is counted from the question, never from the answer.
package permit

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

// FromGrants returns the permits that a keeper's word gives to the instance
// that asked for it.
func FromGrants(grants []keeper.Grant, askedAt time.Time) []rosemarylb.Permit {
	var permits []rosemarylb.Permit
	for _, g := range grants {
		p := rosemarylb.Permit{
			Group:   g.Group,
			Primary: g.Primary,
			Term:    g.Term,
			AskedAt: askedAt,
			Until:   askedAt.Add(keeper.PermitSpan),
		}
		if !g.Position.IsZero() {
			p = p.WithPosition(g.Position, askedAt.Add(-time.Duration(g.PositionMicros)*time.Microsecond))
		}
		permits = append(permits, p)
	}
	return permits
}

// FromRecord returns the permits that a read of the record gives to the
// instance that asked for it.
func FromRecord(r keeper.Record, askedAt time.Time) []rosemarylb.Permit {
	var permits []rosemarylb.Permit
	for name, l := range r.Groups {
		if l.Moving || l.Primary == "" {
			continue
		}
		permits = append(permits, rosemarylb.Permit{
			Group:   name,
			Primary: l.Primary,
			Term:    l.Term,
			AskedAt: askedAt,
			Until:   askedAt.Add(keeper.PermitSpan),
		})
	}
	return permits
}
