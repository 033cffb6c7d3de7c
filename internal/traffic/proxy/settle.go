package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/freshness"
)

// queueSettings are the limits of the queues that callers wait in.
var queueSettings = rosemarylb.Service{
	Shares:     leastShares,
	QueueLimit: queueLimit,
}

func sample(at time.Time, pos rosemarylb.Position) freshness.Sample {
	return freshness.Sample{
		At:       at,
		Position: pos,
	}
}

// slots returns how many queries of a queue can run at the same time.
func (p *Proxy) slots(g *group, primary bool, now time.Time) int {
	n := 0
	for _, l := range g.pools {
		if primary && l.spec.ID != g.permit.Primary || !p.reads(l, now) || now.Before(l.behindTo) {
			continue
		}
		n += min(p.limit(l), max(l.spec.Slots, 1))
	}
	return max(n, 1)
}

// deliver gives the caller an endpoint's reply.
func (p *Proxy) deliver(j *job, r rosemarylb.Reply, now time.Time) {
	s := j.session
	d := s.dialogue
	if r.Code == rosemarylb.ReplyDone && j.query.MayCommit(j.inside) && j.term != 0 {
		d = d.WithFloor(r.Position)
	}
	switch {
	case !j.inside || j.query.Kind == rosemarylb.QueryCommit:
		d = d.WithState(rosemarylb.TransactionNone)
	case r.State != rosemarylb.TransactionOpen:
		d = d.WithState(rosemarylb.TransactionFailed)
	default:
		d = d.WithAnswered()
	}
	s.dialogue = d
	p.finish(j, r, now)
}

// finish answers a query in the state that its session is in.
func (p *Proxy) finish(j *job, r rosemarylb.Reply, now time.Time) {
	s := j.session
	p.jobs--
	if j.orphan() {
		return
	}
	s.job = nil
	if r.Code != rosemarylb.ReplyDone {
		p.finishRefused(j)
	}
	p.note(j, r, now)
	queryTime.Update(now.Sub(j.arrivedAt).Seconds())
	p.answer(s.dialogue.ID(), r.WithState(s.dialogue.State()))
	p.resume(s, now)
}

// finishRefused ends the transaction of a query that was not answered.
func (p *Proxy) finishRefused(j *job) {
	s := j.session
	if s.dialogue.State() != rosemarylb.TransactionOpen {
		return
	}
	next := rosemarylb.TransactionFailed
	if j.query.Kind == rosemarylb.QueryCommit {
		next = rosemarylb.TransactionNone
	}
	s.dialogue = s.dialogue.WithState(next)
}

// note logs what became of a query, and what decided it.
func (p *Proxy) note(j *job, r rosemarylb.Reply, now time.Time) {
	g := p.group(j.route.Group)
	event := "query failed"
	if r.Code == rosemarylb.ReplyDone {
		event = "query served"
	}
	p.log.Info(event, "id", j.query.ID, "kind", j.query.Kind.String(), "code", r.Code.String(), "reason", r.Text,
		"group", g.name, "rank", j.route.Rank.String(), "attempts", j.attempts, "sent", j.sent, "endpoint", j.at,
		"term", j.term, "wait", j.wait.String(), "primary", g.permit.Primary, "permit-term", g.permit.Term,
		"permit-age-ms", now.Sub(g.permit.AskedAt).Milliseconds(), "waiting", g.waiting(),
		"version", p.catalog.Version, "took-ms", now.Sub(j.arrivedAt).Milliseconds())
}

// waiting counts the queries that wait for a connection.
func (g *group) waiting() int {
	n := len(g.parked)
	for _, q := range g.lines {
		for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
			n += q.Depth(rank)
		}
	}
	return n
}

// resume starts the next query that a session sent meanwhile.
func (p *Proxy) resume(s *session, now time.Time) {
	for s.job == nil && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		p.begin(s, q, now)
	}
}

// failTransaction answers a query whose transaction is rolled back.
func (p *Proxy) failTransaction(j *job, text string, now time.Time) {
	p.finish(j, rosemarylb.NewReply(rosemarylb.ReplyAborted, text), now)
}

