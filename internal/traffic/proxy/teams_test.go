package proxy

import (
	"slices"
	"strconv"
	"testing"

	"rosemarylb"
)

// openedFor returns the teams of the connections to an endpoint, sorted.
func (h *harness) openedFor(id rosemarylb.EndpointID) []string {
	var teams []string
	for _, c := range h.proxy.pools[id].connections {
		teams = append(teams, string(c.team))
	}
	slices.Sort(teams)
	return teams
}

// TestQueriesRunOnConnectionsOfTheirTeam guards against a query that runs on a connection
// which was opened for another team.
func TestQueriesRunOnConnectionsOfTheirTeam(t *testing.T) {
	h := newTeamHarness(t)
	h.joinWithKey(11, "primary", "k2")
	for _, id := range []rosemarylb.SessionID{10, 11, 10} {
		h.ask(id, rosemarylb.QueryWrite)
		s := h.nextSent()
		if got, want := h.proxy.connections[s.id].team, h.proxy.sessions[id].access.team; got != want {
			t.Errorf("got a query of team %s on a connection of team %q, want its own", want, got)
		}
		h.reply(s, rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
	}
	if got, want := h.openedFor("e1"), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("got connections of %v, want %v", got, want)
	}
}

// newManyTeamsHarness returns a team harness with the given number of further teams, a
// session of each on the primary route from session 100 on.
func newManyTeamsHarness(t testing.TB, count int) *harness {
	h := newTeamHarness(t)
	var teams []rosemarylb.Team
	for i := range count {
		name := "t" + strconv.Itoa(i)
		teams = append(teams, team(rosemarylb.TeamName(name), name))
	}
	h.handle(CatalogChanged{
		Catalog: withTeams(3, teams...),
	})
	for i := range count {
		h.joinWithKey(rosemarylb.SessionID(100+i), "primary", "t"+strconv.Itoa(i))
	}
	return h
}

// TestIdleConnectionMakesRoomForAnotherTeam guards against a team that finds no
// connection because idle ones of other teams use up the limit, and against more
// connections than the instance may hold.
func TestIdleConnectionMakesRoomForAnotherTeam(t *testing.T) {
	const teams = 12
	h := newManyTeamsHarness(t, teams)
	limit := h.proxy.connectionLimit(h.proxy.pools["e1"])
	if limit >= teams {
		t.Fatalf("got a limit of %d connections, want fewer than %d teams", limit, teams)
	}
	for i := range teams {
		id := rosemarylb.SessionID(100 + i)
		h.ask(id, rosemarylb.QueryWrite)
		h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
		h.wantAnswer(id, rosemarylb.ReplyDone, rosemarylb.TransactionNone)
		if got := len(h.proxy.pools["e1"].connections); got > limit {
			t.Fatalf("got %d connections, want at most %d", got, limit)
		}
	}
}

// TestOpenTransactionKeepsItsConnection guards against a connection with an open
// transaction that is closed to make room.
func TestOpenTransactionKeepsItsConnection(t *testing.T) {
	h := newManyTeamsHarness(t, 12)
	h.receive(100, rosemarylb.QueryBegin)
	h.ask(100, rosemarylb.QueryWrite)
	for range 2 {
		h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionOpen, position(1, 10))
	}
	for i := 1; i < 12; i++ {
		h.ask(rosemarylb.SessionID(100+i), rosemarylb.QueryWrite)
		h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
	}
	h.ask(100, rosemarylb.QueryCommit)
	h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 12))
	h.wantAnswer(100, rosemarylb.ReplyDone, rosemarylb.TransactionNone)
}

// TestOwnerLimitsConcurrentStatements guards against an owner that sends an endpoint more
// statements than it has slots, so that they wait where rank and team decide nothing.
func TestOwnerLimitsConcurrentStatements(t *testing.T) {
	h := newManyTeamsHarness(t, 6)
	for i := range 6 {
		h.ask(rosemarylb.SessionID(100+i), rosemarylb.QueryWrite)
	}
	slots := h.proxy.pools["e1"].spec.Slots
	if got := len(h.sent); got != slots {
		t.Fatalf("got %d statements sent, want %d", got, slots)
	}
	for range 6 {
		h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
	}
	for i := range 6 {
		h.wantAnswer(rosemarylb.SessionID(100+i), rosemarylb.ReplyDone, rosemarylb.TransactionNone)
	}
}

// ownersHarness returns a team harness of an instance that owns no connections, beside
// three others in its domain.
func ownersHarness(t testing.TB) *harness {
	h := newTeamHarness(t)
	h.proxy.address = "self"
	var peers []rosemarylb.RelayPeer
	for i := range 3 {
		peers = append(peers, rosemarylb.RelayPeer{
			Address: "peer-" + strconv.Itoa(i),
			Domain:  "r",
			Region:  "r",
		})
	}
	h.handle(PeersChanged{
		Peers: peers,
	})
	return h
}

// TestRelayGoesToNextOwner guards against queries that wait for an owner which rejects
// or loses their relay connections while another owner has room.
func TestRelayGoesToNextOwner(t *testing.T) {
	for _, code := range []rosemarylb.ReplyCode{rosemarylb.ReplyBusy, rosemarylb.ReplyDone} {
		h := ownersHarness(t)
		ranked := h.proxy.rankedOwners(h.proxy.pools["e1"], "a")
		h.receive(10, rosemarylb.QueryWrite)
		first := h.opening[0]
		h.opening = nil
		if got := h.relays[first]; got != ranked[0] {
			t.Fatalf("got a relay through %q, want the first owner %q", got, ranked[0])
		}
		h.handle(ConnectionLost{
			Connection: first,
			Code:       code,
		})
		if len(h.opening) != 1 || h.relays[h.opening[0]] != ranked[1] {
			t.Errorf("got %v opening after %s, want a relay through %q", h.opening, code, ranked[1])
		}
		h.openConnections()
		if got := h.nextSent().query.Team; got != "a" {
			t.Errorf("got team %q relayed, want a", got)
		}
	}
}

// TestReplicaReadIsRelayedWithPosition guards against a relayed read of a replica that
// may miss commits, because the other instance does not know what it has to contain.
func TestReplicaReadIsRelayedWithPosition(t *testing.T) {
	h := ownersHarness(t)
	h.joinWithKey(11, "bounded", "k1")
	h.register(spec("e2", "r"))
	h.ask(11, rosemarylb.QueryRead)
	s := h.nextSent()
	if got, want := s.query.MinPosition, position(1, 10); !s.query.OnReplica || got != want {
		t.Errorf("got a read on a replica %t with position %v, want %v", s.query.OnReplica, got, want)
	}
}
