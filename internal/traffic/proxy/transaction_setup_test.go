package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

// submit sends a query of a session and establishes the connections that the proxy opens.
func (h *harness) submit(id rosemarylb.SessionID, q rosemarylb.Query) {
	h.handle(QueryReceived{
		Session: id,
		Query:   q,
	})
	h.openConnections()
}

// setStep, prepareStep and executeStep are queries of a caller: two that change its session
// and one that needs a prepared statement.
func setStep() rosemarylb.Query {
	return rosemarylb.Query{
		Kind:  rosemarylb.QuerySet,
		Name:  "zone",
		Value: "x",
	}
}

func prepareStep() rosemarylb.Query {
	return rosemarylb.Query{
		Kind:   rosemarylb.QueryPrepare,
		Name:   "s1",
		Value:  "q2",
		Writes: true,
	}
}

func executeStep() rosemarylb.Query {
	return rosemarylb.Query{
		ID:   "e",
		Kind: rosemarylb.QueryExecute,
		Name: "s1",
		Text: "1 d",
	}
}

// beginWithWrite opens a transaction with one answered write in a session, and returns
// the write.
func (h *harness) beginWithWrite(id rosemarylb.SessionID) sent {
	h.t.Helper()
	h.ask(id, rosemarylb.QueryBegin)
	h.ask(id, rosemarylb.QueryWrite)
	for {
		s := h.nextSent()
		state := opened
		if s.query.Kind == rosemarylb.QuerySet {
			state = none
		}
		h.reply(s, rosemarylb.ReplyDone, state, position(1, 10))
		if s.query.Kind == rosemarylb.QueryWrite {
			return s
		}
	}
}

// TestFailedSetupStepAbortsTransaction guards against REFUSED and PINNED: a statement
// whose PREPARE, SET or RESET failed within its transaction was sent again without the
// transaction, and was kept.
func TestFailedSetupStepAbortsTransaction(t *testing.T) {
	tests := []struct {
		name    string
		before  []rosemarylb.Query
		within  []rosemarylb.Query
		step    rosemarylb.QueryKind
		code    rosemarylb.ReplyCode
		wantEnd rosemarylb.TransactionState
	}{
		{
			name:    "prepare at a former primary",
			before:  []rosemarylb.Query{prepareStep()},
			within:  []rosemarylb.Query{executeStep()},
			step:    rosemarylb.QueryPrepare,
			code:    rosemarylb.ReplyReadOnly,
			wantEnd: failed,
		},
		{
			name:    "set at a former primary",
			within:  []rosemarylb.Query{setStep(), {ID: "w", Kind: rosemarylb.QueryWrite, Writes: true}},
			step:    rosemarylb.QuerySet,
			code:    rosemarylb.ReplyReadOnly,
			wantEnd: failed,
		},
		{
			name:   "reset at a former primary",
			before: []rosemarylb.Query{setStep()},
			within: []rosemarylb.Query{
				{Kind: rosemarylb.QueryReset},
				{ID: "r", Kind: rosemarylb.QueryRead},
			},
			step:    rosemarylb.QueryReset,
			code:    rosemarylb.ReplyReadOnly,
			wantEnd: failed,
		},
		{
			name:    "set before a commit",
			within:  []rosemarylb.Query{setStep(), {ID: "c", Kind: rosemarylb.QueryCommit}},
			step:    rosemarylb.QuerySet,
			code:    rosemarylb.ReplyBusy,
			wantEnd: none,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			for _, q := range test.before {
				h.submit(1, q)
			}
			write := h.beginWithWrite(1)
			for _, q := range test.within {
				h.submit(1, q)
			}
			s := h.nextSent()
			if s.query.Kind != test.step || s.id != write.id {
				t.Fatalf("got %s on %d, want %s on %d", s.query.Kind, s.id, test.step, write.id)
			}
			h.reply(s, test.code, failed, position(1, 10))
			h.permit("e2", 2, time.Second)
			h.advance(200 * time.Millisecond)
			h.wantAnswer(1, rosemarylb.ReplyAborted, test.wantEnd)
			if len(h.sent) != 0 {
				t.Errorf("got %v sent after the transaction had failed, want nothing", h.sent)
			}
			if _, open := h.owners[write.id]; open {
				t.Errorf("got connection %d open, want it closed, which rolls back", write.id)
			}
		})
	}
}

