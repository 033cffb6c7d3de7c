package keeping

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

const (
	// probeTimeout bounds the opening of a connection and each question.
	probeTimeout = 350 * time.Millisecond
	// probeIdle is how long a connection without questions is kept.
	probeIdle = 3 * time.Second
	// probeIDs keeps the numbers of the keeper's connections apart.
	probeIDs = 1 << 48
)

// probe is the keeper's connection to one endpoint.
type probe struct {
	id      rosemarylb.ConnectionID
	spec    rosemarylb.EndpointSpec
	open    bool
	busy    bool
	askedAt time.Time
	until   time.Time
	queue   []rosemarylb.Query
	usedAt  time.Time
}

// probes are the connections that a keeper asks endpoints on.
type probes struct {
	port  rosemarylb.EndpointPort
	byID  map[rosemarylb.ConnectionID]*probe
	named map[rosemarylb.EndpointID]*probe
	next  rosemarylb.ConnectionID
}

func newProbes() *probes {
	return &probes{
		byID:  map[rosemarylb.ConnectionID]*probe{},
		named: map[rosemarylb.EndpointID]*probe{},
		next:  probeIDs,
	}
}

// order asks an endpoint; a question for its state that is under way is not
// asked twice.
func (s *probes) order(o keeper.EndpointQuery, now time.Time) {
	p, found := s.named[o.Endpoint.ID]
	if found && p.spec.Address != o.Endpoint.Address {
		s.drop(p)
		found = false
	}
	if !found {
		s.next++
		p = &probe{
			id:    s.next,
			spec:  o.Endpoint,
			until: now.Add(probeTimeout),
		}
		s.byID[p.id] = p
		s.named[o.Endpoint.ID] = p
		s.port.Open(p.id, o.Endpoint)
	}
	p.usedAt = now
	if len(p.queue) > 0 && o.Query.Kind == rosemarylb.QueryStatus {
		return
	}
	p.queue = append(p.queue, o.Query)
	s.send(p, now)
}

func (s *probes) send(p *probe, now time.Time) {
	if !p.open || p.busy || len(p.queue) == 0 {
		return
	}
	p.busy = true
	p.askedAt = now
	p.until = now.Add(probeTimeout)
	s.port.Send(p.id, p.queue[0])
}

func (s *probes) opened(id rosemarylb.ConnectionID, now time.Time) {
	p, found := s.byID[id]
	if !found {
		s.port.Close(id)
		return
	}
	p.open = true
	p.until = time.Time{}
	s.send(p, now)
}

func (s *probes) replied(e replied, now time.Time) []keeper.Status {
	p, found := s.byID[e.id]
	if !found || !p.busy {
		return nil
	}
	p.busy = false
	p.queue = p.queue[1:]
	p.until = time.Time{}
	told := e.reply.Code == rosemarylb.ReplyDone && e.reply.Endpoint.Term != 0
	status := keeper.Status{
		Group:       p.spec.Database,
		Endpoint:    p.spec.ID,
		AskedAt:     p.askedAt,
		Answered:    true,
		Busy:        !told,
		Primary:     e.reply.Endpoint.Primary,
		Term:        e.reply.Endpoint.Term,
		LogPosition: e.reply.Endpoint.Log,
	}
	s.send(p, now)
	return []keeper.Status{status}
}

func (s *probes) lost(e lost, now time.Time) []keeper.Status {
	p, found := s.byID[e.id]
	if !found {
		return nil
	}
	s.forget(p)
	return []keeper.Status{{
		Group:    p.spec.Database,
		Endpoint: p.spec.ID,
		AskedAt:  now,
		Answered: e.code == rosemarylb.ReplyConnectionLimit,
		Busy:     e.code == rosemarylb.ReplyConnectionLimit,
		Refused:  e.code != rosemarylb.ReplyConnectionLimit,
	}}
}

// expire gives up questions without an answer, and closes idle connections.
func (s *probes) expire(now time.Time, leading bool) []keeper.Status {
	var statuses []keeper.Status
	for _, p := range s.byID {
		switch {
		case !p.until.IsZero() && now.After(p.until):
			s.drop(p)
			statuses = append(statuses, keeper.Status{
				Group:    p.spec.Database,
				Endpoint: p.spec.ID,
				AskedAt:  p.askedAt,
			})
		case now.Sub(p.usedAt) > probeIdle, !leading:
			s.drop(p)
		}
	}
	return statuses
}

func (s *probes) drop(p *probe) {
	s.port.Close(p.id)
	s.forget(p)
}

func (s *probes) forget(p *probe) {
	delete(s.byID, p.id)
	if s.named[p.spec.ID] == p {
		delete(s.named, p.spec.ID)
	}
}
