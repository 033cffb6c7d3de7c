package quota

import (
	"testing"
	"time"

	"rosemarylb"
)

// TestLowerLimitLowersStandingRate guards against an instance that serves at a share of
// the former limit while the keeper is silent. The model found it with seed 1147.
func TestLowerLimitLowersStandingRate(t *testing.T) {
	now := time.Unix(100, 0)
	a := NewAllowance("i", 1)
	for version, rate := range []float64{100, 20} {
		a = a.WithCatalog(rosemarylb.Catalog{
			Version: uint64(version + 1),
		}.WithTeams([]rosemarylb.Team{newTeam("team", rate, 1)}))
		if version > 0 {
			break
		}
		a, _ = a.WithOperation("team", now)
		var r Request
		a, r, _ = a.WithRequest(now)
		a = a.WithReply(r.Sequence, Reply{
			Answered: true,
			Grants: []Grant{{
				Held:           1,
				StandingMillis: 50_000,
			}},
		}, now)
	}
	admitted := 0
	for at := time.Duration(0); at < standingLifetime+2*time.Second; at += 5 * time.Millisecond {
		var verdict Verdict
		if a, verdict = a.WithOperation("team", now.Add(at)); verdict == Wait {
			if a, verdict = a.WithWaiting("team", now.Add(at)); verdict == Admit {
				admitted++
			}
		}
	}
	// 10 a second from standingDelay to standingLifetime.
	want := int(10 * (standingLifetime - standingDelay).Seconds())
	if admitted < want-2 || admitted > want {
		t.Errorf("got %d operations at the standing rate, want %d to %d", admitted, want-2, want)
	}
}
