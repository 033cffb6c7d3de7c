package proxy

import (
	"time"

	"rosemarylb"
)

// dispatch assigns available connections of a group to queued queries, the most
// urgent first.
func (p *Proxy) dispatch(g *group, now time.Time) {
	p.requeueDelayed(g, now)
	for {
		kind, found := p.nextQueue(g, now)
		if !found {
			return
		}
		pq := p.dequeue(g, kind, now)
		if pq == nil {
			continue
		}
		ep := p.primary(g, now)
		if kind == queueReads {
			ep = p.chooseReadEndpoint(g, pq, now)
		}
		if reply, rejected := p.relayRejection(pq, ep); rejected {
			p.complete(pq, reply, now)
			continue
		}
		if ep == nil {
			p.delay(g, pq, now.Add(placementDelay))
			continue
		}
		p.place(pq, ep, now)
	}
}

// nextQueue returns the queue with the most urgent query that can be sent now.
// For queues that have no connection available, it opens connections.
func (p *Proxy) nextQueue(g *group, now time.Time) (queueKind, bool) {
	best, found := queueKind(0), false
	urgent := rosemarylb.Rank(rosemarylb.RankCount)
	for kind := range queueKind(queueKindCount) {
		rank, waits := mostUrgentRank(g.queues[kind])
		if !waits || found && rank >= urgent {
			continue
		}
		if p.hasSendable(g, kind, now) {
			best, found, urgent = kind, true, rank
		}
	}
	return best, found
}

// mostUrgentRank returns the most urgent rank of the queued queries, false if
// the queue is empty.
func mostUrgentRank(q rosemarylb.Queue) (rosemarylb.Rank, bool) {
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if q.Depth(rank) > 0 {
			return rank, true
		}
	}
	return 0, false
}

// hasSendable reports whether a query of a queue can be sent now, and opens connections
// for those that lack one.
func (p *Proxy) hasSendable(g *group, kind queueKind, now time.Time) bool {
	eligible := p.eligibility(g, kind, now)
	if eligible == nil {
		return p.canSend(g, kind, now)
	}
	d, _ := g.queues[kind].Next(now, eligible)
	return d.Found || len(d.Expired) > 0
}

// eligibility returns the function that decides which queued queries can be sent now, nil
// where all queries of the queue share the same connections.
func (p *Proxy) eligibility(g *group, kind queueKind, now time.Time) func(rosemarylb.Request) bool {
	if kind != queueReads && !p.usesTeams() {
		return nil
	}
	return func(r rosemarylb.Request) bool {
		pq, found := g.queued[r.ID.Sequence]
		switch {
		case !found:
			return false
		case kind == queueReads && !pq.isRelayed():
			return p.canSendRead(g, pq, now)
		default:
			return p.canSendForTeam(g, pq, now)
		}
	}
}

// canSend reports whether a query for the primary can be sent now. If no connection is
// available, it opens another.
func (p *Proxy) canSend(g *group, kind queueKind, now time.Time) bool {
	primary := p.primary(g, now)
	if primary == nil {
		return false
	}
	if primary.count(connectionIdle) > 0 || kind == queuePrimaryReads && p.pipelineTarget(primary) != nil {
		return true
	}
	if primary.canOpen(p.connectionLimit(primary), now) {
		p.openDirect(primary, now)
		if !primary.openStalled(now) {
			return false
		}
	}
	p.openRelay(primary, now)
	return false
}

// dequeue removes the next query from a queue and rejects expired ones. It
// returns nil if none is left.
func (p *Proxy) dequeue(g *group, kind queueKind, now time.Time) *pendingQuery {
	d, rest := g.queues[kind].Next(now, p.eligibility(g, kind, now))
	g.queues[kind] = rest
	p.rejectExpired(g, d.Expired, now)
	if !d.Found {
		return nil
	}
	pq, found := g.queued[d.Request.ID.Sequence]
	rosemarylb.Invariantf(found, "queued query %d has no pending entry", d.Request.ID.Sequence)
	delete(g.queued, pq.number)
	return pq
}
