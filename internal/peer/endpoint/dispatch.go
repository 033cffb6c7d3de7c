package endpoint

import (
	"time"

	"rosemarylb"
)

// enqueue puts a new request into the queue, which may refuse it or another.
func (o *Owner) enqueue(k *desk, r rosemarylb.Request, now time.Time) {
	q, refusal := k.queue.WithRequest(r, now)
	k.queue = q
	if refusal.Reason != rosemarylb.ReasonNone {
		o.refuse(refusal.Request, refusal.Reason, k)
	}
}

// dispatch gives free slots to waiting requests.
func (o *Owner) dispatch(k *desk, now time.Time) {
	for len(k.running) < k.spec.Slots && o.dispatchNext(k, now) {
	}
}

// dispatchNext runs one waiting request, false when none can run now.
func (o *Owner) dispatchNext(k *desk, now time.Time) bool {
	if !waits(k.queue) || !k.mayBegin() {
		return false
	}
	idle, found := k.pool.IdleConnection()
	if !found {
		o.open(k, now)
		return false
	}
	next, rest := k.queue.Next(now)
	k.queue = rest
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

// refuse tells that a request is not run, and what is known of the endpoint.
func (o *Owner) refuse(r rosemarylb.Request, reason rosemarylb.Reason, k *desk) {
	refusedTotal.Inc()
	outcome := rosemarylb.NewNotRun(r.ID, reason)
	if k != nil {
		outcome = outcome.WithState(k.state).WithEndpoint(k.spec.ID)
	}
	o.reply(outcome)
}

// wish asks for quick probes while something waits for their result.
func (o *Owner) wish(k *desk, now time.Time) {
	if now.Before(k.wantAt) {
		return
	}
	k.wantAt = now.Add(wantedSpan / 2)
	o.want(Wanted{
		Database: k.spec.Database,
	})
}
