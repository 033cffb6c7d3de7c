package proxy

import (
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/queue"
)

// line is a queue of queries of one group that need the same of an endpoint.
type line uint8

const (
	// lineWrite are writes and transactions at the primary.
	lineWrite line = iota
	// lineCurrent are single reads at the primary.
	lineCurrent
	// lineRead are reads that any endpoint of the group may serve.
	lineRead

	lineCount = 3
)

// patience is the part of a query's time, one in so many, that it may wait
// here for a connection: it is refused then as not run, so that the caller can
// come back to another instance. While a group's primary is being replaced no
// instance serves it sooner, and the query waits for all of its time.
const patience = 2

// replaceSpan is how long a group may be without a primary before queries no
// longer wait for all of their time: silence, permits and promotion take less
// together.
const replaceSpan = 2500 * time.Millisecond

// parkPause is the wait of a query that no endpoint can serve right now.
const parkPause = 10 * time.Millisecond

// leastShares is the least part of the service time that each rank keeps, in
// percent.
var leastShares = [rosemarylb.RankCount]int{0, 10, 10}

func newLines() [lineCount]rosemarylb.Queue {
	var lines [lineCount]rosemarylb.Queue
	for i := range lines {
		lines[i] = queue.NewShares(queue.WithLimit(queueLimit), queue.WithShares(leastShares))
	}
	return lines
}

// line returns the queue that the job waits in.
func (j *job) line() line {
	switch {
	case !j.primary:
		return lineRead
	case j.inside || j.query.Writes:
		return lineWrite
	default:
		return lineCurrent
	}
}

// start runs a query on the connection of its transaction, or has it wait for
// one.
func (p *Proxy) start(j *job, now time.Time) {
	if j.inside && !j.begin {
		l := j.session.link
		if l == nil {
			p.failTransaction(j, "the connection of the transaction is gone", now)
			return
		}
		if l.term != 0 && l.term < l.pool.group.permit.Term {
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
	until := j.deadline
	if !p.replacing(g, now) {
		until = j.arrivedAt.Add(j.deadline.Sub(j.arrivedAt) / patience)
	}
	r := rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: j.number,
		},
		Rank:       j.route.Rank,
		ArrivedAt:  j.arrivedAt,
		QueueUntil: until,
		Deadline:   j.deadline,
	}
	g.jobs[j.number] = j
	rest, refusal := g.lines[j.line()].WithRequest(r, now)
	g.lines[j.line()] = rest
	if refusal.Reason != rosemarylb.ReasonNone {
		p.refuse(g, refusal.Request, refusal.Reason, now)
	}
}

// replacing reports whether a group's primary is being replaced: there has been
// none for a while, but not for longer than a replacement takes.
func (p *Proxy) replacing(g *group, now time.Time) bool {
	return p.primary(g, now) == nil && (g.leaderless.IsZero() || now.Sub(g.leaderless) < replaceSpan)
}

// noteLeader notes since when a group has no primary.
func (p *Proxy) noteLeader(g *group, now time.Time) {
	switch {
	case p.primary(g, now) != nil:
		g.leaderless = time.Time{}
	case g.leaderless.IsZero():
		g.leaderless = now
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

func (p *Proxy) refuseAll(g *group, late []rosemarylb.Request, now time.Time) {
	for _, r := range late {
		p.refuse(g, r, rosemarylb.ReasonDeadline, now)
	}
}

// forget drops a waiting query whose caller is gone.
func (p *Proxy) forget(j *job) {
	g := p.group(j.route.Group)
	id := rosemarylb.RequestID{
		Sequence: j.number,
	}
	g.lines[j.line()], _ = g.lines[j.line()].WithoutRequest(id)
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

// unpark has the queries whose pause is over wait in line again. The list is
// taken first: a refusal may start another query, which comes here anew.
func (p *Proxy) unpark(g *group, now time.Time) {
	parked := g.parked
	g.parked = nil
	for _, j := range parked {
		if now.Before(j.parkedTo) {
			g.parked = append(g.parked, j)
			continue
		}
		if !j.orphan() {
			p.enqueue(g, j, now)
		}
	}
}

// dispatch gives the connections of a group to waiting queries, the most
// urgent first.
func (p *Proxy) dispatch(g *group, now time.Time) {
	p.unpark(g, now)
	for {
		n, found := p.servable(g, now)
		if !found {
			return
		}
		j := p.next(g, n, now)
		if j == nil {
			continue
		}
		l := p.primary(g, now)
		if n == lineRead {
			l = p.choose(g, j, now)
		}
		if l == nil {
			p.park(g, j, now.Add(parkPause))
			continue
		}
		if j.misplaced(l) {
			p.finish(j, rosemarylb.NewReply(rosemarylb.ReplyReadOnly, "the endpoint does not lead"), now)
			continue
		}
		p.place(j, l, now)
	}
}

// servable returns the line with the most urgent query that a connection is
// free for, and has connections opened for the others.
func (p *Proxy) servable(g *group, now time.Time) (line, bool) {
	best, found := line(0), false
	urgent := rosemarylb.Rank(rosemarylb.RankCount)
	for n := range line(lineCount) {
		rank, waits := urgentRank(g.lines[n])
		if !waits || found && rank >= urgent {
			continue
		}
		if p.hasRoom(g, n, now) {
			best, found, urgent = n, true, rank
		}
	}
	return best, found
}

// urgentRank returns the most urgent rank that waits in a queue.
func urgentRank(q rosemarylb.Queue) (rosemarylb.Rank, bool) {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if q.Depth(rank) > 0 {
			return rank, true
		}
	}
	return 0, false
}

// hasRoom reports whether a query of a line can be sent now.
func (p *Proxy) hasRoom(g *group, n line, now time.Time) bool {
	if n == lineRead {
		return p.mayRead(g, now)
	}
	primary := p.primary(g, now)
	if primary == nil {
		return false
	}
	if primary.count(linkIdle) > 0 || n == lineCurrent && p.following(primary) != nil {
		return true
	}
	if primary.openable(p.limit(primary), now) {
		p.grow(primary, now)
		if !primary.stalls(now) {
			return false
		}
	}
	p.growRelay(primary, now)
	return false
}

// next takes the query that is due from a line, and refuses those that are
// late.
func (p *Proxy) next(g *group, n line, now time.Time) *job {
	d, rest := g.lines[n].Next(now)
	g.lines[n] = rest
	p.refuseAll(g, d.Expired, now)
	if !d.Found {
		return nil
	}
	j, found := g.jobs[d.Request.ID.Sequence]
	rosemarylb.Invariantf(found, "query %d waits without a job", d.Request.ID.Sequence)
	delete(g.jobs, j.number)
	return j
}
