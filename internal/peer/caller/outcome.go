package caller

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/session"
)

// check settles a request whose answer cannot come any more, or routes it
// again when its time has come.
func (e *Edge) check(c *client, v rosemarylb.View, now time.Time) {
	r, _ := c.session.RequestInFlight()
	if !c.retryAt.IsZero() {
		if !now.Before(c.retryAt) {
			e.route(c, r, now)
		}
		return
	}
	if now.After(r.Deadline.Add(answerSlack)) {
		e.settled(unanswered(r, rosemarylb.ReasonDeadline), now)
		return
	}
	if m, found := v.Member(r.Target.Owner); found && m.Status == rosemarylb.MemberDead {
		e.settled(unanswered(r, rosemarylb.ReasonLost), now)
	}
}

// unanswered is the outcome of a request that was sent and never answered.
func unanswered(r rosemarylb.Request, reason rosemarylb.Reason) rosemarylb.Outcome {
	switch r.Class {
	case rosemarylb.ClassRead:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonUnreachable)
	case rosemarylb.ClassInTransaction, rosemarylb.ClassRollback, rosemarylb.ClassBegin:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonLeaseLost)
	default:
		return rosemarylb.NewUnknown(r.ID, reason)
	}
}

// settled takes an outcome: it answers the caller, or tries again.
func (e *Edge) settled(o rosemarylb.Outcome, now time.Time) {
	e.known.learn(o, now)
	c, found := e.clients[o.ID.Session]
	if !found {
		e.stray(o)
		return
	}
	r, active := c.session.RequestInFlight()
	if !active || r.ID != o.ID || !c.retryAt.IsZero() {
		e.stray(o)
		return
	}
	s, v := c.session.WithOutcome(o, now)
	if v.Retry && v.WasSent {
		var allowed bool
		e.budget, allowed = e.budget.WithRetry()
		if !allowed {
			s, v = c.session.WithFinalOutcome(o, now)
		}
	}
	if v.Retry {
		e.retry(c, s, v, now)
		return
	}
	c.session = s
	delete(e.flying, s.ID())
	requestTime[r.Rank].Update(now.Sub(r.ArrivedAt).Seconds())
	e.answer(c, r, v)
	e.next(c, now)
}

// retry gives the request a new identity, so that a late answer to the former
// try is not taken for the new one's.
func (e *Edge) retry(c *client, s session.Session, v session.Action, now time.Time) {
	retriedTotal.Inc()
	r, _ := s.RequestInFlight()
	e.sequence++
	r = r.WithID(rosemarylb.RequestID{
		Instance: e.self,
		Session:  s.ID(),
		Sequence: e.sequence,
	}).WithTarget(rosemarylb.Target{})
	c.session = s.WithRequestInFlight(r)
	if now.Before(v.RetryAt) {
		c.retryAt = v.RetryAt
		return
	}
	e.route(c, r, now)
}

// stray drops an answer that nobody awaits, and ends the transaction that it
// may have left open.
func (e *Edge) stray(o rosemarylb.Outcome) {
	strayTotal.Inc()
	if o.Lease == 0 {
		return
	}
	e.release(o.ID, rosemarylb.Target{
		Endpoint: o.Endpoint,
		Lease:    o.Lease,
	})
}

func (e *Edge) release(id rosemarylb.RequestID, t rosemarylb.Target) {
	e.fleet.Release(id, t)
}

func (e *Edge) answer(c *client, r rosemarylb.Request, v session.Action) {
	if v.Outcome.Kind != rosemarylb.OutcomeDone {
		write(c.socket, failure(v.Outcome, v.Status))
		return
	}
	countRead(r)
	c.served = servedBy(v.Outcome, r)
	payload := v.Outcome.Payload
	if r.Key != "" {
		var recorded bool
		payload, recorded = stripKey(payload, c.current.simple)
		if recorded {
			write(c.socket, settled(c.current, v.Status))
			return
		}
	}
	payload = restore(payload, c.current.completes)
	if floor := c.session.Floor(); floor.Known && r.Class.MayCommit() {
		payload = append(encode(parameterStatus(floorParameter, floor.Position.String())), payload...)
	}
	write(c.socket, payload)
}

// servedBy names the endpoint that served a request, and its role.
func servedBy(o rosemarylb.Outcome, r rosemarylb.Request) string {
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
		replicaReads.Inc()
		return
	}
	primaryReads.Inc()
}
