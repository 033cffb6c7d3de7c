package proxy

import (
	"maps"
	"time"

	"rosemarylb"
)

const (
	// openTimeout bounds the opening of a connection.
	openTimeout = time.Second
	// stallSpan is how long an opening may take before queries are passed on
	// meanwhile: a few round trips between regions and a slow handshake.
	stallSpan = 150 * time.Millisecond
	// cleanTimeout bounds the roll back of a transaction.
	cleanTimeout = time.Second
	// openBackoff is the wait after a connection could not be opened.
	openBackoff = 150 * time.Millisecond
	// limitBackoff is the wait after an endpoint took no more connections.
	limitBackoff = 400 * time.Millisecond
	// limitSpan is how long a refusal for the limit keeps the number of
	// connections at what it was.
	limitSpan = 3 * time.Second
	// surplusSpan is how long a connection beyond the first stays unused: an
	// endpoint counts those of a machine that lost power for seconds, and the
	// room is needed then.
	surplusSpan = 3 * time.Second
	// probeReserve is how many of an endpoint's connections are left to the
	// keeper.
	probeReserve = 1
	// preparedLimit is how many statements one connection keeps.
	preparedLimit = 256
)

// limit returns how many connections this instance may hold to an endpoint.
func (p *Proxy) limit(l *pool) int {
	offset := 0
	for _, c := range l.spec.ID {
		offset += int(c)
	}
	connections := l.spec.Connections - probeReserve
	near := p.near(l.spec.Region)
	if near == 0 || 2*len(p.peers) < p.share.Members {
		return p.share.Limit(connections, offset)
	}
	all := max(len(p.peers), p.share.Members)
	far := all - near
	if connections < all {
		// There are too few for one each: they go to those near the endpoint,
		// and all others pass their queries through these.
		far = 0
	}
	if p.region != l.spec.Region {
		return min(far, 1)
	}
	return max((connections-far)/near, 1)
}

// near counts the instances in a region that take queries passed on.
func (p *Proxy) near(r rosemarylb.RegionName) int {
	n := 0
	for _, peer := range p.peers {
		if peer.Region == r {
			n++
		}
	}
	return n
}

// openable reports whether one more connection may be opened now.
func (l *pool) openable(limit int, now time.Time) bool {
	if now.Before(l.softUntil) {
		limit = min(limit, l.softLimit)
	}
	return !l.gone && l.direct() < limit && !now.Before(l.openAt)
}

// stalls reports whether a connection is opening for so long that the endpoint
// may be out of this instance's reach.
func (l *pool) stalls(now time.Time) bool {
	for _, k := range l.links {
		if k.state == linkOpening && !k.via && now.After(k.until.Add(stallSpan-openTimeout)) {
			return true
		}
	}
	return false
}

// grow opens one more connection, unless enough are opening.
func (p *Proxy) grow(l *pool, now time.Time) {
	if !l.openable(p.limit(l), now) || l.count(linkOpening) >= 2 {
		return
	}
	p.add(l, l.spec, now)
}

// add starts to open a connection.
func (p *Proxy) add(l *pool, spec rosemarylb.EndpointSpec, now time.Time) {
	p.number++
	k := &link{
		id:       rosemarylb.ConnectionID(p.number),
		pool:     l,
		state:    linkOpening,
		via:      spec.Via != "",
		until:    now.Add(openTimeout),
		prepared: map[string]struct{}{},
	}
	l.links = append(l.links, k)
	p.links[k.id] = k
	p.endpoints.Open(k.id, spec)
}

func (p *Proxy) opened(e Opened, now time.Time) {
	k, found := p.links[e.Connection]
	if !found {
		p.endpoints.Close(e.Connection)
		return
	}
	p.free(k, now)
}

// free returns a clean connection to its endpoint's pool.
func (p *Proxy) free(k *link, now time.Time) {
	if k.advance() {
		return
	}
	k.state = linkIdle
	k.until = now.Add(surplusSpan)
	k.job = nil
	k.session = nil
	l := k.pool
	if l.gone || l.spec.Leaving || k.closing || !k.via && l.direct() > p.limit(l) || len(k.prepared) > preparedLimit {
		p.drop(k, now)
	}
	p.dispatch(l.group, now)
}

// clean rolls back what a session left on a connection.
func (p *Proxy) clean(k *link, now time.Time) {
	if k.session != nil {
		k.session.link = nil
		k.session = nil
	}
	k.job = nil
	k.state = linkCleaning
	k.until = now.Add(cleanTimeout)
	q := rosemarylb.Query{
		Kind: rosemarylb.QueryRollback,
	}
	if k.via {
		q = q.WithService(rosemarylb.RankUrgent, cleanTimeout.Milliseconds())
	}
	p.endpoints.Send(k.id, q)
}

