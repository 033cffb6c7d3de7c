package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// waitingAlarm is how long a query may wait for its answer before the keeper
	// hears of it.
	waitingAlarm = 400 * time.Millisecond
	// failureSpan is how long a failure counts that nothing follows: twice the
	// time in which a connection that cannot be opened is given up.
	failureSpan = 2 * openTimeout
)

// Observation is what this instance has seen of a group's primary.
type Observation struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Primary is the endpoint that it is about.
	Primary rosemarylb.EndpointID
	// AnsweredAt is when the last query that was answered was sent.
	AnsweredAt time.Time
	// FailingAt is when the first failure after that was seen.
	FailingAt time.Time
	// FailedAt is when the last one was seen.
	FailedAt time.Time
}

// withAnswer returns the observation told of the answer to a query.
func (s Observation) withAnswer(primary rosemarylb.EndpointID, sentAt time.Time) Observation {
	if s.Primary == primary && !sentAt.After(s.AnsweredAt) {
		return s
	}
	s.Primary = primary
	s.AnsweredAt = sentAt
	s.FailingAt = time.Time{}
	s.FailedAt = time.Time{}
	return s
}

// withFailure returns the observation told of a failure.
func (s Observation) withFailure(primary rosemarylb.EndpointID, now time.Time) Observation {
	if s.Primary != primary {
		s.Primary = primary
		s.AnsweredAt = time.Time{}
		s.FailingAt = time.Time{}
	}
	if s.FailingAt.IsZero() {
		s.FailingAt = now
	}
	s.FailedAt = now
	return s
}

// withoutOldFailure returns the observation without a failure that nothing has
// followed: what was tried since is unknown.
func (s Observation) withoutOldFailure(now time.Time) Observation {
	if now.Sub(s.FailedAt) > failureSpan {
		s.FailingAt = time.Time{}
	}
	return s
}

// observation returns what was seen of a group's primary; a query that waits long
// for its answer counts as a failure.
func (p *Proxy) observation(g *group, now time.Time) Observation {
	s := g.observation.withoutOldFailure(now)
	l, found := p.pools[g.permit.Primary]
	if !found || s.Primary != g.permit.Primary || !s.FailingAt.IsZero() {
		return s
	}
	for _, k := range l.links {
		if k.state == linkBusy && k.job != nil && k.job.sentAt.After(s.AnsweredAt) &&
			now.Sub(k.job.sentAt) > waitingAlarm {
			return s.withFailure(s.Primary, k.job.sentAt)
		}
	}
	return s
}
