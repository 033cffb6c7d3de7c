package rosemarylb

// Floor is the least position that a session's next read has to see. The
// zero value is an unknown floor: only a confirmed read of the primary may
// serve it.
type Floor struct {
	// Known is false when the session's last position was lost.
	Known bool
	// Position is a confirmed position, meaningful when Known.
	Position Position
}

// NewFloor returns the known floor at a confirmed position.
func NewFloor(p Position) Floor {
	return Floor{
		Known:    true,
		Position: p,
	}
}

// WithPosition returns the floor raised to p. A lower p changes nothing.
func (f Floor) WithPosition(p Position) Floor {
	if f.Known && !f.Position.Less(p) {
		return f
	}
	return NewFloor(p)
}

// WithTerm returns the floor of a session that has read in a term: it sees no
// earlier term again. The log sequence number stays, since every later term
// keeps the confirmed entries.
func (f Floor) WithTerm(t Term) Floor {
	if f.Known && f.Position.Term < t {
		f.Position.Term = t
	}
	return f
}

// WithUnknown returns the floor of a session whose last write has an unknown
// outcome.
func (f Floor) WithUnknown() Floor {
	return Floor{}
}

// SatisfiedBy reports whether data applied up to applied contain the floor.
// A floor is confirmed, so the log of every later term keeps its entry at the
// same log sequence number; the log of an earlier term proves nothing.
func (f Floor) SatisfiedBy(applied Position) bool {
	if !f.Known {
		return false
	}
	return applied.Term >= f.Position.Term && applied.LSN >= f.Position.LSN
}
