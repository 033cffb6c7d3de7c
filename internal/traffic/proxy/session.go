package proxy

import (
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/sessionstate"
)

// sessionPipelineLimit is the maximum number of pipelined queries of a session.
const sessionPipelineLimit = 64

// sessionWaitTimeout is how long a session waits for the first configuration
// before it is rejected, so that the caller can connect to another instance.
const sessionWaitTimeout = time.Second

// waitingSession is a session that waits for the first configuration.
type waitingSession struct {
	event     SessionOpened
	expiresAt time.Time
}

// openSession accepts or rejects a session. Until the first configuration
// arrives, the session waits, because its database cannot be looked up.
func (p *Proxy) openSession(e SessionOpened, now time.Time) {
	if p.catalog.Version == 0 {
		p.waitingSessions = append(p.waitingSessions, waitingSession{
			event:     e,
			expiresAt: now.Add(sessionWaitTimeout),
		})
		return
	}
	route, found := p.catalog.Routes[e.Database]
	if !found && e.Endpoint == "" {
		p.log.Info("session refused", "session", e.Session, "database", e.Database,
			"version", p.catalog.Version, "reason", "no-database")
		p.rejectSession(e.Session, noDatabaseReply())
		return
	}
	team, admitted := p.catalog.Admit(route, e.Key)
	if !admitted && e.Endpoint == "" {
		unauthenticatedTotal.Inc()
		p.log.Info("session refused", "session", e.Session, "database", e.Database,
			"version", p.catalog.Version, "reason", "unauthenticated")
		p.rejectSession(e.Session, unauthenticatedReply())
		return
	}
	if p.closesIdleSessions(now) {
		p.rejectSession(e.Session, shutdownReply())
		return
	}
	if e.Endpoint != "" && !p.acceptsRelaySession(e.Endpoint, now) {
		p.rejectSession(e.Session, rosemarylb.NewReply(rosemarylb.ReplyBusy, "no connection to the endpoint"))
		return
	}
	sessionsTotal.Inc()
	p.sessions[e.Session] = &session{
		state:         sessionstate.NewSession(e.Session, e.Database),
		relayEndpoint: e.Endpoint,
		access: access{
			key:  e.Key,
			team: team,
		},
	}
	p.acceptSession(e.Session)
}

func noDatabaseReply() rosemarylb.Reply {
	return rosemarylb.NewReply(rosemarylb.ReplyNoDatabase, "no database has this name")
}

func noConfigurationReply() rosemarylb.Reply {
	return rosemarylb.NewReply(rosemarylb.ReplyBusy, "the instance has no configuration yet")
}

// rejectWaitingSessions rejects the sessions that have waited too long for the
// first configuration.
func (p *Proxy) rejectWaitingSessions(now time.Time) {
	p.waitingSessions = slices.DeleteFunc(p.waitingSessions, func(waiting waitingSession) bool {
		expired := now.After(waiting.expiresAt)
		if expired {
			p.rejectSession(waiting.event.Session,
				noConfigurationReply())
		}
		return expired
	})
}

func (p *Proxy) endSession(e SessionClosed, now time.Time) {
	s, found := p.sessions[e.Session]
	if !found {
		p.waitingSessions = slices.DeleteFunc(p.waitingSessions, func(waiting waitingSession) bool {
			return waiting.event.Session == e.Session
		})
		return
	}
	delete(p.sessions, e.Session)
	pq := s.current
	s.current = nil
	if pq != nil && pq.connection == nil {
		p.cancelQueued(pq)
	}
	p.releasePinned(s, now)
}

// handleQuery starts a query, or queues it in the session while another is in
// progress.
func (p *Proxy) handleQuery(e QueryReceived, now time.Time) {
	s, found := p.sessions[e.Session]
	if !found {
		return
	}
	if s.current == nil && len(s.pipelined) == 0 {
		p.startQuery(s, e.Query, now)
		p.closeAnswered(s, now)
		return
	}
	if len(s.pipelined) >= sessionPipelineLimit {
		p.disconnect(s, now)
		return
	}
	s.pipelined = append(s.pipelined, e.Query)
}

// startQuery answers a query locally or schedules it on an endpoint.
func (p *Proxy) startQuery(s *session, q rosemarylb.Query, now time.Time) {
	if p.drainEnded(now) {
		p.sendReply(s.state.ID(), shutdownReply().WithState(s.state.TransactionState()))
		return
	}
	if s.access.isRevoked() {
		p.sendReply(s.state.ID(), unauthenticatedReply().WithState(s.state.TransactionState()))
		p.disconnect(s, now)
		return
	}
	if s.state.TransactionState() == rosemarylb.TransactionNone || s.relayEndpoint != "" {
		route, found := p.route(s, q)
		if !found {
			p.sendReply(s.state.ID(), noDatabaseReply())
			return
		}
		s.route = route
	}
	d, action := s.state.WithQuery(q)
	s.state = d
	if action.ReleaseConnection {
		p.releasePinned(s, now)
	}
	if !action.Forward {
		if action.Reply.Code != rosemarylb.ReplyDone {
			p.log.Info("query refused", "id", q.ID, "kind", q.Kind.String(), "code", action.Reply.Code.String(),
				"state", d.TransactionState().String())
		}
		p.sendReply(d.ID(), action.Reply)
		return
	}
	if action.Query.Writes && d.TransactionState() == rosemarylb.TransactionOpen {
		s.state = d.WithWriteRequested()
	}
	p.lastID++
	pq := newPendingQuery(p.lastID, s, action.Query, now)
	p.draw(pq)
	s.current = pq
	p.inFlight++
	if p.nextTick.After(now.Add(busyTickInterval)) {
		p.nextTick = now.Add(busyTickInterval)
	}
	p.admit(pq, now)
}

// route returns the route of a query, false if its database has none.
func (p *Proxy) route(s *session, q rosemarylb.Query) (rosemarylb.Route, bool) {
	if s.relayEndpoint != "" {
		return relayRoute(s, q), true
	}
	route, found := p.catalog.Routes[s.state.Database()]
	return route, found
}

// releasePinned rolls back and releases the pinned connection of a session, if
// any.
func (p *Proxy) releasePinned(s *session, now time.Time) {
	if s.pinned != nil {
		p.rollBack(s.pinned, now)
	}
}

func (p *Proxy) disconnect(s *session, now time.Time) {
	p.closeSession(s.state.ID())
	p.endSession(SessionClosed{
		Session: s.state.ID(),
	}, now)
}
