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
