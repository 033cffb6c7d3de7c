package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// newSynchronousHolder returns a holder as newHolder does, whose group g has the primary
// e1, the replicas e2 and e3, of which e3 is leaving, and one synchronous replica.
func newSynchronousHolder(now time.Time) Keeper {
	return newHolder(now).WithEndpoints(synchronousEndpoints()).WithCatalog(synchronousCatalog(1))
}

func synchronousEndpoints() []rosemarylb.EndpointSpec {
	return []rosemarylb.EndpointSpec{
		{ID: "e1", Database: "g", Address: "a1"},
		{ID: "e2", Database: "g", Address: "a2"},
		{ID: "e3", Database: "g", Address: "a3", Leaving: true},
	}
}

func synchronousCatalog(replicas int) rosemarylb.Catalog {
	return rosemarylb.Catalog{
		Version: 1,
		Groups: map[rosemarylb.DatabaseName]rosemarylb.Group{
			"g": {
				Name:         "g",
				SyncReplicas: replicas,
			},
		},
	}
}

// log returns the status of a replica in term 1 with a log of the given length.
func log(length rosemarylb.LSN) Status {
	return Status{
		Answered: true,
		Term:     1,
		LogPosition: rosemarylb.Position{
			Term: 1,
			LSN:  length,
		},
	}
}

// failoverRun is a run of a keeper. The endpoints answer each status query with what
// statuses returns for the time since the start.
type failoverRun struct {
	keeper   Keeper
	statuses func(id rosemarylb.EndpointID, after time.Duration) Status
	// changes are changes of the keeper's input, each done once its time has come.
	changes map[time.Duration]func(Keeper) Keeper
}

// promoted runs for a time and returns the endpoint that is promoted first, empty for
// none, and when.
func (r *failoverRun) promoted(start time.Time, length time.Duration) (rosemarylb.EndpointID, time.Duration) {
	for after := time.Duration(0); after < length; after += 20 * time.Millisecond {
		now := start.Add(after)
		if change, found := r.changes[after]; found {
			r.keeper = change(r.keeper)
		}
		r.keeper = withSupport(r.keeper, supportOf(r.keeper, now), now)
		var d Decision
		r.keeper, d = r.keeper.Decide(now)
		if d.Write != nil {
			r.keeper = r.keeper.WithWriteConfirmed(version(r.keeper.version.Revision+1), now)
		}
		for _, q := range d.Queries {
			s := r.statuses(q.Endpoint.ID, after)
			s.Group, s.Endpoint, s.ProbedAt = "g", q.Endpoint.ID, now
			r.keeper = r.keeper.WithStatus(s)
		}
		if len(d.Promotions) > 0 {
			return d.Promotions[0].Endpoint, after
		}
	}
	return "", 0
}

