package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/sessionstate"
)

// execute runs a query on a connection, after the setup steps that it needs.
func (p *Proxy) execute(pq *pendingQuery, c *connection, now time.Time) {
	p.assign(pq, c)
	c.session = nil
	pq.session.pinned = nil
	c.state = connectionBusy
	c.current = pq
	c.expiresAt = time.Time{}
	pq.steps = c.setupSteps(pq)
	query := p.queryForEndpoint(pq, c)
	if pq.needsBegin {
		kind := rosemarylb.QueryBegin
		if pq.session.state.ReadOnly() {
			kind = rosemarylb.QueryBeginRead
		}
		pq.steps = append(pq.steps, rosemarylb.Query{
			Kind:        kind,
			MinPosition: query.MinPosition,
		})
		if !c.isRelayed() {
			// The other instance begins the transaction with the first statement.
			query = query.WithMinPosition(rosemarylb.Position{})
		}
	}
	pq.steps = append(pq.steps, query)
	p.sendStep(pq, now)
}

// assign records the connection and endpoint of a query, and the term that its
// reply depends on.
func (p *Proxy) assign(pq *pendingQuery, c *connection) {
	g := c.pool.group
	pq.attempts++
	pq.connection = c
	pq.endpoint = c.pool.spec.ID
	pq.requiredPosition = rosemarylb.Position{}
	pq.sent = false
	pq.term = 0
	switch {
	case pq.hasBegun():
		// A transaction keeps the term that it began in.
		pq.term = c.term
	case c.pool.spec.ID == g.permit.Primary && !pq.query.OnReplica:
		pq.term = g.permit.Term
	}
}

// queryForEndpoint returns the query to send; for a replica it includes the
// position that the replica must have applied.
func (p *Proxy) queryForEndpoint(pq *pendingQuery, c *connection) rosemarylb.Query {
	g := c.pool.group
	if c.pool.spec.ID == g.permit.Primary || pq.hasBegun() || pq.isRelayed() {
		return pq.query
	}
	required, covered := g.samples.RequiredPosition(pq.asOf, pq.session.state.Floor())
	rosemarylb.Invariantf(covered, "%s was assigned to a replica without a required position", pq.query.ID)
	pq.requiredPosition = required
	query := pq.query.WithMinPosition(required)
	if c.isRelayed() {
		query = query.WithOnReplica()
	}
	return query
}

// sendStep sends the next step of a query. Once the last step, the query
// itself, is sent, the query may have taken effect.
func (p *Proxy) sendStep(pq *pendingQuery, now time.Time) {
	q := pq.steps[0]
	timeoutMillis := int64(0)
	if pq.connection.isRelayed() {
		timeoutMillis = max(pq.deadline.Sub(now).Milliseconds(), 1)
	}
	q = q.WithRankAndTimeout(pq.route.Rank, timeoutMillis).WithTeam(pq.team)
	pq.sentAt = now
	pq.sent = len(pq.steps) == 1
	p.endpointPort.Send(pq.connection.id, q)
}

// handleReply handles the reply of an endpoint to the current step.
func (p *Proxy) handleReply(e ReplyReceived, now time.Time) {
	c, found := p.connections[e.Connection]
	if !found {
		return
	}
	if c.state == connectionRollingBack {
		if e.Reply.Code != rosemarylb.ReplyDone || e.Reply.State != rosemarylb.TransactionNone {
			p.closeConnection(c, now)
			return
		}
		p.makeAvailable(c, now)
		return
	}
	pq := c.current
	if c.state != connectionBusy || pq == nil {
		// No reply is due on this connection, so replies no longer match
		// queries.
		p.closeConnection(c, now)
		return
	}
	p.recordReply(c, pq, e.Reply, now)
	if len(pq.steps) > 1 {
		p.handleSetupReply(pq, c, e.Reply, now)
		return
	}
	p.handleQueryReply(pq, c, e.Reply, now)
}

