package session

import (
	"testing"
	"time"

	"rosemarylb"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		text          string
		inTransaction bool
		want          rosemarylb.Class
	}{
		{"SELECT 1", false, rosemarylb.ClassRead},
		{"  -- note\n select * from jobs", false, rosemarylb.ClassRead},
		{"/* note */ (SELECT 1)", false, rosemarylb.ClassRead},
		{"SELECT * FROM jobs FOR UPDATE", false, rosemarylb.ClassWrite},
		{"SELECT * INTO copy FROM jobs", false, rosemarylb.ClassWrite},
		{"SELECT 1; DELETE FROM jobs", false, rosemarylb.ClassWrite},
		{"WITH gone AS (DELETE FROM jobs RETURNING id) SELECT * FROM gone", false, rosemarylb.ClassWrite},
		{"INSERT INTO jobs VALUES (1)", false, rosemarylb.ClassWrite},
		{"BEGIN", false, rosemarylb.ClassBegin},
		{"BEGIN; INSERT INTO jobs VALUES (1); COMMIT", false, rosemarylb.ClassWrite},
		{"SELECT 1", true, rosemarylb.ClassInTransaction},
		{"INSERT INTO jobs VALUES (1); COMMIT", true, rosemarylb.ClassCommit},
		{"commit;", true, rosemarylb.ClassCommit},
		{"END", true, rosemarylb.ClassCommit},
		{"ROLLBACK", true, rosemarylb.ClassRollback},
		{"ROLLBACK TO SAVEPOINT a", true, rosemarylb.ClassInTransaction},
		{"", true, rosemarylb.ClassInTransaction},
	}
	for _, tt := range tests {
		if got := Classify(tt.text, tt.inTransaction); got != tt.want {
			t.Errorf("%q, in transaction %v: got %s, want %s", tt.text, tt.inTransaction, got, tt.want)
		}
	}
}

var (
	now    = time.Unix(1000, 0)
	limits = rosemarylb.ServiceConfig{
		RequestMillis: 1000,
	}
)

func startRequest(s Session, text string, sequence uint64) (Session, rosemarylb.Request) {
	return s.WithNewRequest(DecodedRequest{
		Texts: []string{text},
	}, rosemarylb.RequestID{
		Sequence: sequence,
	}, limits, now)
}

func newPosition(term rosemarylb.Term, lsn rosemarylb.LSN) rosemarylb.Position {
	return rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}
}

func newDoneOutcome(r rosemarylb.Request, p rosemarylb.Position) rosemarylb.Outcome {
	return rosemarylb.Outcome{
		ID:       r.ID,
		Position: p,
	}
}

func newSession() Session {
	return NewSession(1, "book", rosemarylb.CallerSpec{
		Name: "fitter",
	})
}

func TestFloorRisesWithWritesAndTerms(t *testing.T) {
	s := newSession()
	if s.Floor().Known {
		t.Fatal("got a known minimum position in a new session, want an unknown one")
	}
	s, r := startRequest(s, "INSERT INTO jobs VALUES (1)", 1)
	s, _ = s.WithOutcome(newDoneOutcome(r, newPosition(2, 10)), now)
	s, r = startRequest(s, "SELECT 1", 2)
	s, _ = s.WithOutcome(newDoneOutcome(r, newPosition(3, 50)), now)
	if got, want := s.Floor().Position, newPosition(3, 10); got != want {
		t.Errorf("got minimum position %s, want %s: a read raises only the term", got, want)
	}
	s, r = startRequest(s, "INSERT INTO jobs VALUES (2)", 3)
	s, _ = s.WithOutcome(rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost), now)
	if s.Floor().Known {
		t.Error("got a known minimum position after an unknown outcome, want an unknown one")
	}
}

func TestFloorComparesTermBeforeLSN(t *testing.T) {
	floor := rosemarylb.NewFloor(newPosition(3, 10))
	tests := []struct {
		applied rosemarylb.Position
		want    bool
	}{
		{newPosition(3, 10), true},
		{newPosition(3, 9), false},
		{newPosition(2, 99), false},
		{newPosition(4, 10), true},
		{newPosition(4, 9), false},
	}
	for _, tt := range tests {
		if got := floor.SatisfiedBy(tt.applied); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.applied, got, tt.want)
		}
	}
}

func TestRetries(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		key     string
		outcome rosemarylb.Outcome
		want    bool
	}{
		{"read that was not run", "SELECT 1", "", rosemarylb.NewNotRun(rosemarylb.RequestID{}, rosemarylb.ReasonReplicaLagging), true},
		{"write that was not run", "DELETE FROM a", "", rosemarylb.NewNotRun(rosemarylb.RequestID{}, rosemarylb.ReasonWrongTerm), true},
		{"write that may have run", "DELETE FROM a", "", rosemarylb.NewUnknown(rosemarylb.RequestID{}, rosemarylb.ReasonLost), false},
		{"write with an idempotency key that may have run", "DELETE FROM a", "k", rosemarylb.NewUnknown(rosemarylb.RequestID{}, rosemarylb.ReasonLost), true},
		{"overload", "SELECT 1", "", rosemarylb.NewNotRun(rosemarylb.RequestID{}, rosemarylb.ReasonOverload), false},
	}
	for _, tt := range tests {
		s, _ := startRequest(newSession().WithIdempotencyKey(tt.key), tt.text, 1)
		if _, v := s.WithOutcome(tt.outcome, now); v.Retry != tt.want {
			t.Errorf("%s: got retry %v, want %v", tt.name, v.Retry, tt.want)
		}
		if _, v := s.WithOutcome(tt.outcome, now.Add(2*time.Second)); v.Retry {
			t.Errorf("%s: got a retry after the deadline, want none", tt.name)
		}
	}
}

func TestLostTransactionStaysFailedUntilEnded(t *testing.T) {
	s, r := startRequest(newSession(), "BEGIN", 1)
	s, v := s.WithOutcome(newDoneOutcome(r, rosemarylb.Position{}).WithPinnedConnection(7, false), now)
	if got, want := v.Status, byte('T'); got != want {
		t.Fatalf("got status %c, want %c", got, want)
	}
	s, r = startRequest(s, "INSERT INTO jobs VALUES (1)", 2)
	if got, want := r.Target.PinnedConnection, uint64(7); got != want {
		t.Errorf("got lease %d, want %d", got, want)
	}
	s, v = s.WithOutcome(rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonPinnedConnectionLost), now)
	if got, want := v.Status, byte('E'); got != want || !s.TransactionAborted() {
		t.Errorf("got status %c, want %c: later statements must not run outside the transaction", got, want)
	}
	if s.WithTransactionEnded().InTransaction() {
		t.Error("got an open transaction after its end, want none")
	}
}

func TestNotRunRetryKeepsEarlierOutcomeUnknown(t *testing.T) {
	s, r := startRequest(newSession().WithIdempotencyKey("k"), "INSERT INTO dues VALUES (1)", 1)
	s, v := s.WithOutcome(rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost), now)
	if !v.Retry {
		t.Fatal("got no retry of a write with an idempotency key, want one")
	}
	_, v = s.WithOutcome(rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonDeadline), now)
	if got, want := v.Outcome.Kind, rosemarylb.OutcomeUnknown; got != want {
		t.Errorf("got %s, want %s: the first attempt may have run", got, want)
	}
}
