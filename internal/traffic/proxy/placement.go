package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// maxAttempts is the maximum number of attempts of a query.
	maxAttempts = 12
	// costOtherDomain and costOtherRegion are added to the read cost of an
	// endpoint in another failure domain or region until its latency is known.
	costOtherDomain = 4 * time.Millisecond
	costOtherRegion = 60 * time.Millisecond
	// costPrimary is added to the read cost of the primary, which alone serves
	// writes.
	costPrimary = 15 * time.Millisecond
	// initialLatency is the assumed latency of an endpoint that has not replied
	// yet.
	initialLatency = 15 * time.Millisecond
)

func newPendingQuery(number uint64, s *session, q rosemarylb.Query, now time.Time) *pendingQuery {
	pq := &pendingQuery{
		number:    number,
		session:   s,
		route:     s.route,
		team:      s.access.team,
		query:     q,
		arrivedAt: now,
		asOf:      now.Add(-time.Duration(s.route.StalenessMillis) * time.Millisecond),
		deadline:  now.Add(time.Duration(s.route.TimeoutMillis) * time.Millisecond),
	}
	d := s.state
	pq.inTransaction = d.TransactionState() == rosemarylb.TransactionOpen
	pq.needsBegin = pq.inTransaction && !d.TransactionStarted()
	switch {
	case pq.isRelayed():
		pq.team = q.Team
		pq.needsPrimary = !q.OnReplica
	case s.route.Consistency == rosemarylb.ConsistencyPrimary:
		pq.needsPrimary = true
	case pq.inTransaction:
		pq.needsPrimary = !d.ReadOnly()
	default:
		pq.needsPrimary = q.Writes
	}
	return pq
}

// primary returns the primary of a group, nil unless a valid permit allows its
// use.
func (p *Proxy) primary(g *group, now time.Time) *endpointPool {
	if !now.Before(g.permit.ExpiresAt) || g.demotedTerm >= g.permit.Term {
		return nil
	}
	ep, found := p.pools[g.permit.Primary]
	if !found {
		return nil
	}
	return ep
}

// canSendRead reports whether a connection of the group can take a read now. If
// none can, it opens another.
func (p *Proxy) canSendRead(g *group, now time.Time) bool {
	var best *endpointPool
	for _, ep := range g.pools {
		if !p.acceptsReads(ep, now) {
			continue
		}
		if ep.count(connectionIdle) > 0 || p.pipelineTarget(ep) != nil {
			return true
		}
		if ep.canOpen(p.connectionLimit(ep), now) && (best == nil || p.readCost(ep) < p.readCost(best)) {
			best = ep
		}
	}
	if best != nil {
		p.openDirect(best, now)
	} else if primary := p.primary(g, now); primary != nil {
		p.openRelay(primary, now)
	}
	return false
}

// acceptsReads reports whether reads may be sent to an endpoint now.
func (p *Proxy) acceptsReads(ep *endpointPool, now time.Time) bool {
	return !ep.removed && !ep.spec.Leaving && !now.Before(ep.avoidUntil)
}

// mayRun reports whether an endpoint may run a query of its group now: any that
// accepts reads, or the primary alone.
func (p *Proxy) mayRun(ep *endpointPool, needsPrimary bool, now time.Time) bool {
	return p.acceptsReads(ep, now) && (!needsPrimary || ep.spec.ID == ep.group.permit.Primary)
}

// chooseReadEndpoint returns the available endpoint with the lowest read cost
// that may serve a read, nil if there is none.
func (p *Proxy) chooseReadEndpoint(g *group, pq *pendingQuery, now time.Time) *endpointPool {
	if pq.isRelayed() {
		return p.relayTarget(pq, now)
	}
	best := p.availableForRead(g, pq, now)
	p.openNearer(g, pq, best, now)
	if best == nil && len(pq.excluded) > 0 {
		pq.excluded = nil
	}
	return best
}

// availableForRead returns the endpoint with the lowest read cost that has a connection
// available and may serve a read, nil if there is none.
func (p *Proxy) availableForRead(g *group, pq *pendingQuery, now time.Time) *endpointPool {
	var best *endpointPool
	for _, ep := range g.pools {
		if !p.canTake(ep, pq, now) || !p.mayServeRead(ep, pq, now) {
			continue
		}
		if best == nil || p.readCost(ep) < p.readCost(best) {
			best = ep
		}
	}
	return best
}

