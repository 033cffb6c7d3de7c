package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/pool"
)

// Short names of the pool's states.
const (
	poolOpening = pool.StateOpening
	poolIdle    = pool.StateIdle
	poolLeased  = pool.StateLeased
)

// answered takes an endpoint's whole answer.
func (o *Owner) answered(e answered, now time.Time) {
	k, found := o.desks[e.connection.Endpoint]
	if !found {
		return
	}
	r, found := k.running[e.connection.ID]
	if !found {
		// An answer that nobody asked for: the connection is out of step.
		o.drop(k, e.connection.ID)
		return
	}
	delete(k.running, e.connection.ID)
	o.account(k, r, now)
	if !k.leads && k.state.Applied.Less(e.answer.Position) {
		k.state = k.state.WithApplied(e.answer.Position)
	}
	outcome := o.outcome(k, r, e.answer)
	o.settleConnection(k, r, e.answer, now)
	o.settleOutcome(k, r, e.answer, outcome, now)
	o.dispatch(k, now)
}

func (o *Owner) account(k *desk, r *running, now time.Time) {
	k.queue = k.queue.WithServed(r.request.Rank, now.Sub(r.startedAt))
}

func (o *Owner) outcome(k *desk, r *running, a Answer) rosemarylb.Outcome {
	payload, done := stripParses(a.Payload, len(r.injected))
	l := k.links[r.connection.ID]
	for _, s := range r.injected[:done] {
		l.prepared[s.Name] = struct{}{}
	}
	return rosemarylb.Outcome{
		ID:       r.request.ID,
		Kind:     rosemarylb.OutcomeDone,
		Endpoint: k.spec.ID,
		Position: a.Position,
		State:    k.state,
		Payload:  payload,
	}
}

// settleConnection returns the connection to the pool if it is clean.
func (o *Owner) settleConnection(k *desk, r *running, a Answer, now time.Time) {
	id := r.connection.ID
	if a.Status != 'I' {
		k.pool = k.pool.WithLeased(id, now.Add(leaseSpan))
		return
	}
	if a.TooLarge || len(k.links[id].prepared) > preparedLimit || !k.owned {
		o.drop(k, id)
		return
	}
	k.pool = k.pool.WithIdle(id)
}

// settleOutcome gives the answer out, or holds it until it is confirmed.
func (o *Owner) settleOutcome(k *desk, r *running, a Answer, outcome rosemarylb.Outcome, now time.Time) {
	switch {
	case a.TooLarge && r.request.HasNoSideEffects():
		outcome = rosemarylb.NewNotRun(r.request.ID, rosemarylb.ReasonTooLarge)
	case a.TooLarge:
		outcome = rosemarylb.NewUnknown(r.request.ID, rosemarylb.ReasonTooLarge)
	case a.Status != 'I':
		outcome = outcome.WithLease(r.connection.ID, a.Status == 'E')
	case a.SQLState == stateReadOnly && r.request.Target.Lease == 0:
		outcome = rosemarylb.NewNotRun(r.request.ID, rosemarylb.ReasonReadOnly).WithState(k.state)
	case a.SQLState != "" && r.request.Key != "":
		// The error may tell that the key is recorded: that must be confirmed.
		o.hold(k, r.request, outcome, now)
		return
	case a.SQLState != "" || r.request.Class == rosemarylb.ClassRollback:
		outcome = outcome.WithoutPosition()
	case k.leads || r.request.Class.MayCommit():
		o.hold(k, r.request, outcome, now)
		return
	}
	o.give(outcome)
}

// acknowledge gives out the answer to a request that may have committed. It
// must be confirmed by a majority in the term that the endpoint leads.
func (o *Owner) acknowledge(k *desk, h held) {
	rosemarylb.Invariantf(k.leads && k.acks.Confirmed(h.outcome.Position, h.since),
		"%s acknowledged at %s without a majority", h.request.ID, h.outcome.Position)
	o.give(h.outcome)
}

