package arbiter

import (
	"time"

	"rosemarylb"
)

// mustElect reports whether the primary is lost and a majority can be asked.
func (e Election) mustElect(now time.Time) bool {
	if now.Before(e.notBefore) || e.reachable(now) < e.database.Quorum() {
		return false
	}
	if e.primary.Term == 0 {
		return e.settled(now)
	}
	if !e.strayedAt.IsZero() && now.Sub(e.strayedAt) >= strayLimit {
		return true
	}
	m, found := e.member(e.primary.Endpoint)
	if !found || m.spec.Leaving {
		return e.staying() >= e.database.Quorum()
	}
	if m.refusals >= refusalLimit && now.Sub(m.answeredAt) >= suspectInterval {
		return true
	}
	silentSince := m.answeredAt
	if silentSince.Before(e.watchedSince) {
		silentSince = e.watchedSince
	}
	return now.Sub(silentSince) >= silenceLimit
}

// withStray notes since when an endpoint has promised a later term than the
// primary's, as after a proposer that died between fences and promotion. Such
// an endpoint confirms nothing until a later promotion takes it in.
func (e Election) withStray(now time.Time) Election {
	for _, m := range e.members {
		if m.state.Term <= e.primary.Term {
			continue
		}
		if e.strayedAt.IsZero() {
			e.strayedAt = now
		}
		return e
	}
	e.strayedAt = time.Time{}
	return e
}

// settled reports whether every endpoint has been asked, or had the time to
// answer, so that a standing primary would have been found.
func (e Election) settled(now time.Time) bool {
	if now.Sub(e.watchedSince) >= silenceLimit {
		return true
	}
	for _, m := range e.members {
		if !m.seen {
			return false
		}
	}
	return true
}

// staying returns how many endpoints are not leaving.
func (e Election) staying() int {
	count := 0
	for _, m := range e.members {
		if !m.spec.Leaving {
			count++
		}
	}
	return count
}

// votes reports whether an endpoint is asked for a term. A leaving endpoint
// is asked only where the others are no majority, so that it is not chosen.
func (e Election) votes(m member) bool {
	return !m.spec.Leaving || e.staying() < e.database.Quorum()
}

func (e Election) grants() int {
	count := 0
	for _, m := range e.members {
		if m.granted == e.term {
			count++
		}
	}
	return count
}

// bestCandidate returns the endpoint with the latest log among those that
// granted the term. Terms are compared before log sequence numbers.
func (e Election) bestCandidate() rosemarylb.EndpointID {
	var best member
	for _, m := range e.members {
		if m.granted != e.term {
			continue
		}
		if best.spec.ID == "" || better(m, best) {
			best = m
		}
	}
	return best.spec.ID
}

func better(m, best member) bool {
	return best.state.Log.Less(m.state.Log)
}

// mustFollow reports whether an endpoint was seen in an earlier term than the
// primary's, or without an entry of it.
func (e Election) mustFollow(m member) bool {
	if !m.seen || m.spec.ID == e.primary.Endpoint || e.primary.Term == 0 {
		return false
	}
	return m.state.Term <= e.primary.Term && m.state.Log.Term < e.primary.Term
}

func (e Election) reachable(now time.Time) int {
	count := 0
	for _, m := range e.members {
		if m.seen && m.refusals < refusalLimit && now.Sub(m.answeredAt) < silenceLimit {
			count++
		}
	}
	return count
}
