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

// Sight is what this instance has seen of a group's primary.
type Sight struct {
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

// withAnswer returns the sight told of the answer to a query.
func (s Sight) withAnswer(primary rosemarylb.EndpointID, sentAt time.Time) Sight {
	if s.Primary == primary && !sentAt.After(s.AnsweredAt) {
		return s
	}
	s.Primary = primary
	s.AnsweredAt = sentAt
	s.FailingAt = time.Time{}
	s.FailedAt = time.Time{}
	return s
}

// withFailure returns the sight told of a failure.
func (s Sight) withFailure(primary rosemarylb.EndpointID, now time.Time) Sight {
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

// withoutOldFailure returns the sight without a failure that nothing has
// followed: what was tried since is unknown.
func (s Sight) withoutOldFailure(now time.Time) Sight {
	if now.Sub(s.FailedAt) > failureSpan {
		s.FailingAt = time.Time{}
	}
	return s
}

// sight returns what was seen of a group's primary; a query that waits long
// for its answer counts as a failure.
func (p *Proxy) sight(g *group, now time.Time) Sight {
	s := g.sight.withoutOldFailure(now)
	l, found := p.lanes[g.permit.Primary]
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
