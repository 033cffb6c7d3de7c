package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/pool"
)

// Aliases of the pool's connection states.
const (
	poolOpening = pool.StateOpening
	poolIdle    = pool.StateIdle
	poolPinned  = pool.StatePinned
)

// handleResponse handles the complete response to a request: it returns the
// connection to the pool and answers the request or holds the answer.
func (o *Owner) handleResponse(e responseReceived, now time.Time) {
	se, found := o.endpoints[e.connection.Endpoint]
	if !found {
		return
	}
	r, found := se.running[e.connection.ID]
	if !found {
		// No request is running on the connection, so the protocol is out of sync.
		o.dropConnection(se, e.connection.ID)
		return
	}
	delete(se.running, e.connection.ID)
	o.recordServiceTime(se, r, now)
	if !se.isPrimary && se.state.Applied.Less(e.response.Position) {
		se.state = se.state.WithApplied(e.response.Position)
	}
	outcome := o.newOutcome(se, r, e.response)
	o.returnConnection(se, r, e.response, now)
	o.completeOrHold(se, r, e.response, outcome, now)
	o.dispatch(se, now)
}

func (o *Owner) recordServiceTime(se *servedEndpoint, r *runningRequest, now time.Time) {
	se.queue = se.queue.WithServed(r.request, now.Sub(r.startedAt))
}

func (o *Owner) newOutcome(se *servedEndpoint, r *runningRequest, response Response) rosemarylb.Outcome {
	payload, prepared := stripParseCompletes(response.Payload, len(r.injectedStatements))
	pooled := se.connections[r.connection.ID]
	for _, s := range r.injectedStatements[:prepared] {
		pooled.preparedStatements[s.Name] = struct{}{}
	}
	return rosemarylb.Outcome{
		ID:       r.request.ID,
		Kind:     rosemarylb.OutcomeDone,
		Endpoint: se.spec.ID,
		Position: response.Position,
		State:    se.state,
		Payload:  payload,
	}
}

// returnConnection returns a connection to the pool after a response. It stays
// pinned to its session while a transaction is open, and is closed if the response
// was too large, too many statements are prepared on it, or the endpoint is no
// longer owned here.
func (o *Owner) returnConnection(se *servedEndpoint, r *runningRequest, response Response, now time.Time) {
	id := r.connection.ID
	if response.Status != 'I' {
		se.pool = se.pool.WithPinned(id, now.Add(idleTransactionTimeout))
		return
	}
	if response.TooLarge || len(se.connections[id].preparedStatements) > maxPreparedStatements || !se.owned {
		o.dropConnection(se, id)
		return
	}
	se.pool = se.pool.WithIdle(id)
}

// completeOrHold answers a request, or holds its answer until it is confirmed.
func (o *Owner) completeOrHold(
	se *servedEndpoint, r *runningRequest, response Response, outcome rosemarylb.Outcome, now time.Time,
) {
	switch {
	case response.TooLarge && r.request.HasNoSideEffects():
		outcome = rosemarylb.NewNotRun(r.request.ID, rosemarylb.ReasonTooLarge)
	case response.TooLarge:
		outcome = rosemarylb.NewUnknown(r.request.ID, rosemarylb.ReasonTooLarge)
	case response.Status != 'I':
		outcome = outcome.WithPinnedConnection(r.connection.ID, response.Status == 'E')
	case response.SQLState == sqlStateReadOnly && r.request.Target.PinnedConnection == 0:
		outcome = rosemarylb.NewNotRun(r.request.ID, rosemarylb.ReasonReadOnly).WithState(se.state)
	case response.SQLState != "" && r.request.Key != "":
		// The error may mean that the idempotency key is already recorded, which
		// has to be confirmed like a commit.
		o.holdUntilConfirmed(se, r.request, outcome, now)
		return
	case response.SQLState != "" || r.request.Class == rosemarylb.ClassRollback:
		outcome = outcome.WithoutPosition()
	case se.isPrimary || r.request.Class.MayCommit():
		o.holdUntilConfirmed(se, r.request, outcome, now)
		return
	}
	o.complete(outcome)
}

// acknowledge sends the answer to a request that may have committed. A majority
// must have confirmed it in the term in which the endpoint is the primary.
func (o *Owner) acknowledge(se *servedEndpoint, answer unconfirmedAnswer) {
	rosemarylb.Invariantf(se.isPrimary && se.acknowledger.Confirmed(answer.outcome.Position, answer.confirmedSince),
		"%s acknowledged at %s without a majority", answer.request.ID, answer.outcome.Position)
	o.complete(answer.outcome)
}

func (o *Owner) complete(outcome rosemarylb.Outcome) {
	switch outcome.Kind {
	case rosemarylb.OutcomeUnknown:
		unknownOutcomes.Inc()
	case rosemarylb.OutcomeDone:
		servedRequests.Inc()
	default:
		rejectedRequests.Inc()
	}
	o.reply(outcome)
}

