package quota

import (
	"testing"
	"time"

	"rosemarylb"
)

// askLedger sends a request of an instance for one team.
func askLedger(l Ledger, from rosemarylb.InstanceID, sequence uint64, d Demand, now time.Time) (Ledger, Grant) {
	d.Team = "team"
	l, reply := l.WithRequest(Request{
		From:         from,
		Sequence:     sequence,
		Acknowledged: sequence - 1,
		Demands:      []Demand{d},
	}, now)
	return l, reply.Grants[0]
}

// TestSuccessorWaitsForItsPredecessor guards against tokens of a keeper whose deposed
// predecessor may still grant, and whose instances may use standing rates.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	now := time.Unix(100, 0)
	team := newTeam("team", 100, 100)
	catalog := rosemarylb.Catalog{
		Version: 1,
	}.WithTeams([]rosemarylb.Team{team})
	for _, c := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"before the end of the predecessor", 1290 * time.Millisecond, 0},
		{"while standing rates may be in use", 2300 * time.Millisecond, 10},
		{"after all standing rates", 1400*time.Millisecond + standingLifetime, 10*int(standingLifetime.Seconds()) + 10},
	} {
		l := NewLedger(Tenure{
			GrantsFrom: now.Add(1300 * time.Millisecond),
			Members:    5,
		}, catalog)
		for at := time.Duration(0); at < c.after; at += 20 * time.Millisecond {
			l = l.Advanced(now.Add(at))
		}
		_, g := askLedger(l, "i", 1, Demand{
			Wanted: 200,
		}, now.Add(c.after))
		if g.Tokens != c.want {
			t.Errorf("%s: got %d tokens, want %d", c.name, g.Tokens, c.want)
		}
	}
}

// TestStandingRatesShareTheLimit guards against standing rates that add up to more than
// their part of the team's rate while the demand moves between instances.
func TestStandingRatesShareTheLimit(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLedger(Tenure{
		GrantsFrom: now,
		First:      true,
	}, rosemarylb.Catalog{
		Version: 1,
	}.WithTeams([]rosemarylb.Team{newTeam("team", 100, 100)}))
	var first, second Grant
	l, first = askLedger(l, "first", 1, Demand{
		RateMillis: 50_000,
	}, now)
	l, second = askLedger(l, "second", 1, Demand{
		RateMillis: 50_000,
	}, now)
	if first.StandingMillis != 90_000 || second.StandingMillis != 0 {
		t.Errorf("got standing rates %d and %d, want 90000 and 0", first.StandingMillis, second.StandingMillis)
	}
	l, first = askLedger(l, "first", 2, Demand{
		RateMillis:     50_000,
		StandingMillis: first.StandingMillis,
	}, now)
	l, _ = askLedger(l, "first", 3, Demand{
		RateMillis:     50_000,
		StandingMillis: first.StandingMillis,
	}, now)
	_, second = askLedger(l, "second", 2, Demand{
		RateMillis: 50_000,
	}, now)
	if first.StandingMillis != 45_000 || second.StandingMillis != 45_000 {
		t.Errorf("got standing rates %d and %d, want 45000 each", first.StandingMillis, second.StandingMillis)
	}
}

// TestPausedKeeperGrantsNoMoreThanTheRest guards against tokens for a time in which
// the instances used their standing rates, because the keeper was paused.
func TestPausedKeeperGrantsNoMoreThanTheRest(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLedger(Tenure{
		GrantsFrom: now,
		First:      true,
	}, rosemarylb.Catalog{
		Version: 1,
	}.WithTeams([]rosemarylb.Team{newTeam("team", 100, 1000)}))
	l, g := askLedger(l, "i", 1, Demand{
		RateMillis: 50_000,
	}, now)
	_, g = askLedger(l, "i", 2, Demand{
		Wanted:         1000,
		RateMillis:     50_000,
		StandingMillis: g.StandingMillis,
	}, now.Add(2*time.Second))
	if want := 20; g.Tokens != want {
		t.Errorf("got %d tokens after a pause of 2 s, want %d", g.Tokens, want)
	}
}

// TestOlderKeeperGivesNoStandingRate guards against a share of a former limit that an
// instance gets after it has applied a lower one.
func TestOlderKeeperGivesNoStandingRate(t *testing.T) {
	now := time.Unix(100, 0)
	for version, want := range map[uint64]int64{1: 90_000, 2: 0} {
		_, reply := NewLedger(Tenure{
			GrantsFrom: now,
			First:      true,
		}, rosemarylb.Catalog{
			Version: 1,
		}.WithTeams([]rosemarylb.Team{newTeam("team", 100, 100)})).WithRequest(Request{
			Sequence:       1,
			CatalogVersion: version,
			Demands: []Demand{{
				Team:       "team",
				RateMillis: 1000,
			}},
		}, now)
		if got := reply.Grants[0].StandingMillis; got != want {
			t.Errorf("version %d: got a standing rate of %d, want %d", version, got, want)
		}
	}
}

// TestStandingRateInUseIsSubtracted guards against tokens for the part of a team's rate
// that an instance without answers uses by its standing rate.
func TestStandingRateInUseIsSubtracted(t *testing.T) {
	start := time.Unix(100, 0)
	for _, c := range []struct {
		name string
		// sequences are those of the requests after the second one, every 100 ms.
		sequences []uint64
	}{
		{"cut off", nil},
		{"its replies are lost", []uint64{3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17}},
		{"an earlier request arrives late", []uint64{0, 0, 0, 1}},
	} {
		l := NewLedger(Tenure{
			GrantsFrom: start,
			First:      true,
		}, rosemarylb.Catalog{
			Version: 1,
		}.WithTeams([]rosemarylb.Team{newTeam("team", 100, 1000)}))
		l, g := askLedger(l, "silent", 1, Demand{
			RateMillis: 50_000,
		}, start)
		sequences := append([]uint64{2}, c.sequences...)
		for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
			now := start.Add(at)
			l = l.Advanced(now)
			n := int(at/(100*time.Millisecond)) - 1
			if at%(100*time.Millisecond) != 0 || n < 0 || n >= len(sequences) || sequences[n] == 0 {
				continue
			}
			r := Request{
				From:         "silent",
				Sequence:     sequences[n],
				Acknowledged: 1,
			}
			if r.Sequence > 1 {
				r.Demands = []Demand{{
					Team:           "team",
					RateMillis:     50_000,
					StandingMillis: g.StandingMillis,
				}}
			}
			l, _ = l.WithRequest(r, now)
		}
		_, got := askLedger(l, "other", 1, Demand{
			Wanted: 1000,
		}, start.Add(2*time.Second))
		// 100 a second for acknowledgeTimeout at most, then 10 a second.
		if got.Tokens < 45 || got.Tokens > 69 {
			t.Errorf("%s: got %d tokens after 2 s, want 45 to 69", c.name, got.Tokens)
		}
	}
}
