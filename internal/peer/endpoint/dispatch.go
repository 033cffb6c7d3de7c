package endpoint

import (
	"time"

	"rosemarylb"
)

// enqueue adds a request to the queue. A full queue rejects this request or another
// one.
func (o *Owner) enqueue(se *servedEndpoint, r rosemarylb.Request, now time.Time) {
	q, rejection := se.queue.WithRequest(r, now)
	se.queue = q
	if rejection.Reason != rosemarylb.ReasonNone {
		o.reject(rejection.Request, rejection.Reason, se)
	}
}

// dispatch sends queued requests while slots are free.
func (o *Owner) dispatch(se *servedEndpoint, now time.Time) {
	for len(se.running) < se.spec.Slots && o.dispatchNext(se, now) {
	}
}

// dispatchNext takes the next request from the queue and sends or rejects it. It
// returns false when no request can be sent now.
func (o *Owner) dispatchNext(se *servedEndpoint, now time.Time) bool {
	if !hasQueued(se.queue) || !se.mayTakeConnection() {
		return false
	}
	idle, found := se.pool.IdleConnection()
	if !found {
		o.openConnection(se, now)
		return false
	}
	next, rest := se.queue.Next(now, nil)
	se.queue = rest
	for _, r := range next.Expired {
		o.reject(r, rosemarylb.ReasonDeadline, se)
	}
	if !next.Found {
		return false
	}
	if reason := o.admit(se, next.Request, now); reason != rosemarylb.ReasonNone {
		o.reject(next.Request, reason, se)
		return true
	}
	o.sendRequest(se, next.Request, idle.ID, now)
	return true
}

// openConnection opens one more connection, unless the endpoint is not owned here,
// the pool is at its limit or in backoff, or as many connections are opening as the
// endpoint has slots.
func (o *Owner) openConnection(se *servedEndpoint, now time.Time) {
	if !se.owned || !se.pool.MayOpen(now) || se.pool.Count(poolOpening) >= se.spec.Slots {
		return
	}
	c := o.loops.Open(se.spec, dataApplicationName(o.view.Load().Self.ID), o)
	if c == nil {
		return
	}
	se.pool = se.pool.WithOpening(c.ID, now.Add(startupTimeout))
	se.connections[c.ID] = &pooledConnection{
		connection:         c,
		preparedStatements: map[string]struct{}{},
	}
}

// sendRequest sends a request on a connection, preceded by the statements that are
// not yet prepared on it. From here on the request may have an effect.
func (o *Owner) sendRequest(se *servedEndpoint, r rosemarylb.Request, id uint64, now time.Time) {
	pooled := se.connections[id]
	var missing []rosemarylb.Statement
	for _, s := range r.Statements {
		if _, prepared := pooled.preparedStatements[s.Name]; !prepared {
			missing = append(missing, s)
		}
	}
	prefix, err := encodeParses(missing)
	if err != nil {
		o.reject(r, rosemarylb.ReasonTooLarge, se)
		return
	}
	se.pool = se.pool.WithBusy(id, r)
	se.running[id] = &runningRequest{
		request:            r,
		connection:         pooled.connection,
		injectedStatements: missing,
		startedAt:          now,
	}
	pooled.connection.Send(append(prefix, r.Payload...))
}

// reject answers that a request was not run, with the last known state of the
// endpoint; se is nil when the endpoint is unknown.
func (o *Owner) reject(r rosemarylb.Request, reason rosemarylb.Reason, se *servedEndpoint) {
	rejectedRequests.Inc()
	outcome := rosemarylb.NewNotRun(r.ID, reason)
	if se != nil {
		outcome = outcome.WithState(se.state).WithEndpoint(se.spec.ID)
	}
	o.reply(outcome)
}

// requestFastProbes requests fast probes of the database's endpoints, at most once
// in half of fastProbeDuration.
func (o *Owner) requestFastProbes(se *servedEndpoint, now time.Time) {
	if now.Before(se.nextProbeRequestAt) {
		return
	}
	se.nextProbeRequestAt = now.Add(fastProbeDuration / 2)
	o.requestProbes(FastProbesRequested{
		Database: se.spec.Database,
	})
}
