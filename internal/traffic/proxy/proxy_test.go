package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

const (
	none   = rosemarylb.TransactionNone
	opened = rosemarylb.TransactionOpen
	failed = rosemarylb.TransactionFailed
)

func TestWritesAndPrimaryReadsRunOnPrimary(t *testing.T) {
	for _, kind := range []rosemarylb.QueryKind{rosemarylb.QueryWrite, rosemarylb.QueryRead} {
		h := newHarness(t)
		h.ask(1, kind)
		s := h.nextSent()
		if s.to != "e1" || !s.query.MinPosition.IsZero() {
			t.Errorf("%s: got %s waiting for %s, want e1 without waiting", kind, s.to, s.query.MinPosition)
		}
		h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
		h.wantAnswer(1, rosemarylb.ReplyDone, none)
	}
}

func TestReadRunsOnReplicaWithRequiredPosition(t *testing.T) {
	h := newHarness(t)
	h.ask(2, rosemarylb.QueryRead)
	s := h.nextSent()
	if s.to != "e2" || s.query.MinPosition != position(1, 10) {
		t.Errorf("got %s waiting for %s, want e2 waiting for 1/10", s.to, s.query.MinPosition)
	}
	h.reply(s, rosemarylb.ReplyReplicaLagging, none, position(1, 8))
	h.advance(20 * time.Millisecond)
	s = h.nextSent()
	if s.to != "e1" {
		t.Errorf("got %s after the replica lagged behind the position, want e1", s.to)
	}
	h.wantNoAnswer(2)
	h.reply(s, rosemarylb.ReplyDone, none, position(1, 10))
	h.wantAnswer(2, rosemarylb.ReplyDone, none)
}

func TestSessionReadsItsOwnWrite(t *testing.T) {
	h := newHarness(t)
	h.ask(3, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 42))
	h.ask(3, rosemarylb.QueryRead)
	s := h.nextSent()
	if s.to == "e2" && s.query.MinPosition != position(1, 42) {
		t.Errorf("got a read waiting for %s, want 1/42", s.query.MinPosition)
	}
}

func TestLostWriteHasUnknownOutcomeAndIsNotRetried(t *testing.T) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.loseConnection(h.nextSent())
	h.wantAnswer(1, rosemarylb.ReplyUnknown, none)
	h.advance(2 * time.Second)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent after the connection was lost, want nothing", h.sent)
	}
}

func TestLostReadIsRetried(t *testing.T) {
	h := newHarness(t)
	h.ask(2, rosemarylb.QueryRead)
	h.loseConnection(h.nextSent())
	h.wantNoAnswer(2)
	h.advance(50 * time.Millisecond)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 10))
	h.wantAnswer(2, rosemarylb.ReplyDone, none)
}

func TestRejectedQueriesAreRetried(t *testing.T) {
	codes := []rosemarylb.ReplyCode{
		rosemarylb.ReplyBusy, rosemarylb.ReplyReadOnly, rosemarylb.ReplyNoStatement,
	}
	for _, code := range codes {
		h := newHarness(t)
		h.ask(1, rosemarylb.QueryWrite)
		h.reply(h.nextSent(), code, none, position(1, 10))
		h.wantNoAnswer(1)
		h.advance(60 * time.Millisecond)
		term := rosemarylb.Term(1)
		if code == rosemarylb.ReplyReadOnly {
			if len(h.sent) != 0 {
				t.Errorf("got %v sent to a demoted primary, want nothing", h.sent)
			}
			term = 2
			h.permit("e1", term, time.Second)
		}
		h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(term, 11))
		h.wantAnswer(1, rosemarylb.ReplyDone, none)
	}
}

func TestReplyWithoutPermitIsHeldUntilPermitted(t *testing.T) {
	tests := []struct {
		name string
		kind rosemarylb.QueryKind
		term rosemarylb.Term
		code rosemarylb.ReplyCode
	}{
		{"confirmed write", rosemarylb.QueryWrite, 1, rosemarylb.ReplyDone},
		{"write on a replaced primary", rosemarylb.QueryWrite, 2, rosemarylb.ReplyUnknown},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.ask(1, c.kind)
			s := h.nextSent()
			h.advance(510 * time.Millisecond)
			h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
			h.wantNoAnswer(1)
			h.permit("e1", c.term, time.Second)
			h.wantAnswer(1, c.code, none)
		})
	}
}

