package proxy

import (
	"maps"
	"time"

	"rosemarylb"
)

const (
	// openTimeout is the maximum time to establish a connection.
	openTimeout = time.Second
	// openStallThreshold is how long a connection attempt may take before
	// queries use a relay as well. It allows for a few round trips between
	// regions and a slow handshake.
	openStallThreshold = 150 * time.Millisecond
	// rollbackTimeout is the maximum time to roll back a transaction.
	rollbackTimeout = time.Second
	// openBackoff is the delay after a failed connection attempt, and the time
	// for which reads avoid an endpoint after a failure.
	openBackoff = 150 * time.Millisecond
	// connectionLimitBackoff is the delay after an endpoint rejected a
	// connection because its connection limit was reached.
	connectionLimitBackoff = 400 * time.Millisecond
	// softLimitDuration is how long the soft limit, learned from such a
	// rejection, caps the number of connections to the endpoint.
	softLimitDuration = 2 * connectionLimitBackoff
	// idleConnectionTimeout is how long a relay connection, or a direct
	// connection other than the last one to an endpoint, may stay idle. An
	// endpoint still counts the connections of a machine that lost power for
	// several seconds, and the others need free connections during that time.
	idleConnectionTimeout = 3 * time.Second
	// reservedConnections is the number of connections of an endpoint that are
	// reserved for the keeper.
	reservedConnections = 1
	// maxPreparedStatements is the number of prepared statements above which a
	// connection is closed when it becomes available.
	maxPreparedStatements = 256
)

// connectionLimit returns the number of direct connections that this instance
// may hold to an endpoint.
func (p *Proxy) connectionLimit(ep *endpointPool) int {
	if ep.spec.Connections <= 0 {
		// The configuration does not name a limit.
		return 1
	}
	if p.usesTeams() {
		return p.teamConnectionLimit(ep)
	}
	offset := 0
	for _, char := range ep.spec.ID {
		offset += int(char)
	}
	connections := ep.usableConnections()
	near := p.peersInRegion(ep.spec.Region)
	if !p.knowsPeersOf(ep) {
		if connections < p.share.Members {
			return p.provisionalConnections(ep)
		}
		return p.share.Limit(connections, offset)
	}
	all := max(len(p.peers), p.share.Members)
	far := all - near
	if connections < all {
		// There is less than one connection per instance: the instances in the
		// region of the endpoint share them, and all others use relays.
		far = 0
	}
	switch {
	case p.region != ep.spec.Region:
		return min(far, 1)
	case connections < near:
		// There is less than one connection per instance of the region.
		return p.ownedConnections(ep)
	default:
		return max((connections-far)/near, 1)
	}
}

// knowsPeersOf reports whether this instance knows most instances, and one at least in
// the region of an endpoint.
func (p *Proxy) knowsPeersOf(ep *endpointPool) bool {
	return p.peersInRegion(ep.spec.Region) > 0 && 2*len(p.peers) >= p.share.Members
}

// peersInRegion returns the number of instances in a region that accept relayed
// queries.
func (p *Proxy) peersInRegion(r rosemarylb.RegionName) int {
	return p.peersByRegion[r]
}

// canOpen reports whether another direct connection may be opened now.
func (ep *endpointPool) canOpen(limit int, now time.Time) bool {
	if now.Before(ep.softLimitUntil) {
		limit = min(limit, ep.softLimit)
	}
	return !ep.removed && ep.directCount() < limit && !now.Before(ep.nextOpenAt)
}

// openStalled reports whether a direct connection attempt has taken so long
// that the endpoint may be unreachable from this instance.
func (ep *endpointPool) openStalled(now time.Time) bool {
	for _, c := range ep.connections {
		if c.state == connectionOpening && !c.isRelayed() && c.openStalled(now) {
			return true
		}
	}
	return false
}

// openStalled reports whether the connection, which is being opened, takes unusually
// long.
func (c *connection) openStalled(now time.Time) bool {
	return now.After(c.expiresAt.Add(openStallThreshold - openTimeout))
}

