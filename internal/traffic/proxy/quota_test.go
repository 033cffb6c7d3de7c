package proxy

import (
	"strings"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/quota"
)

// quotaHarness is a harness whose catalog limits the team "team", with a session 10 on
// the route of primary reads.
type quotaHarness struct {
	*harness
	sequence uint64
}

func newQuotaHarness(t *testing.T) *quotaHarness {
	h := &quotaHarness{
		harness: newHarness(t),
	}
	h.limit(2, 10)
	h.handle(PeersChanged{
		Peers: []rosemarylb.RelayPeer{{
			Region: "r",
			Domain: "r",
		}},
	})
	h.openAs(10)
	return h
}

// limit applies a catalog in which the team has a rate, 0 for no quota.
func (h *quotaHarness) limit(version uint64, rate float64) {
	h.handle(CatalogChanged{
		Catalog: catalog(version).WithTeams([]rosemarylb.Team{{
			Name:          "team",
			Keys:          []rosemarylb.KeyDigest{rosemarylb.NewKeyDigest("key")},
			RatePerSecond: rate,
			Burst:         1,
		}}),
	})
}

func (h *quotaHarness) openAs(id rosemarylb.SessionID) {
	h.handle(SessionOpened{
		Session:  id,
		Database: "primary",
		Key:      rosemarylb.NewKeyDigest("key"),
	})
}

// answer replies to the request in flight.
func (h *quotaHarness) answer(g quota.Grant) {
	h.t.Helper()
	if got := h.proxy.QuotaRequests().Depth(); got != 1 {
		h.t.Fatalf("got %d requests for tokens, want 1", got)
	}
	h.sequence++
	h.handle(QuotaReplied{
		Sequence: h.sequence,
		Reply: quota.Reply{
			Answered: true,
			Grants:   []quota.Grant{g},
		},
	})
	h.runScheduled()
}

// runScheduled lets scheduled queries run.
func (h *quotaHarness) runScheduled() {
	h.advance(20 * time.Millisecond)
}

// TestOperationWaitsForAToken guards against operations that run before the keeper has
// granted a token, and against a second token for the statements of a transaction.
func TestOperationWaitsForAToken(t *testing.T) {
	h := newQuotaHarness(t)
	h.ask(10, rosemarylb.QueryBegin)
	h.ask(10, rosemarylb.QueryWrite)
	if len(h.sent) != 0 {
		t.Fatalf("got %v sent without a token, want nothing", h.sent)
	}
	h.answer(quota.Grant{
		Tokens: 1,
	})
	h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionOpen, position(1, 11))
	h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionOpen, position(1, 11))
	h.ask(10, rosemarylb.QueryWrite)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionOpen, position(1, 12))
	h.wantAnswer(10, rosemarylb.ReplyDone, rosemarylb.TransactionOpen)
}

// TestOperationBeyondTheQuotaIsRefused guards against answers that do not say that the
// operation was not run, or when to try again.
func TestOperationBeyondTheQuotaIsRefused(t *testing.T) {
	h := newQuotaHarness(t)
	h.ask(10, rosemarylb.QueryRead)
	h.answer(quota.Grant{
		RetryMillis: 90,
	})
	h.wantAnswer(10, rosemarylb.ReplyBusy, rosemarylb.TransactionNone)
	if r, _ := h.last(10); r.Text != "not run: quota, retry-after-ms=90" {
		t.Errorf("got text %q, want retry-after-ms=90", r.Text)
	}
	h.ask(10, rosemarylb.QueryRead)
	if got := len(h.answers[10]); got != 2 {
		t.Errorf("got %d answers, want the second operation refused at once", got)
	}
}

// TestOperationIsRefusedAtItsDeadline guards against operations that wait for a silent
// keeper without end, and against one that runs after its session has ended.
func TestOperationIsRefusedAtItsDeadline(t *testing.T) {
	h := newQuotaHarness(t)
	h.openAs(11)
	h.ask(10, rosemarylb.QueryRead)
	h.ask(11, rosemarylb.QueryRead)
	h.handle(SessionClosed{
		Session: 11,
	})
	h.advance(790 * time.Millisecond)
	h.wantNoAnswer(10)
	if got := h.proxy.quotas.allowance.Waiting(); got != 1 {
		t.Errorf("got %d waiting operations, want 1 after one session ended", got)
	}
	h.advance(20 * time.Millisecond)
	r, _ := h.last(10)
	if r.Code != rosemarylb.ReplyBusy || !strings.HasPrefix(r.Text, "not run: quota") {
		t.Errorf("got %s %q, want a refusal by the quota", r.Code, r.Text)
	}
	if got := h.proxy.inFlight; got != 0 {
		t.Errorf("got %d queries in flight, want 0", got)
	}
}

// TestRelayedQueryNeedsNoToken guards against operations that count at both ends of a
// relay, and against teams without a quota that wait.
func TestRelayedQueryNeedsNoToken(t *testing.T) {
	h := newQuotaHarness(t)
	h.proxy.relayPort = h
	h.handle(SessionOpened{
		Session:  20 | relaySessionBit,
		Database: "g",
		Endpoint: "e1",
	})
	h.handle(QueryReceived{
		Session: 20 | relaySessionBit,
		Query: rosemarylb.Query{
			Kind:          rosemarylb.QueryRead,
			Team:          "team",
			TimeoutMillis: 800,
		},
	})
	h.runScheduled()
	h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 10))
	h.limit(3, 0)
	h.ask(10, rosemarylb.QueryRead)
	h.runScheduled()
	h.nextSent()
	if got := h.proxy.QuotaRequests().Depth(); got != 0 {
		t.Errorf("got %d requests for tokens, want 0", got)
	}
}
