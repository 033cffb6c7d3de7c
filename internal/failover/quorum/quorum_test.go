package quorum

import (
	"testing"
	"time"

	"rosemarylb"
)

func state(id string, term rosemarylb.Term, log rosemarylb.Position, probedAt time.Time) rosemarylb.EndpointState {
	return rosemarylb.EndpointState{
		ID:       rosemarylb.EndpointID(id),
		Term:     term,
		Log:      log,
		ProbedAt: probedAt,
	}
}

func at(term rosemarylb.Term, lsn rosemarylb.LSN) rosemarylb.Position {
	return rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}
}

func TestConfirmed(t *testing.T) {
	start := time.Unix(100, 0)
	later := start.Add(time.Millisecond)
	before := start.Add(-time.Millisecond)
	tests := []struct {
		name   string
		states []rosemarylb.EndpointState
		since  time.Time
		want   bool
	}{
		{
			name: "no replica holds the position",
		},
		{
			name:   "one replica holds the position in the term",
			states: []rosemarylb.EndpointState{state("b", 3, at(3, 10), before)},
			want:   true,
		},
		{
			name:   "the replica is behind",
			states: []rosemarylb.EndpointState{state("b", 3, at(3, 9), before)},
		},
		{
			name:   "the replica has promised a later term",
			states: []rosemarylb.EndpointState{state("b", 4, at(3, 10), before)},
		},
		{
			name:   "the replica's last entry is of an older term",
			states: []rosemarylb.EndpointState{state("b", 3, at(2, 12), before)},
		},
		{
			name:   "a linearizable read whose replica was probed before its start",
			states: []rosemarylb.EndpointState{state("a", 3, at(3, 10), later), state("b", 3, at(3, 10), before)},
			since:  start,
		},
		{
			name:   "a linearizable read whose replica has promised a later term",
			states: []rosemarylb.EndpointState{state("a", 3, at(3, 10), later), state("b", 4, at(3, 10), later)},
			since:  start,
		},
		{
			name:   "a linearizable read confirmed by a majority",
			states: []rosemarylb.EndpointState{state("b", 3, at(3, 10), later)},
			since:  start,
			want:   true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewMajority(2).WithPrimary(rosemarylb.Primary{
				Database: "book",
				Term:     3,
				Endpoint: "a",
			})
			for _, s := range tt.states {
				m = m.WithState(s)
			}
			if got := m.Confirmed(at(3, 10), tt.since); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestOlderStateIsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMajority(2).WithPrimary(rosemarylb.Primary{
		Term:     3,
		Endpoint: "a",
	})
	m = m.WithState(state("b", 4, at(3, 10), now)).WithState(state("b", 3, at(3, 10), now.Add(-time.Second)))
	if got := m.Confirmed(at(3, 10), time.Time{}); got {
		t.Error("got a confirmation by a state older than the latest one, want none")
	}
	if got := m.Replaced(); !got {
		t.Error("got Replaced false after a state of a later term, want true")
	}
}
