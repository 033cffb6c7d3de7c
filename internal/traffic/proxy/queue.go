package proxy

import (
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/queue"
)

// queueKind identifies a queue of a group by what its queries require of an
// endpoint.
type queueKind uint8

const (
	// queueWrites holds writes and transactions on the primary.
	queueWrites queueKind = iota
	// queuePrimaryReads holds reads outside transactions on the primary.
	queuePrimaryReads
	// queueReads holds reads that any endpoint of the group may serve.
	queueReads
	// queueTransactions holds the first statements of transactions on the primary
	// while its connections are exhausted. A transaction keeps its connection for
	// many statements, so single statements of the same rank go first then.
	queueTransactions

	queueKindCount = 4
)

// queueTimeDivisor is the divisor of the timeout of a query that gives its
// maximum queue time at an instance that cannot reach the endpoints. After this
// time the query is rejected as not run, so that the caller can retry on another
// instance. In other states it may wait until its deadline.
const queueTimeDivisor = 2

// failoverWindow is how long a group may be without a primary before its
// queries no longer wait until their deadlines. It covers failure detection,
// the expiry of permits and the promotion.
const failoverWindow = 2500 * time.Millisecond

// relayReplyMargin is how long before its deadline a relayed query is rejected at
// the latest, so that the instance that sent it still learns that it has not run.
const relayReplyMargin = 100 * time.Millisecond

// placementDelay is the delay before another placement attempt when no endpoint
// can serve a query.
const placementDelay = 10 * time.Millisecond

// minimumShares is the minimum share of the service time of each rank, in
// percent.
var minimumShares = [rosemarylb.RankCount]int{0, 10, 10}

func newQueues() [queueKindCount]rosemarylb.Queue {
	var queues [queueKindCount]rosemarylb.Queue
	for i := range queues {
		queues[i] = queue.NewPriorityQueue(queue.WithMaxDepth(queueLimit), queue.WithMinShares(minimumShares))
	}
	return queues
}

// chooseQueue returns the queue for a query to wait in.
func (p *Proxy) chooseQueue(g *group, pq *pendingQuery, now time.Time) queueKind {
	switch {
	case !pq.needsPrimary:
		return queueReads
	case pq.needsBegin && p.connectionsExhausted(g, true, now):
		return queueTransactions
	case pq.inTransaction || pq.query.Writes:
		return queueWrites
	default:
		return queuePrimaryReads
	}
}

// schedule runs a query on the pinned connection of its transaction, or queues
// it.
func (p *Proxy) schedule(pq *pendingQuery, now time.Time) {
	if pq.hasBegun() {
		c := pq.session.pinned
		if c == nil {
			p.failTransaction(pq, "the connection of the transaction is gone", now)
			return
		}
		if c.term != 0 && c.term < c.pool.group.permit.Term {
			p.rollBack(c, now)
			p.failTransaction(pq, "the primary of the transaction was replaced", now)
			return
		}
		p.execute(pq, c, now)
		return
	}
	g := p.group(pq.route.Group)
	p.enqueue(g, pq, now)
	p.dispatch(g, now)
}

// enqueue adds a query to its queue. A query that cannot be served in time is
// rejected at once.
func (p *Proxy) enqueue(g *group, pq *pendingQuery, now time.Time) {
	r := p.queueRequest(g, pq, now)
	g.queued[pq.number] = pq
	pq.queue = p.chooseQueue(g, pq, now)
	rest, rejection := g.queues[pq.queue].WithRequest(r, now)
	g.queues[pq.queue] = rest
	if rejection.Reason != rosemarylb.ReasonNone {
		p.reject(g, rejection.Request, rejection.Reason, now)
	}
}

// queueRequest returns the entry of a query in its queue.
func (p *Proxy) queueRequest(g *group, pq *pendingQuery, now time.Time) rosemarylb.Request {
	until := pq.deadline
	switch {
	case !p.waitsUntilDeadline(g, pq, now):
		until = pq.arrivedAt.Add(pq.deadline.Sub(pq.arrivedAt) / queueTimeDivisor)
	case pq.session.relayEndpoint != "":
		until = pq.deadline.Add(-relayReplyMargin)
	}
	return rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: pq.number,
		},
		Caller:        string(pq.team),
		Rank:          pq.route.Rank,
		Weight:        p.weightOf(pq.team),
		ArrivedAt:     pq.arrivedAt,
		QueueDeadline: until,
		Deadline:      pq.deadline,
	}
}

