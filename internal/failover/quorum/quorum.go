// Package quorum decides when a primary's answer may be acknowledged.
package quorum

import (
	"time"

	"rosemarylb"
)

// Majority acknowledges what a majority of the group holds in the primary's
// term. A later promotion needs the same majority, so it sees the commit.
type Majority struct {
	need    int
	primary rosemarylb.Primary
	states  []rosemarylb.EndpointState
}

// NewMajority returns the acknowledger of a group whose quorum is need
// endpoints, the primary among them.
func NewMajority(need int) rosemarylb.Acknowledger {
	return Majority{
		need: need,
	}
}

// WithPrimary implements rosemarylb.Acknowledger. States observed so far stay
// true: they name their own terms.
func (m Majority) WithPrimary(p rosemarylb.Primary) rosemarylb.Acknowledger {
	m.primary = p
	return m
}

// WithState implements rosemarylb.Acknowledger. Of two states the one asked
// for later is kept.
func (m Majority) WithState(s rosemarylb.EndpointState) rosemarylb.Acknowledger {
	states := make([]rosemarylb.EndpointState, 0, len(m.states)+1)
	for _, known := range m.states {
		if known.ID != s.ID {
			states = append(states, known)
			continue
		}
		if known.AskedAt.After(s.AskedAt) {
			return m
		}
	}
	m.states = append(states, s)
	return m
}

// Confirmed implements rosemarylb.Acknowledger. A replica counts when its
// last entry is of the primary's term, so that its log is the primary's up to
// there, and it had promised no later term when it was asked. The primary
// counts by the answer itself: a position of its own term as its last shows
// that it held no entry of a later term, so none was acknowledged with its
// help before.
func (m Majority) Confirmed(p rosemarylb.Position, since time.Time) bool {
	if p.Term != m.primary.Term {
		return false
	}
	held := 1
	for _, s := range m.states {
		if s.ID != m.primary.Endpoint && m.counts(s, p, since) {
			held++
		}
	}
	return held >= m.need
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

func (m Majority) counts(s rosemarylb.EndpointState, p rosemarylb.Position, since time.Time) bool {
	if s.Term != m.primary.Term || s.Log.Term != m.primary.Term {
		return false
	}
	return s.Log.LSN >= p.LSN && !s.AskedAt.Before(since)
}