// recordReply updates the position applied by the endpoint. A reply of the
// primary also updates the observation of the group and the position samples.
func (p *Proxy) recordReply(c *connection, pq *pendingQuery, r rosemarylb.Reply, now time.Time) {
	g := c.pool.group
	if c.pool.applied.Less(r.Position) {
		c.pool.applied = r.Position
	}
	if c.pool.spec.ID != g.permit.Primary || r.Code == rosemarylb.ReplyReadOnly {
		return
	}
	if r.Position.IsZero() {
		// A relay answered without asking the primary.
		return
	}
	g.observation = g.observation.withAnswer(c.pool.spec.ID, pq.sentAt)
	if g.permit.ValidFor(r.Position.Term, now) {
		g.samples = g.samples.WithSample(newSample(pq.sentAt, r.Position))
	}
}

// handleSetupReply handles the reply to a step that precedes the query.
func (p *Proxy) handleSetupReply(pq *pendingQuery, c *connection, r rosemarylb.Reply, now time.Time) {
	step := pq.steps[0]
	if r.Code != rosemarylb.ReplyDone {
		pq.connection = nil
		c.current = nil
		if step.Kind == rosemarylb.QueryBegin || step.Kind == rosemarylb.QueryBeginRead {
			p.retry(pq, c.pool, r.Code, now)
			p.releaseConnection(c, r.State, now)
			return
		}
		p.closeConnection(c, now)
		p.retry(pq, c.pool, rosemarylb.ReplyAborted, now)
		return
	}
	c.recordSetup(step)
	c.settingsKey = sessionstate.SettingsKey(c.settings)
	if step.Kind == rosemarylb.QueryBegin || step.Kind == rosemarylb.QueryBeginRead {
		c.term = pq.term
		if pq.isAbandoned() {
			c.current = nil
			p.inFlight--
			p.rollBack(c, now)
			return
		}
	}
	pq.steps = pq.steps[1:]
	if pq.session.access.isRevoked() {
		pq.connection = nil
		c.current = nil
		p.releaseConnection(c, r.State, now)
		p.complete(pq, unauthenticatedReply(), now)
		return
	}
	p.sendStep(pq, now)
}

// handleQueryReply handles the reply to the query itself.
func (p *Proxy) handleQueryReply(pq *pendingQuery, c *connection, r rosemarylb.Reply, now time.Time) {
	ep := c.pool
	if r.Code == rosemarylb.ReplyDone {
		p.recordLatency(ep, now.Sub(pq.sentAt), now)
	}
	p.recordQueryOutcome(pq, ep, r.Code, now)
	p.recordTransfer(pq, r, now)
	q := &ep.group.queues[pq.queue]
	served := rosemarylb.Request{
		Caller: string(pq.team),
		Rank:   pq.route.Rank,
		Weight: p.weightOf(pq.team),
	}
	*q = (*q).WithServed(served, now.Sub(pq.sentAt)).
		WithServiceConfig(queueSettings, p.slotCount(ep.group, pq.needsPrimary, now))
	if r.Code == rosemarylb.ReplyNoStatement {
		delete(c.prepared, pq.query.Name)
	}
	if pq.isAbandoned() {
		p.inFlight--
		c.current = nil
		p.releaseConnection(c, r.State, now)
		return
	}
	if p.canRetry(pq, r.Code, now) {
		pq.connection = nil
		c.current = nil
		p.retry(pq, ep, r.Code, now)
		p.releaseConnection(c, r.State, now)
		return
	}
	pq.connection = nil
	c.current = nil
	p.pinOrRelease(pq, c, r, now)
	if pq.term != 0 && !ep.group.permit.ValidFor(pq.term, now) {
		p.hold(ep.group, heldReply{
			query:      pq,
			reply:      r,
			receivedAt: now,
		}, now)
		return
	}
	p.deliver(pq, r, now)
	if p.catalog.Authenticates() {
		// A connection that stays pinned frees the place of a running statement.
		p.dispatch(ep.group, now)
	}
}

// pinOrRelease keeps the connection pinned to the session while its transaction
// is open, and releases it otherwise.
func (p *Proxy) pinOrRelease(pq *pendingQuery, c *connection, r rosemarylb.Reply, now time.Time) {
	staysOpen := pq.inTransaction && r.State == rosemarylb.TransactionOpen && pq.query.Kind != rosemarylb.QueryCommit
	if !staysOpen {
		if c.session != nil {
			c.session.pinned = nil
			c.session = nil
		}
		p.releaseConnection(c, r.State, now)
		return
	}
	c.state = connectionPinned
	c.session = pq.session
	c.expiresAt = now.Add(p.idleLimit())
	pq.session.pinned = c
	pq.session.state = pq.session.state.WithTransactionStarted()
}

