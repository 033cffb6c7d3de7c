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

// promotedWhileLeaving returns the endpoint that is promoted after the primary a has failed,
// empty for none within three seconds. The endpoint c is leaving, and the logs of b and c
// have the given lengths.
func promotedWhileLeaving(b, c rosemarylb.LSN) rosemarylb.EndpointID {
	group := threeEndpointGroup()
	group.Endpoints[2].Leaving = true
	states := map[rosemarylb.EndpointID]rosemarylb.EndpointState{}
	for id, length := range map[rosemarylb.EndpointID]rosemarylb.LSN{"a": 9, "b": b, "c": c} {
		states[id] = rosemarylb.EndpointState{
			ID:      id,
			Primary: id == "a",
			Term:    3,
			Log: rosemarylb.Position{
				Term: 3,
				LSN:  length,
			},
		}
	}
	start := time.Unix(1000, 0)
	arbiter := arbiter.NewElection("i", group, arbiter.WithSeed(1))
	for after := time.Duration(0); after < 4*time.Second; after += 20 * time.Millisecond {
		now := start.Add(after)
		var decision rosemarylb.Decision
		arbiter, decision = arbiter.Decide(now)
		for _, command := range decision.Commands {
			if command.Kind == rosemarylb.CommandPromote {
				return command.Endpoint
			}
			s := states[command.Endpoint]
			s.ProbedAt = now
			if command.Kind == rosemarylb.CommandFence {
				s.Term = command.Term
			}
			states[command.Endpoint] = s
			arbiter = arbiter.WithProbe(rosemarylb.ProbeResult{
				Endpoint: command.Endpoint,
				Answered: command.Endpoint != "a" || after < time.Second,
				Granted:  true,
				Command:  command,
				State:    s,
			}, now)
		}
	}
	return ""
}

// TestLeavingEndpointVotesWithoutMajorityOfOthers guards against a group without a primary:
// the primary fails while a replica is leaving, and the endpoints that stay and answer are
// no majority. A commit that the primary and the leaving one confirmed is kept.
func TestLeavingEndpointVotesWithoutMajorityOfOthers(t *testing.T) {
	tests := []struct {
		name string
		b, c rosemarylb.LSN
		want rosemarylb.EndpointID
	}{
		{"the leaving endpoint is further", 8, 9, "c"},
		{"the other is further", 9, 8, "b"},
	}
	for _, test := range tests {
		if got := promotedWhileLeaving(test.b, test.c); got != test.want {
			t.Errorf("%s: got %q promoted, want %q", test.name, got, test.want)
		}
	}
}
