package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

func TestQueriesWaitForAllOfTheirTimeOnlyWhileAPrimaryIsReplaced(t *testing.T) {
	tests := []struct {
		name       string
		leaderless time.Duration
		wait       time.Duration
		refused    bool
	}{
		{"just now", 100 * time.Millisecond, 700 * time.Millisecond, false},
		{"a replacement may still end", replaceSpan - 100*time.Millisecond, 700 * time.Millisecond, false},
		{"nobody knows when there will be one, for a while", replaceSpan + time.Second, 300 * time.Millisecond, false},
		{"nobody knows when there will be one", replaceSpan + time.Second, 450 * time.Millisecond, true},
	}
	for _, test := range tests {
		for session, kind := range map[rosemarylb.SessionID]rosemarylb.QueryKind{
			1: rosemarylb.QueryRead,
			3: rosemarylb.QueryWrite,
		} {
			b := newBench(t)
			b.pass(500*time.Millisecond + test.leaderless)
			b.ask(session, kind)
			b.pass(test.wait)
			r, answered := b.last(session)
			if answered != test.refused {
				t.Errorf("%s: got a %s answered: %t, want %t", test.name, kind, answered, test.refused)
			}
			if answered && !r.Code.NotRun() {
				t.Errorf("%s: got %s, want a refusal as not run", test.name, r.Code)
			}
		}
	}
}

func TestAPrimaryThatIsNamedLateIsUsed(t *testing.T) {
	b := newBench(t)
	b.pass(replaceSpan + 2*time.Second)
	b.ask(1, rosemarylb.QueryWrite)
	b.permit("e2", 2, time.Second)
	b.open()
	if s := b.take(); s.to != "e2" {
		t.Errorf("got %s, want e2", s.to)
	}
}
