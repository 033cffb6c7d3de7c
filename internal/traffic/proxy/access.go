package proxy

import (
	"slices"
	"time"

	"rosemarylb"

	"github.com/VictoriaMetrics/metrics"
)

var (
	unauthenticatedTotal = metrics.NewCounter(`rosemarylb_proxy_unauthenticated_total`)
	revokedTotal         = metrics.NewCounter(`rosemarylb_proxy_sessions_revoked_total`)
)

// access is what a caller's session may do by its API key. It is immutable.
type access struct {
	key  rosemarylb.KeyDigest
	team rosemarylb.TeamName
	// revokedAt is when the instance learned that the key was withdrawn, zero for a
	// valid key.
	revokedAt time.Time
}

// withRevocation returns the access of a session whose key was withdrawn.
func (a access) withRevocation(now time.Time) access {
	a.revokedAt = now
	return a
}

// isRevoked reports whether the session's key was withdrawn.
func (a access) isRevoked() bool {
	return !a.revokedAt.IsZero()
}

func unauthenticatedReply() rosemarylb.Reply {
	return rosemarylb.NewReply(rosemarylb.ReplyUnauthenticated, "not run: the API key is not valid")
}

// revokeSessions ends the sessions of callers whose key the catalog no longer assigns
// to the team that they had.
func (p *Proxy) revokeSessions(now time.Time) {
	for _, s := range p.sessions {
		if s.relayEndpoint != "" || s.access.isRevoked() {
			continue
		}
		route, found := p.catalog.Routes[s.state.Database()]
		if !found {
			// The next statement is refused, because its database has no route.
			continue
		}
		if team, admitted := p.catalog.Admit(route, s.access.key); admitted && team == s.access.team {
			continue
		}
		revokedTotal.Inc()
		p.log.Info("session revoked", "session", s.state.ID(), "team", s.access.team, "version", p.catalog.Version)
		s.access = s.access.withRevocation(now)
		p.endRevoked(s, now)
	}
}

// endRevoked ends a revoked session as far as it can: a query that was sent keeps its
// connection until it is answered, and the caller of an open transaction learns of the
// end by its next statement.
func (p *Proxy) endRevoked(s *session, now time.Time) {
	if pq := s.current; pq != nil && pq.connection == nil && !p.isHeld(pq) {
		p.removeWaiting(pq)
		p.complete(pq, unauthenticatedReply(), now)
		return
	}
	if s.current != nil || p.sessions[s.state.ID()] != s {
		return
	}
	p.refusePipelined(s)
	if s.state.TransactionState() == rosemarylb.TransactionNone {
		p.disconnect(s, now)
		return
	}
	p.releasePinned(s, now)
	p.revoked[s.state.ID()] = s
}

// isHeld reports whether the reply to a query waits for a permit.
func (p *Proxy) isHeld(pq *pendingQuery) bool {
	return slices.ContainsFunc(p.group(pq.route.Group).heldReplies, func(h heldReply) bool {
		return h.query == pq
	})
}

// refusePipelined answers the queries that a revoked session sent ahead.
func (p *Proxy) refusePipelined(s *session) {
	for range s.pipelined {
		p.sendReply(s.state.ID(), unauthenticatedReply().WithState(s.state.TransactionState()))
	}
	s.pipelined = nil
}

// closeRevoked closes the revoked sessions whose callers left a transaction open and
// send nothing.
func (p *Proxy) closeRevoked(now time.Time) {
	for id, s := range p.revoked {
		if p.sessions[id] != s {
			delete(p.revoked, id)
			continue
		}
		if s.current == nil && now.After(s.access.revokedAt.Add(p.idleLimit())) {
			p.disconnect(s, now)
		}
	}
}