// TestPromotedLogHoldsAcknowledgedCommits guards against LOST with sync_replicas: the
// primary crashes, and a replica was promoted that lacks commits which the draining, a
// silent or a missing replica has.
func TestPromotedLogHoldsAcknowledgedCommits(t *testing.T) {
	silent := Status{
		Refused: true,
	}
	withoutLeaving := func(k Keeper) Keeper { return k.WithEndpoints(synchronousEndpoints()[:2]) }
	tests := []struct {
		name     string
		replicas int
		e1       Status
		e2, e3   Status
		// e3From is when e3 begins to answer.
		e3From  time.Duration
		changes map[time.Duration]func(Keeper) Keeper
		want    rosemarylb.EndpointID
	}{
		{name: "asynchronous: the leaving replica is passed over", e1: silent, e2: log(10), e3: log(12), want: "e2"},
		{name: "asynchronous: a silent replica is not awaited", e1: silent, e2: log(10), e3: silent, want: "e2"},
		{name: "the leaving replica is further", replicas: 1, e1: silent, e2: log(10), e3: log(12), want: "e3"},
		{name: "the leaving replica is as far", replicas: 1, e1: silent, e2: log(12), e3: log(12), want: "e2"},
		{name: "the leaving replica is silent", replicas: 1, e1: silent, e2: log(10), e3: silent},
		{
			name: "the leaving replica answers late", replicas: 1, e1: silent, e2: log(10), e3: log(12),
			e3From: 4 * time.Second, want: "e3",
		},
		{
			name: "the silent replica is no longer listed", replicas: 1, e1: silent, e2: log(10), e3: silent,
			changes: map[time.Duration]func(Keeper) Keeper{
				2 * time.Second: withoutLeaving,
			},
		},
		{
			name: "the furthest replica has left since it answered", replicas: 1, e1: silent, e2: log(10), e3: log(12),
			e3From: 700 * time.Millisecond, want: "e3",
		},
		{
			name: "its log is at a new endpoint", replicas: 1, e1: silent, e2: log(10), e3: silent, want: "e4",
			changes: map[time.Duration]func(Keeper) Keeper{
				2 * time.Second: withoutLeaving,
				4 * time.Second: func(k Keeper) Keeper {
					return k.WithEndpoints(append(synchronousEndpoints()[:2], rosemarylb.EndpointSpec{
						ID: "e4", Database: "g", Address: "a3",
					}))
				},
			},
		},
		{
			name: "the former primary is back with its log", replicas: 1, e1: log(12), e2: log(10), e3: silent, want: "e1",
		},
		{
			name: "the operator ends the wait", replicas: 1, e1: silent, e2: log(10), e3: silent, want: "e2",
			changes: map[time.Duration]func(Keeper) Keeper{
				4 * time.Second: func(k Keeper) Keeper { return k.WithCatalog(synchronousCatalog(0)) },
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			r := failoverRun{
				keeper:  newSynchronousHolder(start).WithCatalog(synchronousCatalog(test.replicas)),
				changes: test.changes,
				statuses: func(id rosemarylb.EndpointID, after time.Duration) Status {
					switch {
					case id == "e1":
						return test.e1
					case id == "e2":
						return test.e2
					case id == "e4":
						return log(12)
					case after < test.e3From:
						return silent
					default:
						return test.e3
					}
				},
			}
			if got, at := r.promoted(start, 6*time.Second); got != test.want {
				t.Errorf("got %q promoted after %s, want %q", got, at, test.want)
			}
		})
	}
}

// A keeper that does not know the configuration yet cannot know which logs count.
func TestNothingIsPromotedWithoutConfiguration(t *testing.T) {
	start := time.Unix(1000, 0)
	r := failoverRun{
		keeper: newSynchronousHolder(start),
		statuses: func(id rosemarylb.EndpointID, _ time.Duration) Status {
			if id == "e1" {
				return Status{
					Refused: true,
				}
			}
			return log(10)
		},
	}
	r.keeper.syncReplicas = nil
	if got, at := r.promoted(start, 3*time.Second); got != "" {
		t.Errorf("got %q promoted after %s, want none", got, at)
	}
}

// TestNextKeeperKnowsMissingReplica guards against LOST with sync_replicas: the next holder
// of the lease knew only the replicas that are listed.
func TestNextKeeperKnowsMissingReplica(t *testing.T) {
	start := time.Unix(1000, 0)
	k := newSynchronousHolder(start)
	k.record = k.record.WithLeadership("g", Leadership{
		Primary:  "e1",
		Term:     1,
		Replicas: "e1 e2 e3",
	})
	k.groups = nil
	r := failoverRun{
		keeper: k.WithEndpoints(synchronousEndpoints()[1:2]),
		statuses: func(rosemarylb.EndpointID, time.Duration) Status {
			return log(10)
		},
	}
	if got, at := r.promoted(start, 4*time.Second); got != "" {
		t.Errorf("got %q promoted after %s, want none while e3 is missing", got, at)
	}
}

