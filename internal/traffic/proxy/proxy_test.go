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

func TestWritesAndCurrentReadsRunAtThePrimary(t *testing.T) {
	for _, kind := range []rosemarylb.QueryKind{rosemarylb.QueryWrite, rosemarylb.QueryRead} {
		b := newBench(t)
		b.ask(1, kind)
		s := b.take()
		if s.to != "e1" || !s.query.Wait.IsZero() {
			t.Errorf("%s: got %s waiting for %s, want e1 without waiting", kind, s.to, s.query.Wait)
		}
		b.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
		b.wantAnswer(1, rosemarylb.ReplyDone, none)
	}
}

func TestReadsRunAtAReplicaThatHoldsWhatTheyHaveToSee(t *testing.T) {
	b := newBench(t)
	b.ask(2, rosemarylb.QueryRead)
	s := b.take()
	if s.to != "e2" || s.query.Wait != position(1, 10) {
		t.Errorf("got %s waiting for %s, want e2 waiting for 1/10", s.to, s.query.Wait)
	}
	b.reply(s, rosemarylb.ReplyBehind, none, position(1, 8))
	b.pass(20 * time.Millisecond)
	s = b.take()
	if s.to != "e1" {
		t.Errorf("got %s after a replica that lacks the position, want e1", s.to)
	}
	b.wantNoAnswer(2)
	b.reply(s, rosemarylb.ReplyDone, none, position(1, 10))
	b.wantAnswer(2, rosemarylb.ReplyDone, none)
}

func TestASessionSeesItsOwnCommit(t *testing.T) {
	b := newBench(t)
	b.ask(3, rosemarylb.QueryWrite)
	b.reply(b.take(), rosemarylb.ReplyDone, none, position(1, 42))
	b.ask(3, rosemarylb.QueryRead)
	s := b.take()
	if s.to == "e2" && s.query.Wait != position(1, 42) {
		t.Errorf("got a read waiting for %s, want 1/42", s.query.Wait)
	}
}

func TestALostWriteIsInDoubtAndNeverSentAgain(t *testing.T) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryWrite)
	b.lose(b.take())
	b.wantAnswer(1, rosemarylb.ReplyUnknown, none)
	b.pass(2 * time.Second)
	if len(b.sent) != 0 {
		t.Errorf("got %v sent after the loss, want nothing", b.sent)
	}
}

func TestALostReadIsRepeated(t *testing.T) {
	b := newBench(t)
	b.ask(2, rosemarylb.QueryRead)
	b.lose(b.take())
	b.wantNoAnswer(2)
	b.pass(50 * time.Millisecond)
	b.reply(b.take(), rosemarylb.ReplyDone, none, position(1, 10))
	b.wantAnswer(2, rosemarylb.ReplyDone, none)
}

func TestRefusalsThatDidNotRunAreRepeated(t *testing.T) {
	codes := []rosemarylb.ReplyCode{
		rosemarylb.ReplyBusy, rosemarylb.ReplyReadOnly, rosemarylb.ReplyNoStatement,
	}
	for _, code := range codes {
		b := newBench(t)
		b.ask(1, rosemarylb.QueryWrite)
		b.reply(b.take(), code, none, position(1, 10))
		b.wantNoAnswer(1)
		b.pass(60 * time.Millisecond)
		term := rosemarylb.Term(1)
		if code == rosemarylb.ReplyReadOnly {
			if len(b.sent) != 0 {
				t.Errorf("got %v sent to a primary that leads no more, want nothing", b.sent)
			}
			term = 2
			b.permit("e1", term, time.Second)
		}
		b.reply(b.take(), rosemarylb.ReplyDone, none, position(term, 11))
		b.wantAnswer(1, rosemarylb.ReplyDone, none)
	}
}

func TestAnAnswerWithoutAPermitWaitsForOne(t *testing.T) {
	tests := []struct {
		name string
		kind rosemarylb.QueryKind
		term rosemarylb.Term
		code rosemarylb.ReplyCode
	}{
		{"a write confirmed", rosemarylb.QueryWrite, 1, rosemarylb.ReplyDone},
		{"a write at a replaced primary", rosemarylb.QueryWrite, 2, rosemarylb.ReplyUnknown},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.ask(1, c.kind)
			s := b.take()
			b.pass(510 * time.Millisecond)
			b.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
			b.wantNoAnswer(1)
			b.permit("e1", c.term, time.Second)
			b.wantAnswer(1, c.code, none)
		})
	}
}

