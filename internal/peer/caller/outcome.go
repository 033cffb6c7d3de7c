package caller

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/session"
)

// checkInFlight routes a request again once its retry is due. It ends a request
// whose deadline and grace period have passed or whose owner is dead.
func (sm *SessionManager) checkInFlight(c *client, v rosemarylb.View, now time.Time) {
	r, _ := c.session.RequestInFlight()
	if !c.retryAt.IsZero() {
		if !now.Before(c.retryAt) {
			sm.route(c, r, now)
		}
		return
	}
	if now.After(r.Deadline.Add(outcomeGracePeriod)) {
		sm.handleOutcome(outcomeWithoutReply(r, rosemarylb.ReasonDeadline), now)
		return
	}
	if m, found := v.Member(r.Target.Owner); found && m.Status == rosemarylb.MemberDead {
		sm.handleOutcome(outcomeWithoutReply(r, rosemarylb.ReasonLost), now)
	}
}

// outcomeWithoutReply returns the outcome of a request that was sent and got no
// reply. Only a request that may commit has an unknown outcome.
func outcomeWithoutReply(r rosemarylb.Request, reason rosemarylb.Reason) rosemarylb.Outcome {
	switch r.Class {
	case rosemarylb.ClassRead:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonUnreachable)
	case rosemarylb.ClassInTransaction, rosemarylb.ClassRollback, rosemarylb.ClassBegin:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonPinnedConnectionLost)
	default:
		return rosemarylb.NewUnknown(r.ID, reason)
	}
}

// handleOutcome replies to the caller with an outcome, or retries the request. It
// discards an outcome that belongs to no request in flight.
func (sm *SessionManager) handleOutcome(o rosemarylb.Outcome, now time.Time) {
	sm.endpoints.update(o, now)
	c, found := sm.clients[o.ID.Session]
	if !found {
		sm.discardOutcome(o)
		return
	}
	r, active := c.session.RequestInFlight()
	if !active || r.ID != o.ID || !c.retryAt.IsZero() {
		sm.discardOutcome(o)
		return
	}
	s, action := c.session.WithOutcome(o, now)
	if action.Retry && action.WasSent {
		var allowed bool
		sm.retryBudget, allowed = sm.retryBudget.WithRetry()
		if !allowed {
			s, action = c.session.WithFinalOutcome(o, now)
		}
	}
	if action.Retry {
		sm.retry(c, s, action, now)
		return
	}
	c.session = s
	delete(sm.inFlight, s.ID())
	requestSeconds[r.Rank].Update(now.Sub(r.ArrivedAt).Seconds())
	sm.reply(c, r, action)
	c.socket.release(c.currentCommand)
	c.currentCommand = command{}
	sm.startPipelined(c, now)
}

// retry routes the request again, at once or at action.RetryAt. The request
// gets a new identity, so that a late outcome of the earlier attempt is not taken
// for that of the new one.
func (sm *SessionManager) retry(c *client, s session.Session, action session.Action, now time.Time) {
	retriedTotal.Inc()
	r, _ := s.RequestInFlight()
	sm.lastSequence++
	r = r.WithID(rosemarylb.RequestID{
		Instance: sm.self,
		Session:  s.ID(),
		Sequence: sm.lastSequence,
	}).WithTarget(rosemarylb.Target{})
	c.session = s.WithRequestInFlight(r)
	if now.Before(action.RetryAt) {
		c.retryAt = action.RetryAt
		return
	}
	sm.route(c, r, now)
}

// discardOutcome drops an outcome that no session awaits, and ends the
// transaction that the request may have left open.
func (sm *SessionManager) discardOutcome(o rosemarylb.Outcome) {
	discardedTotal.Inc()
	if o.PinnedConnection == 0 {
		return
	}
	sm.releaseConnection(o.ID, rosemarylb.Target{
		Endpoint:         o.Endpoint,
		PinnedConnection: o.PinnedConnection,
	})
}

func (sm *SessionManager) releaseConnection(id rosemarylb.RequestID, t rosemarylb.Target) {
	sm.dispatcher.Release(id, t)
}

func (sm *SessionManager) reply(c *client, r rosemarylb.Request, action session.Action) {
	if action.Outcome.Kind != rosemarylb.OutcomeDone {
		write(c.socket, outcomeError(action.Outcome, action.Status))
		return
	}
	countRead(r)
	c.servedBy = servingEndpoint(action.Outcome, r)
	payload := action.Outcome.Payload
	if r.Key != "" {
		var duplicate bool
		payload, duplicate = stripKeyInsertReply(payload, c.currentCommand.simple)
		if duplicate {
			write(c.socket, duplicateReply(c.currentCommand, action.Status))
			return
		}
	}
	payload = restoreReplyTypes(payload, c.currentCommand.closeCompleteTypes)
	if floor := c.session.Floor(); floor.Known && r.Class.MayCommit() {
		payload = append(encode(parameterStatus(floorParameter, floor.Position.String())), payload...)
	}
	write(c.socket, payload)
}

// servingEndpoint returns the name of the endpoint that served a request and its
// role, as SHOW rosemarylb.endpoint prints them.
func servingEndpoint(o rosemarylb.Outcome, r rosemarylb.Request) string {
	if r.Target.Term == 0 {
		return string(o.Endpoint) + " replica"
	}
	return string(o.Endpoint) + " primary"
}

func countRead(r rosemarylb.Request) {
	if r.Class != rosemarylb.ClassRead {
		return
	}
	if r.Target.Term == 0 {
		replicaReadsTotal.Inc()
		return
	}
	primaryReadsTotal.Inc()
}
