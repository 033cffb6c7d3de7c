package rosemarylb

// Floor is the minimum position that a session's next read must see, so that
// the session reads its own writes and never reads older data than before. The
// zero value is an unknown floor, which only a linearizable read at the
// primary satisfies.
type Floor struct {
	// Known is false if the position of the session's last write is unknown.
	Known bool
	// Position is a confirmed position, valid if Known.
	Position Position
}

// NewFloor returns a known floor at a confirmed position.
func NewFloor(p Position) Floor {
	return Floor{
		Known:    true,
		Position: p,
	}
}

// WithPosition returns the higher of the floor and p. A known floor replaces an
// unknown one.
func (f Floor) WithPosition(p Position) Floor {
	if f.Known && !f.Position.Less(p) {
		return f
	}
	return NewFloor(p)
}

// WithTerm returns the floor after a read in term t, which excludes later reads
// from earlier terms. The log sequence number is unchanged because confirmed
// entries survive in every later term.
func (f Floor) WithTerm(t Term) Floor {
	if f.Known && f.Position.Term < t {
		f.Position.Term = t
	}
	return f
}

// WithUnknown returns the unknown floor, for a session whose last write has an
// unknown outcome.
func (f Floor) WithUnknown() Floor {
	return Floor{}
}

// SatisfiedBy reports whether an endpoint that has applied its log up to
// applied includes the floor. The entry at the floor is confirmed, so the log
// of every later term has it at the same log sequence number. The log of an
// earlier term may have a different entry there.
func (f Floor) SatisfiedBy(applied Position) bool {
	if !f.Known {
		return false
	}
	return applied.Term >= f.Position.Term && applied.LSN >= f.Position.LSN
}
