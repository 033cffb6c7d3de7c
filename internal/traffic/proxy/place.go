package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// attemptLimit bounds how often one query is tried.
	attemptLimit = 12
	// costOtherDomain and costOtherRegion are what a way to another failure
	// domain or region adds to a read, until answers tell the real time.
	costOtherDomain = 4 * time.Millisecond
	costOtherRegion = 60 * time.Millisecond
	// costPrimary keeps reads off the endpoint that alone takes writes.
	costPrimary = 15 * time.Millisecond
	// initialLatency is assumed of an endpoint that has not answered yet.
	initialLatency = 15 * time.Millisecond
)

func newJob(number uint64, s *session, q rosemarylb.Query, now time.Time) *job {
	j := &job{
		number:    number,
		session:   s,
		route:     s.route,
		query:     q,
		arrivedAt: now,
		asOf:      now.Add(-time.Duration(s.route.StalenessMillis) * time.Millisecond),
		deadline:  now.Add(time.Duration(s.route.TimeoutMillis) * time.Millisecond),
	}
	d := s.dialogue
	j.inside = d.State() == rosemarylb.TransactionOpen
	j.begin = j.inside && !d.Begun()
	switch {
	case s.route.Consistency == rosemarylb.ConsistencyPrimary:
		j.primary = true
	case j.inside:
		j.primary = !d.ReadOnly()
	default:
		j.primary = q.Writes
	}
	return j
}

// primary returns the endpoint that may be used as the group's primary.
func (p *Proxy) primary(g *group, now time.Time) *pool {
	if !now.Before(g.permit.Until) || g.demoted >= g.permit.Term {
		return nil
	}
	l, found := p.pools[g.permit.Primary]
	if !found {
		return nil
	}
	return l
}

// mayRead reports whether some endpoint has a free connection for a read, and
// opens more where none has.
func (p *Proxy) mayRead(g *group, now time.Time) bool {
	var best *pool
	for _, l := range g.pools {
		if !p.reads(l, now) {
			continue
		}
		if l.count(linkIdle) > 0 || p.following(l) != nil {
			return true
		}
		if l.openable(p.limit(l), now) && (best == nil || p.cost(l) < p.cost(best)) {
			best = l
		}
	}
	if best != nil {
		p.grow(best, now)
	} else if primary := p.primary(g, now); primary != nil {
		p.growRelay(primary, now)
	}
	return false
}

// reads reports whether an endpoint may be given reads now.
func (p *Proxy) reads(l *pool, now time.Time) bool {
	return !l.gone && !l.spec.Leaving && !now.Before(l.avoidTo)
}

// choose returns the endpoint with a free connection that answers a read
// soonest, nil when none may serve it.
func (p *Proxy) choose(g *group, j *job, now time.Time) *pool {
	required, covered := g.samples.Required(j.asOf, j.session.dialogue.Floor())
	primary := p.primary(g, now)
	var best *pool
	for _, l := range g.pools {
		if !p.reads(l, now) || j.avoids(l.spec.ID) || l.count(linkIdle) == 0 && p.following(l) == nil {
			continue
		}
		if l != primary && (!covered || l.spec.ID == g.permit.Primary || l.lacks(required, now)) {
			continue
		}
		if best == nil || p.cost(l) < p.cost(best) {
			best = l
		}
	}
	p.widen(g, j, best, now)
	if best == nil && len(j.avoid) > 0 {
		j.avoid = nil
	}
	return best
}

// lacks reports whether a replica is known to lack a position. After a while
// it is asked again.
func (l *pool) lacks(required rosemarylb.Position, now time.Time) bool {
	return now.Before(l.behindTo) && l.applied.Less(required)
}

// widen opens a connection to a nearer endpoint than the best that is free.
func (p *Proxy) widen(g *group, j *job, best *pool, now time.Time) {
	for _, l := range g.pools {
		if l == best || j.avoids(l.spec.ID) || !p.reads(l, now) || l.count(linkIdle) > 0 {
			continue
		}
		if best == nil || p.cost(l)+initialLatency < p.cost(best) {
			p.grow(l, now)
		}
	}
}

// cost is the time in which an endpoint is expected to answer a read.
func (p *Proxy) cost(l *pool) time.Duration {
	c := l.pace.latency
	if c == 0 {
		c = initialLatency
		switch {
		case l.spec.Region != p.region:
			c += costOtherRegion
		case l.spec.Domain != p.domain:
			c += costOtherDomain
		}
	}
	if l.group.permit.Primary == l.spec.ID {
		c += costPrimary
	}
	return c + c*time.Duration(l.count(linkBusy))/time.Duration(max(l.spec.Slots, 1))
}

// place runs a query on the free connection of an endpoint that suits it best,
// or behind another read.
func (p *Proxy) place(j *job, l *pool, now time.Time) {
	var best *link
	for _, k := range l.links {
		if k.state != linkIdle || !j.mayUse(k) {
			continue
		}
		if best == nil || k.suits(j) > best.suits(j) {
			best = k
		}
	}
	if best != nil {
		p.run(j, best, now)
		return
	}
	k := p.following(l)
	if k == nil || !k.takes(j) {
		p.park(l.group, j, now.Add(parkPause))
		return
	}
	p.follow(j, k, now)
}

// suits grades a connection: one that has the session's values needs nothing,
// a fresh one no reset.
func (k *link) suits(j *job) int {
	if k.via {
		return -1
	}
	switch k.key {
	case j.session.dialogue.Key():
		return 2
	case "":
		return 1
	default:
		return 0
	}
}