func TestPermitRequestedBeforeReplyDoesNotConfirmIt(t *testing.T) {
	h := newHarness(t)
	requestedAt := h.now
	h.ask(1, rosemarylb.QueryWrite)
	s := h.nextSent()
	h.advance(510 * time.Millisecond)
	h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	h.handle(PermitsReceived{
		Permits: []rosemarylb.Permit{{
			Group:       "g",
			Primary:     "e1",
			Term:        1,
			RequestedAt: requestedAt.Add(100 * time.Millisecond),
			ExpiresAt:   requestedAt.Add(505 * time.Millisecond),
		}},
	})
	h.wantNoAnswer(1)
}

func TestNothingIsSentToPrimaryWithoutPermit(t *testing.T) {
	h := newHarness(t)
	h.advance(600 * time.Millisecond)
	h.ask(1, rosemarylb.QueryWrite)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent, want nothing", h.sent)
	}
	h.advance(790 * time.Millisecond)
	h.wantNoAnswer(1)
	h.advance(30 * time.Millisecond)
	h.wantAnswer(1, rosemarylb.ReplyBusy, none)
}

func TestTransactionBeginsWithFirstStatement(t *testing.T) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryBegin)
	h.wantAnswer(1, rosemarylb.ReplyDone, opened)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent on begin, want nothing", h.sent)
	}
	h.ask(1, rosemarylb.QueryWrite)
	begin := h.nextSent()
	if begin.query.Kind != rosemarylb.QueryBegin || begin.query.ID != "" {
		t.Errorf("got %s with id %q first, want a begin without id", begin.query.Kind, begin.query.ID)
	}
	h.reply(begin, rosemarylb.ReplyDone, opened, position(1, 10))
	write := h.nextSent()
	if write.id != begin.id {
		t.Errorf("got connection %d, want %d, on which the transaction began", write.id, begin.id)
	}
	h.reply(write, rosemarylb.ReplyDone, opened, position(1, 10))
	h.wantAnswer(1, rosemarylb.ReplyDone, opened)
	h.ask(1, rosemarylb.QueryCommit)
	commit := h.nextSent()
	if commit.id != begin.id {
		t.Errorf("got connection %d, want %d, on which the transaction began", commit.id, begin.id)
	}
	h.reply(commit, rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(1, rosemarylb.ReplyDone, none)
}

func TestTransactionIsRetriedWhenFirstStatementIsRejected(t *testing.T) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryBegin)
	h.ask(1, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	h.reply(h.nextSent(), rosemarylb.ReplyBusy, failed, position(1, 10))
	h.advance(50 * time.Millisecond)
	var kinds []rosemarylb.QueryKind
	for len(h.sent) > 0 {
		s := h.nextSent()
		kinds = append(kinds, s.query.Kind)
		state := opened
		if s.query.Kind == rosemarylb.QueryRollback {
			state = none
		}
		h.reply(s, rosemarylb.ReplyDone, state, position(1, 10))
	}
	want := []rosemarylb.QueryKind{rosemarylb.QueryRollback, rosemarylb.QueryBegin, rosemarylb.QueryWrite}
	if len(kinds) != 3 || kinds[0] != want[0] || kinds[1] != want[1] || kinds[2] != want[2] {
		t.Errorf("got %v, want %v", kinds, want)
	}
	h.wantAnswer(1, rosemarylb.ReplyDone, opened)
}

// inTransaction returns a harness whose session 1 has an open transaction with
// one answered write, and this write.
func inTransaction(t *testing.T) (*harness, sent) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryBegin)
	h.ask(1, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	s := h.nextSent()
	h.reply(s, rosemarylb.ReplyDone, opened, position(1, 10))
	return h, s
}

func TestLostTransactionIsAborted(t *testing.T) {
	h, s := inTransaction(t)
	h.loseConnection(s)
	h.ask(1, rosemarylb.QueryWrite)
	h.wantAnswer(1, rosemarylb.ReplyAborted, failed)
	h.ask(1, rosemarylb.QueryCommit)
	h.wantAnswer(1, rosemarylb.ReplyAborted, none)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent, want nothing", h.sent)
	}
}

func TestLostCommitHasUnknownOutcome(t *testing.T) {
	h, _ := inTransaction(t)
	h.ask(1, rosemarylb.QueryCommit)
	h.loseConnection(h.nextSent())
	h.wantAnswer(1, rosemarylb.ReplyUnknown, none)
}

