package proxy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/explanation"
	"rosemarylb/internal/traffic/quota"
	"rosemarylb/internal/traffic/sessionstate"
)

// explainedPath is how a query would reach an endpoint. The zero path means that it
// could not be sent now.
type explainedPath struct {
	connection explanation.Connection
	via        string
}

// explain returns where a request of a caller would go now. It runs the decisions of a
// real request on a query that is never queued, and discards the values that they return.
func (p *Proxy) explain(r explanation.Request, now time.Time) explanation.Explanation {
	e := explanation.Explanation{
		Version: p.catalog.Version,
	}
	if p.catalog.Version == 0 {
		reply := noConfigurationReply()
		return e.WithDecision(explanation.Decision{
			Outcome:           explanation.OutcomeWaits,
			Code:              reply.Code.String(),
			Reason:            reply.Text,
			WaitsAtMostMillis: sessionWaitTimeout.Milliseconds(),
		})
	}
	route, found := p.catalog.Routes[r.Database]
	if !found {
		return e.WithDecision(refusal(noDatabaseReply()))
	}
	team, admitted := p.catalog.Admit(route, p.keyOf(r.Team))
	pq := p.explainedQuery(r, route, team, now)
	g, found := p.groups[route.Group]
	if !found {
		g = p.newGroup(route.Group)
	}
	e = e.WithCandidates(string(g.name), p.explainCandidates(g, pq, now))
	switch {
	case !admitted:
		return e.WithDecision(p.explainUnauthenticated(r))
	case p.closesIdleSessions(now):
		return e.WithDecision(refusal(shutdownReply()))
	}
	return e.WithDecision(p.explainQuery(g, pq, now))
}

// keyOf returns an API key of a team, the zero key if it has none.
func (p *Proxy) keyOf(team rosemarylb.TeamName) rosemarylb.KeyDigest {
	t, _ := p.catalog.Team(team)
	for _, key := range t.Keys {
		if holder, found := p.catalog.TeamOf(key); found && holder == team {
			return key
		}
	}
	return rosemarylb.KeyDigest{}
}

// explainedQuery returns the query of a request, in a session of its own that is not
// registered.
func (p *Proxy) explainedQuery(r explanation.Request, route rosemarylb.Route, team rosemarylb.TeamName,
	now time.Time,
) *pendingQuery {
	state := sessionstate.NewSession(0, r.Database).WithFloor(r.Floor)
	query := rosemarylb.Query{
		Kind: rosemarylb.QueryRead,
	}
	begin := rosemarylb.QueryBeginRead
	if r.Kind == explanation.KindWrite || r.Kind == explanation.KindBegin {
		query.Kind = rosemarylb.QueryWrite
		query.Writes = true
		begin = rosemarylb.QueryBegin
	}
	if r.Kind == explanation.KindBegin || r.Kind == explanation.KindBeginRead {
		state, _ = state.WithQuery(rosemarylb.Query{
			Kind: begin,
		})
	}
	state, action := state.WithQuery(query)
	s := &session{
		state: state,
		route: route,
		access: access{
			team: team,
		},
	}
	return newPendingQuery(p.lastID+1, s, action.Query, now)
}

// refusal returns the decision on a request that is answered with an error at once.
func refusal(r rosemarylb.Reply) explanation.Decision {
	return explanation.Decision{
		Outcome: explanation.OutcomeRefused,
		Code:    r.Code.String(),
		Reason:  r.Text,
	}
}

func (p *Proxy) explainUnauthenticated(r explanation.Request) explanation.Decision {
	d := refusal(unauthenticatedReply())
	_, known := p.catalog.Team(r.Team)
	switch {
	case r.Team == "":
		d.Reason = "the database needs an API key, and no team is named"
	case !known:
		d.Reason = "unknown team " + string(r.Team)
	default:
		d.Reason = "team " + string(r.Team) + " has no API key"
	}
	return d
}

// explainQuery decides on a query of an admitted session: by its team's quota, by its
// queue, and by the endpoints that may serve it.
func (p *Proxy) explainQuery(g *group, pq *pendingQuery, now time.Time) explanation.Decision {
	request := p.queueRequest(g, pq, now)
	if pq.countsAsOperation() {
		allowance, verdict := p.quotas.allowance.WithOperation(pq.team, now)
		retryMillis := allowance.RetryMillis(pq.team, now)
		switch verdict {
		case quota.Admit:
		case quota.Wait:
			d := waiting(quotaReply(retryMillis), "a token of the team's quota", pq.arrivedAt.Add(quota.MaxWait), now)
			d.WaitsAtMostMillis = min(d.WaitsAtMostMillis, pq.deadline.Sub(now).Milliseconds())
			return d
		default:
			d := refusal(quotaReply(retryMillis))
			d.RetryAfterMillis = retryMillis
			return d
		}
	}
	kind := p.chooseQueue(g, pq, now)
	_, rejection := g.queues[kind].WithRequest(request, now)
	if rejection.Reason != rosemarylb.ReasonNone && rejection.Request.ID == request.ID {
		return refusal(rejectionReply(rejection.Reason))
	}
	ep := p.explainTarget(g, pq, kind, now)
	if ep != nil {
		if path := p.explainPath(ep, pq, now); path.connection != "" {
			return explanation.Decision{
				Outcome:    explanation.OutcomeGoes,
				Endpoint:   string(ep.spec.ID),
				Connection: path.connection,
				Via:        path.via,
			}
		}
	}
	return waiting(rejectionReply(rosemarylb.ReasonDeadline), p.awaited(g, ep, pq, now), request.QueueDeadline, now)
}

