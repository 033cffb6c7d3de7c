package proxy

import (
	"testing"

	"rosemarylb"
)

// withTeams returns the test catalog with authentication and the given teams.
func withTeams(version uint64, teams ...rosemarylb.Team) rosemarylb.Catalog {
	return catalog(version).WithTeams(teams)
}

func team(name rosemarylb.TeamName, keys ...string) rosemarylb.Team {
	t := rosemarylb.Team{
		Name: name,
	}
	for _, key := range keys {
		t.Keys = append(t.Keys, rosemarylb.NewKeyDigest(key))
	}
	return t
}

// joinWithKey opens a session with an API key.
func (h *harness) joinWithKey(id rosemarylb.SessionID, database, key string) {
	h.handle(SessionOpened{
		Session:  id,
		Database: database,
		Key:      rosemarylb.NewKeyDigest(key),
	})
}

// newTeamHarness returns a harness of an instance that owns all connections, with a team
// a that holds the key k1, a team b that holds k2, and session 10 on the primary route
// with the key k1.
func newTeamHarness(t testing.TB) *harness {
	h := newHarness(t)
	h.handle(CatalogChanged{
		Catalog: withTeams(2, team("a", "k1"), team("b", "k2")),
	})
	h.handle(PeersChanged{
		Peers: []rosemarylb.RelayPeer{
			{
				Region: "r",
				Domain: "r",
			},
		},
	})
	h.joinWithKey(10, "primary", "k1")
	return h
}

func (h *harness) revokeKeys() {
	h.handle(CatalogChanged{
		Catalog: withTeams(3, team("a")),
	})
}

// lastCode returns the code of the last answer to a session.
func (h *harness) lastCode(id rosemarylb.SessionID) rosemarylb.ReplyCode {
	h.t.Helper()
	answers := h.answers[id]
	if len(answers) == 0 {
		h.t.Fatalf("got no answer on session %d, want one", id)
	}
	return answers[len(answers)-1].Code
}

// TestUnknownKeyIsRejected guards against callers that run queries without a key that
// the configuration holds.
func TestUnknownKeyIsRejected(t *testing.T) {
	h := newTeamHarness(t)
	h.joinWithKey(11, "primary", "k3")
	if got, want := h.lastCode(11), rosemarylb.ReplyUnauthenticated; got != want || !h.closed[11] {
		t.Errorf("got %s, closed %t, want %s and a close", got, h.closed[11], want)
	}
	if !h.accepted[10] {
		t.Errorf("got session with a valid key rejected, want it accepted")
	}
}

// TestExemptRouteNeedsNoKey guards against refusing callers of a route that is exempt
// from authentication.
func TestExemptRouteNeedsNoKey(t *testing.T) {
	h := newHarness(t)
	c := catalog(2)
	r := c.Routes["primary"]
	r.AuthExempt = true
	c.Routes["primary"] = r
	h.handle(CatalogChanged{
		Catalog: c.WithTeams(nil),
	})
	h.joinWithKey(11, "primary", "k2")
	if !h.accepted[11] {
		t.Errorf("got session on an exempt route rejected, want it accepted")
	}
}

// TestWithdrawnKeyEndsIdleSession guards against sessions that outlive their key.
func TestWithdrawnKeyEndsIdleSession(t *testing.T) {
	h := newTeamHarness(t)
	h.revokeKeys()
	if !h.closed[10] {
		t.Errorf("got idle session open after its key was withdrawn, want it closed")
	}
}

// TestWithdrawnKeyKeepsAnswerInProgress guards against losing the answer of a query
// that was sent before its key was withdrawn, and against running the next one.
func TestWithdrawnKeyKeepsAnswerInProgress(t *testing.T) {
	h := newTeamHarness(t)
	h.ask(10, rosemarylb.QueryWrite)
	s := h.nextSent()
	h.revokeKeys()
	h.receive(10, rosemarylb.QueryWrite)
	h.reply(s, rosemarylb.ReplyDone, rosemarylb.TransactionNone, position(1, 11))
	if got := h.answers[10]; len(got) != 2 || got[0].Code != rosemarylb.ReplyDone ||
		got[1].Code != rosemarylb.ReplyUnauthenticated || !h.closed[10] {
		t.Errorf("got %+v, closed %t, want the answer, a refusal and a close", got, h.closed[10])
	}
	if len(h.sent) != 0 {
		t.Errorf("got %+v sent after the key was withdrawn, want none", h.sent)
	}
}

// TestWithdrawnKeyRollsBackTransaction guards against an open transaction that goes on,
// or keeps its connection, after its key was withdrawn.
func TestWithdrawnKeyRollsBackTransaction(t *testing.T) {
	h := newTeamHarness(t)
	h.receive(10, rosemarylb.QueryBegin)
	h.ask(10, rosemarylb.QueryWrite)
	for range 2 {
		h.reply(h.nextSent(), rosemarylb.ReplyDone, rosemarylb.TransactionOpen, position(1, 10))
	}
	h.revokeKeys()
	if got, want := h.nextSent().query.Kind, rosemarylb.QueryRollback; got != want {
		t.Errorf("got query %s, want %s", got, want)
	}
	h.receive(10, rosemarylb.QueryCommit)
	if got, want := h.lastCode(10), rosemarylb.ReplyUnauthenticated; got != want || !h.closed[10] {
		t.Errorf("got %s, closed %t, want %s and a close", got, h.closed[10], want)
	}
}
