package quota

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

func peers(count int) []rosemarylb.RelayPeer {
	var all []rosemarylb.RelayPeer
	for i := range count {
		all = append(all, rosemarylb.RelayPeer{
			Address:         "r" + strconv.Itoa(i),
			InstanceAddress: "i" + strconv.Itoa(i),
		})
	}
	return all
}

// TestDeputiesMoveLittle guards against a peer that comes or goes and changes the
// deputies of most teams, whose standing rates are then at the wrong instances.
func TestDeputiesMoveLittle(t *testing.T) {
	const teams = 1000
	all := peers(80)
	before, after := NewDeputies(all), NewDeputies(all[1:])
	moved := 0
	for i := range teams {
		team := rosemarylb.TeamName("t" + strconv.Itoa(i))
		x, _ := before.For(team)
		y, found := after.For(team)
		if !found || x != y && x.Address != "r0" {
			t.Errorf("got the deputy of %s moved from %s to %s, want it to stay", team, x.Address, y.Address)
		}
		if x != y {
			moved++
		}
	}
	if moved > teams/5 {
		t.Errorf("got %d of %d teams moved, want few", moved, teams)
	}
}

// TestDeputyServesSmallTeamWithoutKeeper guards against a team whose operations are
// spread over so many instances that none of them has a standing rate, and against a
// deputy that grants tokens beside the keeper, or more than its standing rate.
func TestDeputyServesSmallTeamWithoutKeeper(t *testing.T) {
	team := newTeam("team", 10, 10)
	catalog := rosemarylb.Catalog{
		Version: 1,
	}.WithTeams([]rosemarylb.Team{team})
	now := time.Unix(1000, 0)
	l := NewLedger(Tenure{
		GrantsFrom: now.Add(-time.Minute),
		First:      true,
	}, catalog)
	deputy := NewAllowance("deputy", 1).WithCatalog(catalog).WithDeputyTeams([]rosemarylb.TeamName{team.Name})
	ask := []Demand{{
		Team:   team.Name,
		Wanted: 100,
	}}
	var request Request
	var reply Reply
	for range 3 {
		now = now.Add(reportInterval)
		var due bool
		if deputy, request, due = deputy.WithRequest(now); !due {
			t.Fatalf("got no request of a deputy, want one")
		}
		l, reply = l.WithRequest(request, now)
		deputy = deputy.WithReply(request.Sequence, reply, now)
	}
	if _, got := deputy.WithDeputyRequest(ask, now.Add(standingDelay/2)); got.Answered {
		t.Errorf("got %+v while the keeper may grant, want no answer", got)
	}
	granted := 0
	for at := now; at.Before(now.Add(2 * standingLifetime)); at = at.Add(50 * time.Millisecond) {
		deputy, reply = deputy.WithDeputyRequest(ask, at)
		if reply.Answered {
			granted += reply.Grants[0].Tokens
		}
	}
	limit := int(team.RatePerSecond * standingFraction * (standingLifetime - standingDelay).Seconds())
	if granted > limit || granted < limit-2 {
		t.Errorf("got %d operations granted without the keeper, want about %d", granted, limit)
	}
}
