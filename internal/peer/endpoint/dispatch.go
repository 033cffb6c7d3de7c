package endpoint

import (
	"time"

	"rosemarylb"
)

func (o *Owner) enqueue(k *desk, r rosemarylb.Request, now time.Time) {
	q, within := k.fresh, r.Target.Lease != 0
	if within {
		q = k.within
	}
	q, refusal := q.WithRequest(r, now)
	if refusal.Reason != rosemarylb.ReasonNone {
		o.refuse(refusal.Request, refusal.Reason, k)
	}
	if within {
		k.within = q
	} else {
		k.fresh = q
	}
}

// dispatch runs what open transactions ask for, and gives free slots to new
// requests. A transaction does not wait for a slot: those that hold the slots
// may be waiting for its locks.
func (o *Owner) dispatch(k *desk, now time.Time) {
	for o.dispatchWithin(k, now) {
	}
	for len(k.running) < k.spec.Slots && o.dispatchFresh(k, now) {
	}
}

func (o *Owner) dispatchWithin(k *desk, now time.Time) bool {
	if !waits(k.within) {
		return false
	}
	next, rest := k.within.Next(now)
	k.within = rest
	for _, r := range next.Expired {
		o.refuse(r, rosemarylb.ReasonDeadline, k)
	}
	if !next.Found {
		return false
	}
	if !k.pool.LeasedBy(next.Request.Target.Lease, next.Request.ID) {
		o.refuse(next.Request, rosemarylb.ReasonLeaseGone, k)
		return true
	}
	o.run(k, next.Request, next.Request.Target.Lease, now)
	return true
}

func (o *Owner) dispatchFresh(k *desk, now time.Time) bool {
	if !waits(k.fresh) || !k.mayBegin() {
		return false
	}
	idle, found := k.pool.Idle()
	if !found {
		o.open(k, now)
		return false
	}
	next, rest := k.fresh.Next(now)
	k.fresh = rest
	for _, r := range next.Expired {
		o.refuse(r, rosemarylb.ReasonDeadline, k)
	}
	if !next.Found {
		return false
	}
	if reason := o.admit(k, next.Request, now); reason != rosemarylb.ReasonNone {
		o.refuse(next.Request, reason, k)
		return true
	}
	o.run(k, next.Request, idle.ID, now)
	return true
}

// open starts one more connection unless enough are opening for what waits.
func (o *Owner) open(k *desk, now time.Time) {
	if !k.owned || !k.pool.MayOpen(now) || k.pool.Count(poolOpening) >= k.spec.Slots {
		return
	}
	c := o.loops.Open(k.spec, dataName(o.view.Load().Self.ID), o)
	if c == nil {
		return
	}
	k.pool = k.pool.WithOpening(c.ID, now.Add(openTimeout))
	k.links[c.ID] = &link{
		connection: c,
		prepared:   map[string]struct{}{},
	}
}

// run sends a request. From here on it may have had an effect.
func (o *Owner) run(k *desk, r rosemarylb.Request, id uint64, now time.Time) {
	l := k.links[id]
	var missing []rosemarylb.Statement
	for _, s := range r.Statements {
		if _, done := l.prepared[s.Name]; !done {
			missing = append(missing, s)
		}
	}
	prefix, err := parses(missing)
	if err != nil {
		o.refuse(r, rosemarylb.ReasonTooLarge, k)
		return
	}
	k.pool = k.pool.WithBusy(id, r)
	k.running[id] = &running{
		request:    r,
		connection: l.connection,
		injected:   missing,
		startedAt:  now,
	}
	l.connection.Send(append(prefix, r.Payload...))
}

func (o *Owner) refuse(r rosemarylb.Request, reason rosemarylb.Reason, k *desk) {
	refusedTotal.Inc()
	outcome := rosemarylb.NewNotRun(r.ID, reason)
	if k != nil {
		outcome = outcome.WithState(k.state).WithEndpoint(k.spec.ID)
	}
	o.reply(outcome)
}

func (o *Owner) wish(k *desk, now time.Time) {
	if now.Before(k.wantAt) {
		return
	}
	k.wantAt = now.Add(wantedSpan / 2)
	o.want(Wanted{
		Database: k.spec.Database,
	})
}
