package rosemarylb

import "time"

// Permit is a lease that allows an instance to use the primary of a group. No
// other endpoint is promoted before it expires.
type Permit struct {
	// Group is the replicated database.
	Group DatabaseName
	// Primary is the primary of the group.
	Primary EndpointID
	// Term is the primary's term.
	Term Term
	// RequestedAt is the time at which the instance requested the permit.
	RequestedAt time.Time
	// ExpiresAt is the time at which the permit expires.
	ExpiresAt time.Time
	// Position is a position in the primary's log, zero if unknown.
	Position Position
	// PositionAt is a time before which every acknowledged commit is included in
	// Position.
	PositionAt time.Time
}

// WithPosition returns the permit with a position of the primary's log that
// includes every commit acknowledged by a time.
func (p Permit) WithPosition(pos Position, at time.Time) Permit {
	p.Position = pos
	p.PositionAt = at
	return p
}

// ValidFor reports whether the permit is for a term and has not expired.
func (p Permit) ValidFor(t Term, now time.Time) bool {
	return p.Term == t && p.Primary != "" && now.Before(p.ExpiresAt)
}
