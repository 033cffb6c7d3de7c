package proxy

import (
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/dialogue"
)

// pipelineLimit is how many queries of one session may wait.
const pipelineLimit = 64

// joined welcomes a caller. Before the first configuration it waits: whether
// its database exists is not known yet.
func (p *Proxy) joined(e Joined, now time.Time) {
	if p.catalog.Version == 0 {
		p.joins = append(p.joins, e)
		return
	}
	if _, found := p.catalog.Routes[e.Database]; !found && e.Endpoint == "" {
		p.log.Info("session refused", "session", e.Session, "database", e.Database,
			"version", p.catalog.Version, "reason", "no-database")
		p.refuseSession(e.Session, rosemarylb.NewReply(rosemarylb.ReplyNoDatabase, "no database has this name"))
		return
	}
	if p.closesIdle(now) {
		p.refuseSession(e.Session, rosemarylb.NewReply(rosemarylb.ReplyBusy, "the instance shuts down"))
		return
	}
	sessionsTotal.Inc()
	p.sessions[e.Session] = &session{
		dialogue: dialogue.NewDialogue(e.Session, e.Database),
		relayFor: e.Endpoint,
	}
	p.welcome(e.Session)
}

func (p *Proxy) left(e Left, now time.Time) {
	s, found := p.sessions[e.Session]
	if !found {
		p.joins = slices.DeleteFunc(p.joins, func(j Joined) bool {
			return j.Session == e.Session
		})
		return
	}
	delete(p.sessions, e.Session)
	j := s.job
	s.job = nil
	if j != nil && j.link == nil {
		p.forget(j)
	}
	p.release(s, now)
}

// asked takes a query of a session; those that come before an answer wait.
func (p *Proxy) asked(e Asked, now time.Time) {
	s, found := p.sessions[e.Session]
	if !found {
		return
	}
	if s.job == nil && len(s.waiting) == 0 {
		p.begin(s, e.Query, now)
		return
	}
	if len(s.waiting) >= pipelineLimit {
		p.hangUp(s, now)
		return
	}
	s.waiting = append(s.waiting, e.Query)
}

// begin answers a query itself or sends it on its way.
func (p *Proxy) begin(s *session, q rosemarylb.Query, now time.Time) {
	if s.dialogue.State() == rosemarylb.TransactionNone || s.relayFor != "" {
		route, found := p.route(s, q)
		if !found {
			p.answer(s.dialogue.ID(), rosemarylb.NewReply(rosemarylb.ReplyNoDatabase, "no database has this name"))
			return
		}
		s.route = route
	}
	d, v := s.dialogue.WithQuery(q)
	s.dialogue = d
	if v.Release {
		p.release(s, now)
	}
	if !v.Run {
		if v.Reply.Code != rosemarylb.ReplyDone {
			p.log.Info("query refused", "id", q.ID, "kind", q.Kind.String(), "code", v.Reply.Code.String(),
				"state", d.State().String())
		}
		p.answer(d.ID(), v.Reply)
		return
	}
	if v.Query.Writes && d.State() == rosemarylb.TransactionOpen {
		s.dialogue = d.WithWrite()
	}
	p.number++
	j := newJob(p.number, s, v.Query, now)
	s.job = j
	p.jobs++
	if p.tickAt.After(now.Add(tickBusy)) {
		p.tickAt = now.Add(tickBusy)
	}
	p.start(j, now)
}

// route returns how a query of a session is served.
func (p *Proxy) route(s *session, q rosemarylb.Query) (rosemarylb.Route, bool) {
	if s.relayFor != "" {
		return relayRoute(s, q), true
	}
	route, found := p.catalog.Routes[s.dialogue.Database()]
	return route, found
}

// release gives up the connection of a transaction that has ended.
func (p *Proxy) release(s *session, now time.Time) {
	if s.link != nil {
		p.clean(s.link, now)
	}
}

func (p *Proxy) hangUp(s *session, now time.Time) {
	p.closeSession(s.dialogue.ID())
	p.left(Left{
		Session: s.dialogue.ID(),
	}, now)
}
