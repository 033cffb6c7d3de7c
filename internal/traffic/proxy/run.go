package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/dialogue"
)

// run sends a query on a connection, after what has to be laid onto it.
func (p *Proxy) run(j *job, k *link, now time.Time) {
	p.prepare(j, k)
	k.session = nil
	j.session.link = nil
	k.state = linkBusy
	k.job = j
	k.until = time.Time{}
	j.steps = k.prelude(j)
	query := p.waiting(j, k)
	if j.begin {
		kind := rosemarylb.QueryBegin
		if j.session.dialogue.ReadOnly() {
			kind = rosemarylb.QueryBeginRead
		}
		j.steps = append(j.steps, rosemarylb.Query{
			Kind: kind,
			Wait: query.Wait,
		})
		query = query.WithWait(rosemarylb.Position{})
	}
	j.steps = append(j.steps, query)
	p.step(j, now)
}

// prepare notes where a query runs, and the term that its answer relies on.
func (p *Proxy) prepare(j *job, k *link) {
	g := k.pool.group
	j.attempts++
	j.link = k
	j.at = k.pool.spec.ID
	j.wait = rosemarylb.Position{}
	j.sent = false
	j.term = 0
	switch {
	case j.inside && !j.begin:
		// The transaction keeps the term that it began in.
		j.term = k.term
	case k.pool.spec.ID == g.permit.Primary:
		j.term = g.permit.Term
	}
}

// waiting returns a job's query with the position that a replica has to hold
// for it.
func (p *Proxy) waiting(j *job, k *link) rosemarylb.Query {
	g := k.pool.group
	if k.pool.spec.ID == g.permit.Primary || j.inside && !j.begin {
		return j.query
	}
	wait, covered := g.samples.Required(j.asOf, j.session.dialogue.Floor())
	rosemarylb.Invariantf(covered, "%s was placed on a replica without a position to see", j.query.ID)
	j.wait = wait
	return j.query.WithWait(wait)
}

// step sends the next step of a query. From the last one on it may have had
// an effect.
func (p *Proxy) step(j *job, now time.Time) {
	q := j.steps[0]
	within := int64(0)
	if j.link.via {
		within = max(j.deadline.Sub(now).Milliseconds(), 1)
	}
	q = q.WithService(j.route.Rank, within)
	j.sentAt = now
	j.sent = len(j.steps) == 1
	p.endpoints.Send(j.link.id, q)
}

// replied takes an endpoint's reply to the step under way.
func (p *Proxy) replied(e Replied, now time.Time) {
	k, found := p.links[e.Connection]
	if !found {
		return
	}
	if k.state == linkCleaning {
		if e.Reply.Code != rosemarylb.ReplyDone || e.Reply.State != rosemarylb.TransactionNone {
			p.drop(k, now)
			return
		}
		p.free(k, now)
		return
	}
	j := k.job
	if k.state != linkBusy || j == nil {
		// A reply that nothing was asked for: the connection is out of step.
		p.drop(k, now)
		return
	}
	p.observe(k, j, e.Reply, now)
	if len(j.steps) > 1 {
		p.prepared(j, k, e.Reply, now)
		return
	}
	p.answered(j, k, e.Reply, now)
}

// observe learns from a reply: positions of the primary and its life.
func (p *Proxy) observe(k *link, j *job, r rosemarylb.Reply, now time.Time) {
	g := k.pool.group
	if k.pool.applied.Less(r.Position) {
		k.pool.applied = r.Position
	}
	if k.pool.spec.ID != g.permit.Primary || r.Code == rosemarylb.ReplyReadOnly {
		return
	}
	if r.Position.IsZero() {
		// The instance in between answered by itself.
		return
	}
	g.observation = g.observation.withAnswer(k.pool.spec.ID, j.sentAt)
	if g.permit.Covers(r.Position.Term, now) {
		g.samples = g.samples.WithSample(sample(j.sentAt, r.Position))
	}
}

// prepared takes the reply to a step before the query itself.
func (p *Proxy) prepared(j *job, k *link, r rosemarylb.Reply, now time.Time) {
	step := j.steps[0]
	if r.Code != rosemarylb.ReplyDone {
		j.link = nil
		k.job = nil
		if step.Kind == rosemarylb.QueryBegin || step.Kind == rosemarylb.QueryBeginRead {
			p.again(j, k.pool, r.Code, now)
			p.settleLink(k, r.State, now)
			return
		}
		p.drop(k, now)
		p.again(j, k.pool, rosemarylb.ReplyAborted, now)
		return
	}
	k.laid(step)
	k.key = dialogue.Key(k.values)
	if step.Kind == rosemarylb.QueryBegin || step.Kind == rosemarylb.QueryBeginRead {
		k.term = j.term
		if j.orphan() {
			k.job = nil
			p.jobs--
			p.clean(k, now)
			return
		}
	}
	j.steps = j.steps[1:]
	p.step(j, now)
}

