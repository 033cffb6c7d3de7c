package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

func TestQueriesWaitUntilDeadlineOnlyDuringFailover(t *testing.T) {
	tests := []struct {
		name       string
		leaderless time.Duration
		wait       time.Duration
		rejected   bool
	}{
		{"primary lost just now", 100 * time.Millisecond, 700 * time.Millisecond, false},
		{"failover in progress", failoverWindow - 100*time.Millisecond, 700 * time.Millisecond, false},
		{"after the failover window, within the queue time", failoverWindow + time.Second, 300 * time.Millisecond, false},
		{"after the failover window, past the queue time", failoverWindow + time.Second, 450 * time.Millisecond, true},
	}
	for _, test := range tests {
		for session, kind := range map[rosemarylb.SessionID]rosemarylb.QueryKind{
			1: rosemarylb.QueryRead,
			3: rosemarylb.QueryWrite,
		} {
			h := newHarness(t)
			h.advance(500*time.Millisecond + test.leaderless)
			h.ask(session, kind)
			h.advance(test.wait)
			r, answered := h.last(session)
			if answered != test.rejected {
				t.Errorf("%s: got a %s answered: %t, want %t", test.name, kind, answered, test.rejected)
			}
			if answered && !r.Code.NotRun() {
				t.Errorf("%s: got %s, want a rejection as not run", test.name, r.Code)
			}
		}
	}
}

func TestWriteUsesPrimaryElectedAfterFailoverWindow(t *testing.T) {
	h := newHarness(t)
	h.advance(failoverWindow + 2*time.Second)
	h.ask(1, rosemarylb.QueryWrite)
	h.permit("e2", 2, time.Second)
	h.openConnections()
	if s := h.nextSent(); s.to != "e2" {
		t.Errorf("got %s, want e2", s.to)
	}
}

// After many machines lost power, their connections use up the endpoint's limit
// for seconds. Every instance is short of connections then, so a caller that is
// sent away soon uses up its retries.
func TestQueryWaitsUntilDeadlineWhileConnectionsAreExhausted(t *testing.T) {
	tests := []struct {
		name     string
		code     rosemarylb.ReplyCode
		rejected bool
	}{
		{"connection limit reached", rosemarylb.ReplyConnectionLimit, false},
		{"endpoint unreachable from here", rosemarylb.ReplyDone, true},
	}
	for _, test := range tests {
		h := newHarness(t)
		h.receive(1, rosemarylb.QueryWrite)
		for end := h.now.Add(450 * time.Millisecond); h.now.Before(end); h.now = h.now.Add(5 * time.Millisecond) {
			h.rejectConnections(test.code)
			h.permit("e1", 1, 500*time.Millisecond)
			h.proxy.Tick(h.now)
		}
		if r, answered := h.last(1); answered != test.rejected {
			t.Errorf("%s: got %v %s after half of the time, want rejected %v", test.name, answered, r.Code, test.rejected)
		}
	}
}

// While endpoints are out of connections, a transaction that takes the only one
// keeps many single statements waiting until their callers are out of retries.
func TestTransactionsWaitBehindStatementsWhileConnectionsAreExhausted(t *testing.T) {
	tests := []struct {
		name      string
		exhausted bool
		first     rosemarylb.QueryKind
	}{
		{"connections exhausted", true, rosemarylb.QueryWrite},
		{"connections left", false, rosemarylb.QueryBegin},
	}
	for _, test := range tests {
		h := newHarness(t)
		h.register(spec("e1", "r"))
		h.join(10, "primary")
		h.join(11, "primary")
		if test.exhausted {
			h.receive(10, rosemarylb.QueryWrite)
			h.rejectConnections(rosemarylb.ReplyConnectionLimit)
			h.handle(SessionClosed{
				Session: 10,
			})
		}
		h.receive(1, rosemarylb.QueryBegin)
		h.receive(1, rosemarylb.QueryWrite)
		h.receive(11, rosemarylb.QueryWrite)
		if test.exhausted {
			h.now = h.now.Add(connectionLimitBackoff)
			h.permit("e1", 1, 500*time.Millisecond)
			h.proxy.Tick(h.now)
		}
		h.openConnections()
		if got := h.nextSent().query.Kind; got != test.first {
			t.Errorf("%s: got %s sent first, want %s", test.name, got, test.first)
		}
	}
}

// In a burst every instance has a queue. A caller that is sent away after half of
// its time uses up its retries while the burst lasts.
func TestQueryWaitsUntilDeadlineBehindOthersOnly(t *testing.T) {
	tests := []struct {
		name      string
		connected bool
	}{
		{"connected", true},
		{"the endpoint is unreachable from here", false},
	}
	for _, test := range tests {
		h := newHarness(t)
		h.register(spec("e1", "r"))
		h.handle(ShareChanged{
			Share: rosemarylb.ConnectionShare{
				Members: 8,
				Index:   7,
			},
		})
		h.permit("e1", 1, 5*time.Second)
		h.join(11, "primary")
		if test.connected {
			h.ask(1, rosemarylb.QueryWrite)
			h.nextSent()
		}
		h.receive(11, rosemarylb.QueryWrite)
		for end := h.now.Add(500 * time.Millisecond); h.now.Before(end); h.now = h.now.Add(5 * time.Millisecond) {
			h.rejectConnections(rosemarylb.ReplyDone)
			h.proxy.Tick(h.now)
		}
		if r, answered := h.last(11); answered == test.connected {
			t.Errorf("%s: got answered %v %s after more than half of the time, want %v", test.name, answered, r.Code,
				!test.connected)
		}
	}
}