// waitsUntilDeadline reports whether a query may stay queued until its deadline,
// because no other instance can be expected to serve it sooner: a failover is in
// progress, the endpoints have no connection left, or this instance is connected
// and the query waits for others to be served.
func (p *Proxy) waitsUntilDeadline(g *group, pq *pendingQuery, now time.Time) bool {
	return p.failoverInProgress(g, now) || p.connectionsExhausted(g, pq.needsPrimary, now) ||
		p.isConnected(g, pq.needsPrimary, now)
}

// isConnected reports whether this instance may use the primary of a group and has
// a connection to an endpoint that may run a query.
func (p *Proxy) isConnected(g *group, needsPrimary bool, now time.Time) bool {
	if p.primary(g, now) == nil {
		return false
	}
	for _, ep := range g.pools {
		if p.mayRun(ep, needsPrimary, now) && len(ep.connections) > ep.count(connectionOpening) {
			return true
		}
	}
	return false
}

// failoverInProgress reports whether a group has had no usable primary for less
// than failoverWindow.
func (p *Proxy) failoverInProgress(g *group, now time.Time) bool {
	return p.primary(g, now) == nil && (g.leaderlessSince.IsZero() || now.Sub(g.leaderlessSince) < failoverWindow)
}

// connectionsExhausted reports whether every endpoint that may run a query of a
// group has lately rejected a connection of this instance because its limit was
// reached.
func (p *Proxy) connectionsExhausted(g *group, needsPrimary bool, now time.Time) bool {
	exhausted := false
	for _, ep := range g.pools {
		if !p.mayRun(ep, needsPrimary, now) {
			continue
		}
		if !now.Before(ep.softLimitUntil) {
			return false
		}
		exhausted = true
	}
	return exhausted
}

// updateLeaderless updates the time since which a group has had no usable
// primary.
func (p *Proxy) updateLeaderless(g *group, now time.Time) {
	switch {
	case p.primary(g, now) != nil:
		g.leaderlessSince = time.Time{}
	case g.leaderlessSince.IsZero():
		g.leaderlessSince = now
	}
}

// reject completes a queued query as not run.
func (p *Proxy) reject(g *group, r rosemarylb.Request, reason rosemarylb.Reason, now time.Time) {
	pq, found := g.queued[r.ID.Sequence]
	if !found {
		return
	}
	delete(g.queued, pq.number)
	p.complete(pq, rejectionReply(reason), now)
}

// rejectionReply returns the reply to a query that its queue rejects.
func rejectionReply(reason rosemarylb.Reason) rosemarylb.Reply {
	return rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: "+reason.String())
}

// rejectExpired rejects queries whose maximum queue time has passed. Those that
// may wait until their deadline by now are queued once more.
func (p *Proxy) rejectExpired(g *group, expired []rosemarylb.Request, now time.Time) {
	for _, r := range expired {
		pq, found := g.queued[r.ID.Sequence]
		if found && r.QueueDeadline.Before(r.Deadline) && p.waitsUntilDeadline(g, pq, now) {
			p.enqueue(g, pq, now)
			continue
		}
		p.reject(g, r, rosemarylb.ReasonDeadline, now)
	}
}

// cancelQueued removes a query of a closed session that waits.
func (p *Proxy) cancelQueued(pq *pendingQuery) {
	p.removeWaiting(pq)
	p.inFlight--
}

// removeWaiting removes a query from the queue, the delayed queries and the held
// replies. It reports whether a reply to it was held.
func (p *Proxy) removeWaiting(pq *pendingQuery) bool {
	g := p.group(pq.route.Group)
	id := rosemarylb.RequestID{
		Sequence: pq.number,
	}
	g.queues[pq.queue], _ = g.queues[pq.queue].WithoutRequest(id)
	g.delayed = slices.DeleteFunc(g.delayed, func(o *pendingQuery) bool {
		return o == pq
	})
	held := len(g.heldReplies)
	g.heldReplies = slices.DeleteFunc(g.heldReplies, func(h heldReply) bool {
		return h.query == pq
	})
	delete(g.queued, pq.number)
	return len(g.heldReplies) < held
}

// delay postpones the placement of a query.
func (p *Proxy) delay(g *group, pq *pendingQuery, until time.Time) {
	pq.delayedUntil = until
	g.delayed = append(g.delayed, pq)
}

// requeueDelayed returns the queries whose delay is over to their queues. It
// replaces the list first, because a rejection may start another query that
// appends to it.
func (p *Proxy) requeueDelayed(g *group, now time.Time) {
	delayed := g.delayed
	g.delayed = nil
	for _, pq := range delayed {
		if now.Before(pq.delayedUntil) {
			g.delayed = append(g.delayed, pq)
			continue
		}
		if !pq.isAbandoned() {
			p.enqueue(g, pq, now)
		}
	}
}