// answered takes the reply to the query itself.
func (p *Proxy) answered(j *job, k *link, r rosemarylb.Reply, now time.Time) {
	l := k.pool
	if r.Code == rosemarylb.ReplyDone {
		l.pace = l.pace.withAnswer(now.Sub(j.sentAt))
	}
	q := &l.group.lines[j.line()]
	*q = (*q).WithServed(j.route.Rank, now.Sub(j.sentAt)).WithService(queueSettings, p.slots(l.group, j.primary, now))
	if r.Code == rosemarylb.ReplyNoStatement {
		delete(k.prepared, j.query.Name)
	}
	if j.orphan() {
		p.jobs--
		k.job = nil
		p.settleLink(k, r.State, now)
		return
	}
	if p.mayRepeat(j, r.Code, now) {
		j.link = nil
		k.job = nil
		p.again(j, l, r.Code, now)
		p.settleLink(k, r.State, now)
		return
	}
	j.link = nil
	k.job = nil
	p.keepLink(j, k, r, now)
	if j.term != 0 && !l.group.permit.Covers(j.term, now) {
		l.group.held = append(l.group.held, held{
			job:   j,
			reply: r,
			at:    now,
		})
		return
	}
	p.deliver(j, r, now)
}

// keepLink returns a connection to its pool, or keeps it for the transaction.
func (p *Proxy) keepLink(j *job, k *link, r rosemarylb.Reply, now time.Time) {
	stays := j.inside && r.State == rosemarylb.TransactionOpen && j.query.Kind != rosemarylb.QueryCommit
	if !stays {
		if k.session != nil {
			k.session.link = nil
			k.session = nil
		}
		p.settleLink(k, r.State, now)
		return
	}
	k.state = linkLeased
	k.session = j.session
	k.until = now.Add(p.idleLimit())
	j.session.link = k
	j.session.dialogue = j.session.dialogue.WithBegun()
}

// settleLink frees a connection, after a roll back if a transaction is open.
func (p *Proxy) settleLink(k *link, s rosemarylb.TransactionState, now time.Time) {
	switch {
	case s == rosemarylb.TransactionNone:
		p.free(k, now)
	case len(k.behind) > 0:
		p.drop(k, now)
	default:
		p.clean(k, now)
	}
}

// idleLimit is how long a transaction may stay idle.
func (p *Proxy) idleLimit() time.Duration {
	return time.Duration(p.catalog.IdleMillis) * time.Millisecond
}

// mayRepeat reports whether a query is tried again instead of answered: it
// had no effect, nothing of its transaction was told, and time is left.
func (p *Proxy) mayRepeat(j *job, code rosemarylb.ReplyCode, now time.Time) bool {
	if code == rosemarylb.ReplyDone || j.attempts >= attemptLimit || !now.Before(j.deadline) {
		return false
	}
	if j.inside && !j.begin {
		return false
	}
	return code.NotRun() || code == rosemarylb.ReplyAborted
}

const (
	// busyPause is the wait after an endpoint was full.
	busyPause = 15 * time.Millisecond
	// demotedPause is the wait after the primary refused a write, until the
	// keeper tells of another.
	demotedPause = 40 * time.Millisecond
)

// again has a query that had no effect wait for another try.
func (p *Proxy) again(j *job, l *pool, code rosemarylb.ReplyCode, now time.Time) {
	if j.orphan() {
		p.jobs--
		return
	}
	repeatsTotal.Inc()
	g := l.group
	pause := time.Duration(0)
	switch code {
	case rosemarylb.ReplyBehind:
		l.pace = l.pace.withBehind()
		l.behindTo = now.Add(l.pace.behind)
	case rosemarylb.ReplyBusy:
		pause = busyPause
		l.avoidTo = now.Add(busyPause)
	case rosemarylb.ReplyReadOnly:
		pause = demotedPause
		g.observation = g.observation.withFailure(l.spec.ID, now)
		g.demoted = max(g.demoted, j.term)
		g.demotedAt = now
	case rosemarylb.ReplyNoStatement:
	default:
		pause = busyPause
		j.avoid = append(j.avoid, l.spec.ID)
	}
	p.log.Info("query repeated", "id", j.query.ID, "kind", j.query.Kind.String(), "endpoint", l.spec.ID,
		"code", code.String(), "attempt", j.attempts, "age-ms", now.Sub(j.arrivedAt).Milliseconds())
	if j.attempts >= attemptLimit || !now.Before(j.deadline) {
		p.finish(j, rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: no endpoint took it"), now)
		return
	}
	if pause == 0 {
		p.enqueue(g, j, now)
		return
	}
	p.park(g, j, now.Add(pause))
}
