package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// slowQueryThreshold is the time without a reply from the primary after
	// which a query is reported to the keeper as a failure.
	slowQueryThreshold = 400 * time.Millisecond
	// failureExpiry is how long a failure counts if no other follows: twice the
	// timeout of a connection attempt.
	failureExpiry = 2 * openTimeout
)

// Observation is the health of the primary of a group, as seen by this
// instance.
type Observation struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Primary is the observed endpoint.
	Primary rosemarylb.EndpointID
	// AnsweredAt is the send time of the latest answered query.
	AnsweredAt time.Time
	// FirstFailureAt is the time of the first failure after AnsweredAt, zero if
	// there is none.
	FirstFailureAt time.Time
	// LastFailureAt is the time of the latest failure after AnsweredAt.
	LastFailureAt time.Time
}

// withAnswer returns the observation after the answer to a query sent at
// sentAt, which clears earlier failures.
func (o Observation) withAnswer(primary rosemarylb.EndpointID, sentAt time.Time) Observation {
	if o.Primary == primary && !sentAt.After(o.AnsweredAt) {
		return o
	}
	o.Primary = primary
	o.AnsweredAt = sentAt
	o.FirstFailureAt = time.Time{}
	o.LastFailureAt = time.Time{}
	return o
}

// withFailure returns the observation after a failure at the given time.
func (o Observation) withFailure(primary rosemarylb.EndpointID, now time.Time) Observation {
	if o.Primary != primary {
		o.Primary = primary
		o.AnsweredAt = time.Time{}
		o.FirstFailureAt = time.Time{}
	}
	if o.FirstFailureAt.IsZero() {
		o.FirstFailureAt = now
	}
	o.LastFailureAt = now
	return o
}

// withoutExpiredFailure returns the observation without a failure that is older
// than failureExpiry: without later queries, the state of the primary is
// unknown.
func (o Observation) withoutExpiredFailure(now time.Time) Observation {
	if now.Sub(o.LastFailureAt) > failureExpiry {
		o.FirstFailureAt = time.Time{}
	}
	return o
}

// currentObservation returns the observation of the primary of a group. A query
// that has had no reply for slowQueryThreshold counts as a failure.
func (p *Proxy) currentObservation(g *group, now time.Time) Observation {
	o := g.observation.withoutExpiredFailure(now)
	ep, found := p.pools[g.permit.Primary]
	if !found || o.Primary != g.permit.Primary || !o.FirstFailureAt.IsZero() {
		return o
	}
	for _, c := range ep.connections {
		if c.state == connectionBusy && c.current != nil && c.current.sentAt.After(o.AnsweredAt) &&
			now.Sub(c.current.sentAt) > slowQueryThreshold {
			return o.withFailure(o.Primary, c.current.sentAt)
		}
	}
	return o
}
