package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/freshness"
)

// queueSettings are the settings of the queues of pending queries.
var queueSettings = rosemarylb.ServiceConfig{
	Shares:     minimumShares,
	QueueLimit: queueLimit,
}

func newSample(at time.Time, pos rosemarylb.Position) freshness.Sample {
	return freshness.Sample{
		AsOf:     at,
		Position: pos,
	}
}

// slotCount returns the number of queries that the endpoints of a queue can run
// at the same time.
func (p *Proxy) slotCount(g *group, primary bool, now time.Time) int {
	n := 0
	for _, ep := range g.pools {
		if !p.mayRun(ep, primary, now) || now.Before(ep.laggingUntil) {
			continue
		}
		slots := max(ep.spec.Slots, 1)
		if !p.usesTeams() {
			slots = min(p.connectionLimit(ep), slots)
		}
		n += slots
	}
	return max(n, 1)
}

// deliver updates the state of the session by the reply of an endpoint, and
// sends the reply to the caller.
func (p *Proxy) deliver(pq *pendingQuery, r rosemarylb.Reply, now time.Time) {
	s := pq.session
	d := s.state
	if r.Code == rosemarylb.ReplyDone && pq.query.MayCommit(pq.inTransaction) && pq.term != 0 {
		d = d.WithFloor(r.Position)
	}
	switch {
	case !pq.inTransaction || pq.query.Kind == rosemarylb.QueryCommit:
		d = d.WithTransactionState(rosemarylb.TransactionNone)
	case r.State != rosemarylb.TransactionOpen:
		d = d.WithTransactionState(rosemarylb.TransactionFailed)
	default:
		d = d.WithAnsweredStatement()
	}
	s.state = d
	p.complete(pq, r, now)
}

// complete answers a query, with the transaction state of its session, and
// starts the next query of the session.
func (p *Proxy) complete(pq *pendingQuery, r rosemarylb.Reply, now time.Time) {
	s := pq.session
	p.inFlight--
	if pq.isAbandoned() {
		return
	}
	s.current = nil
	if r.Code != rosemarylb.ReplyDone {
		p.endTransaction(pq)
	}
	p.logOutcome(pq, r, now)
	queryTime.Update(now.Sub(pq.arrivedAt).Seconds())
	p.sendReply(s.state.ID(), r.WithState(s.state.TransactionState()))
	if s.access.isRevoked() {
		p.refusePipelined(s)
		p.disconnect(s, now)
		return
	}
	p.startPipelined(s, now)
	p.closeAnswered(s, now)
}

// endTransaction moves the session out of its open transaction after a query in
// it failed.
func (p *Proxy) endTransaction(pq *pendingQuery) {
	s := pq.session
	if s.state.TransactionState() != rosemarylb.TransactionOpen {
		return
	}
	next := rosemarylb.TransactionFailed
	if pq.query.Kind == rosemarylb.QueryCommit {
		next = rosemarylb.TransactionNone
	}
	s.state = s.state.WithTransactionState(next)
}

// logOutcome logs the outcome of a query and the state that determined it.
func (p *Proxy) logOutcome(pq *pendingQuery, r rosemarylb.Reply, now time.Time) {
	g := p.group(pq.route.Group)
	event := "query failed"
	if r.Code == rosemarylb.ReplyDone {
		event = "query served"
	}
	p.log.Info(event, "id", pq.query.ID, "kind", pq.query.Kind.String(), "code", r.Code.String(), "reason", r.Text,
		"group", g.name, "team", pq.team, "rank", pq.route.Rank.String(), "attempts", pq.attempts, "sent", pq.sent, "endpoint", pq.endpoint,
		"term", pq.term, "wait", pq.requiredPosition.String(), "primary", g.permit.Primary, "permit-term", g.permit.Term,
		"permit-age-ms", now.Sub(g.permit.RequestedAt).Milliseconds(), "waiting", g.waitingCount(),
		"version", p.catalog.Version, "took-ms", now.Sub(pq.arrivedAt).Milliseconds())
}

// waitingCount returns the number of queries that are queued or delayed.
func (g *group) waitingCount() int {
	n := len(g.delayed)
	for _, q := range g.queues {
		for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
			n += q.Depth(rank)
		}
	}
	return n
}

// startPipelined starts the next queries that the session sent before the last
// reply.
func (p *Proxy) startPipelined(s *session, now time.Time) {
	for s.current == nil && len(s.pipelined) > 0 {
		q := s.pipelined[0]
		s.pipelined = s.pipelined[1:]
		p.startQuery(s, q, now)
	}
}

// failTransaction answers a query whose transaction was rolled back.
func (p *Proxy) failTransaction(pq *pendingQuery, text string, now time.Time) {
	p.complete(pq, rosemarylb.NewReply(rosemarylb.ReplyAborted, text), now)
}

// resolveLost retries or completes a query whose connection was lost.
func (p *Proxy) resolveLost(pq *pendingQuery, now time.Time) {
	c := pq.connection
	pq.connection = nil
	if c.current == pq {
		c.current = nil
	}
	if pq.isAbandoned() {
		p.inFlight--
		return
	}
	if !pq.hasBegun() && (!pq.sent || pq.isIdempotent()) {
		p.retry(pq, c.pool, rosemarylb.ReplyAborted, now)
		return
	}
	p.completeUnanswered(pq, now)
}

