package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// maxAttempts is the maximum number of attempts of a query.
	maxAttempts = 12
	// costOtherDomain and costOtherRegion are the assumed latency of the network, both
	// ways, to an endpoint in another failure domain or region.
	costOtherDomain = 4 * time.Millisecond
	costOtherRegion = 60 * time.Millisecond
	// costPrimary is by how much the primary, which alone serves writes, has to finish
	// a read earlier than other endpoints.
	costPrimary = 15 * time.Millisecond
	// initialLatency is the assumed service time of a group that has not replied yet.
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

// canSendRead reports whether a read can be sent now. If not, it opens a connection to the
// preferred endpoint. Where connections belong to no team, a read that no endpoint may
// serve counts as sent, so that those behind it do not wait.
func (p *Proxy) canSendRead(g *group, pq *pendingQuery, now time.Time) bool {
	c := p.chooseRead(g, pq, now)
	if c.target != nil {
		return true
	}
	if c.preferred != nil {
		p.openTo(c.preferred, pq, now)
	}
	for _, ep := range c.others {
		p.openTo(ep, pq, now)
	}
	if p.usesTeams() {
		return false
	}
	primary := p.primary(g, now)
	if primary != nil && (c.preferred == nil || !c.preferred.canOpen(p.connectionLimit(c.preferred), now)) {
		p.openRelay(primary, now)
	}
	return c.preferred == nil
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

// chooseReadEndpoint returns the endpoint that takes a read now, nil if there is none. It
// opens a connection to the preferred endpoint if that has none free.
func (p *Proxy) chooseReadEndpoint(g *group, pq *pendingQuery, now time.Time) *endpointPool {
	if pq.isRelayed() {
		return p.relayTarget(pq, now)
	}
	c := p.chooseRead(g, pq, now)
	spares := c.isClose && c.preferred != nil && p.replacesConnection(c.preferred, pq, now)
	if c.preferred != c.target && c.preferred != nil && !spares {
		p.openTo(c.preferred, pq, now)
	}
	if c.target != nil {
		p.recordPlacement(pq, c, now)
	}
	return c.target
}

// replacesConnection reports whether the connection that a query needs to an endpoint may
// take the place of one of another team. It is not worth that where another endpoint
// serves the query as well.
func (p *Proxy) replacesConnection(ep *endpointPool, pq *pendingQuery, now time.Time) bool {
	return p.usesTeams() && p.teamPathTo(ep, pq, now).openDirect
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

// openTo opens a connection to an endpoint for a query.
func (p *Proxy) openTo(ep *endpointPool, pq *pendingQuery, now time.Time) {
	if p.usesTeams() {
		p.follow(p.teamPathTo(ep, pq, now), ep, pq.team, now)
		return
	}
	p.openDirect(ep, now)
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
