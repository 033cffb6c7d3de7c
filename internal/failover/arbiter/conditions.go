package arbiter

import (
	"time"

	"rosemarylb"
)

// electionDue reports whether an election has to start now: the primary has failed, is
// leaving or has been superseded by a later term, and a majority is reachable.
func (e Election) electionDue(now time.Time) bool {
	if now.Before(e.nextElectionAt) || e.reachableCount(now) < e.database.Quorum() {
		return false
	}
	if e.primary.Term == 0 {
		return e.allAnsweredOrTimedOut(now)
	}
	if !e.laterTermSince.IsZero() && now.Sub(e.laterTermSince) >= laterTermTimeout {
		return true
	}
	m, found := e.member(e.primary.Endpoint)
	if !found || m.spec.Leaving && e.stayingCount(now) >= e.database.Quorum() {
		return true
	}
	if m.failedProbes >= failedProbeLimit && now.Sub(m.lastAnswerAt) >= failedProbeRetryInterval {
		return true
	}
	silentSince := m.lastAnswerAt
	if silentSince.Before(e.startedAt) {
		silentSince = e.startedAt
	}
	return now.Sub(silentSince) >= silenceTimeout
}

// withLaterTerm records since when an endpoint has been in a later term than the
// primary, as after a proposer that failed between its fences and the promotion. Such
// an endpoint confirms nothing to the primary until there is a primary of a later
// term.
func (e Election) withLaterTerm(now time.Time) Election {
	for _, m := range e.members {
		if m.state.Term <= e.primary.Term {
			continue
		}
		if e.laterTermSince.IsZero() {
			e.laterTermSince = now
		}
		return e
	}
	e.laterTermSince = time.Time{}
	return e
}

// allAnsweredOrTimedOut reports whether every endpoint has answered or had the time to,
// so that an existing primary would have been found.
func (e Election) allAnsweredOrTimedOut(now time.Time) bool {
	if now.Sub(e.startedAt) >= silenceTimeout {
		return true
	}
	for _, m := range e.members {
		if !m.answered {
			return false
		}
	}
	return true
}

// stayingCount returns the number of endpoints that answer probes and are not leaving.
func (e Election) stayingCount(now time.Time) int {
	count := 0
	for _, m := range e.members {
		if !m.spec.Leaving && m.isReachable(now) {
			count++
		}
	}
	return count
}

// isVoter reports whether an endpoint takes part in elections. A leaving endpoint takes
// part only where the others that answer are not a majority, as it should not be promoted.
func (e Election) isVoter(m memberState, now time.Time) bool {
	return !m.spec.Leaving || e.stayingCount(now) < e.database.Quorum()
}

// grants returns the number of endpoints that have granted the proposed term.
func (e Election) grants() int {
	count := 0
	for _, m := range e.members {
		if m.grantedTerm == e.proposedTerm {
			count++
		}
	}
	return count
}

// bestCandidate returns the endpoint with the latest log among those that
// granted the proposed term. Terms are compared before log sequence numbers.
func (e Election) bestCandidate() rosemarylb.EndpointID {
	var best memberState
	for _, m := range e.members {
		if m.grantedTerm != e.proposedTerm {
			continue
		}
		if best.spec.ID == "" || hasLaterLog(m, best) {
			best = m
		}
	}
	return best.spec.ID
}

func hasLaterLog(m, best memberState) bool {
	return best.state.Log.Less(m.state.Log)
}

// mustFollowPrimary reports whether an endpoint needs a command to replicate from the
// primary: it is in no later term, and its log has no entry of the primary's term.
func (e Election) mustFollowPrimary(m memberState) bool {
	if !m.answered || m.spec.ID == e.primary.Endpoint || e.primary.Term == 0 {
		return false
	}
	return m.state.Term <= e.primary.Term && m.state.Log.Term < e.primary.Term
}

// reachableCount returns the number of endpoints that answer probes.
func (e Election) reachableCount(now time.Time) int {
	count := 0
	for _, m := range e.members {
		if m.isReachable(now) {
			count++
		}
	}
	return count
}

func (m memberState) isReachable(now time.Time) bool {
	return m.answered && m.failedProbes < failedProbeLimit && now.Sub(m.lastAnswerAt) < silenceTimeout
}
