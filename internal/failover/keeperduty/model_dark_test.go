package keeperduty

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"rosemarylb"
)

const (
	// modelMaxDark is the longest time that an endpoint is dark for.
	modelMaxDark = 8 * time.Second
	// modelMaxPathLoss is the longest time that an endpoint has no path to an instance for
	// after its promotion was ordered.
	modelMaxPathLoss = 5 * time.Second
	// modelMaxPromotionDelay is the longest time that promotions of a run take to complete.
	modelMaxPromotionDelay = 1200 * time.Millisecond
)

var darkCount = flag.Int("dark-count", 30, "number of consecutive seeds to simulate with endpoints that go dark")

// TestDarkPrimaryIsNotOverlooked runs the simulation with endpoints that go dark just as they
// are promoted, lose their path to the holder of the lease, or outlive it. It guards against
// ONE and STALE: a promotion takes effect unseen, and an endpoint of an earlier term is used.
func TestDarkPrimaryIsNotOverlooked(t *testing.T) {
	dark, kills, promotions, commits := 0, 0, 0, 0
	for seed := *modelSeed; seed < *modelSeed+uint64(*darkCount); seed++ {
		s := newSimulation(seed)
		s.darkness.enabled = true
		s.run()
		s.checkRecovery()
		s.requireNoViolation(t, "dark-count")
		dark += s.darkness.count
		kills += s.darkness.kills
		promotions += s.promotions
		commits += s.commits
	}
	t.Logf("%d endpoints dark, %d holders killed after an order, %d promotions, %d commits in %d runs",
		dark, kills, promotions, commits, *darkCount)
	if dark < *darkCount || kills < *darkCount/4 || promotions < *darkCount || commits < 50**darkCount {
		t.Errorf("too few to exercise endpoints that go dark")
	}
}

// modelDarkness are the disruptions that follow the orders of promotions.
type modelDarkness struct {
	random  *rand.Rand
	enabled bool
	// promotionDelay is how long each promotion of the run takes to complete.
	promotionDelay time.Duration
	until          map[rosemarylb.EndpointID]time.Time
	count          int
	kills          int
}

// newModelDarkness has random numbers of its own, so that the other faults of a seed are the
// same with and without it.
func newModelDarkness(seed uint64) modelDarkness {
	random := rand.New(rand.NewPCG(seed, 17))
	return modelDarkness{
		random:         random,
		promotionDelay: time.Duration(random.Int64N(int64(modelMaxPromotionDelay))),
		until:          map[rosemarylb.EndpointID]time.Time{},
	}
}

// isDark reports whether an endpoint runs and leads, but reaches neither an instance nor
// another endpoint.
func (s *simulation) isDark(id rosemarylb.EndpointID) bool {
	return s.now.Before(s.darkness.until[id])
}

// scheduleMakePrimary has an accepted promotion take effect. In runs with darkness, all take
// the same time, and each of three disruptions follows one in three orders.
func (s *simulation) scheduleMakePrimary(instance *simulatedInstance, endpoint *simulatedEndpoint) {
	d := &s.darkness
	if !d.enabled {
		s.schedule(300*time.Millisecond, func() { s.makePrimary(endpoint) })
		return
	}
	s.scheduled = append(s.scheduled, scheduledCall{
		at:  s.now.Add(d.promotionDelay),
		run: func() { s.makePrimary(endpoint) },
	})
	if s.calm {
		return
	}
	if d.random.IntN(3) == 0 {
		s.scheduleDisruption(func() {
			duration := time.Duration(d.random.Int64N(int64(modelMaxDark)))
			s.logEvent(string(endpoint.id) + " is dark for " + duration.String())
			d.until[endpoint.id] = s.now.Add(duration)
			d.count++
		})
	}
	if d.random.IntN(3) == 0 {
		instance.endpointCutUntil[endpoint.id] = s.now.Add(time.Duration(d.random.Int64N(int64(modelMaxPathLoss))))
	}
	if d.random.IntN(3) == 0 {
		s.scheduleDisruption(func() {
			s.logEvent(string(instance.id) + " killed after its order")
			instance.downUntil = s.now.Add(time.Duration(d.random.Int64N(int64(time.Second))))
			s.startProcess(instance)
			d.kills++
		})
	}
}

// scheduleDisruption runs a function within twice the time of a promotion, unless the faults
// have ended by then.
func (s *simulation) scheduleDisruption(run func()) {
	after := time.Duration(s.darkness.random.Int64N(int64(2*s.darkness.promotionDelay + modelStep)))
	s.scheduled = append(s.scheduled, scheduledCall{
		at: s.now.Add(after),
		run: func() {
			if !s.calm {
				run()
			}
		},
	})
}
