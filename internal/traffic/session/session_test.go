package session

import (
	"testing"
	"time"

	"rosemarylb"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		text string
		open bool
		want rosemarylb.Class
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
		{"SELECT 1", true, rosemarylb.ClassWithin},
		{"INSERT INTO jobs VALUES (1); COMMIT", true, rosemarylb.ClassCommit},
		{"commit;", true, rosemarylb.ClassCommit},
		{"END", true, rosemarylb.ClassCommit},
		{"ROLLBACK", true, rosemarylb.ClassRollback},
		{"ROLLBACK TO SAVEPOINT a", true, rosemarylb.ClassWithin},
		{"", true, rosemarylb.ClassWithin},
	}
	for _, tt := range tests {
		if got := Classify(tt.text, tt.open); got != tt.want {
			t.Errorf("%q, open %v: got %s, want %s", tt.text, tt.open, got, tt.want)
		}
	}
}

var (
	now    = time.Unix(1000, 0)
	limits = rosemarylb.Service{
		RequestMillis: 1000,
	}
)

func ask(s Session, text string, sequence uint64) (Session, rosemarylb.Request) {
	return s.WithAsk(Ask{
		Texts: []string{text},
	}, rosemarylb.RequestID{
		Sequence: sequence,
	}, limits, now)
}

func at(term rosemarylb.Term, lsn rosemarylb.LSN) rosemarylb.Position {
	return rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}
}

func done(r rosemarylb.Request, p rosemarylb.Position) rosemarylb.Outcome {
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

func TestFloorFollowsWritesAndTerms(t *testing.T) {
	s := newSession()
	if s.Floor().Known {
		t.Fatal("got a known floor at the start, want an unknown one")
	}
	s, r := ask(s, "INSERT INTO jobs VALUES (1)", 1)
	s, _ = s.WithOutcome(done(r, at(2, 10)), now)
	s, r = ask(s, "SELECT 1", 2)
	s, _ = s.WithOutcome(done(r, at(3, 50)), now)
	if got, want := s.Floor().Position, at(3, 10); got != want {
		t.Errorf("got floor %s, want %s: a read raises the term alone", got, want)
	}
	s, r = ask(s, "INSERT INTO jobs VALUES (2)", 3)
	s, _ = s.WithOutcome(rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost), now)
	if s.Floor().Known {
		t.Error("got a known floor after an unknown outcome, want an unknown one")
	}
}

func TestFloorOfAnEarlierTermIsNotReachedByNumberAlone(t *testing.T) {
	floor := rosemarylb.NewFloor(at(3, 10))
	tests := []struct {
		applied rosemarylb.Position
		want    bool
	}{
		{at(3, 10), true},
		{at(3, 9), false},
		{at(2, 99), false},
		{at(4, 10), true},
		{at(4, 9), false},
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
		{"a read that was not run", "SELECT 1", "", rosemarylb.NewNotRun(rosemarylb.RequestID{}, rosemarylb.ReasonBehind), true},
		{"a write that was not run", "DELETE FROM a", "", rosemarylb.NewNotRun(rosemarylb.RequestID{}, rosemarylb.ReasonWrongTerm), true},
		{"a write that may have run", "DELETE FROM a", "", rosemarylb.NewUnknown(rosemarylb.RequestID{}, rosemarylb.ReasonLost), false},
		{"a keyed write that may have run", "DELETE FROM a", "k", rosemarylb.NewUnknown(rosemarylb.RequestID{}, rosemarylb.ReasonLost), true},
		{"an overload", "SELECT 1", "", rosemarylb.NewNotRun(rosemarylb.RequestID{}, rosemarylb.ReasonOverload), false},
	}
	for _, tt := range tests {
		s, _ := ask(newSession().WithKey(tt.key), tt.text, 1)
		if _, v := s.WithOutcome(tt.outcome, now); v.Retry != tt.want {
			t.Errorf("%s: got retry %v, want %v", tt.name, v.Retry, tt.want)
		}
		if _, v := s.WithOutcome(tt.outcome, now.Add(2*time.Second)); v.Retry {
			t.Errorf("%s: got a retry after the deadline, want none", tt.name)
		}
	}
}

func TestLostTransactionStaysFailedUntilItsEnd(t *testing.T) {
	s, r := ask(newSession(), "BEGIN", 1)
	s, v := s.WithOutcome(done(r, rosemarylb.Position{}).WithLease(7, false), now)
	if got, want := v.Status, byte('T'); got != want {
		t.Fatalf("got status %c, want %c", got, want)
	}
	s, r = ask(s, "INSERT INTO jobs VALUES (1)", 2)
	if got, want := r.Target.Lease, uint64(7); got != want {
		t.Errorf("got lease %d, want %d", got, want)
	}
	s, v = s.WithOutcome(rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonLeaseGone), now)
	if got, want := v.Status, byte('E'); got != want || !s.Aborted() {
		t.Errorf("got status %c, want %c: what follows must not run on its own", got, want)
	}
	if s.WithEnded().Open() {
		t.Error("got an open transaction after its end, want none")
	}
}

func TestARetryThatWasNotRunDoesNotUndoAnEarlierTry(t *testing.T) {
	s, r := ask(newSession().WithKey("k"), "INSERT INTO dues VALUES (1)", 1)
	s, v := s.WithOutcome(rosemarylb.NewUnknown(r.ID, rosemarylb.ReasonLost), now)
	if !v.Retry {
		t.Fatal("got no retry of a keyed write, want one")
	}
	_, v = s.WithOutcome(rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonDeadline), now)
	if got, want := v.Outcome.Kind, rosemarylb.OutcomeUnknown; got != want {
		t.Errorf("got %s, want %s: the first try may have run", got, want)
	}
}