// TestFailedSetupStepBeforeBeginIsRetried checks that a transaction which has not begun
// on an endpoint still begins on another connection.
func TestFailedSetupStepBeforeBeginIsRetried(t *testing.T) {
	h := newHarness(t)
	h.submit(1, setStep())
	h.ask(1, rosemarylb.QueryBegin)
	h.ask(1, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyBusy, none, position(1, 10))
	h.advance(50 * time.Millisecond)
	for _, kind := range []rosemarylb.QueryKind{rosemarylb.QuerySet, rosemarylb.QueryBegin, rosemarylb.QueryWrite} {
		s := h.nextSent()
		if s.query.Kind != kind {
			t.Fatalf("got %s sent, want %s", s.query.Kind, kind)
		}
		state := opened
		if kind == rosemarylb.QuerySet {
			state = none
		}
		h.reply(s, rosemarylb.ReplyDone, state, position(1, 10))
	}
	h.wantAnswer(1, rosemarylb.ReplyDone, opened)
}

// TestOwnerThatEndsTransactionAbortsIt guards against REFUSED and PINNED through another
// instance: an owner that has rolled back a relayed transaction, or that shuts down,
// refuses the setup step, and the statement was sent again without its transaction.
func TestOwnerThatEndsTransactionAbortsIt(t *testing.T) {
	for _, code := range []rosemarylb.ReplyCode{rosemarylb.ReplyMalformed, rosemarylb.ReplyBusy} {
		t.Run(code.String(), func(t *testing.T) {
			h := newRemotePrimaryHarness(t)
			h.ask(1, rosemarylb.QueryWrite)
			h.nextSent()
			h.join(11, "primary")
			h.submit(11, prepareStep())
			write := h.beginWithWrite(11)
			if h.relays[write.id] == "" {
				t.Fatal("got a direct connection, want a relayed one")
			}
			h.submit(11, executeStep())
			h.reply(h.nextSent(), code, failed, rosemarylb.Position{})
			h.advance(100 * time.Millisecond)
			h.wantAnswer(11, rosemarylb.ReplyAborted, failed)
			if len(h.sent) != 0 {
				t.Errorf("got %v sent after the transaction had failed, want nothing", h.sent)
			}
		})
	}
}

// TestRelayedStatementStaysInItsTransaction guards against the same at the owner, which
// runs the relayed transaction: the instance that relays it has to learn that it failed.
func TestRelayedStatementStaysInItsTransaction(t *testing.T) {
	h := newHarness(t)
	h.proxy.relayPort = h
	relayed := rosemarylb.SessionID(20) | relaySessionBit
	h.handle(SessionOpened{
		Session:  relayed,
		Database: "g",
		Endpoint: "e1",
	})
	limit := func(q rosemarylb.Query) rosemarylb.Query {
		return q.WithRankAndTimeout(rosemarylb.RankUrgent, 500)
	}
	h.submit(relayed, limit(rosemarylb.Query{Kind: rosemarylb.QueryBegin}))
	h.submit(relayed, limit(rosemarylb.Query{ID: "w", Kind: rosemarylb.QueryWrite, Writes: true}))
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	h.submit(relayed, limit(prepareStep()))
	h.submit(relayed, limit(executeStep()))
	h.reply(h.nextSent(), rosemarylb.ReplyReadOnly, failed, position(1, 10))
	h.advance(100 * time.Millisecond)
	h.wantAnswer(20, rosemarylb.ReplyAborted, failed)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent after the transaction had failed, want nothing", h.sent)
	}
}
