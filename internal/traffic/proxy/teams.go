package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/ownership"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxRelaysPerOwner is the maximum number of relay connections to an endpoint
	// through one owner. Beyond it, queries go to the next owner of the team.
	maxRelaysPerOwner = 4
	// maxOpening is the maximum number of connections to an endpoint that are opened at
	// the same time. Each of them occupies a slot of the endpoint meanwhile.
	maxOpening = 2
	// teamIdleTimeout is how long a connection that belongs to a team, or a relay
	// connection to an owner, may stay idle. It spans the pauses of a small team. The
	// owners' limits leave room at the endpoint for connections of lost instances.
	teamIdleTimeout = 15 * time.Second
)

var replacedTotal = metrics.NewCounter(`rosemarylb_proxy_connections_replaced_total`)

// teamOwners are the owners of the connections to an endpoint where these belong to
// teams, and what they were chosen for.
type teamOwners struct {
	peersRevision uint64
	connections   int
	owners        ownership.Owners
	ranked        map[rosemarylb.TeamName][]string
}

// usesTeams reports whether the connections to endpoints belong to teams.
func (p *Proxy) usesTeams() bool {
	return p.catalog.Authenticates()
}

// weightOf returns the weight of a team in the queues, by the configuration of this
// instance. Callers without a team, and teams that are not configured, have the usual
// one.
func (p *Proxy) weightOf(name rosemarylb.TeamName) int {
	t, found := p.catalog.Team(name)
	if !found {
		t.Priority = rosemarylb.UsualPriority
	}
	return t.Weight()
}

// ownersFor returns the owners of the connections to an endpoint.
func (p *Proxy) ownersFor(ep *endpointPool) *teamOwners {
	t, connections := &ep.teamOwners, ep.usableConnections()
	if t.ranked == nil || t.peersRevision != p.peersRevision || t.connections != connections {
		*t = teamOwners{
			peersRevision: p.peersRevision,
			connections:   connections,
			owners:        ownership.NewOwners(ep.spec, p.peers, connections),
			ranked:        map[rosemarylb.TeamName][]string{},
		}
	}
	return t
}

// rankedOwners returns the addresses of an endpoint's owners in the order in which the
// queries of a team prefer them.
func (p *Proxy) rankedOwners(ep *endpointPool, team rosemarylb.TeamName) []string {
	t := p.ownersFor(ep)
	ranked, found := t.ranked[team]
	if !found {
		ranked = t.owners.RankedFor(team)
		t.ranked[team] = ranked
	}
	return ranked
}

// teamConnectionLimit returns the number of connections that this instance may hold to
// an endpoint for all teams together.
func (p *Proxy) teamConnectionLimit(ep *endpointPool) int {
	if !p.knowsPeersOf(ep) {
		if p.share.Members == 0 || !p.isProvisionalOwner(ep, ownership.Count(ep.usableConnections())) {
			return 0
		}
		return ownership.Limit(ep.usableConnections())
	}
	if t := p.ownersFor(ep); t.owners.Includes(p.address) {
		return t.owners.Limit()
	}
	return 0
}

// teamPath is how a query of a team reaches an endpoint now: on a connection, or after
// one has been opened.
type teamPath struct {
	connection *connection
	// openDirect is true if this instance has to open a connection to the endpoint.
	openDirect bool
	// openVia is the address of the owner to open a relay connection through.
	openVia string
}

// teamPathTo returns how a query reaches an endpoint: on a direct connection of its
// team, else through the first owner in the team's order that has room and has not
// failed lately. The zero path means that the query has to wait.
func (p *Proxy) teamPathTo(ep *endpointPool, pq *pendingQuery, now time.Time) teamPath {
	if c := ep.directFor(pq); c != nil {
		if ep.atConcurrencyLimit() {
			return teamPath{}
		}
		return teamPath{
			connection: c,
		}
	}
	if pq.isRelayed() {
		return teamPath{
			openDirect: true,
		}
	}
	if !p.knowsPeersOf(ep) {
		return teamPath{
			openDirect: p.connectionLimit(ep) > 0,
		}
	}
	for _, address := range p.rankedOwners(ep, pq.team) {
		if address == p.address {
			return teamPath{
				openDirect: true,
			}
		}
		if path, usable := ep.relayPath(address, now); usable {
			return path
		}
	}
	return teamPath{}
}