// completeUnanswered completes a query without a valid reply: as unknown if it
// may have committed writes, as aborted otherwise.
func (p *Proxy) completeUnanswered(pq *pendingQuery, now time.Time) {
	if pq.sent && pq.mayCommitWrites() {
		p.complete(pq, rosemarylb.NewReply(rosemarylb.ReplyUnknown, "sent, and the answer was lost"), now)
		return
	}
	if pq.inTransaction {
		p.failTransaction(pq, "the endpoint was lost within the transaction", now)
		return
	}
	p.complete(pq, rosemarylb.NewReply(rosemarylb.ReplyAborted, "no endpoint answered in time"), now)
}

// applyPermits updates the permits of the groups, and delivers the held replies
// that they cover.
func (p *Proxy) applyPermits(e PermitsReceived, now time.Time) {
	for _, permit := range e.Permits {
		g := p.group(permit.Group)
		if permit.Term < g.permit.Term {
			continue
		}
		if permit.Term > g.permit.Term || permit.Primary != g.permit.Primary {
			p.log.Info("primary changed", "group", permit.Group, "primary", permit.Primary, "term", permit.Term,
				"before", g.permit.Primary, "before-term", g.permit.Term)
			g.observation = Observation{
				Group: permit.Group,
			}
			p.closeRelays(g.permit.Primary, now)
		}
		if permit.ExpiresAt.Before(g.permit.ExpiresAt) && permit.Term == g.permit.Term {
			permit.ExpiresAt = g.permit.ExpiresAt
		}
		g.permit = permit
		if g.demotedTerm == permit.Term && permit.PositionAt.After(g.demotedAt) {
			// The keeper has since queried the endpoint, and it leads.
			g.demotedTerm = 0
		}
		if permit.Position.Term == permit.Term && !permit.PositionAt.IsZero() {
			g.samples = g.samples.WithSample(newSample(permit.PositionAt, permit.Position))
		}
		p.resolveHeldReplies(g, now)
		p.dispatch(g, now)
	}
	p.publishStatus(now)
}

// resolveHeldReplies delivers the held replies that the permit confirms, and
// resolves those that can no longer be confirmed.
func (p *Proxy) resolveHeldReplies(g *group, now time.Time) {
	held := g.heldReplies
	g.heldReplies = nil
	for _, h := range held {
		switch {
		case h.query.isAbandoned():
			p.inFlight--
		case g.permit.Term == h.query.term && !g.permit.RequestedAt.Before(h.receivedAt):
			p.deliver(h.query, h.reply, now)
		case g.permit.Term > h.query.term || !now.Before(h.query.deadline):
			p.resolveUnconfirmed(h, now)
		default:
			g.heldReplies = append(g.heldReplies, h)
		}
	}
}

// resolveUnconfirmed handles a reply of a primary that may have been replaced
// before it replied. Errors that committed nothing are delivered, reads outside
// transactions are retried, and other queries are completed as unanswered.
func (p *Proxy) resolveUnconfirmed(h heldReply, now time.Time) {
	pq := h.query
	p.log.Info("answer not confirmed", "id", pq.query.ID, "kind", pq.query.Kind.String(), "term", pq.term,
		"age-ms", now.Sub(h.receivedAt).Milliseconds())
	if h.reply.Code != rosemarylb.ReplyDone && !pq.mayCommitWrites() {
		p.deliver(pq, h.reply, now)
		return
	}
	s := pq.session
	p.releasePinned(s, now)
	if !pq.inTransaction && pq.isIdempotent() && now.Before(pq.deadline) {
		p.enqueue(p.group(pq.route.Group), pq, now)
		return
	}
	p.completeUnanswered(pq, now)
}

// expireQueries handles the queries of a group whose deadline has passed.
func (p *Proxy) expireQueries(g *group, now time.Time) {
	var expired []rosemarylb.Request
	for kind := range g.queues {
		g.queues[kind], expired = g.queues[kind].WithoutExpired(now)
		p.rejectExpired(g, expired, now)
	}
	p.updateLeaderless(g, now)
	p.resolveHeldReplies(g, now)
	for _, ep := range g.pools {
		for _, c := range ep.connections {
			if c.state == connectionBusy && c.current != nil && now.After(c.current.deadline) {
				p.closeTimedOut(c, now)
			}
		}
	}
}

// closeTimedOut closes a connection on which no reply arrived before the
// deadline of the current query.
func (p *Proxy) closeTimedOut(c *connection, now time.Time) {
	p.recordUnanswered(c.pool, now)
	if !c.isRelayed() {
		p.recordFailure(c.pool, now)
	} else if p.usesTeams() {
		c.pool.rejectRelay(c.via, now.Add(relayBackoff), now)
	}
	p.closeBusy(c, now)
}

// closeBusy closes a connection and completes its current query as unanswered.
func (p *Proxy) closeBusy(c *connection, now time.Time) {
	pq := c.current
	p.endpointPort.Close(c.id)
	p.removeConnection(c)
	pq.connection = nil
	c.current = nil
	if pq.isAbandoned() {
		p.inFlight--
	} else {
		p.completeUnanswered(pq, now)
	}
	p.failPipelined(c, now)
}