// openDirect opens another direct connection, unless the limit is reached or
// two connections are already opening.
func (p *Proxy) openDirect(ep *endpointPool, now time.Time) {
	if !ep.canOpen(p.connectionLimit(ep), now) || ep.count(connectionOpening) >= 2 {
		return
	}
	p.open(ep, ep.spec, now)
}

// open starts a connection attempt.
func (p *Proxy) open(ep *endpointPool, spec rosemarylb.EndpointSpec, now time.Time) {
	p.lastID++
	c := &connection{
		id:        rosemarylb.ConnectionID(p.lastID),
		pool:      ep,
		state:     connectionOpening,
		via:       spec.Via,
		team:      spec.Team,
		expiresAt: now.Add(openTimeout),
		prepared:  map[string]struct{}{},
	}
	ep.connections = append(ep.connections, c)
	p.connections[c.id] = c
	p.endpointPort.Open(c.id, spec)
}

func (p *Proxy) handleOpened(e ConnectionOpened, now time.Time) {
	c, found := p.connections[e.Connection]
	if !found {
		p.endpointPort.Close(e.Connection)
		return
	}
	p.makeAvailable(c, now)
}

// makeAvailable returns a connection without an open transaction to its pool,
// or closes it if it is no longer needed, and dispatches waiting queries.
func (p *Proxy) makeAvailable(c *connection, now time.Time) {
	if c.nextPipelined() {
		return
	}
	c.state = connectionIdle
	c.expiresAt = now.Add(p.idleTimeout())
	c.current = nil
	c.session = nil
	ep := c.pool
	if ep.removed || ep.spec.Leaving || c.closing || !c.isRelayed() && ep.directCount() > p.connectionLimit(ep) ||
		len(c.prepared) > maxPreparedStatements {
		p.closeConnection(c, now)
	}
	p.dispatch(ep.group, now)
}

// idleTimeout returns how long a connection may stay idle.
func (p *Proxy) idleTimeout() time.Duration {
	if p.usesTeams() {
		return teamIdleTimeout
	}
	return idleConnectionTimeout
}

// rollBack detaches a connection from its session and rolls back its
// transaction.
func (p *Proxy) rollBack(c *connection, now time.Time) {
	if c.session != nil {
		c.session.pinned = nil
		c.session = nil
	}
	c.current = nil
	c.state = connectionRollingBack
	c.expiresAt = now.Add(rollbackTimeout)
	q := rosemarylb.Query{
		Kind: rosemarylb.QueryRollback,
	}
	if c.isRelayed() {
		q = q.WithRankAndTimeout(rosemarylb.RankUrgent, rollbackTimeout.Milliseconds())
	}
	p.endpointPort.Send(c.id, q)
}

// closeConnection closes a connection, removes it from its pool and resolves
// the reads pipelined on it.
func (p *Proxy) closeConnection(c *connection, now time.Time) {
	p.endpointPort.Close(c.id)
	p.removeConnection(c)
	p.failPipelined(c, now)
}

func (p *Proxy) removeConnection(c *connection) {
	delete(p.connections, c.id)
	var rest []*connection
	for _, o := range c.pool.connections {
		if o != c {
			rest = append(rest, o)
		}
	}
	c.pool.connections = rest
	if c.session != nil {
		c.session.pinned = nil
		c.session = nil
	}
}

