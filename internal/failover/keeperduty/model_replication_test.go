package keeperduty

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

const (
	// modelEntryLifetime is how long an endpoint that is down stays listed.
	modelEntryLifetime = 3600 * time.Millisecond
	// modelMaxLag is the largest number of commits by which a replica is behind.
	modelMaxLag = 4
	// modelConfirmTime is the longest time that a commit waits for a replica.
	modelConfirmTime = 2 * time.Second
	// modelRecoveryTime is the time after the last fault within which commits are
	// acknowledged again. It exceeds the duration of a lease and a takeover.
	modelRecoveryTime = 25 * time.Second
	// modelRecoveryCommits is the number of commits that show it.
	modelRecoveryCommits = 20
)

var replicationCount = flag.Int("replication-count", 20, "number of consecutive seeds to simulate with synchronous replicas")

// TestNoAcknowledgedCommitIsLost guards against LOST with sync_replicas: an endpoint was
// promoted without commits that only a draining, silent or missing replica had received.
// The simulation has replicas that are behind, are replaced as planned, crash or receive
// nothing, and a primary that acknowledges a commit once one replica has it.
func TestNoAcknowledgedCommitIsLost(t *testing.T) {
	runReplicationModel(t, 1)
}

// TestMissingPrimaryIsNotOverlooked runs the same with asynchronous replicas, where a
// promotion may drop commits. It guards against ONE and STALE: a keeper that inherits a
// failover takes an endpoint for the primary though a former keeper has promoted another
// since, which is silent and no longer listed.
func TestMissingPrimaryIsNotOverlooked(t *testing.T) {
	runReplicationModel(t, 0)
}

func runReplicationModel(t *testing.T, syncReplicas int) {
	t.Helper()
	drains, crashes, promotions, commits := 0, 0, 0, 0
	for seed := *modelSeed; seed < *modelSeed+uint64(*replicationCount); seed++ {
		s := newSimulation(seed)
		s.replication.enabled = true
		s.replication.syncReplicas = syncReplicas
		for _, instance := range s.instances {
			s.startProcess(instance)
		}
		s.run()
		s.checkRecovery()
		s.requireNoViolation(t, "replication-count")
		drains += s.replication.drains
		crashes += s.replication.crashes
		promotions += s.promotions
		commits += s.commits
	}
	t.Logf("%d drains, %d crashes of the primary, %d promotions, %d commits in %d runs",
		drains, crashes, promotions, commits, *replicationCount)
	if drains < 2**replicationCount || crashes < 2**replicationCount || promotions < *replicationCount ||
		commits < 50**replicationCount {
		t.Errorf("too few to exercise replicas")
	}
}

// checkRecovery ends all faults and checks that commits are acknowledged again: a
// promotion that waits for an endpoint has to end once that is back.
func (s *simulation) checkRecovery() {
	s.calm = true
	s.storeDownUntil = s.now
	for _, instance := range s.instances {
		instance.pausedUntil, instance.downUntil = s.now, s.now
		instance.storeCutUntil, instance.storeAnswersCutUntil = s.now, s.now
		clear(instance.instanceCutUntil)
		clear(instance.endpointCutUntil)
	}
	for _, endpoint := range s.endpoints {
		endpoint.downUntil, endpoint.replicationCutUntil = s.now, s.now
	}
	clear(s.darkness.until)
	wanted := s.commits + modelRecoveryCommits
	for end := s.now.Add(modelRecoveryTime); s.now.Before(end) && s.commits < wanted && len(s.violations) == 0; {
		s.advance(time.Second)
	}
	if len(s.violations) == 0 && s.commits < wanted {
		s.reportViolation("commits are not acknowledged again within " + modelRecoveryTime.String() + " after the last fault")
	}
}

// modelReplication is the replication of the simulated group.
type modelReplication struct {
	random       *rand.Rand
	enabled      bool
	syncReplicas int
	lag          map[rosemarylb.EndpointID]int
	// downSince is since when an endpoint is down, unlisted whether it is not listed.
	downSince map[rosemarylb.EndpointID]time.Time
	unlisted  map[rosemarylb.EndpointID]bool
	drains    int
	crashes   int
}

// newModelReplication has random numbers of its own, so that the other faults of a seed
// are the same with and without synchronous replicas.
func newModelReplication(seed uint64) modelReplication {
	return modelReplication{
		random:    rand.New(rand.NewPCG(seed, 13)),
		lag:       map[rosemarylb.EndpointID]int{},
		downSince: map[rosemarylb.EndpointID]time.Time{},
		unlisted:  map[rosemarylb.EndpointID]bool{},
	}
}

// catalog returns the configuration of the simulated group.
func (r *modelReplication) catalog() rosemarylb.Catalog {
	return rosemarylb.Catalog{
		Version: 1,
		Groups: map[rosemarylb.DatabaseName]rosemarylb.Group{
			modelGroup: {
				Name:         modelGroup,
				SyncReplicas: r.syncReplicas,
			},
		},
	}
}

