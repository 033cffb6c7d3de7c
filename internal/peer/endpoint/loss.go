package endpoint

import (
	"time"

	"rosemarylb"
)

// dropOutdatedConnections drops the connections with requests for the primary of an
// earlier term and those pinned to a transaction: no commit on them can be
// confirmed any more.
func (o *Owner) dropOutdatedConnections(se *servedEndpoint) {
	for id, r := range se.running {
		if r.request.Target.Term != 0 && r.request.Target.Term < se.primary.Term {
			o.dropConnection(se, id)
		}
	}
	for _, e := range se.pool.Connections() {
		if e.State == poolPinned {
			o.dropConnection(se, e.ID)
		}
	}
}

// handleUnreachable drops the connections to an endpoint that does not answer,
// delays new ones by connectBackoff, and rejects the requests that wait for it.
func (o *Owner) handleUnreachable(id rosemarylb.EndpointID, now time.Time) {
	se, found := o.endpoints[id]
	if !found {
		return
	}
	for _, e := range se.pool.Connections() {
		o.dropConnection(se, e.ID)
	}
	se.pool = se.pool.WithBackoff(now.Add(connectBackoff))
	for _, r := range se.waitingReads {
		o.reject(r, rosemarylb.ReasonUnreachable, se)
	}
	se.waitingReads = nil
	o.rejectQueued(se, rosemarylb.ReasonUnreachable, now)
}

// rejectQueued rejects all requests in the queue of an endpoint.
func (o *Owner) rejectQueued(se *servedEndpoint, reason rosemarylb.Reason, now time.Time) {
	for hasQueued(se.queue) {
		next, rest := se.queue.Next(now, nil)
		se.queue = rest
		for _, r := range next.Expired {
			o.reject(r, rosemarylb.ReasonDeadline, se)
		}
		if next.Found {
			o.reject(next.Request, reason, se)
		}
	}
}

func (o *Owner) addConnection(c *Connection, now time.Time) {
	se, found := o.endpoints[c.Endpoint]
	if !found {
		c.Close()
		return
	}
	if e, pooled := se.pool.Connection(c.ID); pooled && e.State == poolOpening {
		se.pool = se.pool.WithIdle(c.ID)
		o.dispatch(se, now)
		return
	}
	c.Close()
}

func (o *Owner) removeConnection(e connectionClosed, now time.Time) {
	se, found := o.endpoints[e.connection.Endpoint]
	if !found {
		return
	}
	entry, pooled := se.pool.Connection(e.connection.ID)
	if pooled && entry.State == poolOpening {
		se.pool = se.pool.WithBackoff(now.Add(connectBackoff))
	}
	if e.sqlState == sqlStateTooManyConnections {
		o.evictDeadInstances(se)
	}
	o.dropConnection(se, e.connection.ID)
	if pooled && entry.State == poolOpening && e.sqlState != sqlStateTooManyConnections && se.pool.Size() == 0 {
		o.rejectQueued(se, rosemarylb.ReasonUnreachable, now)
	}
	o.dispatch(se, now)
}

// evictDeadInstances requests that an endpoint close the connections of dead
// instances: a paused instance would otherwise keep them, and their transactions,
// open indefinitely.
func (o *Owner) evictDeadInstances(se *servedEndpoint) {
	for _, m := range o.view.Load().Members {
		if m.Status == rosemarylb.MemberDead {
			o.requestEviction(EvictionRequested{
				Endpoint: se.spec.ID,
				Instance: m.ID,
			})
		}
	}
}

// dropConnection closes a connection, removes it from the pool, and completes the
// request that was running on it with lostOutcome.
func (o *Owner) dropConnection(se *servedEndpoint, id uint64) {
	if pooled, found := se.connections[id]; found {
		pooled.connection.Close()
	}
	delete(se.connections, id)
	se.pool = se.pool.WithoutConnection(id)
	r, found := se.running[id]
	if !found {
		return
	}
	delete(se.running, id)
	o.complete(lostOutcome(r.request).WithState(se.state))
}

// lostOutcome returns the outcome of a request whose connection was lost after the
// request had been sent. It is unknown only for a request that may have committed.
func lostOutcome(r rosemarylb.Request) rosemarylb.Outcome {
	switch r.Class {
	case rosemarylb.ClassRead:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonUnreachable)
	case rosemarylb.ClassBegin, rosemarylb.ClassInTransaction, rosemarylb.ClassRollback:
		return rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonPinnedConnectionLost)
	default:
		return rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost)
	}
}

// expire completes the requests of an endpoint whose deadlines have passed, and
// drops the connections whose start-up or idle transaction has timed out.
func (o *Owner) expire(se *servedEndpoint, now time.Time) {
	var waiting []rosemarylb.Request
	for _, r := range se.waitingReads {
		if now.After(r.Target.WaitDeadline) {
			o.reject(r, rosemarylb.ReasonReplicaLagging, se)
			continue
		}
		waiting = append(waiting, r)
	}
	se.waitingReads = waiting
	queue, expired := se.queue.WithoutExpired(now)
	se.queue = queue
	for _, r := range expired {
		o.reject(r, rosemarylb.ReasonDeadline, se)
	}
	var unconfirmed []unconfirmedAnswer
	for _, answer := range se.unconfirmed {
		if now.After(answer.request.Deadline) {
			o.complete(unconfirmedOutcome(answer))
			continue
		}
		unconfirmed = append(unconfirmed, answer)
	}
	se.unconfirmed = unconfirmed
	for id, r := range se.running {
		if now.After(r.request.Deadline) {
			o.dropConnection(se, id)
		}
	}
	for _, e := range se.pool.Expired(now) {
		o.dropConnection(se, e.ID)
	}
	if len(se.unconfirmed) > 0 || len(se.waitingReads) > 0 {
		o.requestFastProbes(se, now)
	}
}

// cancelRequest removes a request from its queue and answers that it was not run, or
// sends the endpoint a cancel request if it is running.
func (o *Owner) cancelRequest(id rosemarylb.RequestID) {
	for _, se := range o.endpoints {
		if rest, found := se.queue.WithoutRequest(id); found {
			se.queue = rest
			o.reply(rosemarylb.NewNotRun(id, rosemarylb.ReasonCanceled))
			return
		}
		for _, r := range se.running {
			if r.request.ID == id {
				o.loops.Cancel(r.connection)
				return
			}
		}
	}
}

// rollBackReleased rolls back the open transaction of a session that has ended.
func (o *Owner) rollBackReleased(e SessionEnded, now time.Time) {
	se, found := o.endpoints[e.Endpoint]
	if !found || !se.pool.IsPinnedBy(e.PinnedConnection, e.ID) {
		return
	}
	r := rosemarylb.Request{
		ID:       e.ID,
		Database: se.spec.Database,
		Class:    rosemarylb.ClassRollback,
		Deadline: now.Add(startupTimeout),
		Payload:  encodeQuery("ROLLBACK"),
		Target: rosemarylb.Target{
			Endpoint:         e.Endpoint,
			PinnedConnection: e.PinnedConnection,
		},
	}
	o.sendRequest(se, r, e.PinnedConnection, now)
}
