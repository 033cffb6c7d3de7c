package arbiter_test

import (
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/arbiter"
)

func threeEndpointGroup() rosemarylb.Database {
	database := rosemarylb.Database{
		Name: "book",
	}
	for _, id := range []rosemarylb.EndpointID{"a", "b", "c"} {
		database.Endpoints = append(database.Endpoints, rosemarylb.EndpointSpec{
			ID: id,
		})
	}
	return database
}

// startElection returns an arbiter that knows the endpoints' logs and no primary, and
// the fence commands of its first election.
func startElection(
	logs map[rosemarylb.EndpointID]rosemarylb.Position, seed uint64,
) (rosemarylb.Arbiter, []rosemarylb.Command) {
	now := time.Unix(1000, 0)
	a := arbiter.NewElection("i", threeEndpointGroup(), arbiter.WithSeed(seed))
	a, _ = a.Decide(now)
	for id, log := range logs {
		a = a.WithProbe(rosemarylb.ProbeResult{
			Endpoint: id,
			Answered: true,
			State: rosemarylb.EndpointState{
				ID:       id,
				Term:     3,
				Log:      log,
				ProbedAt: now,
			},
		}, now)
	}
	a, decision := a.Decide(now)
	return a, decision.Commands
}

// TestLatestLogIsPromotedByTermBeforeLSN guards against lost commits: an endpoint with
// more entries of an earlier term may lack commits of a later one.
func TestLatestLogIsPromotedByTermBeforeLSN(t *testing.T) {
	logs := map[rosemarylb.EndpointID]rosemarylb.Position{
		"a": {
			Term: 2,
			LSN:  99,
		},
		"b": {
			Term: 3,
			LSN:  10,
		},
		"c": {
			Term: 1,
			LSN:  50,
		},
	}
	a, fences := startElection(logs, 1)
	now := time.Unix(1000, 1)
	for _, fence := range fences {
		if got, want := fence.Kind, rosemarylb.CommandFence; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		a = a.WithProbe(rosemarylb.ProbeResult{
			Endpoint: fence.Endpoint,
			Answered: true,
			Granted:  true,
			Command:  fence,
			State: rosemarylb.EndpointState{
				ID:       fence.Endpoint,
				Term:     fence.Term,
				Log:      logs[fence.Endpoint],
				ProbedAt: now,
			},
		}, now)
	}
	_, decision := a.Decide(now)
	for _, command := range decision.Commands {
		if command.Kind != rosemarylb.CommandPromote {
			continue
		}
		if got, want := command.Endpoint, rosemarylb.EndpointID("b"); got != want {
			t.Errorf("got %s promoted, want %s", got, want)
		}
		return
	}
	t.Errorf("got %v, want a promotion", decision.Commands)
}

// TestRestartedProposerHasNewIdentity guards against two primaries in a term: under its
// former identity a restarted proposer could be granted a term that it was granted
// before, and promote another endpoint in it.
func TestRestartedProposerHasNewIdentity(t *testing.T) {
	logs := map[rosemarylb.EndpointID]rosemarylb.Position{
		"a": {},
		"b": {},
		"c": {},
	}
	_, first := startElection(logs, 1)
	_, second := startElection(logs, 2)
	if first[0].Term != second[0].Term {
		t.Fatalf("got terms %d and %d, want the same", first[0].Term, second[0].Term)
	}
	if first[0].Proposer == second[0].Proposer {
		t.Errorf("got proposer %s for both, want two identities", first[0].Proposer)
	}
}
