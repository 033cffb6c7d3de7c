package proxy

import (
	"time"

	"rosemarylb"
)

// applyEndpoints updates the pools to the registered endpoints. Endpoints that
// are no longer registered are marked as removed.
func (p *Proxy) applyEndpoints(e EndpointsChanged, now time.Time) {
	initial := !p.endpointsKnown
	p.endpointsKnown = true
	seen := map[rosemarylb.EndpointID]bool{}
	for _, spec := range e.Endpoints {
		seen[spec.ID] = true
		ep, known := p.pools[spec.ID]
		starts := !known || ep.removed || ep.spec.Born != spec.Born || ep.spec.Database != spec.Database
		p.registerEndpoint(spec, now)
		if starts {
			g := p.group(spec.Database)
			g.balancing = g.balancing.withStart(spec.ID, initial, now)
		}
	}
	for id, ep := range p.pools {
		if seen[id] || ep.removed {
			continue
		}
		p.log.Info("endpoint gone", "endpoint", id, "group", ep.group.name)
		ep.removed = true
		ep.group.balancing = ep.group.balancing.withoutEndpoint(id, now)
		p.retireConnections(ep, now)
	}
	for _, g := range p.groups {
		p.dispatch(g, now)
	}
}

func (p *Proxy) registerEndpoint(spec rosemarylb.EndpointSpec, now time.Time) {
	spec = spec.WithRegionAndLimit(spec.Region, p.catalog.Groups[spec.Database].MaxConnections)
	ep, found := p.pools[spec.ID]
	if found && ep.spec.Database != spec.Database {
		ep.removed = true
		p.retireConnections(ep, now)
		ep.group.removePool(ep)
		ep.group.balancing = ep.group.balancing.withoutEndpoint(spec.ID, now)
		found = false
	}
	if !found {
		g := p.group(spec.Database)
		ep = &endpointPool{
			group: g,
		}
		g.pools = append(g.pools, ep)
		p.pools[spec.ID] = ep
	}
	moved := found && (ep.spec.Address != spec.Address || ep.spec.Born != spec.Born)
	if !found || ep.removed || moved || ep.spec.Leaving != spec.Leaving {
		p.log.Info("endpoint registered", "endpoint", spec.ID, "group", spec.Database, "address", spec.Address,
			"domain", spec.Domain, "leaving", spec.Leaving, "born", spec.Born)
	}
	if moved {
		ep.stats = endpointStats{}
		ep.avoidUntil = time.Time{}
		ep.nextOpenAt = now
	}
	ep.spec = spec
	ep.removed = false
	if spec.Leaving || moved {
		p.retireConnections(ep, now)
	}
}

// removePool removes an endpoint from the group.
func (g *group) removePool(ep *endpointPool) {
	var rest []*endpointPool
	for _, o := range g.pools {
		if o != ep {
			rest = append(rest, o)
		}
	}
	g.pools = rest
}

// retireConnections closes the idle connections to an endpoint, and marks the
// others to be closed once they become available.
func (p *Proxy) retireConnections(ep *endpointPool, now time.Time) {
	for _, c := range ep.connections {
		c.closing = true
		if c.state == connectionIdle {
			p.closeConnection(c, now)
		}
	}
}

// EndpointReport describes one endpoint in a state dump.
type EndpointReport struct {
	// Endpoint is the endpoint.
	Endpoint string `json:"endpoint"`
	// Group is the replicated database that the endpoint belongs to.
	Group string `json:"group"`
	// Leads reports whether the endpoint is the primary of the latest permit.
	Leads bool `json:"leads"`
	// Connections is the number of connections by state.
	Connections map[string]int `json:"connections"`
	// LatencyMicros is the moving average of the response time, in
	// microseconds.
	LatencyMicros int64 `json:"latency-micros"`
}

// Report describes the proxy in a state dump.
type Report struct {
	// Sessions is the number of open sessions.
	Sessions int `json:"sessions"`
	// InFlight is the number of queries that are queued, running or awaiting
	// confirmation.
	InFlight int `json:"jobs"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Endpoints are the known endpoints.
	Endpoints []EndpointReport `json:"endpoints"`
}

// Dump implements duty.Handler.
func (p *Proxy) Dump() any {
	r := Report{
		Sessions: len(p.sessions),
		InFlight: p.inFlight,
		Version:  p.catalog.Version,
	}
	for id, ep := range p.pools {
		counts := map[string]int{}
		for _, c := range ep.connections {
			counts[c.state.String()]++
		}
		r.Endpoints = append(r.Endpoints, EndpointReport{
			Endpoint:      string(id),
			Group:         string(ep.group.name),
			Leads:         ep.group.permit.Primary == id,
			Connections:   counts,
			LatencyMicros: ep.stats.latency.Microseconds(),
		})
	}
	return r
}
