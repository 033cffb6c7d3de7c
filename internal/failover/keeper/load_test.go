package keeper

import (
	"testing"
	"time"
)

// TestReplicaLoadsAreProbedSparingly guards against replicas whose load nobody learns, and
// against probes that take slots from statements.
func TestReplicaLoadsAreProbedSparingly(t *testing.T) {
	k, reports, now := newLargeKeeper(3)
	probes := 0
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		for i, r := range reports {
			for j := range r.Observations {
				r.Observations[j].AnsweredAt = now
			}
			r.Support = supportOf(k, now)
			reports[i] = r
			k = k.WithReport(r, now)
		}
		var d Decision
		k, d = k.Decide(now)
		for _, q := range d.Queries {
			if q.Endpoint.ID == "e0-1" {
				probes++
			}
			k = k.WithStatus(Status{
				Group:       q.Endpoint.Database,
				Endpoint:    q.Endpoint.ID,
				ProbedAt:    now,
				Answered:    true,
				Primary:     q.Endpoint.ID == k.leadership(q.Endpoint.Database).Primary,
				Term:        1,
				BusySlots:   3,
				Connections: 20,
			})
		}
	}
	if probes < 9 || probes > 11 {
		t.Errorf("got %d probes of a replica in 10 s, want about 10", probes)
	}
	spec, _ := k.endpointSpec("g0", "e0-1")
	if got := k.Load(spec, now); got.Busy != 3 || got.Connections != 20 {
		t.Errorf("got load %+v, want 3 busy slots and 20 connections", got)
	}
	if got := k.Load(spec, now.Add(loadMaxAge+time.Second)); got.IsKnown() {
		t.Errorf("got load %+v long after the last probe, want it unknown", got)
	}
}

// TestLoadProbeDoesNotDelayFailover guards against replicas that a failover does not probe
// at once, because their load was asked for shortly before.
func TestLoadProbeDoesNotDelayFailover(t *testing.T) {
	k, _, now := newLargeKeeper(3)
	k, _ = k.Decide(now)
	k = k.startFailover("g0", k.leadership("g0"), "test", now)
	_, d := k.decideFailover("g0", Decision{}, now.Add(time.Millisecond))
	probed := false
	for _, q := range d.Queries {
		probed = probed || q.Endpoint.ID == "e0-1"
	}
	if !probed {
		t.Error("got no probe of a replica at the start of a failover, want one")
	}
}
