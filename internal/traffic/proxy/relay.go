package proxy

import (
	"maps"
	"time"

	"rosemarylb"
)

const (
	// maxRelays is the maximum number of relay connections to a primary through
	// other instances in its region, sized for a burst of queries.
	maxRelays = 6
	// relayBackoff is the delay after a relay connection was lost.
	relayBackoff = 500 * time.Millisecond
	// relayRejectionBackoff is how long an instance that rejected a relay
	// connection is not asked for another one to the same endpoint.
	relayRejectionBackoff = 300 * time.Millisecond
	// relaySessionBit marks the identifiers of relay sessions, which other
	// instances opened.
	relaySessionBit = rosemarylb.SessionID(1) << 62
)

// WithRelays sets the port for relay sessions and the address at which other
// instances reach this one.
func WithRelays(port rosemarylb.CallerPort, address string) Option {
	return func(p *Proxy) {
		p.relayPort = port
		p.address = address
	}
}

// port returns the port of a session and its identifier on this port.
func (p *Proxy) port(id rosemarylb.SessionID) (rosemarylb.CallerPort, rosemarylb.SessionID) {
	if id&relaySessionBit != 0 {
		return p.relayPort, id &^ relaySessionBit
	}
	return p.callerPort, id
}

func (p *Proxy) sendReply(id rosemarylb.SessionID, r rosemarylb.Reply) {
	port, number := p.port(id)
	port.SendReply(number, r)
}

func (p *Proxy) acceptSession(id rosemarylb.SessionID) {
	port, number := p.port(id)
	port.Accept(number)
}

func (p *Proxy) rejectSession(id rosemarylb.SessionID, r rosemarylb.Reply) {
	port, number := p.port(id)
	port.Reject(number, r)
}

func (p *Proxy) closeSession(id rosemarylb.SessionID) {
	port, number := p.port(id)
	port.Close(number)
}

// RelaySink returns the sink for relay sessions, in which other instances
// forward queries.
func (p *Proxy) RelaySink() rosemarylb.CallerSink {
	return relaySink{
		proxy: p,
	}
}

// relaySink passes events of relay sessions to the proxy.
type relaySink struct {
	proxy *Proxy
}

// SessionOpened implements rosemarylb.CallerSink. The group replaces the database
// name.
func (s relaySink) SessionOpened(id rosemarylb.SessionID, r rosemarylb.SessionRequest) {
	s.proxy.ring.Put(SessionOpened{
		Session:  id | relaySessionBit,
		Database: r.Database,
		Endpoint: r.Endpoint,
	})
}

// QueryReceived implements rosemarylb.CallerSink.
func (s relaySink) QueryReceived(id rosemarylb.SessionID, q rosemarylb.Query) {
	s.proxy.QueryReceived(id|relaySessionBit, q)
}

// SessionClosed implements rosemarylb.CallerSink.
func (s relaySink) SessionClosed(id rosemarylb.SessionID) {
	s.proxy.SessionClosed(id | relaySessionBit)
}

// relayRoute returns the route of a query that another instance forwards.
func relayRoute(s *session, q rosemarylb.Query) rosemarylb.Route {
	return rosemarylb.Route{
		Group:         rosemarylb.DatabaseName(s.state.Database()),
		Consistency:   rosemarylb.ConsistencyPrimary,
		TimeoutMillis: q.TimeoutMillis,
		Rank:          min(q.Rank, rosemarylb.RankCount-1),
	}
}

// hasLocalQueries reports whether a query of a local caller is queued. Relayed
// queries are not forwarded again.
func (g *group) hasLocalQueries() bool {
	for _, pq := range g.queued {
		if pq.session.relayEndpoint == "" {
			return true
		}
	}
	return false
}

// canUse reports whether a query may run on a connection: a direct one of its team, or
// a relay connection for a query that was not relayed itself.
func (pq *pendingQuery) canUse(c *connection) bool {
	if c.isRelayed() {
		return !pq.isRelayed()
	}
	return c.team == pq.team
}

// relayTarget returns the endpoint that a relayed query names, nil if it does not accept
// reads now.
func (p *Proxy) relayTarget(pq *pendingQuery, now time.Time) *endpointPool {
	ep, found := p.pools[pq.session.relayEndpoint]
	if !found || !p.acceptsReads(ep, now) {
		return nil
	}
	return ep
}

// relayRejection returns the reply to a relayed query that this instance cannot run on
// an endpoint, or on none, so that the other instance chooses another way. It returns
// false if the query may run or wait.
func (p *Proxy) relayRejection(pq *pendingQuery, ep *endpointPool) (rosemarylb.Reply, bool) {
	switch {
	case !pq.isRelayed(), ep == nil && pq.needsPrimary:
		return rosemarylb.Reply{}, false
	case ep == nil:
		return rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: the endpoint is not available"), true
	case pq.targetsOtherPrimary(ep):
		return rosemarylb.NewReply(rosemarylb.ReplyReadOnly, "the endpoint does not lead"), true
	case p.usesTeams() && ep.directCount() == 0 && p.connectionLimit(ep) == 0:
		return rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: no connection to the endpoint"), true
	default:
		return rosemarylb.Reply{}, false
	}
}

