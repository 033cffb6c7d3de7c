package proxy

import (
	"slices"
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

func newJob(number uint64, s *seat, q rosemarylb.Query, now time.Time) *job {
	j := &job{
		number:    number,
		seat:      s,
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

// start runs a query on the connection of its transaction, or has it wait for
// one.
func (p *Proxy) start(j *job, now time.Time) {
	if j.inside && !j.begin {
		l := j.seat.link
		if l == nil {
			p.failTransaction(j, "the connection of the transaction is gone", now)
			return
		}
		if l.term != 0 && l.term < l.lane.group.permit.Term {
			p.clean(l, now)
			p.failTransaction(j, "the primary of the transaction was replaced", now)
			return
		}
		p.run(j, l, now)
		return
	}
	g := p.group(j.route.Group)
	p.enqueue(g, j, now)
	p.dispatch(g, now)
}

// enqueue has a query wait for a connection. What cannot be served in time is
// refused at once.
func (p *Proxy) enqueue(g *group, j *job, now time.Time) {
	r := rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: j.number,
		},
		Rank:       j.route.Rank,
		ArrivedAt:  j.arrivedAt,
		QueueUntil: j.deadline,
		Deadline:   j.deadline,
	}
	g.jobs[j.number] = j
	q := &g.toRead
	if j.primary {
		q = &g.toLead
	}
	rest, refusal := (*q).WithRequest(r, now)
	*q = rest
	if refusal.Reason != rosemarylb.ReasonNone {
		p.refuse(g, refusal.Request, refusal.Reason, now)
	}
}

// refuse answers a waiting query as not run.
func (p *Proxy) refuse(g *group, r rosemarylb.Request, reason rosemarylb.Reason, now time.Time) {
	j, found := g.jobs[r.ID.Sequence]
	if !found {
		return
	}
	delete(g.jobs, j.number)
	p.finish(j, rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: "+reason.String()), now)
}

// forget drops a waiting query whose caller is gone.
func (p *Proxy) forget(j *job) {
	g := p.group(j.route.Group)
	id := rosemarylb.RequestID{
		Sequence: j.number,
	}
	g.toLead, _ = g.toLead.WithoutRequest(id)
	g.toRead, _ = g.toRead.WithoutRequest(id)
	g.parked = slices.DeleteFunc(g.parked, func(o *job) bool {
		return o == j
	})
	g.held = slices.DeleteFunc(g.held, func(h held) bool {
		return h.job == j
	})
	delete(g.jobs, j.number)
	p.jobs--
}

// park has a query wait for a moment before it is placed again.
func (p *Proxy) park(g *group, j *job, until time.Time) {
	j.parkedTo = until
	g.parked = append(g.parked, j)
}

func (p *Proxy) unpark(g *group, now time.Time) {
	var still []*job
	for _, j := range g.parked {
		if now.Before(j.parkedTo) {
			still = append(still, j)
			continue
		}
		p.enqueue(g, j, now)
	}
	g.parked = still
}

// dispatch gives free connections of a group to waiting queries.
func (p *Proxy) dispatch(g *group, now time.Time) {
	p.unpark(g, now)
	p.dispatchLead(g, now)
	p.dispatchRead(g, now)
}

func (p *Proxy) dispatchLead(g *group, now time.Time) {
	for waits(g.toLead) {
		primary := p.primary(g, now)
		if primary == nil {
			return
		}
		if primary.count(linkIdle) == 0 {
			p.grow(primary, now)
			return
		}
		j := p.next(g, &g.toLead, now)
		if j == nil {
			return
		}
		p.place(j, primary, now)
	}
}

func (p *Proxy) dispatchRead(g *group, now time.Time) {
	for waits(g.toRead) {
		if !p.mayRead(g, now) {
			return
		}
		j := p.next(g, &g.toRead, now)
		if j == nil {
			return
		}
		best := p.choose(g, j, now)
		if best == nil {
			p.park(g, j, now.Add(tickBusy))
			continue
		}
		p.place(j, best, now)
	}
}

// next takes the query that is due from a queue, and refuses those that are
// late.
func (p *Proxy) next(g *group, q *rosemarylb.Queue, now time.Time) *job {
	d, rest := (*q).Next(now)
	*q = rest
	for _, r := range d.Expired {
		p.refuse(g, r, rosemarylb.ReasonDeadline, now)
	}
	if !d.Found {
		return nil
	}
	j, found := g.jobs[d.Request.ID.Sequence]
	rosemarylb.Invariantf(found, "query %d waits without a job", d.Request.ID.Sequence)
	delete(g.jobs, j.number)
	return j
}

func waits(q rosemarylb.Queue) bool {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if q.Depth(rank) > 0 {
			return true
		}
	}
	return false
}

// primary returns the endpoint that may be used as the group's primary.
func (p *Proxy) primary(g *group, now time.Time) *lane {
	if !now.Before(g.permit.Until) || g.demoted >= g.permit.Term {
		return nil
	}
	l, found := p.lanes[g.permit.Primary]
	if !found {
		return nil
	}
	return l
}

// mayRead reports whether some endpoint has a free connection for a read, and
// opens more where none has.
func (p *Proxy) mayRead(g *group, now time.Time) bool {
	var best *lane
	for _, l := range g.lanes {
		if !p.reads(l, now) {
			continue
		}
		if l.count(linkIdle) > 0 {
			return true
		}
		if l.openable(p.limit(l), now) && (best == nil || p.cost(l) < p.cost(best)) {
			best = l
		}
	}
	if best != nil {
		p.grow(best, now)
	}
	return false
}

// reads reports whether an endpoint may be given reads now.
func (p *Proxy) reads(l *lane, now time.Time) bool {
	return !l.gone && !l.spec.Leaving && !now.Before(l.avoidTo)
}

// choose returns the endpoint with a free connection that answers a read
// soonest, nil when none may serve it.
func (p *Proxy) choose(g *group, j *job, now time.Time) *lane {
	_, covered := g.samples.Required(j.asOf, j.seat.dialogue.Floor())
	primary := p.primary(g, now)
	var best *lane
	for _, l := range g.lanes {
		if !p.reads(l, now) || l.count(linkIdle) == 0 || j.avoids(l.spec.ID) {
			continue
		}
		if l != primary && !covered {
			continue
		}
		if l.spec.ID == g.permit.Primary && primary == nil {
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

// widen opens a connection to a nearer endpoint than the best that is free.
func (p *Proxy) widen(g *group, j *job, best *lane, now time.Time) {
	for _, l := range g.lanes {
		if l == best || j.avoids(l.spec.ID) || !p.reads(l, now) || l.count(linkIdle) > 0 {
			continue
		}
		if best == nil || p.cost(l)+initialLatency < p.cost(best) {
			p.grow(l, now)
		}
	}
}

// cost is the time in which an endpoint is expected to answer a read.
func (p *Proxy) cost(l *lane) time.Duration {
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

// place runs a query on the free connection of an endpoint that suits it best.
func (p *Proxy) place(j *job, l *lane, now time.Time) {
	var best *link
	for _, k := range l.links {
		if k.state != linkIdle {
			continue
		}
		if best == nil || k.suits(j) > best.suits(j) {
			best = k
		}
	}
	rosemarylb.Invariantf(best != nil, "endpoint %s has no free connection", l.spec.ID)
	p.run(j, best, now)
}

// suits grades a connection: one that has the session's values needs nothing,
// a fresh one no reset.
func (k *link) suits(j *job) int {
	switch k.key {
	case j.seat.dialogue.Key():
		return 2
	case "":
		return 1
	default:
		return 0
	}
}