// drop closes a connection and forgets it.
func (p *Proxy) drop(k *link, now time.Time) {
	p.endpoints.Close(k.id)
	p.remove(k)
	p.strand(k, now)
}

func (p *Proxy) remove(k *link) {
	delete(p.links, k.id)
	var rest []*link
	for _, o := range k.pool.links {
		if o != k {
			rest = append(rest, o)
		}
	}
	k.pool.links = rest
	if k.session != nil {
		k.session.link = nil
		k.session = nil
	}
}

// lost takes the end of a connection and settles what was on it.
func (p *Proxy) lost(e Lost, now time.Time) {
	k, found := p.links[e.Connection]
	if !found {
		return
	}
	l := k.pool
	opening := k.state == linkOpening
	p.remove(k)
	p.log.Info("connection lost", "endpoint", l.spec.ID, "connection", k.id, "state", k.state.String(),
		"code", e.Code.String())
	switch {
	case k.via:
		l.relayAt = now.Add(relayBackoff)
	case e.Code == rosemarylb.ReplyConnectionLimit:
		l.softLimit = max(l.direct(), 1)
		l.softUntil = now.Add(limitSpan)
		l.openAt = now.Add(limitBackoff)
	case e.Code == rosemarylb.ReplyWrongEndpoint:
		l.openAt = now.Add(time.Second)
		l.avoidTo = now.Add(time.Second)
	case opening:
		l.openAt = now.Add(openBackoff)
		p.failing(l, now)
	default:
		p.failing(l, now)
	}
	if k.job != nil {
		p.broken(k.job, now)
	}
	p.strand(k, now)
	p.dispatch(l.group, now)
}

// failing notes a failure of an endpoint: reads go elsewhere for a moment, and
// the keeper is told if it is the primary.
func (p *Proxy) failing(l *pool, now time.Time) {
	l.avoidTo = now.Add(openBackoff)
	if l.spec.ID == l.group.permit.Primary {
		l.group.observation = l.group.observation.withFailure(l.spec.ID, now)
	}
}

// expireLinks ends connections whose deadline has passed: openings, roll backs
// and transactions that their callers left idle.
func (p *Proxy) expireLinks(now time.Time) {
	for _, k := range p.links {
		if k.until.IsZero() || now.Before(k.until) {
			continue
		}
		switch k.state {
		case linkLeased:
			s := k.session
			s.dialogue = s.dialogue.WithState(rosemarylb.TransactionFailed)
			p.log.Info("transaction ended", "session", s.dialogue.ID(), "reason", "idle", "endpoint", k.pool.spec.ID)
			p.clean(k, now)
		case linkIdle:
			if k.via || k.pool.direct() > 1 {
				p.drop(k, now)
			}
		case linkOpening, linkCleaning:
			p.endpoints.Close(k.id)
			p.lost(Lost{
				Connection: k.id,
			}, now)
		default:
		}
	}
}

// prelude returns what has to be laid onto a connection before a query runs
// there: the session's values and the prepared statement.
func (k *link) prelude(j *job) []rosemarylb.Query {
	var steps []rosemarylb.Query
	d := j.session.dialogue
	if k.key != d.Key() {
		values := d.Values()
		have := k.values
		for name := range have {
			if _, wanted := values[name]; !wanted {
				steps = append(steps, rosemarylb.Query{
					Kind: rosemarylb.QueryReset,
				})
				have = nil
				break
			}
		}
		for name, value := range values {
			if had, found := have[name]; found && had == value {
				continue
			}
			steps = append(steps, rosemarylb.Query{
				Kind:  rosemarylb.QuerySet,
				Name:  name,
				Value: value,
			})
		}
	}
	if j.query.Kind == rosemarylb.QueryExecute {
		_, found := k.prepared[j.query.Name]
		if !found || len(steps) > 0 && steps[0].Kind == rosemarylb.QueryReset {
			steps = append(steps, rosemarylb.Query{
				Kind:   rosemarylb.QueryPrepare,
				Name:   j.query.Name,
				Value:  j.query.Value,
				Writes: j.query.Writes,
			})
		}
	}
	return steps
}

// laid takes the success of a step of a prelude.
func (k *link) laid(q rosemarylb.Query) {
	switch q.Kind {
	case rosemarylb.QueryReset:
		k.values = nil
		k.prepared = map[string]struct{}{}
	case rosemarylb.QuerySet:
		k.values = maps.Clone(k.values)
		if k.values == nil {
			k.values = map[string]string{}
		}
		k.values[q.Name] = q.Value
	case rosemarylb.QueryPrepare:
		k.prepared[q.Name] = struct{}{}
	default:
		return
	}
}