func TestLostReadOnlyCommitIsAborted(t *testing.T) {
	h := newHarness(t)
	h.ask(2, rosemarylb.QueryBeginRead)
	h.ask(2, rosemarylb.QueryRead)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	h.ask(2, rosemarylb.QueryCommit)
	h.loseConnection(h.nextSent())
	h.wantAnswer(2, rosemarylb.ReplyAborted, none)
}

func TestTransactionIsAbortedOnFailover(t *testing.T) {
	h, _ := inTransaction(t)
	h.permit("e2", 2, time.Second)
	h.ask(1, rosemarylb.QueryCommit)
	h.wantAnswer(1, rosemarylb.ReplyAborted, none)
	if s := h.nextSent(); s.query.Kind != rosemarylb.QueryRollback {
		t.Errorf("got %s sent, want a rollback", s.query.Kind)
	}
}

func TestTransactionIsRolledBackOnDisconnect(t *testing.T) {
	h, s := inTransaction(t)
	h.handle(SessionClosed{
		Session: 1,
	})
	if r := h.nextSent(); r.query.Kind != rosemarylb.QueryRollback || r.id != s.id {
		t.Errorf("got %s on %d, want a rollback on %d", r.query.Kind, r.id, s.id)
	}
}

func TestIdleTransactionIsRolledBack(t *testing.T) {
	h, _ := inTransaction(t)
	h.advance(3100 * time.Millisecond)
	if r := h.nextSent(); r.query.Kind != rosemarylb.QueryRollback {
		t.Errorf("got %s, want a rollback", r.query.Kind)
	}
	h.ask(1, rosemarylb.QueryCommit)
	h.wantAnswer(1, rosemarylb.ReplyAborted, none)
}

func TestSessionStateIsRestoredOnConnection(t *testing.T) {
	h := newHarness(t)
	send := func(q rosemarylb.Query) {
		h.handle(QueryReceived{
			Session: 1,
			Query:   q,
		})
		h.openConnections()
	}
	send(rosemarylb.Query{Kind: rosemarylb.QuerySet, Name: "zone", Value: "x"})
	send(rosemarylb.Query{Kind: rosemarylb.QueryPrepare, Name: "s1", Value: "q2", Writes: true})
	send(rosemarylb.Query{ID: "w", Kind: rosemarylb.QueryExecute, Name: "s1", Text: "1 d"})
	want := []rosemarylb.QueryKind{rosemarylb.QuerySet, rosemarylb.QueryPrepare, rosemarylb.QueryExecute}
	for _, kind := range want {
		s := h.nextSent()
		if s.query.Kind != kind {
			t.Fatalf("got %s, want %s", s.query.Kind, kind)
		}
		h.reply(s, rosemarylb.ReplyDone, none, position(1, 10))
	}
	h.join(4, "primary")
	h.ask(4, rosemarylb.QueryRead)
	if s := h.nextSent(); s.query.Kind != rosemarylb.QueryReset {
		t.Errorf("got %s for a session without settings, want a reset", s.query.Kind)
	}
}

func TestUnknownDatabaseIsRejectedAfterFirstCatalog(t *testing.T) {
	h := newHarness(t)
	h.join(9, "unknown")
	if r, _ := h.last(9); r.Code != rosemarylb.ReplyNoDatabase || !h.closed[9] {
		t.Errorf("got %s, closed %v, want no-database and closed", r.Code, h.closed[9])
	}
	fresh := NewProxy(h, endpointPorts{harness: h})
	fresh.Handle(h.now, SessionOpened{
		Session:  10,
		Database: "primary",
	})
	h.wantNoAnswer(10)
	fresh.Handle(h.now, CatalogChanged{
		Catalog: catalog(1),
	})
	if !h.accepted[10] {
		t.Error("got no welcome after the first configuration, want one")
	}
}

// An instance that started while the store is down has no configuration. Its
// callers are served by the other instances if they are sent away in time.
func TestSessionIsRejectedWithoutConfiguration(t *testing.T) {
	h := newHarness(t)
	h.proxy = NewProxy(h, endpointPorts{harness: h})
	h.join(9, "primary")
	h.advance(900 * time.Millisecond)
	h.wantNoAnswer(9)
	h.advance(200 * time.Millisecond)
	h.wantAnswer(9, rosemarylb.ReplyBusy, none)
	if !h.closed[9] {
		t.Error("got the session open, want it rejected")
	}
	h.handle(CatalogChanged{
		Catalog: catalog(1),
	})
	if h.accepted[9] {
		t.Error("got the rejected session accepted with the configuration, want it gone")
	}
}