func (o *Owner) give(outcome rosemarylb.Outcome) {
	switch outcome.Kind {
	case rosemarylb.OutcomeUnknown:
		unknownTotal.Inc()
	case rosemarylb.OutcomeDone:
		servedTotal.Inc()
	default:
		refusedTotal.Inc()
	}
	o.reply(outcome)
}

// hold keeps an answer of the primary until a majority confirms it. A read
// that must be current needs a confirmation asked for after its start.
func (o *Owner) hold(k *desk, r rosemarylb.Request, outcome rosemarylb.Outcome, now time.Time) {
	h := held{
		request: r,
		outcome: outcome,
	}
	if r.Class == rosemarylb.ClassRead && (!r.Floor.Known || r.Linearizable) {
		h.since = r.ArrivedAt
	}
	if k.confirms(h) {
		o.acknowledge(k, h)
		return
	}
	k.held = append(k.held, h)
	o.wish(k, now)
}

// confirms reports whether an answer may be given out.
func (d *desk) confirms(h held) bool {
	return d.leads && d.acks.Confirmed(h.outcome.Position, h.since)
}

// abandon gives the outcome of an answer that can no longer be confirmed.
func abandon(h held) rosemarylb.Outcome {
	if h.request.HasNoSideEffects() {
		return rosemarylb.NewNotRun(h.request.ID, rosemarylb.ReasonWrongTerm)
	}
	return rosemarylb.NewUnknown(h.request.ID, rosemarylb.ReasonPrimaryReplaced)
}

// recheck gives out the held answers that are confirmed by now.
func (o *Owner) recheck(k *desk, now time.Time) {
	var still []held
	lost := !k.leads || k.acks.Replaced()
	for _, h := range k.held {
		switch {
		case k.confirms(h):
			heldSeconds.Update(now.Sub(h.request.ArrivedAt).Seconds())
			o.acknowledge(k, h)
		case lost:
			o.give(abandon(h))
		default:
			still = append(still, h)
		}
	}
	k.held = still
	if len(still) > 0 {
		o.wish(k, now)
	}
}

// observed takes an endpoint's state: as a replica's, for the reads that wait
// here, and as a confirmation for the primary of its database.
func (o *Owner) observed(s rosemarylb.EndpointState, now time.Time) {
	spec, found := o.view.Load().ServiceConfig.Endpoint(s.ID)
	if !found {
		return
	}
	for _, k := range o.desks {
		if k.spec.Database != spec.Database {
			continue
		}
		k.acks = k.acks.WithState(s)
		if k.spec.ID == s.ID {
			k.state = s
			o.admitWaiting(k, now)
		}
		o.recheck(k, now)
	}
}

func (o *Owner) admitWaiting(k *desk, now time.Time) {
	var still []rosemarylb.Request
	for _, r := range k.waiting {
		if k.satisfies(r) {
			o.enqueue(k, r, now)
			continue
		}
		still = append(still, r)
	}
	k.waiting = still
	if len(still) > 0 {
		o.wish(k, now)
	}
	o.dispatch(k, now)
}

func (o *Owner) appointed(p rosemarylb.Primary, now time.Time) {
	for _, k := range o.desks {
		if k.spec.Database == p.Database {
			o.appoint(k, p, now)
		}
	}
}

// appoint makes a desk follow a primary of a later term.
func (o *Owner) appoint(k *desk, p rosemarylb.Primary, now time.Time) {
	if !p.Supersedes(k.primary) {
		return
	}
	k.primary = p
	k.leads = p.Endpoint == k.spec.ID
	k.acks = k.acks.WithPrimary(p)
	o.recheck(k, now)
	o.refuseQueued(k, rosemarylb.ReasonWrongTerm, now)
	o.dropOutdated(k)
	if !k.leads {
		return
	}
	for _, r := range k.waiting {
		o.refuse(r, rosemarylb.ReasonWrongTerm, k)
	}
	k.waiting = nil
}