func TestAPermitAskedForBeforeAnAnswerDoesNotConfirmIt(t *testing.T) {
	b := newBench(t)
	asked := b.now
	b.ask(1, rosemarylb.QueryWrite)
	s := b.take()
	b.pass(510 * time.Millisecond)
	b.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	b.handle(Permitted{
		Permits: []rosemarylb.Permit{{
			Group:   "g",
			Primary: "e1",
			Term:    1,
			AskedAt: asked.Add(100 * time.Millisecond),
			Until:   asked.Add(505 * time.Millisecond),
		}},
	})
	b.wantNoAnswer(1)
}

func TestNothingIsSentToAPrimaryWithoutAPermit(t *testing.T) {
	b := newBench(t)
	b.pass(600 * time.Millisecond)
	b.ask(1, rosemarylb.QueryWrite)
	if len(b.sent) != 0 {
		t.Errorf("got %v sent, want nothing", b.sent)
	}
	b.pass(790 * time.Millisecond)
	b.wantNoAnswer(1)
	b.pass(30 * time.Millisecond)
	b.wantAnswer(1, rosemarylb.ReplyBusy, none)
}

func TestATransactionBeginsWithItsFirstStatement(t *testing.T) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryBegin)
	b.wantAnswer(1, rosemarylb.ReplyDone, opened)
	if len(b.sent) != 0 {
		t.Errorf("got %v sent at the begin, want nothing", b.sent)
	}
	b.ask(1, rosemarylb.QueryWrite)
	begin := b.take()
	if begin.query.Kind != rosemarylb.QueryBegin || begin.query.ID != "" {
		t.Errorf("got %s with id %q first, want the proxy's own begin", begin.query.Kind, begin.query.ID)
	}
	b.reply(begin, rosemarylb.ReplyDone, opened, position(1, 10))
	write := b.take()
	if write.id != begin.id {
		t.Errorf("got connection %d, want the begin's %d", write.id, begin.id)
	}
	b.reply(write, rosemarylb.ReplyDone, opened, position(1, 10))
	b.wantAnswer(1, rosemarylb.ReplyDone, opened)
	b.ask(1, rosemarylb.QueryCommit)
	commit := b.take()
	if commit.id != begin.id {
		t.Errorf("got connection %d, want the begin's %d", commit.id, begin.id)
	}
	b.reply(commit, rosemarylb.ReplyDone, none, position(1, 11))
	b.wantAnswer(1, rosemarylb.ReplyDone, none)
}

func TestATransactionThatNothingWasToldOfBeginsAnew(t *testing.T) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryBegin)
	b.ask(1, rosemarylb.QueryWrite)
	b.reply(b.take(), rosemarylb.ReplyDone, opened, position(1, 10))
	b.reply(b.take(), rosemarylb.ReplyBusy, failed, position(1, 10))
	b.pass(50 * time.Millisecond)
	var kinds []rosemarylb.QueryKind
	for len(b.sent) > 0 {
		s := b.take()
		kinds = append(kinds, s.query.Kind)
		state := opened
		if s.query.Kind == rosemarylb.QueryRollback {
			state = none
		}
		b.reply(s, rosemarylb.ReplyDone, state, position(1, 10))
	}
	want := []rosemarylb.QueryKind{rosemarylb.QueryRollback, rosemarylb.QueryBegin, rosemarylb.QueryWrite}
	if len(kinds) != 3 || kinds[0] != want[0] || kinds[1] != want[1] || kinds[2] != want[2] {
		t.Errorf("got %v, want %v", kinds, want)
	}
	b.wantAnswer(1, rosemarylb.ReplyDone, opened)
}

// inTransaction brings a session into a transaction with one write answered.
func inTransaction(t *testing.T) (*bench, sent) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryBegin)
	b.ask(1, rosemarylb.QueryWrite)
	b.reply(b.take(), rosemarylb.ReplyDone, opened, position(1, 10))
	s := b.take()
	b.reply(s, rosemarylb.ReplyDone, opened, position(1, 10))
	return b, s
}

func TestALostTransactionIsAborted(t *testing.T) {
	b, s := inTransaction(t)
	b.lose(s)
	b.ask(1, rosemarylb.QueryWrite)
	b.wantAnswer(1, rosemarylb.ReplyAborted, failed)
	b.ask(1, rosemarylb.QueryCommit)
	b.wantAnswer(1, rosemarylb.ReplyAborted, none)
	if len(b.sent) != 0 {
		t.Errorf("got %v sent, want nothing", b.sent)
	}
}