// relayPath returns how a query reaches the endpoint through an owner, false if the
// owner has no room, or does not answer.
func (ep *endpointPool) relayPath(address string, now time.Time) (teamPath, bool) {
	count := 0
	opening := false
	for _, c := range ep.connections {
		if c.via != address {
			continue
		}
		count++
		if c.state == connectionIdle && !c.closing {
			return teamPath{
				connection: c,
			}, true
		}
		opening = opening || c.state == connectionOpening && !c.openStalled(now)
	}
	switch {
	case opening:
		return teamPath{}, true
	case count >= maxRelaysPerOwner || !ep.mayRelayThrough(address, now):
		return teamPath{}, false
	default:
		return teamPath{
			openVia: address,
		}, true
	}
}

// directFor returns the idle direct connection on which a query runs with the fewest
// setup steps, nil if there is none of its team.
func (ep *endpointPool) directFor(pq *pendingQuery) *connection {
	var best *connection
	for _, c := range ep.connections {
		if c.state != connectionIdle || c.isRelayed() || c.closing || !pq.canUse(c) {
			continue
		}
		if best == nil || c.affinity(pq) > best.affinity(pq) {
			best = c
		}
	}
	return best
}

// atConcurrencyLimit reports whether this instance occupies as many slots of the
// endpoint as it has, with statements and with connections that are being opened.
// Further queries wait here, where rank and team decide.
func (ep *endpointPool) atConcurrencyLimit() bool {
	running := 0
	for _, c := range ep.connections {
		if !c.isRelayed() && (c.state == connectionBusy || c.state == connectionOpening) {
			running++
		}
	}
	return running >= max(ep.spec.Slots, 1)
}

// follow opens the connection that a path needs.
func (p *Proxy) follow(path teamPath, ep *endpointPool, team rosemarylb.TeamName, now time.Time) {
	switch {
	case path.openVia != "":
		p.open(ep, ep.spec.WithRelay(path.openVia), now)
	case path.openDirect:
		p.openForTeam(ep, team, now)
	}
}

// openForTeam opens a connection of a team. Where the limit is reached, it replaces the
// connection of another team that has been idle for longest.
func (p *Proxy) openForTeam(ep *endpointPool, team rosemarylb.TeamName, now time.Time) {
	idle, allowed := p.openingFor(ep, team, now)
	if !allowed {
		return
	}
	if idle != nil {
		replacedTotal.Inc()
		p.closeConnection(idle, now)
	}
	p.open(ep, ep.spec.WithTeam(team), now)
}

// openingFor reports whether a connection of a team may be opened now, and returns the
// idle connection that it replaces, nil if none.
func (p *Proxy) openingFor(ep *endpointPool, team rosemarylb.TeamName, now time.Time) (*connection, bool) {
	if ep.removed || now.Before(ep.nextOpenAt) || ep.openingDirect(team) > 0 ||
		ep.count(connectionOpening) >= maxOpening || ep.atConcurrencyLimit() {
		return nil, false
	}
	limit := p.connectionLimit(ep)
	if limit == 0 {
		return nil, false
	}
	if ep.canOpen(limit, now) {
		return nil, true
	}
	idle := ep.leastRecentlyUsed(team)
	return idle, idle != nil
}

// openingDirect returns the number of connections of a team that are being opened.
func (ep *endpointPool) openingDirect(team rosemarylb.TeamName) int {
	n := 0
	for _, c := range ep.connections {
		if c.state == connectionOpening && !c.isRelayed() && c.team == team {
			n++
		}
	}
	return n
}

// leastRecentlyUsed returns the direct connection of another team that has been idle for
// longest, nil if none is idle.
func (ep *endpointPool) leastRecentlyUsed(team rosemarylb.TeamName) *connection {
	var oldest *connection
	for _, c := range ep.connections {
		if c.state != connectionIdle || c.isRelayed() || c.team == team {
			continue
		}
		if oldest == nil || c.expiresAt.Before(oldest.expiresAt) {
			oldest = c
		}
	}
	return oldest
}

// teamTarget returns the endpoint of a query that no other endpoint may run, nil if it is
// not available now.
func (p *Proxy) teamTarget(g *group, pq *pendingQuery, now time.Time) *endpointPool {
	if pq.isRelayed() && !pq.needsPrimary {
		return p.relayTarget(pq, now)
	}
	return p.primary(g, now)
}

// canSendForTeam reports whether a query that one endpoint has to run can be sent now, or
// has to be rejected. If no connection is available, it opens one.
func (p *Proxy) canSendForTeam(g *group, pq *pendingQuery, now time.Time) bool {
	target := p.teamTarget(g, pq, now)
	if _, rejected := p.relayRejection(pq, target); rejected || target == nil {
		return rejected
	}
	path := p.teamPathTo(target, pq, now)
	if path.connection == nil {
		p.follow(path, target, pq.team, now)
	}
	return path.connection != nil
}