// A replica that has left is no longer needed once another has received what the primary
// had after its end.
func TestReplicaThatLeftIsForgotten(t *testing.T) {
	for name, test := range map[string]struct {
		e2   Status
		want rosemarylb.EndpointID
	}{
		"another has received the log": {log(12), "e2"},
		"the other receives nothing":   {log(9), ""},
	} {
		start := time.Unix(1000, 0)
		r := failoverRun{
			keeper: newSynchronousHolder(start).WithEndpoints(synchronousEndpoints()[:2]),
			statuses: func(id rosemarylb.EndpointID, after time.Duration) Status {
				switch {
				case id == "e3", id == "e1" && after > 4*time.Second:
					return Status{
						Refused: true,
					}
				case id == "e2":
					return test.e2
				}
				s := log(12)
				s.Primary = true
				return s
			},
		}
		if got, at := r.promoted(start, 8*time.Second); got != test.want {
			t.Errorf("%s: got %q promoted after %s, want %q", name, got, at, test.want)
		}
	}
}

// A primary that is leaving stays in place until a replica can take over all of its log.
func TestPlannedReplacementNeedsReceivingReplica(t *testing.T) {
	for name, test := range map[string]struct {
		replicas int
		e2       rosemarylb.LSN
		want     bool
	}{
		"asynchronous":              {0, 9, true},
		"the replica is up to date": {1, 12, true},
		"it receives nothing":       {1, 9, false},
	} {
		start := time.Unix(1000, 0)
		endpoints := synchronousEndpoints()
		endpoints[0].Leaving = true
		r := failoverRun{
			keeper: newSynchronousHolder(start).WithEndpoints(endpoints).WithCatalog(synchronousCatalog(test.replicas)),
			statuses: func(id rosemarylb.EndpointID, _ time.Duration) Status {
				if id == "e2" {
					return log(test.e2)
				}
				s := log(12)
				s.Primary = id == "e1"
				return s
			},
		}
		r.promoted(start, 3*time.Second)
		if got := r.keeper.groups["g"].failingOver(); got != test.want {
			t.Errorf("%s: got a planned replacement %t, want %t", name, got, test.want)
		}
	}
}

// A replica was rolled back between its choice and its promotion. The start of its term was
// taken to be that of its former log, which no log reached once it had failed: the group
// stayed without a primary.
func TestStartOfTermIsWithinTheLogOfItsPrimary(t *testing.T) {
	for name, test := range map[string]struct {
		promoted rosemarylb.LSN
		want     rosemarylb.LSN
	}{
		"rolled back":       {145, 145},
		"has received more": {150, 146},
	} {
		k := newSynchronousHolder(time.Unix(1000, 0))
		g := k.groups["g"]
		g.failover.orders.target = "e2"
		g.failover.promotedFrom = rosemarylb.Position{
			Term: 1,
			LSN:  146,
		}
		g = g.withState("e2", endpointState{
			isPrimary: true,
			term:      2,
			position: rosemarylb.Position{
				Term: 2,
				LSN:  test.promoted,
			},
		})
		if got := k.withGroup("g", g).termStart("g", "e2", 2); got != test.want {
			t.Errorf("%s: got the start %d, want %d", name, got, test.want)
		}
	}
}

// Guards against LOST with sync_replicas: a promotion took effect unseen, and a replica was
// rolled back to the log of the new term. It was promoted, as it had the latest term, though
// another one had received more of the previous primary's log.
func TestReplicaOfAnUnseenTermHoldsTheLongestLog(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, previousAnswers := range map[string]bool{
		"previous primary is silent": false,
		"previous primary answers":   true,
	} {
		k := newSynchronousHolder(now)
		g := k.groups["g"]
		g.failover = failover{
			startedAt:  now,
			recordedAt: now,
			previous: Leadership{
				Primary: "e1",
				Term:    1,
				Start:   10,
			},
		}
		for id, position := range map[rosemarylb.EndpointID]rosemarylb.Position{
			"e1": {Term: 1, LSN: 25},
			"e2": {Term: 1, LSN: 20},
			"e3": {Term: 2, LSN: 15},
		} {
			s := endpointState{
				term:     position.Term,
				position: position,
			}
			if id != "e1" || previousAnswers {
				s.probedAt = now.Add(time.Second)
			}
			g = g.withState(id, s)
		}
		want := rosemarylb.Position{
			Term: 2,
			LSN:  20,
		}
		if got, awaited := k.withGroup("g", g).requiredPosition("g"); got != want || awaited != "" {
			t.Errorf("%s: got %v and %q awaited, want %v and none", name, got, awaited, want)
		}
	}
}