// waiting returns the decision on a request that waits for something until a time, and is
// then refused with a reply.
func waiting(r rosemarylb.Reply, awaited string, until, now time.Time) explanation.Decision {
	return explanation.Decision{
		Outcome:           explanation.OutcomeWaits,
		Code:              r.Code.String(),
		Reason:            awaited,
		WaitsAtMostMillis: until.Sub(now).Milliseconds(),
	}
}

// awaited returns what a query waits for that cannot be sent to an endpoint, or to none.
func (p *Proxy) awaited(g *group, ep *endpointPool, pq *pendingQuery, now time.Time) string {
	switch {
	case ep != nil:
		return "a free connection to " + string(ep.spec.ID)
	case pq.needsPrimary && p.primary(g, now) == nil:
		return "a primary: no permit is valid"
	default:
		return "an endpoint that may serve it"
	}
}

// explainTarget returns the endpoint that a query is sent to now, or that a connection is
// opened to for it, nil if there is none.
func (p *Proxy) explainTarget(g *group, pq *pendingQuery, kind queueKind, now time.Time) *endpointPool {
	if kind != queueReads {
		return p.primary(g, now)
	}
	c := p.chooseRead(g, pq, now)
	if c.target == nil {
		return c.preferred
	}
	return c.target
}

// explainPath returns how a query would reach an endpoint that may serve it.
func (p *Proxy) explainPath(ep *endpointPool, pq *pendingQuery, now time.Time) explainedPath {
	if p.usesTeams() {
		return p.explainTeamPath(ep, pq, now)
	}
	if c := ep.idleFor(pq); c != nil {
		return openPath(c)
	}
	if c := p.pipelineTarget(ep); c != nil && c.acceptsPipelined(pq) {
		return explainedPath{
			connection: explanation.ConnectionShared,
			via:        c.via,
		}
	}
	if ep.canOpen(p.connectionLimit(ep), now) && !ep.openStalled(now) {
		return explainedPath{
			connection: explanation.ConnectionNew,
		}
	}
	near := p.nextRelays(ep, now)
	if ep != p.primary(ep.group, now) || len(near) == 0 {
		return explainedPath{}
	}
	// The query and the connection would take the next two numbers.
	return explainedPath{
		connection: explanation.ConnectionNew,
		via:        near[(pq.number+1)%uint64(len(near))],
	}
}

// explainTeamPath returns how a query of a team would reach an endpoint.
func (p *Proxy) explainTeamPath(ep *endpointPool, pq *pendingQuery, now time.Time) explainedPath {
	path := p.teamPathTo(ep, pq, now)
	if path.connection != nil {
		return openPath(path.connection)
	}
	_, allowed := p.openingFor(ep, pq.team, now)
	if path.openVia == "" && (!path.openDirect || !allowed) {
		return explainedPath{}
	}
	return explainedPath{
		connection: explanation.ConnectionNew,
		via:        path.openVia,
	}
}

func openPath(c *connection) explainedPath {
	return explainedPath{
		connection: explanation.ConnectionOpen,
		via:        c.via,
	}
}

// servingEndpoints returns the endpoints that may run a query now.
func (p *Proxy) servingEndpoints(g *group, pq *pendingQuery, now time.Time) []*endpointPool {
	return slices.DeleteFunc(slices.Clone(g.pools), func(ep *endpointPool) bool {
		if pq.needsPrimary {
			return ep != p.primary(g, now)
		}
		return !p.mayServeRead(ep, pq, now)
	})
}

// explainCandidates describes the endpoints of a group with regard to a query, those that
// serve it first, in the order of their cost.
func (p *Proxy) explainCandidates(g *group, pq *pendingQuery, now time.Time) []explanation.Candidate {
	serving := p.servingEndpoints(g, pq, now)
	var candidates []explanation.Candidate
	for _, ep := range g.pools {
		c := explanation.Candidate{
			Endpoint:   string(ep.spec.ID),
			Role:       "replica",
			Domain:     string(ep.spec.Domain),
			Region:     string(ep.spec.Region),
			CostMillis: float64(p.expectedFinish(ep, now).Sub(now).Microseconds()) / 1000,
		}
		if ep.spec.ID == g.permit.Primary {
			c.Role = "primary"
		}
		if p.usesTeams() && p.knowsPeersOf(ep) {
			c.Owners = slices.Clone(p.rankedOwners(ep, pq.team))
		}
		path := p.explainPath(ep, pq, now)
		switch {
		case !slices.Contains(serving, ep):
			c.Reason = p.unsuitability(ep, pq, now)
		case path.connection == "":
			c.Reason = "no connection"
		default:
			c.Serves = true
			c.Connection = path.connection
			c.Via = path.via
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(x, y explanation.Candidate) int {
		if x.Serves != y.Serves {
			if x.Serves {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.CostMillis, y.CostMillis), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return candidates
}

// unsuitability returns why an endpoint may not serve a query.
func (p *Proxy) unsuitability(ep *endpointPool, pq *pendingQuery, now time.Time) string {
	g := ep.group
	required, covered := g.samples.RequiredPosition(pq.asOf, pq.session.state.Floor())
	switch {
	case ep.removed:
		return "not registered"
	case pq.needsPrimary && ep.spec.ID != g.permit.Primary:
		return "not the primary"
	case ep.spec.Leaving:
		return "leaving"
	case now.Before(ep.avoidUntil):
		return fmt.Sprintf("avoided for %d ms", ep.avoidUntil.Sub(now).Milliseconds())
	case ep.spec.ID == g.permit.Primary:
		return "the permit for the primary is not valid"
	case !covered:
		return "the position that the read has to see is not known"
	default:
		return "lags behind " + required.String()
	}
}