func TestALostCommitIsInDoubt(t *testing.T) {
	b, _ := inTransaction(t)
	b.ask(1, rosemarylb.QueryCommit)
	b.lose(b.take())
	b.wantAnswer(1, rosemarylb.ReplyUnknown, none)
}

func TestALostCommitOfReadsIsAborted(t *testing.T) {
	b := newBench(t)
	b.ask(2, rosemarylb.QueryBeginRead)
	b.ask(2, rosemarylb.QueryRead)
	b.reply(b.take(), rosemarylb.ReplyDone, opened, position(1, 10))
	b.reply(b.take(), rosemarylb.ReplyDone, opened, position(1, 10))
	b.ask(2, rosemarylb.QueryCommit)
	b.lose(b.take())
	b.wantAnswer(2, rosemarylb.ReplyAborted, none)
}

func TestATransactionDoesNotOutliveItsPrimary(t *testing.T) {
	b, _ := inTransaction(t)
	b.permit("e2", 2, time.Second)
	b.ask(1, rosemarylb.QueryCommit)
	b.wantAnswer(1, rosemarylb.ReplyAborted, none)
	if s := b.take(); s.query.Kind != rosemarylb.QueryRollback {
		t.Errorf("got %s sent, want a roll back", s.query.Kind)
	}
}

func TestACallerThatLeavesIsRolledBack(t *testing.T) {
	b, s := inTransaction(t)
	b.handle(Left{
		Session: 1,
	})
	if r := b.take(); r.query.Kind != rosemarylb.QueryRollback || r.id != s.id {
		t.Errorf("got %s on %d, want a roll back on %d", r.query.Kind, r.id, s.id)
	}
}

func TestAnIdleTransactionEnds(t *testing.T) {
	b, _ := inTransaction(t)
	b.pass(3100 * time.Millisecond)
	if r := b.take(); r.query.Kind != rosemarylb.QueryRollback {
		t.Errorf("got %s, want a roll back", r.query.Kind)
	}
	b.ask(1, rosemarylb.QueryCommit)
	b.wantAnswer(1, rosemarylb.ReplyAborted, none)
}

func TestValuesAndNamesAreLaidOntoTheConnection(t *testing.T) {
	b := newBench(t)
	send := func(q rosemarylb.Query) {
		b.handle(Asked{
			Session: 1,
			Query:   q,
		})
		b.open()
	}
	send(rosemarylb.Query{Kind: rosemarylb.QuerySet, Name: "zone", Value: "x"})
	send(rosemarylb.Query{Kind: rosemarylb.QueryPrepare, Name: "s1", Value: "q2", Writes: true})
	send(rosemarylb.Query{ID: "w", Kind: rosemarylb.QueryExecute, Name: "s1", Text: "1 d"})
	want := []rosemarylb.QueryKind{rosemarylb.QuerySet, rosemarylb.QueryPrepare, rosemarylb.QueryExecute}
	for _, kind := range want {
		s := b.take()
		if s.query.Kind != kind {
			t.Fatalf("got %s, want %s", s.query.Kind, kind)
		}
		b.reply(s, rosemarylb.ReplyDone, none, position(1, 10))
	}
	b.join(4, "primary")
	b.ask(4, rosemarylb.QueryRead)
	if s := b.take(); s.query.Kind != rosemarylb.QueryReset {
		t.Errorf("got %s for a session without values, want a reset", s.query.Kind)
	}
}

func TestUnknownDatabasesAreRefusedOnceAConfigurationIsKnown(t *testing.T) {
	b := newBench(t)
	b.join(9, "unknown")
	if r, _ := b.last(9); r.Code != rosemarylb.ReplyNoDatabase || !b.closed[9] {
		t.Errorf("got %s, closed %v, want no-database and closed", r.Code, b.closed[9])
	}
	fresh := NewProxy(b, ports{b: b})
	fresh.Handle(b.now, Joined{
		Session:  10,
		Database: "primary",
	})
	b.wantNoAnswer(10)
	fresh.Handle(b.now, Configured{
		Catalog: catalog(1),
	})
	if !b.welcomed[10] {
		t.Error("got no welcome after the first configuration, want one")
	}
}