// canTake reports whether an endpoint has a connection on which a query can be sent now.
func (p *Proxy) canTake(ep *endpointPool, pq *pendingQuery, now time.Time) bool {
	if p.usesTeams() {
		return p.teamPathTo(ep, pq, now).connection != nil
	}
	return ep.count(connectionIdle) > 0 || p.pipelineTarget(ep) != nil
}

// mayServeRead reports whether an endpoint may serve a read: the primary under a valid
// permit, or a replica that is not known to lag behind the position that the read needs.
func (p *Proxy) mayServeRead(ep *endpointPool, pq *pendingQuery, now time.Time) bool {
	if !p.acceptsReads(ep, now) || pq.excludes(ep.spec.ID) {
		return false
	}
	if ep == p.primary(ep.group, now) {
		return true
	}
	required, covered := ep.group.samples.RequiredPosition(pq.asOf, pq.session.state.Floor())
	return covered && ep.spec.ID != ep.group.permit.Primary && !ep.lacksPosition(required, now)
}

// lacksPosition reports whether a replica is known to lag behind a position.
// Once the lag backoff has passed, the replica is tried again.
func (ep *endpointPool) lacksPosition(required rosemarylb.Position, now time.Time) bool {
	return now.Before(ep.laggingUntil) && ep.applied.Less(required)
}

// openNearer opens connections to endpoints without idle connections whose read
// cost is lower than that of the best available one by more than
// initialLatency.
func (p *Proxy) openNearer(g *group, pq *pendingQuery, best *endpointPool, now time.Time) {
	for _, ep := range g.pools {
		if ep == best || pq.excludes(ep.spec.ID) || !p.acceptsReads(ep, now) || p.canTake(ep, pq, now) {
			continue
		}
		if best == nil || p.readCost(ep)+initialLatency < p.readCost(best) {
			p.openTo(ep, pq, now)
		}
	}
}

// openTo opens a connection to an endpoint for a query.
func (p *Proxy) openTo(ep *endpointPool, pq *pendingQuery, now time.Time) {
	if p.usesTeams() {
		p.follow(p.teamPathTo(ep, pq, now), ep, pq.team, now)
		return
	}
	p.openDirect(ep, now)
}

// readCost returns the expected time for an endpoint to answer a read.
func (p *Proxy) readCost(ep *endpointPool) time.Duration {
	cost := ep.stats.latency
	if cost == 0 {
		cost = initialLatency
		switch {
		case ep.spec.Region != p.region:
			cost += costOtherRegion
		case ep.spec.Domain != p.domain:
			cost += costOtherDomain
		}
	}
	if ep.group.permit.Primary == ep.spec.ID {
		cost += costPrimary
	}
	return cost + cost*time.Duration(ep.count(connectionBusy))/time.Duration(max(ep.spec.Slots, 1))
}

// place runs a query on the most suitable idle connection to an endpoint, or
// pipelines it behind another read.
func (p *Proxy) place(pq *pendingQuery, ep *endpointPool, now time.Time) {
	if p.usesTeams() {
		p.placeForTeam(pq, ep, now)
		return
	}
	if best := ep.idleFor(pq); best != nil {
		p.execute(pq, best, now)
		return
	}
	c := p.pipelineTarget(ep)
	if c == nil || !c.acceptsPipelined(pq) {
		p.delay(ep.group, pq, now.Add(placementDelay))
		return
	}
	p.pipelineRead(pq, c, now)
}

// idleFor returns the most suitable idle connection for a query, nil if there is none.
func (ep *endpointPool) idleFor(pq *pendingQuery) *connection {
	var best *connection
	for _, c := range ep.connections {
		if c.state != connectionIdle || !pq.canUse(c) {
			continue
		}
		if best == nil || c.affinity(pq) > best.affinity(pq) {
			best = c
		}
	}
	return best
}

// placeForTeam runs a query on a connection of its team, or through an owner.
func (p *Proxy) placeForTeam(pq *pendingQuery, ep *endpointPool, now time.Time) {
	path := p.teamPathTo(ep, pq, now)
	if path.connection == nil {
		p.delay(ep.group, pq, now.Add(placementDelay))
		return
	}
	p.execute(pq, path.connection, now)
}

// affinity ranks a connection for a query, the highest first: one with the
// settings of the session, one without settings, one that needs a reset, a
// relay.
func (c *connection) affinity(pq *pendingQuery) int {
	if c.isRelayed() {
		return -1
	}
	switch c.settingsKey {
	case pq.session.state.SettingsKey():
		return 2
	case "":
		return 1
	default:
		return 0
	}
}
