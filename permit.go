package rosemarylb

import "time"

// Permit allows an instance to use the primary of a group until a deadline:
// nobody else is promoted before it.
type Permit struct {
	// Group is the replicated database.
	Group DatabaseName
	// Primary is its primary.
	Primary EndpointID
	// Term is the primary's term.
	Term Term
	// AskedAt is when the instance asked for it.
	AskedAt time.Time
	// Until is when it ends.
	Until time.Time
	// Position is a position of the primary's log, zero if not told.
	Position Position
	// PositionAt is a time as of which Position holds every acknowledged
	// commit.
	PositionAt time.Time
}

// WithPosition returns the permit that also tells a position of the primary.
func (p Permit) WithPosition(pos Position, at time.Time) Permit {
	p.Position = pos
	p.PositionAt = at
	return p
}

// Covers reports whether the permit holds for a term at a time.
func (p Permit) Covers(t Term, now time.Time) bool {
	return p.Term == t && p.Primary != "" && now.Before(p.Until)
}
