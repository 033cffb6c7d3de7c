package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

func (h *harness) observation() Observation {
	return h.proxy.currentObservation(h.proxy.groups["g"], h.now)
}

func TestFailureInEarlierTermIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyReadOnly, none, position(1, 10))
	if h.observation().FirstFailureAt.IsZero() {
		t.Error("got no failure of a primary that refused a write, want one")
	}
	h.permit("e2", 2, time.Second)
	h.permit("e1", 3, time.Second)
	if got := h.observation(); !got.FirstFailureAt.IsZero() {
		t.Errorf("got a failure of e1 at %s in its next term, want none", got.FirstFailureAt)
	}
}

func TestFailureExpiresWithoutFurtherQueries(t *testing.T) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.loseConnection(h.nextSent())
	if h.observation().FirstFailureAt.IsZero() {
		t.Error("got no failure of a primary whose connection broke, want one")
	}
	for range 5 {
		h.permit("e1", 1, time.Second)
		h.advance(500 * time.Millisecond)
	}
	if got := h.observation(); !got.FirstFailureAt.IsZero() {
		t.Errorf("got an unexpired failure at %s without later queries, want none", got.FirstFailureAt)
	}
}

func TestDemotedPrimaryIsUsedAfterNewPermit(t *testing.T) {
	h := newHarness(t)
	h.ask(1, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyReadOnly, none, position(1, 10))
	h.advance(60 * time.Millisecond)
	if len(h.sent) != 0 {
		t.Errorf("got %v sent to a primary that refused a write, want nothing before a newer permit", h.sent)
	}
	h.permit("e1", 1, time.Second)
	h.advance(10 * time.Millisecond)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, none, position(1, 11))
	h.wantAnswer(1, rosemarylb.ReplyDone, none)
}
