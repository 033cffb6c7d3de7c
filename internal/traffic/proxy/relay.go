package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// relayLimit is how many connections to a primary lead through other
	// instances near it: as many as a burst keeps busy.
	relayLimit = 6
	// relayBackoff is the wait after an instance did not take one.
	relayBackoff = 500 * time.Millisecond
	// relayBit marks the sessions of other instances.
	relayBit = rosemarylb.SessionID(1) << 62
)

// WithRelays sets how instances that pass queries on are answered, and the
// address that they reach this one at.
func WithRelays(relays rosemarylb.CallerPort, address string) Option {
	return func(p *Proxy) {
		p.relays = relays
		p.address = address
	}
}

// port returns how a session is answered, and its number there.
func (p *Proxy) port(id rosemarylb.SessionID) (rosemarylb.CallerPort, rosemarylb.SessionID) {
	if id&relayBit != 0 {
		return p.relays, id &^ relayBit
	}
	return p.callers, id
}

func (p *Proxy) answer(id rosemarylb.SessionID, r rosemarylb.Reply) {
	port, number := p.port(id)
	port.Answer(number, r)
}

func (p *Proxy) welcome(id rosemarylb.SessionID) {
	port, number := p.port(id)
	port.Welcome(number)
}

func (p *Proxy) refuseSession(id rosemarylb.SessionID, r rosemarylb.Reply) {
	port, number := p.port(id)
	port.Refuse(number, r)
}

func (p *Proxy) closeSession(id rosemarylb.SessionID) {
	port, number := p.port(id)
	port.Close(number)
}

// RelaySink returns what takes the sessions of instances that pass queries on.
func (p *Proxy) RelaySink() rosemarylb.CallerSink {
	return relaySink{
		proxy: p,
	}
}

// relaySink takes sessions of other instances.
type relaySink struct {
	proxy *Proxy
}

// Joined implements rosemarylb.CallerSink; the text names the group and the
// endpoint.
func (s relaySink) Joined(id rosemarylb.SessionID, group string, endpoint rosemarylb.EndpointID) {
	s.proxy.ring.Put(Joined{
		Session:  id | relayBit,
		Database: group,
		Endpoint: endpoint,
	})
}

// Asked implements rosemarylb.CallerSink.
func (s relaySink) Asked(id rosemarylb.SessionID, q rosemarylb.Query) {
	s.proxy.Asked(id|relayBit, q)
}

// Left implements rosemarylb.CallerSink.
func (s relaySink) Left(id rosemarylb.SessionID) {
	s.proxy.Left(id | relayBit)
}

// relayRoute is the route of a query that another instance passes on.
func relayRoute(s *session, q rosemarylb.Query) rosemarylb.Route {
	return rosemarylb.Route{
		Group:         rosemarylb.DatabaseName(s.dialogue.Database()),
		Consistency:   rosemarylb.ConsistencyPrimary,
		TimeoutMillis: q.WithinMillis,
		Rank:          min(q.Rank, rosemarylb.RankCount-1),
	}
}

// ownWaits reports whether a query waits that came from a caller: what another
// instance has passed on isn't passed on again.
func (g *group) ownWaits() bool {
	for _, j := range g.jobs {
		if j.session.relayFor == "" {
			return true
		}
	}
	return false
}

// mayUse reports whether a job may run on a connection.
func (j *job) mayUse(k *link) bool {
	return !k.via || j.session.relayFor == ""
}

// misplaced reports whether a query was passed on for another primary than the
// group's.
func (j *job) misplaced(l *pool) bool {
	return j.session.relayFor != "" && j.session.relayFor != l.spec.ID
}

// growRelay opens a connection to a primary through another instance near it,
// which may have one that is free while those of this instance are in use.
func (p *Proxy) growRelay(l *pool, now time.Time) {
	if now.Before(l.relayAt) || l.relays() >= relayLimit || l.relaysOpening() > 1 || !l.group.ownWaits() {
		return
	}
	var near []rosemarylb.Peer
	for _, peer := range p.peers {
		if peer.Region == l.spec.Region && peer.Address != p.address {
			near = append(near, peer)
		}
	}
	if len(near) == 0 {
		return
	}
	p.number++
	peer := near[p.number%uint64(len(near))]
	p.add(l, l.spec.WithVia(peer.Address), now)
}

// closeRelays closes the connections through other instances to a former
// primary: what they pass on is for primaries alone.
func (p *Proxy) closeRelays(former rosemarylb.EndpointID, now time.Time) {
	l, found := p.pools[former]
	if !found {
		return
	}
	for _, k := range l.links {
		if !k.via {
			continue
		}
		k.closing = true
		if k.state == linkIdle {
			p.drop(k, now)
		}
	}
}

// relays counts the connections through other instances.
func (l *pool) relays() int {
	n := 0
	for _, k := range l.links {
		if k.via {
			n++
		}
	}
	return n
}

// relaysOpening counts those of them that are not open yet.
func (l *pool) relaysOpening() int {
	n := 0
	for _, k := range l.links {
		if k.via && k.state == linkOpening {
			n++
		}
	}
	return n
}

// direct counts the connections to the endpoint itself.
func (l *pool) direct() int {
	return len(l.links) - l.relays()
}
