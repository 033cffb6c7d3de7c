package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

// startDrain starts a drain that closes idle sessions after 100 ms, rolls back
// transactions after 200 ms and ends after 300 ms.
func (h *harness) startDrain() {
	h.handle(DrainStarted{
		CloseAt: h.now.Add(100 * time.Millisecond),
		AbortAt: h.now.Add(200 * time.Millisecond),
		EndAt:   h.now.Add(300 * time.Millisecond),
	})
}

// A session whose caller sends each query right after the last answer was never found
// idle. It stayed open until the process ended, and its query was dropped.
func TestDrainClosesBusySessionAfterItsAnswer(t *testing.T) {
	h := newHarness(t)
	h.permit("e1", 1, 5*time.Second)
	h.startDrain()
	h.ask(1, rosemarylb.QueryWrite)
	h.advance(110 * time.Millisecond)
	if h.closed[1] {
		t.Error("got a session closed with a query in progress")
	}
	h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(1, rosemarylb.ReplyDone, none)
	if !h.closed[1] {
		t.Error("got a session open after its answer, want it closed")
	}
	h.ask(1, rosemarylb.QueryWrite)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent for a closed session, want nothing", h.sent)
	}
}

// A transaction that ends after CloseAt is the last one of its session.
func TestDrainClosesSessionAfterItsCommit(t *testing.T) {
	h, _ := inTransaction(t)
	h.permit("e1", 1, 5*time.Second)
	h.startDrain()
	h.advance(110 * time.Millisecond)
	h.ask(1, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, opened, position(1, 10))
	if h.closed[1] {
		t.Fatal("got a session closed within its transaction before AbortAt")
	}
	h.ask(1, rosemarylb.QueryCommit)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(1, rosemarylb.ReplyDone, none)
	if !h.closed[1] {
		t.Error("got a session open after its commit, want it closed")
	}
}

// At the end of the grace period the process ended without an answer to the queries
// that were still in progress.
func TestDrainAnswersQueriesAtItsEnd(t *testing.T) {
	tests := []struct {
		name  string
		start func(h *harness)
		want  rosemarylb.ReplyCode
	}{
		{"a read that was sent", func(h *harness) {
			h.ask(1, rosemarylb.QueryRead)
			h.nextSent()
		}, rosemarylb.ReplyAborted},
		{"a write that was sent", func(h *harness) {
			h.ask(1, rosemarylb.QueryWrite)
			h.nextSent()
		}, rosemarylb.ReplyUnknown},
		{"a write that waits for a connection", func(h *harness) {
			h.receive(1, rosemarylb.QueryWrite)
		}, rosemarylb.ReplyBusy},
		{"a write that waits to be sent again", func(h *harness) {
			h.ask(1, rosemarylb.QueryWrite)
			h.advance(280 * time.Millisecond)
			h.reply(h.nextSent(), rosemarylb.ReplyReadOnly, none, position(1, 10))
		}, rosemarylb.ReplyBusy},
		{"a write whose answer no permit covers", func(h *harness) {
			h.ask(1, rosemarylb.QueryWrite)
			s := h.nextSent()
			h.advance(250 * time.Millisecond)
			h.proxy.group("g").permit.ExpiresAt = h.now
			h.reply(s, rosemarylb.ReplyDone, none, position(1, 11))
		}, rosemarylb.ReplyUnknown},
		{"the first statement of a transaction", func(h *harness) {
			h.ask(1, rosemarylb.QueryBegin)
			h.ask(1, rosemarylb.QueryWrite)
			h.nextSent()
		}, rosemarylb.ReplyAborted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.permit("e1", 1, 5*time.Second)
			h.startDrain()
			test.start(h)
			h.receive(1, rosemarylb.QueryRead)
			h.proxy.Tick(h.now)
			h.answers[1] = nil
			h.now = h.proxy.drain.EndAt
			h.proxy.Tick(h.now)
			all := h.answers[1]
			if len(all) != 2 || all[0].Code != test.want || all[1].Code != rosemarylb.ReplyBusy && all[1].Code != rosemarylb.ReplyAborted {
				t.Fatalf("got answers %v, want %s and a rejection of the pipelined read", all, test.want)
			}
			if got := h.proxy.inFlight; got != 0 || len(h.proxy.sessions) != 0 || !h.closed[1] {
				t.Errorf("got %d queries and %d sessions at the end, want none", got, len(h.proxy.sessions))
			}
		})
	}
}
