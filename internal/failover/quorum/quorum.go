// Package quorum decides whether a position of a primary's log is replicated to
// enough endpoints of its group to acknowledge it.
package quorum

import (
	"time"

	"rosemarylb"
)

// Majority acknowledges a position once a majority of the group holds it in the
// primary's term. A later promotion needs a majority too; the two overlap, so it
// sees every acknowledged commit.
type Majority struct {
	required int
	primary  rosemarylb.Primary
	states   []rosemarylb.EndpointState
}

// NewMajority returns the acknowledger of a group whose quorum is size endpoints,
// the primary included.
func NewMajority(size int) rosemarylb.Acknowledger {
	return Majority{
		required: size,
	}
}

// WithPrimary implements rosemarylb.Acknowledger. States that were observed
// before remain valid, because each carries its own term.
func (m Majority) WithPrimary(p rosemarylb.Primary) rosemarylb.Acknowledger {
	m.primary = p
	return m
}

// WithState implements rosemarylb.Acknowledger. It keeps the latest state of
// each endpoint, by the time of its request, and ignores an older one.
func (m Majority) WithState(s rosemarylb.EndpointState) rosemarylb.Acknowledger {
	states := make([]rosemarylb.EndpointState, 0, len(m.states)+1)
	for _, known := range m.states {
		if known.ID != s.ID {
			states = append(states, known)
			continue
		}
		if known.ProbedAt.After(s.ProbedAt) {
			return m
		}
	}
	m.states = append(states, s)
	return m
}

// Confirmed implements rosemarylb.Acknowledger. A replica confirms the position
// if it had promised no later term when it was probed and the last entry of its
// log is of the primary's term: up to that entry its log equals the primary's.
// The primary needs no state of its own, because its answer confirms the
// position. That position is of its own term and the last of its log, so its log
// held no entry of a later term, and no such entry was acknowledged with the
// primary in the quorum.
func (m Majority) Confirmed(p rosemarylb.Position, since time.Time) bool {
	if p.Term != m.primary.Term {
		return false
	}
	held := 1
	for _, s := range m.states {
		if s.ID != m.primary.Endpoint && m.confirms(s, p, since) {
			held++
		}
	}
	return held >= m.required
}

// Replaced implements rosemarylb.Acknowledger.
func (m Majority) Replaced() bool {
	for _, s := range m.states {
		if s.Term > m.primary.Term {
			return true
		}
	}
	return false
}

func (m Majority) confirms(s rosemarylb.EndpointState, p rosemarylb.Position, since time.Time) bool {
	if s.Term != m.primary.Term || s.Log.Term != m.primary.Term {
		return false
	}
	return s.Log.LSN >= p.LSN && !s.ProbedAt.Before(since)
}