// holdUntilConfirmed holds an answer of the primary until a majority confirms it. A
// linearizable read, or one without a floor, needs a confirmation that was requested
// after the read arrived.
func (o *Owner) holdUntilConfirmed(
	se *servedEndpoint, r rosemarylb.Request, outcome rosemarylb.Outcome, now time.Time,
) {
	answer := unconfirmedAnswer{
		request: r,
		outcome: outcome,
	}
	if r.Class == rosemarylb.ClassRead && (!r.Floor.Known || r.Linearizable) {
		answer.confirmedSince = r.ArrivedAt
	}
	if se.isConfirmed(answer) {
		o.acknowledge(se, answer)
		return
	}
	se.unconfirmed = append(se.unconfirmed, answer)
	o.requestFastProbes(se, now)
}

// isConfirmed reports whether a majority has confirmed an answer, so that it may be
// sent.
func (se *servedEndpoint) isConfirmed(answer unconfirmedAnswer) bool {
	return se.isPrimary && se.acknowledger.Confirmed(answer.outcome.Position, answer.confirmedSince)
}

// unconfirmedOutcome returns the outcome of a request whose answer can no longer be
// confirmed: unknown if it may have had side effects, otherwise not run.
func unconfirmedOutcome(answer unconfirmedAnswer) rosemarylb.Outcome {
	if answer.request.HasNoSideEffects() {
		return rosemarylb.NewNotRun(answer.request.ID, rosemarylb.ReasonWrongTerm)
	}
	return rosemarylb.NewUnknown(answer.request.ID, rosemarylb.ReasonPrimaryReplaced)
}

// recheckUnconfirmed sends the held answers that are now confirmed. When the
// endpoint is no longer the primary, or another endpoint has promised a later term,
// it completes the others with unconfirmedOutcome.
func (o *Owner) recheckUnconfirmed(se *servedEndpoint, now time.Time) {
	var remaining []unconfirmedAnswer
	superseded := !se.isPrimary || se.acknowledger.Replaced()
	for _, answer := range se.unconfirmed {
		switch {
		case se.isConfirmed(answer):
			acknowledgementSeconds.Update(now.Sub(answer.request.ArrivedAt).Seconds())
			o.acknowledge(se, answer)
		case superseded:
			o.complete(unconfirmedOutcome(answer))
		default:
			remaining = append(remaining, answer)
		}
	}
	se.unconfirmed = remaining
	if len(remaining) > 0 {
		o.requestFastProbes(se, now)
	}
}

// applyState applies the state of an endpoint: it may let waiting reads of that
// endpoint run, and may confirm answers of its database's primary.
func (o *Owner) applyState(s rosemarylb.EndpointState, now time.Time) {
	spec, found := o.view.Load().ServiceConfig.Endpoint(s.ID)
	if !found {
		return
	}
	for _, se := range o.endpoints {
		if se.spec.Database != spec.Database {
			continue
		}
		se.acknowledger = se.acknowledger.WithState(s)
		if se.spec.ID == s.ID {
			se.state = s
			o.enqueueFreshReads(se, now)
		}
		o.recheckUnconfirmed(se, now)
	}
}

func (o *Owner) enqueueFreshReads(se *servedEndpoint, now time.Time) {
	var remaining []rosemarylb.Request
	for _, r := range se.waitingReads {
		if se.isFreshEnough(r) {
			o.enqueue(se, r, now)
			continue
		}
		remaining = append(remaining, r)
	}
	se.waitingReads = remaining
	if len(remaining) > 0 {
		o.requestFastProbes(se, now)
	}
	o.dispatch(se, now)
}

func (o *Owner) applyPrimary(p rosemarylb.Primary, now time.Time) {
	for _, se := range o.endpoints {
		if se.spec.Database == p.Database {
			o.setPrimary(se, p, now)
		}
	}
}

// setPrimary records a primary of a later term: it rechecks the held answers,
// rejects the queued requests, and drops the connections of the earlier term. An
// endpoint that becomes the primary also rejects its waiting reads.
func (o *Owner) setPrimary(se *servedEndpoint, p rosemarylb.Primary, now time.Time) {
	if !p.Supersedes(se.primary) {
		return
	}
	se.primary = p
	se.isPrimary = p.Endpoint == se.spec.ID
	se.acknowledger = se.acknowledger.WithPrimary(p)
	o.recheckUnconfirmed(se, now)
	o.rejectQueued(se, rosemarylb.ReasonWrongTerm, now)
	o.dropOutdatedConnections(se)
	if !se.isPrimary {
		return
	}
	for _, r := range se.waitingReads {
		o.reject(r, rosemarylb.ReasonWrongTerm, se)
	}
	se.waitingReads = nil
}