// handleLost removes a lost connection, updates the backoff of its endpoint and
// resolves the queries on it.
func (p *Proxy) handleLost(e ConnectionLost, now time.Time) {
	c, found := p.connections[e.Connection]
	if !found {
		return
	}
	ep := c.pool
	opening := c.state == connectionOpening
	p.removeConnection(c)
	p.log.Info("connection lost", "endpoint", ep.spec.ID, "connection", c.id, "state", c.state.String(),
		"code", e.Code.String())
	switch {
	case c.isRelayed():
		p.handleRelayLost(c, e.Code, now)
	case e.Code == rosemarylb.ReplyConnectionLimit:
		ep.softLimit = max(ep.directCount(), 1)
		ep.softLimitUntil = now.Add(softLimitDuration)
		ep.nextOpenAt = now.Add(connectionLimitBackoff)
	case e.Code == rosemarylb.ReplyWrongEndpoint:
		ep.nextOpenAt = now.Add(time.Second)
		ep.avoidUntil = now.Add(time.Second)
	case opening:
		ep.nextOpenAt = now.Add(openBackoff)
		p.recordFailure(ep, now)
	default:
		p.recordFailure(ep, now)
	}
	if !c.isRelayed() && e.Code == rosemarylb.ReplyDone && (opening || c.current != nil) {
		p.recordUnanswered(ep, now)
	}
	if c.current != nil {
		p.resolveLost(c.current, now)
	}
	p.failPipelined(c, now)
	p.dispatch(ep.group, now)
}

// recordFailure makes reads avoid an endpoint for openBackoff. A failure of the
// primary is added to the observation that the keeper receives.
func (p *Proxy) recordFailure(ep *endpointPool, now time.Time) {
	ep.avoidUntil = now.Add(openBackoff)
	if ep.spec.ID == ep.group.permit.Primary {
		ep.group.observation = ep.group.observation.withFailure(ep.spec.ID, now)
	}
}

// expireConnections handles connections whose expiry time has passed: idle
// connections, connection attempts, rollbacks and transactions that their
// callers left idle.
func (p *Proxy) expireConnections(now time.Time) {
	for _, c := range p.connections {
		if c.expiresAt.IsZero() || now.Before(c.expiresAt) {
			continue
		}
		switch c.state {
		case connectionPinned:
			s := c.session
			s.state = s.state.WithTransactionState(rosemarylb.TransactionFailed)
			p.log.Info("transaction ended", "session", s.state.ID(), "reason", "idle", "endpoint", c.pool.spec.ID)
			p.rollBack(c, now)
		case connectionIdle:
			if c.isRelayed() || c.pool.directCount() > 1 {
				p.closeConnection(c, now)
			}
		case connectionOpening, connectionRollingBack:
			p.endpointPort.Close(c.id)
			p.handleLost(ConnectionLost{
				Connection: c.id,
			}, now)
		default:
		}
	}
}

// setupSteps returns the statements that bring a connection to the state that a
// query needs: the settings of the session and the prepared statement.
func (c *connection) setupSteps(pq *pendingQuery) []rosemarylb.Query {
	var steps []rosemarylb.Query
	d := pq.session.state
	if c.settingsKey != d.SettingsKey() {
		wanted := d.Settings()
		current := c.settings
		for name := range current {
			if _, found := wanted[name]; !found {
				steps = append(steps, rosemarylb.Query{
					Kind: rosemarylb.QueryReset,
				})
				current = nil
				break
			}
		}
		for name, value := range wanted {
			if old, found := current[name]; found && old == value {
				continue
			}
			steps = append(steps, rosemarylb.Query{
				Kind:  rosemarylb.QuerySet,
				Name:  name,
				Value: value,
			})
		}
	}
	if pq.query.Kind == rosemarylb.QueryExecute {
		_, found := c.prepared[pq.query.Name]
		if !found || len(steps) > 0 && steps[0].Kind == rosemarylb.QueryReset {
			steps = append(steps, rosemarylb.Query{
				Kind:   rosemarylb.QueryPrepare,
				Name:   pq.query.Name,
				Value:  pq.query.Value,
				Writes: pq.query.Writes,
			})
		}
	}
	return steps
}

// recordSetup updates the connection after a setup step succeeded.
func (c *connection) recordSetup(q rosemarylb.Query) {
	switch q.Kind {
	case rosemarylb.QueryReset:
		c.settings = nil
		c.prepared = map[string]struct{}{}
	case rosemarylb.QuerySet:
		c.settings = maps.Clone(c.settings)
		if c.settings == nil {
			c.settings = map[string]string{}
		}
		c.settings[q.Name] = q.Value
	case rosemarylb.QueryPrepare:
		c.prepared[q.Name] = struct{}{}
	default:
		return
	}
}