// targetsOtherPrimary reports whether the query was relayed for a primary other
// than the given endpoint.
func (pq *pendingQuery) targetsOtherPrimary(ep *endpointPool) bool {
	return pq.isRelayed() && pq.session.relayEndpoint != ep.spec.ID
}

// openRelay opens a connection to a primary through another instance in its
// region, which may have an idle connection while those of this instance are
// busy.
func (p *Proxy) openRelay(ep *endpointPool, now time.Time) {
	if !ep.group.hasLocalQueries() {
		return
	}
	near := p.nextRelays(ep, now)
	if len(near) == 0 {
		return
	}
	p.lastID++
	p.open(ep, ep.spec.WithRelay(near[p.lastID%uint64(len(near))]), now)
}

// nextRelays returns the addresses of the instances through which another relay
// connection to an endpoint may be opened now.
func (p *Proxy) nextRelays(ep *endpointPool, now time.Time) []string {
	if now.Before(ep.nextRelayAt) || ep.relayCount() >= maxRelays || ep.openingRelayCount() > 1 {
		return nil
	}
	var near []string
	for _, address := range p.relayCandidates(ep) {
		if address != p.address && ep.mayRelayThrough(address, now) {
			near = append(near, address)
		}
	}
	return near
}

// mayRelayThrough reports whether a relay connection may be opened through the
// instance at an address: it has not rejected one lately, and none is opening.
func (ep *endpointPool) mayRelayThrough(address string, now time.Time) bool {
	if now.Before(ep.relayRejectedUntil[address]) {
		return false
	}
	for _, c := range ep.connections {
		if c.state == connectionOpening && c.via == address {
			return false
		}
	}
	return true
}

// acceptsRelaySession reports whether this instance can pass queries on to an
// endpoint: it has a connection to it, or may open one now. Otherwise the other
// instance is better served by the next one that it asks.
func (p *Proxy) acceptsRelaySession(id rosemarylb.EndpointID, now time.Time) bool {
	ep, found := p.pools[id]
	if !found {
		return false
	}
	for _, c := range ep.connections {
		if !c.isRelayed() && c.state != connectionOpening && !c.closing {
			return true
		}
	}
	if p.usesTeams() {
		return !ep.removed && p.connectionLimit(ep) > 0
	}
	return ep.canOpen(p.connectionLimit(ep), now)
}

// handleRelayLost records that a relay connection was lost, or rejected by an
// instance that cannot reach the endpoint itself. Where connections belong to teams, the
// other owners are still asked.
func (p *Proxy) handleRelayLost(c *connection, code rosemarylb.ReplyCode, now time.Time) {
	ep, until := c.pool, now.Add(relayRejectionBackoff)
	if code != rosemarylb.ReplyBusy {
		until = now.Add(relayBackoff)
		if !p.usesTeams() {
			ep.nextRelayAt = until
			return
		}
	}
	ep.rejectRelay(c.via, until, now)
}

// rejectRelay passes over the instance at an address for a time.
func (ep *endpointPool) rejectRelay(address string, until, now time.Time) {
	if ep.relayRejectedUntil == nil {
		ep.relayRejectedUntil = map[string]time.Time{}
	}
	maps.DeleteFunc(ep.relayRejectedUntil, func(_ string, ended time.Time) bool {
		return !now.Before(ended)
	})
	ep.relayRejectedUntil[address] = until
}

// closeRelays closes the relay connections to a former primary: relays forward
// queries to primaries only.
func (p *Proxy) closeRelays(former rosemarylb.EndpointID, now time.Time) {
	ep, found := p.pools[former]
	if !found {
		return
	}
	for _, c := range ep.connections {
		if !c.isRelayed() {
			continue
		}
		c.closing = true
		if c.state == connectionIdle {
			p.closeConnection(c, now)
		}
	}
}

// relayCount returns the number of relay connections.
func (ep *endpointPool) relayCount() int {
	n := 0
	for _, c := range ep.connections {
		if c.isRelayed() {
			n++
		}
	}
	return n
}

// openingRelayCount returns the number of relay connections that are not
// established yet.
func (ep *endpointPool) openingRelayCount() int {
	n := 0
	for _, c := range ep.connections {
		if c.isRelayed() && c.state == connectionOpening {
			n++
		}
	}
	return n
}

// directCount returns the number of direct connections.
func (ep *endpointPool) directCount() int {
	return len(ep.connections) - ep.relayCount()
}