func TestRemovedRouteServesUntilTransactionEnds(t *testing.T) {
	h, _ := inTransaction(t)
	next := catalog(2)
	delete(next.Routes, "primary")
	h.handle(CatalogChanged{
		Catalog: next,
	})
	h.ask(1, rosemarylb.QueryCommit)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(1, rosemarylb.ReplyDone, none)
	h.ask(1, rosemarylb.QueryRead)
	h.wantAnswer(1, rosemarylb.ReplyNoDatabase, none)
	h.handle(CatalogChanged{
		Catalog: catalog(1),
	})
	h.ask(1, rosemarylb.QueryRead)
	h.wantAnswer(1, rosemarylb.ReplyNoDatabase, none)
}

func TestLeavingEndpointReceivesNoNewQuery(t *testing.T) {
	h := newHarness(t)
	h.register(spec("e1", "r"), spec("e2", "r").WithLeaving())
	h.ask(2, rosemarylb.QueryRead)
	if s := h.nextSent(); s.to != "e1" {
		t.Errorf("got %s, want e1", s.to)
	}
}

func TestReadsArePipelinedToAnotherRegion(t *testing.T) {
	h := newHarness(t)
	h.handle(ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: 8,
		},
	})
	h.register(spec("e1", "far"))
	for id := rosemarylb.SessionID(11); id < 16; id++ {
		h.join(id, "primary")
		h.ask(id, rosemarylb.QueryRead)
	}
	if got, want := len(h.sent), maxPipelinedReads; got != want {
		t.Fatalf("got %d reads in flight, want %d", got, want)
	}
	first := h.nextSent()
	h.reply(first, rosemarylb.ReplyDone, none, position(1, 10))
	h.wantAnswer(11, rosemarylb.ReplyDone, none)
	h.loseConnection(h.nextSent())
	h.advance(300 * time.Millisecond)
	h.permit("e1", 1, time.Second)
	for len(h.sent) > 0 {
		h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 10))
	}
	for id := rosemarylb.SessionID(12); id < 16; id++ {
		h.wantAnswer(id, rosemarylb.ReplyDone, none)
	}
}

func TestDrainClosesIdleSessionsBeforeTransactions(t *testing.T) {
	h, _ := inTransaction(t)
	h.handle(DrainStarted{
		CloseAt: h.now.Add(time.Second),
		AbortAt: h.now.Add(2 * time.Second),
	})
	h.advance(900 * time.Millisecond)
	if h.closed[2] {
		t.Error("got an idle session closed before CloseAt")
	}
	if h.proxy.Status().Load().Ready {
		t.Error("got ready during a drain, want not ready")
	}
	h.advance(200 * time.Millisecond)
	if !h.closed[2] || h.closed[1] {
		t.Errorf("got idle closed %v, in transaction closed %v, want true, false", h.closed[2], h.closed[1])
	}
	h.advance(time.Second)
	if !h.closed[1] || !h.proxy.Status().Load().Empty {
		t.Error("got open sessions after the drain, want none")
	}
}

func TestDelayedWriteIsSentOnceWhenAnotherIsRejected(t *testing.T) {
	h := newHarness(t)
	h.permit("e1", 1, 5*time.Second)
	h.join(11, "primary")
	h.ask(1, rosemarylb.QueryWrite)
	first := h.nextSent()
	h.ask(1, rosemarylb.QueryWrite)
	h.advance(200 * time.Millisecond)
	h.ask(11, rosemarylb.QueryWrite)
	second := h.nextSent()
	h.advance(590 * time.Millisecond)
	h.reply(first, rosemarylb.ReplyBusy, none, position(1, 10))
	h.reply(second, rosemarylb.ReplyBusy, none, position(1, 10))
	h.advance(30 * time.Millisecond)
	h.wantAnswer(1, rosemarylb.ReplyBusy, none)
	counts := map[string]int{}
	for len(h.sent) > 0 {
		s := h.nextSent()
		counts[s.query.ID]++
		h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	}
	if counts[second.query.ID] != 1 {
		t.Errorf("got write %s sent %d times, want once", second.query.ID, counts[second.query.ID])
	}
	if got := h.proxy.inFlight; got != 0 {
		t.Errorf("got %d queries in flight at the end, want 0", got)
	}
}
