package soak

import (
	"math/rand/v2"
	"time"

	"rosemarylb/internal/standin/objects"
)

const (
	// maxCopyAge is the greatest age of a copy from which the store is restored.
	maxCopyAge = 6 * time.Second
	// maxRestoreOutage is the longest time for which the store is unavailable before it
	// comes back from a copy.
	maxRestoreOutage = 1500 * time.Millisecond
	// maxOperatorDelay is the longest time until the operator has written the
	// configuration again.
	maxOperatorDelay = 3 * time.Second
)

var restoreKind = stepKind{
	name:  "store-restored",
	begin: restoreStore,
}

// withRestores adds one or two restores of the store to a plan. Their random numbers are
// their own, so that the other steps of a seed stay the same.
func withRestores(steps []Step, seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 3))
	return withSteps(steps, restoreKind, 1+random.IntN(2), length, maxCopyAge+maxRestoreOutage+maxOperatorDelay, random)
}

// restoreStore restores the store from a copy that it makes first. Endpoints write their
// entries again with their next heartbeat, and the operator the configuration after a
// while.
func restoreStore(h *Harness, random *rand.Rand, _ time.Duration) func() {
	age := time.Duration(random.Int64N(int64(maxCopyAge)))
	outage := time.Duration(random.Int64N(int64(maxRestoreOutage)))
	views := make([]*objects.View, 0, len(h.instances))
	for _, i := range h.instances {
		views = append(views, i.storeView)
	}
	h.store.RestoreEarlierCopy(age, outage, views)
	time.Sleep(time.Duration(random.Int64N(int64(maxOperatorDelay))))
	h.writeConfigAgain()
	return func() {}
}