// releaseConnection makes a connection available, after a rollback if a
// transaction is open. It closes the connection if a rollback would wait behind
// pipelined reads.
func (p *Proxy) releaseConnection(c *connection, s rosemarylb.TransactionState, now time.Time) {
	switch {
	case s == rosemarylb.TransactionNone:
		p.makeAvailable(c, now)
	case len(c.pipelined) > 0:
		p.closeConnection(c, now)
	default:
		p.rollBack(c, now)
	}
}

// idleLimit returns the maximum idle time of an open transaction.
func (p *Proxy) idleLimit() time.Duration {
	return time.Duration(p.catalog.TransactionIdleMillis) * time.Millisecond
}

// canRetry reports whether a query may be retried: it had no effect, its caller
// has received no reply from within the transaction, and attempts and time are
// left.
func (p *Proxy) canRetry(pq *pendingQuery, code rosemarylb.ReplyCode, now time.Time) bool {
	if code == rosemarylb.ReplyDone || pq.attempts >= maxAttempts || !now.Before(pq.deadline) {
		return false
	}
	if pq.hasBegun() || pq.returnsLagging(code) {
		return false
	}
	return code.NotRun() || code == rosemarylb.ReplyAborted
}

// returnsLagging reports whether a query is answered that its endpoint lags: the
// instance that relayed it chooses another endpoint.
func (pq *pendingQuery) returnsLagging(code rosemarylb.ReplyCode) bool {
	return pq.isRelayed() && code == rosemarylb.ReplyReplicaLagging
}

const (
	// busyBackoff is the delay before a retry after an endpoint was busy or a
	// connection failed.
	busyBackoff = 15 * time.Millisecond
	// demotedBackoff is the delay before a retry after the primary rejected a
	// write as read-only; the keeper may announce another primary meanwhile.
	demotedBackoff = 40 * time.Millisecond
)

// retry schedules another attempt of a query that had no effect, or completes
// it as not run once its attempts or time are used up. A query whose transaction has
// begun is completed as aborted, since another connection is outside its transaction.
func (p *Proxy) retry(pq *pendingQuery, ep *endpointPool, code rosemarylb.ReplyCode, now time.Time) {
	if pq.isAbandoned() {
		p.inFlight--
		return
	}
	if pq.session.access.isRevoked() {
		p.complete(pq, unauthenticatedReply(), now)
		return
	}
	if pq.hasBegun() {
		p.failTransaction(pq, "not run: the transaction was rolled back", now)
		return
	}
	if pq.returnsLagging(code) {
		p.complete(pq, rosemarylb.NewReply(code, "the replica lags"), now)
		return
	}
	retriesTotal.Inc()
	p.draw(pq)
	g := ep.group
	backoff := time.Duration(0)
	switch code {
	case rosemarylb.ReplyReplicaLagging:
		ep.stats = ep.stats.withLag()
		ep.laggingUntil = now.Add(ep.stats.lagBackoff)
	case rosemarylb.ReplyBusy:
		backoff = busyBackoff
		ep.avoidUntil = now.Add(busyBackoff)
	case rosemarylb.ReplyReadOnly:
		backoff = demotedBackoff
		g.observation = g.observation.withFailure(ep.spec.ID, now)
		g.demotedTerm = max(g.demotedTerm, pq.term)
		g.demotedAt = now
	case rosemarylb.ReplyNoStatement:
	default:
		backoff = busyBackoff
		pq.excluded = append(pq.excluded, ep.spec.ID)
	}
	p.log.Info("query repeated", "id", pq.query.ID, "kind", pq.query.Kind.String(), "endpoint", ep.spec.ID,
		"code", code.String(), "attempt", pq.attempts, "age-ms", now.Sub(pq.arrivedAt).Milliseconds())
	if pq.attempts >= maxAttempts || !now.Before(pq.deadline) {
		p.complete(pq, rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: no endpoint took it"), now)
		return
	}
	if backoff == 0 {
		p.enqueue(g, pq, now)
		return
	}
	p.delay(g, pq, now.Add(backoff))
}
