package endpoint

import (
	"time"

	"rosemarylb"
)

// dropOutdated breaks the connections whose requests were meant for the
// primary of an earlier term: nothing of them can be confirmed any more.
func (o *Owner) dropOutdated(k *desk) {
	for id, r := range k.running {
		if r.request.Target.Term != 0 && r.request.Target.Term < k.primary.Term {
			o.drop(k, id)
		}
	}
	for _, e := range k.pool.Connections() {
		if e.State == poolLeased {
			o.drop(k, e.ID)
		}
	}
}

// silenced breaks the connections to an endpoint that does not answer.
func (o *Owner) silenced(id rosemarylb.EndpointID, now time.Time) {
	k, found := o.desks[id]
	if !found {
		return
	}
	for _, e := range k.pool.Connections() {
		o.drop(k, e.ID)
	}
	k.pool = k.pool.WithBackoff(now.Add(refusedPause))
	for _, r := range k.waiting {
		o.refuse(r, rosemarylb.ReasonUnreachable, k)
	}
	k.waiting = nil
	o.refuseQueued(k, rosemarylb.ReasonUnreachable, now)
}

// refuseQueued refuses the new requests that wait for an endpoint.
func (o *Owner) refuseQueued(k *desk, reason rosemarylb.Reason, now time.Time) {
	for waits(k.queue) {
		next, rest := k.queue.Next(now)
		k.queue = rest
		for _, r := range next.Expired {
			o.refuse(r, rosemarylb.ReasonDeadline, k)
		}
		if next.Found {
			o.refuse(next.Request, reason, k)
		}
	}
}

func (o *Owner) opened(c *Connection, now time.Time) {
	k, found := o.desks[c.Endpoint]
	if !found {
		c.Close()
		return
	}
	if e, held := k.pool.Connection(c.ID); held && e.State == poolOpening {
		k.pool = k.pool.WithIdle(c.ID)
		o.dispatch(k, now)
		return
	}
	c.Close()
}

func (o *Owner) closed(e closed, now time.Time) {
	k, found := o.desks[e.connection.Endpoint]
	if !found {
		return
	}
	entry, held := k.pool.Connection(e.connection.ID)
	if held && entry.State == poolOpening {
		k.pool = k.pool.WithBackoff(now.Add(refusedPause))
	}
	if e.sqlState == stateTooManyConnections {
		o.evictDead(k)
	}
	o.drop(k, e.connection.ID)
	if held && entry.State == poolOpening && e.sqlState != stateTooManyConnections && k.pool.Size() == 0 {
		o.refuseQueued(k, rosemarylb.ReasonUnreachable, now)
	}
	o.dispatch(k, now)
}

// evictDead has the connections broken that dead instances may have left at
// an endpoint: a paused one would keep them, and their transactions, for good.
func (o *Owner) evictDead(k *desk) {
	for _, m := range o.view.Load().Members {
		if m.Status == rosemarylb.MemberDead {
			o.evict(Evicted{
				Endpoint: k.spec.ID,
				Instance: m.ID,
			})
		}
	}
}

// drop closes a connection and settles the request that was on it.
func (o *Owner) drop(k *desk, id uint64) {
	if l, found := k.links[id]; found {
		l.connection.Close()
	}
	delete(k.links, id)
	k.pool = k.pool.WithoutConnection(id)
	r, found := k.running[id]
	if !found {
		return
	}
	delete(k.running, id)
	o.give(lost(r.request).WithState(k.state))
}

// lost is the outcome of a request whose connection broke after it was sent.
// Without a commit nothing of it can last.
func lost(r rosemarylb.Request) rosemarylb.Outcome {
	switch r.Class {
	case rosemarylb.ClassRead:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonUnreachable)
	case rosemarylb.ClassBegin, rosemarylb.ClassInTransaction, rosemarylb.ClassRollback:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonLeaseLost)
	default:
		return rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost)
	}
}

// expire settles everything of a desk whose deadline has passed.
func (o *Owner) expire(k *desk, now time.Time) {
	var waiting []rosemarylb.Request
	for _, r := range k.waiting {
		if now.After(r.Target.WaitDeadline) {
			o.refuse(r, rosemarylb.ReasonReplicaLagging, k)
			continue
		}
		waiting = append(waiting, r)
	}
	k.waiting = waiting
	queue, expired := k.queue.WithoutExpired(now)
	k.queue = queue
	for _, r := range expired {
		o.refuse(r, rosemarylb.ReasonDeadline, k)
	}
	var still []held
	for _, h := range k.held {
		if now.After(h.request.Deadline) {
			o.give(abandon(h))
			continue
		}
		still = append(still, h)
	}
	k.held = still
	for id, r := range k.running {
		if now.After(r.request.Deadline) {
			o.drop(k, id)
		}
	}
	for _, e := range k.pool.Expired(now) {
		o.drop(k, e.ID)
	}
	if len(k.held) > 0 || len(k.waiting) > 0 {
		o.wish(k, now)
	}
}

// cancel withdraws a request that waits, or asks the endpoint to stop it.
func (o *Owner) cancel(id rosemarylb.RequestID) {
	for _, k := range o.desks {
		if rest, found := k.queue.WithoutRequest(id); found {
			k.queue = rest
			o.reply(rosemarylb.NewNotRun(id, rosemarylb.ReasonCanceled))
			return
		}
		for _, r := range k.running {
			if r.request.ID == id {
				o.loops.Cancel(r.connection)
				return
			}
		}
	}
}

// released rolls back the transaction of a session that is gone.
func (o *Owner) released(e Released, now time.Time) {
	k, found := o.desks[e.Endpoint]
	if !found || !k.pool.LeasedBy(e.Lease, e.ID) {
		return
	}
	r := rosemarylb.Request{
		ID:       e.ID,
		Database: k.spec.Database,
		Class:    rosemarylb.ClassRollback,
		Deadline: now.Add(openTimeout),
		Payload:  query("ROLLBACK"),
		Target: rosemarylb.Target{
			Endpoint: e.Endpoint,
			Lease:    e.Lease,
		},
	}
	o.run(k, r, e.Lease, now)
}
