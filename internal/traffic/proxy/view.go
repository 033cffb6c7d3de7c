package proxy

import (
	"time"

	"rosemarylb"
)

// registered takes up the endpoints as they have registered themselves.
func (p *Proxy) registered(e Registered, now time.Time) {
	p.known = true
	seen := map[rosemarylb.EndpointID]bool{}
	for _, spec := range e.Endpoints {
		seen[spec.ID] = true
		p.register(spec, now)
	}
	for id, l := range p.pools {
		if seen[id] || l.gone {
			continue
		}
		p.log.Info("endpoint gone", "endpoint", id, "group", l.group.name)
		l.gone = true
		p.closeIdle(l, now)
	}
	for _, g := range p.groups {
		p.dispatch(g, now)
	}
}

func (p *Proxy) register(spec rosemarylb.EndpointSpec, now time.Time) {
	spec = spec.WithPlace(spec.Region, p.catalog.Groups[spec.Database].Connections)
	l, found := p.pools[spec.ID]
	if found && l.spec.Database != spec.Database {
		l.gone = true
		p.closeIdle(l, now)
		l.group.remove(l)
		found = false
	}
	if !found {
		g := p.group(spec.Database)
		l = &pool{
			group: g,
		}
		g.pools = append(g.pools, l)
		p.pools[spec.ID] = l
	}
	moved := found && (l.spec.Address != spec.Address || l.spec.Born != spec.Born)
	if !found || l.gone || moved || l.spec.Leaving != spec.Leaving {
		p.log.Info("endpoint registered", "endpoint", spec.ID, "group", spec.Database, "address", spec.Address,
			"domain", spec.Domain, "leaving", spec.Leaving, "born", spec.Born)
	}
	if moved {
		l.pace = pace{}
		l.avoidTo = time.Time{}
		l.openAt = now
	}
	l.spec = spec
	l.gone = false
	if spec.Leaving || moved {
		p.closeIdle(l, now)
	}
}

// remove takes an endpoint out of a group.
func (g *group) remove(l *pool) {
	var rest []*pool
	for _, o := range g.pools {
		if o != l {
			rest = append(rest, o)
		}
	}
	g.pools = rest
}

// closeIdle closes the free connections to an endpoint, and those in use once
// they are free.
func (p *Proxy) closeIdle(l *pool, now time.Time) {
	for _, k := range l.links {
		k.closing = true
		if k.state == linkIdle {
			p.drop(k, now)
		}
	}
}

// closesIdle reports whether the instance shuts down far enough to close idle
// sessions.
func (p *Proxy) closesIdle(now time.Time) bool {
	return !p.drain.CloseAt.IsZero() && !now.Before(p.drain.CloseAt)
}

// closeSessions ends sessions while the instance shuts down: idle ones first,
// then those with an open transaction.
func (p *Proxy) closeSessions(now time.Time) {
	if !p.closesIdle(now) {
		return
	}
	abort := !now.Before(p.drain.AbortAt)
	for _, s := range p.sessions {
		if s.job != nil || len(s.waiting) > 0 {
			continue
		}
		if s.dialogue.State() == rosemarylb.TransactionNone || abort {
			p.hangUp(s, now)
		}
	}
}

// LinkReport is one endpoint's part of a dump.
type LinkReport struct {
	// Endpoint names the endpoint.
	Endpoint string `json:"endpoint"`
	// Group is the replicated database that it belongs to.
	Group string `json:"group"`
	// Leads is true for the known primary.
	Leads bool `json:"leads"`
	// Connections counts its connections by state.
	Connections map[string]int `json:"connections"`
	// LatencyMicros is the mean time of its answers, in microseconds.
	LatencyMicros int64 `json:"latency-micros"`
}

// Report is the proxy's part of a dump.
type Report struct {
	// Sessions is how many callers are connected.
	Sessions int `json:"sessions"`
	// Jobs is how many queries are under way.
	Jobs int `json:"jobs"`
	// Version is the configuration in force.
	Version uint64 `json:"version"`
	// Endpoints are the known endpoints.
	Endpoints []LinkReport `json:"endpoints"`
}

// Dump implements duty.Handler.
func (p *Proxy) Dump() any {
	r := Report{
		Sessions: len(p.sessions),
		Jobs:     p.jobs,
		Version:  p.catalog.Version,
	}
	for id, l := range p.pools {
		counts := map[string]int{}
		for _, k := range l.links {
			counts[k.state.String()]++
		}
		r.Endpoints = append(r.Endpoints, LinkReport{
			Endpoint:      string(id),
			Group:         string(l.group.name),
			Leads:         l.group.permit.Primary == id,
			Connections:   counts,
			LatencyMicros: l.pace.latency.Microseconds(),
		})
	}
	return r
}