// injectReplicationFault starts a fault of the replicas in one of 150 steps on average.
func (s *simulation) injectReplicationFault() {
	r := &s.replication
	if !r.enabled || r.random.IntN(150) != 0 {
		return
	}
	replica := s.endpoints[r.random.IntN(len(s.endpoints))]
	for _, endpoint := range s.endpoints {
		r.lag[endpoint.id] = r.random.IntN(modelMaxLag + 1)
	}
	switch r.random.IntN(4) {
	case 0, 1:
		s.drainReplica(replica)
		s.crashPrimary()
	case 2:
		s.crashPrimary()
	case 3:
		replica.replicationCutUntil = s.now.Add(time.Duration(r.random.Int64N(int64(6 * time.Second))))
		s.crashPrimary()
	}
}

// drainReplica marks a replica as leaving, while the others are further behind. It ends
// up to 5 seconds later, and in half of the cases comes back with its log after a time, as
// a new endpoint at its address would.
func (s *simulation) drainReplica(replica *simulatedEndpoint) {
	r := &s.replication
	if replica == s.latestPrimary() || replica.leaving {
		return
	}
	r.drains++
	r.lag[replica.id] = 0
	duration := time.Duration(r.random.Int64N(int64(5 * time.Second)))
	s.logEvent(string(replica.id) + " is draining for " + duration.String())
	replica.leaving = true
	s.registerEndpoints()
	ends := r.random.IntN(2) == 0
	s.scheduled = append(s.scheduled, scheduledCall{
		at: s.now.Add(duration),
		run: func() {
			replica.leaving = false
			if ends && !s.calm {
				s.logEvent(string(replica.id) + " has left")
				replica.downUntil = s.now.Add(time.Duration(1+r.random.IntN(5)) * time.Second)
				r.downSince[replica.id] = s.now
				r.unlisted[replica.id] = true
			}
			s.registerEndpoints()
		},
	})
}

// crashPrimary stops the primary for a time, within two seconds.
func (s *simulation) crashPrimary() {
	r := &s.replication
	at := s.now.Add(time.Duration(r.random.Int64N(int64(2 * time.Second))))
	duration := time.Duration(r.random.Int64N(int64(9 * time.Second)))
	s.scheduled = append(s.scheduled, scheduledCall{
		at: at,
		run: func() {
			if s.calm {
				return
			}
			r.crashes++
			s.logEvent(string(s.latestPrimary().id) + " crashes for " + duration.String())
			s.latestPrimary().downUntil = s.now.Add(duration)
		},
	})
}

// updateListing removes the endpoints that have been down for modelEntryLifetime from the
// list, and adds those that are back.
func (s *simulation) updateListing() {
	r := &s.replication
	if !r.enabled {
		return
	}
	changed := false
	for _, endpoint := range s.endpoints {
		if !s.now.Before(endpoint.downUntil) {
			delete(r.downSince, endpoint.id)
			changed = changed || r.unlisted[endpoint.id]
			delete(r.unlisted, endpoint.id)
			continue
		}
		if r.downSince[endpoint.id].IsZero() {
			r.downSince[endpoint.id] = s.now
		}
		if !r.unlisted[endpoint.id] && s.now.Sub(r.downSince[endpoint.id]) > modelEntryLifetime {
			r.unlisted[endpoint.id] = true
			changed = true
		}
	}
	if changed {
		s.registerEndpoints()
	}
}

// received returns what a replica has of the primary's log.
func (r *modelReplication) received(replica, primary *simulatedEndpoint) []int {
	if !r.enabled {
		return slices.Clone(primary.log)
	}
	common := 0
	for common < min(len(replica.log), len(primary.log)) && replica.log[common] == primary.log[common] {
		common++
	}
	return slices.Clone(primary.log[:max(common, len(primary.log)-r.lag[replica.id])])
}

// awaitReplica calls a function once a replica has received a commit of an endpoint, or
// never if that takes too long or the endpoint ends before.
func (s *simulation) awaitReplica(primary *simulatedEndpoint, commit int, since time.Time, acknowledge func()) {
	if s.now.Before(primary.downUntil) || s.now.Sub(since) > modelConfirmTime {
		return
	}
	for _, endpoint := range s.endpoints {
		if endpoint != primary && slices.Contains(endpoint.log, commit) {
			acknowledge()
			return
		}
	}
	s.scheduled = append(s.scheduled, scheduledCall{
		at:  s.now.Add(modelStep),
		run: func() { s.awaitReplica(primary, commit, since, acknowledge) },
	})
}

// checkPromoted checks that the log of a promoted endpoint holds every acknowledged
// commit.
func (s *simulation) checkPromoted(promoted *simulatedEndpoint) {
	if s.replication.syncReplicas == 0 {
		return
	}
	for commit, acknowledged := range s.acknowledged {
		if acknowledged && !slices.Contains(promoted.log, commit) {
			s.reportViolation(string(promoted.id) + " is promoted without the acknowledged commit " + strconv.Itoa(commit))
			return
		}
	}
}
