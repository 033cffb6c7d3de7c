package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

// TestTeamsShareEndpointByWeight guards against an owner that serves the relayed queries
// of all teams alike, whatever priority its configuration gives them.
func TestTeamsShareEndpointByWeight(t *testing.T) {
	const served = 36
	h := newTeamHarness(t)
	h.proxy.relayPort = h
	light := team("b", "k2")
	light.Priority = 3
	h.handle(CatalogChanged{
		Catalog: withTeams(3, team("a", "k1"), light),
	})
	for i := range 2 * served {
		id := rosemarylb.SessionID(20+i) | relaySessionBit
		h.handle(SessionOpened{
			Session:  id,
			Database: "g",
			Endpoint: "e1",
		})
		q := rosemarylb.Query{
			Kind: rosemarylb.QueryRead,
			Team: []rosemarylb.TeamName{"a", "b"}[i%2],
		}
		h.handle(QueryReceived{
			Session: id,
			Query:   q.WithRankAndTimeout(rosemarylb.RankUrgent, 5000),
		})
	}
	h.openConnections()
	counts := map[rosemarylb.TeamName]int{}
	for range served {
		h.permit("e1", 1, 500*time.Millisecond)
		h.advance(10 * time.Millisecond)
		s := h.nextSent()
		counts[s.query.Team]++
		h.reply(s, rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 10))
	}
	if got := counts["b"]; got < 2 || got > 8 {
		t.Errorf("got %d of %d queries of a team of weight 1 beside one of weight 8, want about 4", got, served)
	}
}

// TestWeightOfCallersWithoutTeam guards against callers without a team that yield to all
// others.
func TestWeightOfCallersWithoutTeam(t *testing.T) {
	const usual = 4
	h := newTeamHarness(t)
	for name, want := range map[rosemarylb.TeamName]int{
		"":        usual,
		"unknown": usual,
		"a":       2 * usual,
	} {
		if got := h.proxy.weightOf(name); got != want {
			t.Errorf("got weight %d of team %q, want %d", got, name, want)
		}
	}
}