// broken settles a query whose connection is gone.
func (p *Proxy) broken(j *job, now time.Time) {
	k := j.link
	j.link = nil
	if k.job == j {
		k.job = nil
	}
	if j.orphan() {
		p.jobs--
		return
	}
	if !j.sent || j.onlyReads() && (!j.inside || j.begin) {
		if !j.inside || j.begin {
			p.again(j, k.pool, rosemarylb.ReplyAborted, now)
			return
		}
	}
	p.unanswered(j, now)
}

// unanswered gives the outcome of a query that was sent and not answered.
func (p *Proxy) unanswered(j *job, now time.Time) {
	if j.sent && j.mayLast() {
		p.finish(j, rosemarylb.NewReply(rosemarylb.ReplyUnknown, "sent, and the answer was lost"), now)
		return
	}
	if j.inside {
		p.failTransaction(j, "the endpoint was lost within the transaction", now)
		return
	}
	p.finish(j, rosemarylb.NewReply(rosemarylb.ReplyAborted, "no endpoint answered in time"), now)
}

// permitted takes permits, and gives out the answers that they cover.
func (p *Proxy) permitted(e Permitted, now time.Time) {
	for _, n := range e.Permits {
		g := p.group(n.Group)
		if n.Term < g.permit.Term {
			continue
		}
		if n.Term > g.permit.Term || n.Primary != g.permit.Primary {
			p.log.Info("primary changed", "group", n.Group, "primary", n.Primary, "term", n.Term,
				"before", g.permit.Primary, "before-term", g.permit.Term)
			g.observation = Observation{
				Group: n.Group,
			}
			p.closeRelays(g.permit.Primary, now)
		}
		if n.Until.Before(g.permit.Until) && n.Term == g.permit.Term {
			n.Until = g.permit.Until
		}
		g.permit = n
		if g.demoted == n.Term && n.PositionAt.After(g.demotedAt) {
			// The keeper has asked the endpoint since, and it leads.
			g.demoted = 0
		}
		if n.Position.Term == n.Term && !n.PositionAt.IsZero() {
			g.samples = g.samples.WithSample(sample(n.PositionAt, n.Position))
		}
		p.recheck(g, now)
		p.dispatch(g, now)
	}
	p.publish(now)
}

// recheck settles the answers that waited for a permit.
func (p *Proxy) recheck(g *group, now time.Time) {
	waiting := g.held
	g.held = nil
	for _, h := range waiting {
		switch {
		case h.job.orphan():
			p.jobs--
		case g.permit.Term == h.job.term && !g.permit.AskedAt.Before(h.at):
			p.deliver(h.job, h.reply, now)
		case g.permit.Term > h.job.term || !now.Before(h.job.deadline):
			p.unconfirmed(h, now)
		default:
			g.held = append(g.held, h)
		}
	}
}

// unconfirmed settles an answer of a primary that may have been replaced
// before it was given.
func (p *Proxy) unconfirmed(h held, now time.Time) {
	j := h.job
	p.log.Info("answer not confirmed", "id", j.query.ID, "kind", j.query.Kind.String(), "term", j.term,
		"age-ms", now.Sub(h.at).Milliseconds())
	if h.reply.Code != rosemarylb.ReplyDone && !j.mayLast() {
		p.deliver(j, h.reply, now)
		return
	}
	s := j.session
	p.release(s, now)
	if !j.inside && j.onlyReads() && now.Before(j.deadline) {
		p.enqueue(p.group(j.route.Group), j, now)
		return
	}
	p.unanswered(j, now)
}

// expire settles everything of a group whose deadline has passed.
func (p *Proxy) expire(g *group, now time.Time) {
	var late []rosemarylb.Request
	for n := range g.lines {
		g.lines[n], late = g.lines[n].WithoutExpired(now)
		p.refuseAll(g, late, now)
	}
	p.noteLeader(g, now)
	p.recheck(g, now)
	for _, l := range g.pools {
		for _, k := range l.links {
			if k.state == linkBusy && k.job != nil && now.After(k.job.deadline) {
				p.overdue(k, now)
			}
		}
	}
}

// overdue breaks a connection that has been silent past a query's deadline.
func (p *Proxy) overdue(k *link, now time.Time) {
	j := k.job
	p.endpoints.Close(k.id)
	if !k.via {
		p.failing(k.pool, now)
	}
	p.remove(k)
	j.link = nil
	k.job = nil
	if j.orphan() {
		p.jobs--
	} else {
		p.unanswered(j, now)
	}
	p.strand(k, now)
}