func TestADroppedRouteEndsWithTheTransaction(t *testing.T) {
	b, _ := inTransaction(t)
	next := catalog(2)
	delete(next.Routes, "primary")
	b.handle(Configured{
		Catalog: next,
	})
	b.ask(1, rosemarylb.QueryCommit)
	b.reply(b.take(), rosemarylb.ReplyDone, none, position(1, 11))
	b.wantAnswer(1, rosemarylb.ReplyDone, none)
	b.ask(1, rosemarylb.QueryRead)
	b.wantAnswer(1, rosemarylb.ReplyNoDatabase, none)
	b.handle(Configured{
		Catalog: catalog(1),
	})
	b.ask(1, rosemarylb.QueryRead)
	b.wantAnswer(1, rosemarylb.ReplyNoDatabase, none)
}

func TestALeavingEndpointGetsNoNewStatement(t *testing.T) {
	b := newBench(t)
	b.register(spec("e1", "r"), spec("e2", "r").WithLeaving())
	b.ask(2, rosemarylb.QueryRead)
	if s := b.take(); s.to != "e1" {
		t.Errorf("got %s, want e1", s.to)
	}
}

func TestReadsFollowEachOtherToAnotherRegion(t *testing.T) {
	b := newBench(t)
	b.handle(Shared{
		Share: rosemarylb.Share{
			Members: 8,
		},
	})
	b.register(spec("e1", "far"))
	for id := rosemarylb.SessionID(11); id < 16; id++ {
		b.join(id, "primary")
		b.ask(id, rosemarylb.QueryRead)
	}
	if got, want := len(b.sent), followLimit; got != want {
		t.Fatalf("got %d reads on the way, want %d", got, want)
	}
	first := b.take()
	b.reply(first, rosemarylb.ReplyDone, none, position(1, 10))
	b.wantAnswer(11, rosemarylb.ReplyDone, none)
	b.lose(b.take())
	b.pass(300 * time.Millisecond)
	b.permit("e1", 1, time.Second)
	for len(b.sent) > 0 {
		b.reply(b.take(), rosemarylb.ReplyDone, none, position(1, 10))
	}
	for id := rosemarylb.SessionID(12); id < 16; id++ {
		b.wantAnswer(id, rosemarylb.ReplyDone, none)
	}
}

func TestDrainClosesIdleSessionsThenOpenTransactions(t *testing.T) {
	b, _ := inTransaction(t)
	b.handle(Drained{
		CloseAt: b.now.Add(time.Second),
		AbortAt: b.now.Add(2 * time.Second),
	})
	b.pass(900 * time.Millisecond)
	if b.closed[2] {
		t.Error("got an idle session closed before its time")
	}
	if b.p.Status().Load().Ready {
		t.Error("got ready, want not ready at once")
	}
	b.pass(200 * time.Millisecond)
	if !b.closed[2] || b.closed[1] {
		t.Errorf("got idle closed %v, in transaction closed %v, want true, false", b.closed[2], b.closed[1])
	}
	b.pass(time.Second)
	if !b.closed[1] || !b.p.Status().Load().Empty {
		t.Error("got a session left, want none")
	}
}

func TestAParkedWriteIsSentOnceThoughAnotherIsRefusedBesideIt(t *testing.T) {
	b := newBench(t)
	b.permit("e1", 1, 5*time.Second)
	b.join(11, "primary")
	b.ask(1, rosemarylb.QueryWrite)
	first := b.take()
	b.ask(1, rosemarylb.QueryWrite)
	b.pass(200 * time.Millisecond)
	b.ask(11, rosemarylb.QueryWrite)
	second := b.take()
	b.pass(190 * time.Millisecond)
	b.reply(first, rosemarylb.ReplyBusy, none, position(1, 10))
	b.reply(second, rosemarylb.ReplyBusy, none, position(1, 10))
	b.pass(30 * time.Millisecond)
	b.wantAnswer(1, rosemarylb.ReplyBusy, none)
	counts := map[string]int{}
	for len(b.sent) > 0 {
		s := b.take()
		counts[s.query.ID]++
		b.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
	}
	if counts[second.query.ID] != 1 {
		t.Errorf("got the write %s sent %d times, want once", second.query.ID, counts[second.query.ID])
	}
	if got := b.p.jobs; got != 0 {
		t.Errorf("got %d queries under way at the end, want 0", got)
	}
}
