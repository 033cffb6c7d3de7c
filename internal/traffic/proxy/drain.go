package proxy

import (
	"time"

	"rosemarylb"
)

// DrainStarted starts a drain, which closes all sessions.
type DrainStarted struct {
	// CloseAt is the time from which idle sessions are closed, and others after
	// their next answer.
	CloseAt time.Time
	// AbortAt is the time from which open transactions are rolled back.
	AbortAt time.Time
	// EndAt is the time at which the queries that are still in progress are answered
	// without their result.
	EndAt time.Time
}

func (DrainStarted) proxyEvent() {}

// closesIdleSessions reports whether the drain has reached the time at which
// idle sessions are closed.
func (p *Proxy) closesIdleSessions(now time.Time) bool {
	return !p.drain.CloseAt.IsZero() && !now.Before(p.drain.CloseAt)
}

// drainEnded reports whether the drain has reached its end.
func (p *Proxy) drainEnded(now time.Time) bool {
	return !p.drain.EndAt.IsZero() && !now.Before(p.drain.EndAt)
}

// closeSessions closes sessions during a drain: idle ones from CloseAt on, those with
// an open transaction from AbortAt on, and all of them at its end.
func (p *Proxy) closeSessions(now time.Time) {
	if !p.closesIdleSessions(now) {
		return
	}
	for _, s := range p.sessions {
		for s.current != nil && p.drainEnded(now) {
			p.endQuery(s.current, now)
		}
		p.closeIdle(s, now)
	}
}

// closeAnswered closes a caller's session after an answer during a drain. The caller
// cannot have sent another query before it got the answer, as it might have when the
// session is closed later. An instance that relays queries may have sent one.
func (p *Proxy) closeAnswered(s *session, now time.Time) {
	if p.closesIdleSessions(now) && s.relayEndpoint == "" {
		p.closeIdle(s, now)
	}
}

// closeIdle closes a session without a query in progress, unless it may keep its
// transaction until AbortAt.
func (p *Proxy) closeIdle(s *session, now time.Time) {
	if p.sessions[s.state.ID()] != s || s.current != nil || len(s.pipelined) > 0 {
		return
	}
	if s.state.TransactionState() == rosemarylb.TransactionNone || !now.Before(p.drain.AbortAt) {
		p.disconnect(s, now)
	}
}

// endQuery answers a query that is in progress at the end of a drain. A query that
// was pipelined behind another is queued again first.
func (p *Proxy) endQuery(pq *pendingQuery, now time.Time) {
	if pq.connection != nil {
		p.closeBusy(pq.connection, now)
		return
	}
	if p.removeWaiting(pq) {
		p.completeUnanswered(pq, now)
		return
	}
	p.complete(pq, shutdownReply(), now)
}

// shutdownReply returns the reply to a query or a session that the instance does not
// serve because it shuts down.
func shutdownReply() rosemarylb.Reply {
	return rosemarylb.NewReply(rosemarylb.ReplyBusy, "not run: the instance shuts down")
}
