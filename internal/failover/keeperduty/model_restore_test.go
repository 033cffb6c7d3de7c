package keeperduty

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

const (
	// modelMaxCopyAge is the greatest age of the copy that the store is restored from.
	modelMaxCopyAge = 8 * time.Second
	// modelRestoreOutage is the longest time that the store is unavailable for when it
	// is restored.
	modelRestoreOutage = time.Second
	// modelMaxHolderCut is the longest time for which the holder loses the store when it
	// is restored. It exceeds the duration of a lease.
	modelMaxHolderCut = 14 * time.Second
)

var restoreCount = flag.Int("restore-count", 40, "number of consecutive seeds to simulate with restores of the store")

// TestRestoredStoreLosesNoCommit runs the simulation with a store that is restored
// from older copies at times, so that the record, its revision and the lease go back,
// revisions are issued again and late writes of an earlier era meet them. The
// invariants are those of the simulation without restores.
func TestRestoredStoreLosesNoCommit(t *testing.T) {
	restores, reclaims, takeovers, promotions, commits := 0, 0, 0, 0, 0
	for seed := *modelSeed; seed < *modelSeed+uint64(*restoreCount); seed++ {
		s := newSimulation(seed)
		s.restores.enabled = true
		s.run()
		s.requireNoViolation(t, "restore-count")
		restores += s.restores.count
		promotions += s.promotions
		reclaims += s.restores.reclaims
		takeovers += s.restores.takeovers
		commits += s.commits
	}
	t.Logf("%d restores, %d leases written again, %d groups found out, %d promotions, %d commits in %d runs",
		restores, reclaims, takeovers, promotions, commits, *restoreCount)
	if restores < *restoreCount || reclaims < *restoreCount/4 || takeovers < *restoreCount/8 ||
		promotions < *restoreCount/4 || commits < 20**restoreCount {
		t.Errorf("too few to exercise restores")
	}
}

// storeRestores are the copies of the simulated store and its restores.
type storeRestores struct {
	random  *rand.Rand
	enabled bool
	era     uint64
	copies  []storeCopy
	count   int
	// reclaims is the number of leases that their holder wrote again, takeovers that of
	// groups whose primary was found out after another instance took the lease.
	reclaims  int
	takeovers int
}

func (r *storeRestores) countLogEvent(event keeper.LogEvent) {
	switch {
	case event.Event == keeper.EventLeaseReclaimed:
		r.reclaims++
	case event.Event == "move started" && event.Reason == "record of an earlier era":
		r.takeovers++
	}
}

// storeCopy is the state of the store after a write.
type storeCopy struct {
	at       time.Time
	record   keeper.Record
	revision uint64
}

// newStoreRestores has random numbers of its own, so that the other faults of a seed
// are the same with and without restores.
func newStoreRestores(seed uint64) storeRestores {
	return storeRestores{
		random: rand.New(rand.NewPCG(seed, 11)),
	}
}

// keepCopy keeps the state of the store after a write.
func (r *storeRestores) keepCopy(now time.Time, record keeper.Record, revision uint64) {
	r.copies = append(r.copies, storeCopy{
		at:       now,
		record:   record,
		revision: revision,
	})
}

// injectRestore restores the store from an older copy in one of 400 steps on average.
// One in three copies is from just before a primary is replaced. No copy is from before
// the first write: a store without a record looks like that of a fleet that starts for
// the first time.
func (s *simulation) injectRestore() {
	r := &s.restores
	if !r.enabled || len(r.copies) == 0 || r.random.IntN(400) != 0 {
		return
	}
	if r.random.IntN(3) == 0 {
		kept := len(r.copies)
		if r.random.IntN(2) == 0 {
			s.replacePrimary(2 * time.Second)
		} else {
			s.isolatePrimary()
		}
		s.scheduled = append(s.scheduled, scheduledCall{
			at: s.now.Add(2*time.Second + time.Duration(r.random.Int64N(int64(modelMaxCopyAge)/2))),
			run: func() {
				s.restore(min(kept, len(r.copies)))
			},
		})
		return
	}
	age := time.Duration(r.random.Int64N(int64(modelMaxCopyAge)))
	kept := 1
	for i, c := range r.copies {
		if !c.at.After(s.now.Add(-age)) {
			kept = i + 1
		}
	}
	s.restore(kept)
}

// isolatePrimary cuts the primary off, from its group for so long that it still takes
// itself for the primary when the store is restored.
func (s *simulation) isolatePrimary() {
	primary := s.latestPrimary()
	s.logEvent(string(primary.id) + " is isolated")
	primary.replicationCutUntil = s.now.Add(modelMaxHolderCut + modelMaxCopyAge)
	for _, i := range s.instances {
		i.endpointCutUntil[primary.id] = s.now.Add(modelMaxCopyAge / 2)
	}
}

// restore restores the store from the last of the kept copies. In two of four cases the
// holder is killed or loses the store at the same time.
func (s *simulation) restore(kept int) {
	r := &s.restores
	holder := s.instance(s.record.Holder)
	r.copies = r.copies[:kept]
	restored := r.copies[kept-1]
	s.record, s.revision = restored.record, restored.revision
	r.era++
	r.count++
	s.storeDownUntil = s.now.Add(time.Duration(r.random.Int64N(int64(modelRestoreOutage))))
	s.logEvent("store restored from a copy that is " + s.now.Sub(restored.at).String() + " old, token " +
		strconv.FormatUint(restored.record.Token, 10))
	switch r.random.IntN(4) {
	case 0:
		s.logEvent(string(holder.id) + " killed")
		holder.downUntil = s.now.Add(time.Second)
		s.startProcess(holder)
	case 1:
		s.logEvent(string(holder.id) + " without store")
		holder.storeCutUntil = s.now.Add(time.Duration(r.random.Int64N(int64(modelMaxHolderCut))))
	}
}

// version returns the version of the stored record.
func (s *simulation) version() rosemarylb.Version {
	return rosemarylb.Version{
		Era:      s.restores.era,
		Revision: s.revision,
	}
}

// observe records the holder that a record names, as the watch of the record does.
func (i *simulatedInstance) observe(record keeper.Record, version rosemarylb.Version, now time.Time) {
	if !version.Exists() {
		return
	}
	i.witness.ObserveHolder(record.Token, now)
	if record.Follows(i.latest) {
		i.latest = record
	}
}
