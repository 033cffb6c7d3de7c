package quota

import (
	"slices"
	"time"
)

// member is what the keeper knows of an instance that has sent a request.
type member struct {
	process    uint64
	sequence   uint64
	receivedAt time.Time
	// acknowledgedAt is when the last request was received whose reply is known to have
	// arrived, zero for none.
	acknowledgedAt time.Time
	// silent is true while the instance may use its standing rates.
	silent bool
	// holdings are the teams for which the instance may hold a standing rate or has
	// reported a demand.
	holdings []holding
}

// holding is what an instance may hold and has reported for a team.
type holding struct {
	team           string
	standingMillis int64
	demandMillis   int64
}

// isStale reports whether a request is not later than the last one of the member.
func (m member) isStale(r Request) bool {
	if r.Process != m.process {
		return r.Process < m.process
	}
	return r.Sequence <= m.sequence
}

// withRequest records the receipt of a request.
func (m member) withRequest(r Request, now time.Time) member {
	switch {
	case !r.holdsStanding():
		// The earliest use is that of a rate in the reply to this request.
		m.acknowledgedAt = now
	case r.Process != m.process:
		m.acknowledgedAt = time.Time{}
	case r.Acknowledged == m.sequence:
		m.acknowledgedAt = m.receivedAt
	}
	m.process = r.Process
	m.sequence = r.Sequence
	m.receivedAt = now
	m.silent = m.isSilent(now)
	m.holdings = nil
	return m
}

// withHoldingTaken removes the holding for a team and returns it, the zero value if
// there is none.
func (m member) withHoldingTaken(team string) (holding, member) {
	for i, h := range m.holdings {
		if h.team == team {
			m.holdings = slices.Delete(slices.Clone(m.holdings), i, i+1)
			return h, m
		}
	}
	return holding{}, m
}

// isSilent reports whether the member may begin to use its standing rates before the
// next sweep that may follow.
func (m member) isSilent(now time.Time) bool {
	return !now.Before(m.acknowledgedAt.Add(acknowledgeTimeout - sweepInterval - maxAdvanceGap))
}

// isExpired reports whether all standing rates of the member have expired.
func (m member) isExpired(now time.Time) bool {
	return !now.Before(m.receivedAt.Add(standingLifetime))
}

// holdsStanding reports whether an instance holds a standing rate.
func (r Request) holdsStanding() bool {
	for _, d := range r.Demands {
		if d.StandingMillis > 0 {
			return true
		}
	}
	return false
}
