package arbiter_test

import (
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/arbiter"
)

func group() rosemarylb.Database {
	d := rosemarylb.Database{
		Name: "book",
	}
	for _, id := range []rosemarylb.EndpointID{"a", "b", "c"} {
		d.Endpoints = append(d.Endpoints, rosemarylb.EndpointSpec{
			ID: id,
		})
	}
	return d
}

// propose brings an arbiter without a primary to its first commands after the
// endpoints have shown their logs, and returns its fences.
func propose(logs map[rosemarylb.EndpointID]rosemarylb.Position, seed uint64) (rosemarylb.Arbiter, []rosemarylb.Command) {
	now := time.Unix(1000, 0)
	a := arbiter.NewElection("i", group(), arbiter.WithSeed(seed))
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
	a, d := a.Decide(now)
	return a, d.Commands
}

func TestTheLatestLogIsPromotedByTermBeforeNumber(t *testing.T) {
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
	a, fences := propose(logs, 1)
	now := time.Unix(1000, 1)
	for _, c := range fences {
		if got, want := c.Kind, rosemarylb.CommandFence; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		a = a.WithProbe(rosemarylb.ProbeResult{
			Endpoint: c.Endpoint,
			Answered: true,
			Granted:  true,
			Command:  c,
			State: rosemarylb.EndpointState{
				ID:       c.Endpoint,
				Term:     c.Term,
				Log:      logs[c.Endpoint],
				ProbedAt: now,
			},
		}, now)
	}
	_, d := a.Decide(now)
	for _, c := range d.Commands {
		if c.Kind != rosemarylb.CommandPromote {
			continue
		}
		if got, want := c.Endpoint, rosemarylb.EndpointID("b"); got != want {
			t.Errorf("got %s promoted, want %s", got, want)
		}
		return
	}
	t.Errorf("got %v, want a promotion", d.Commands)
}

func TestARestartedProposerIsAnotherOne(t *testing.T) {
	logs := map[rosemarylb.EndpointID]rosemarylb.Position{
		"a": {},
		"b": {},
		"c": {},
	}
	_, first := propose(logs, 1)
	_, second := propose(logs, 2)
	if first[0].Term != second[0].Term {
		t.Fatalf("got terms %d and %d, want the same", first[0].Term, second[0].Term)
	}
	if first[0].Proposer == second[0].Proposer {
		t.Errorf("got proposer %s twice: a term would be given to both", first[0].Proposer)
	}
}
