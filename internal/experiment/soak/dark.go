package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"rosemarylb/internal/standin/objects"
)

const (
	// promotionDelay is how long promotions take.
	promotionDelay = 300 * time.Millisecond
	// darkPrimaryCount is the number of steps in a plan in which an endpoint goes dark as it
	// is promoted, darkPrimaryLength their length.
	darkPrimaryCount  = 2
	darkPrimaryLength = orderTimeout + promotionDelay + maxDarkTime
	// orderTimeout is how long a step waits for the promotion after the primary's crash.
	orderTimeout = 4 * time.Second
	orderPoll    = 5 * time.Millisecond
	// maxDarkTime is the longest time for which the promoted endpoint is dark.
	maxDarkTime = 6 * time.Second
)

var darkPrimaryKind = stepKind{
	name:  "dark-primary",
	begin: darkenPromoted,
}

// withDarkPrimaries adds steps in which a promoted endpoint goes dark. Their random numbers
// are their own, so that the other steps of a seed stay the same.
func withDarkPrimaries(steps []Step, seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 5))
	return withSteps(steps, darkPrimaryKind, darkPrimaryCount, length, darkPrimaryLength, random)
}

// darkenPromoted crashes a primary, and has the endpoint that is ordered to lead go dark or
// lose its path to the keeper for a time.
func darkenPromoted(h *Harness, random *rand.Rand, _ time.Duration) func() {
	_, primary := h.randomReplica(random)
	if primary == nil || !h.reserve(primary) {
		return func() {}
	}
	known := len(h.store.PromotionRequests())
	h.stopEndpoint(primary)
	order, found := h.awaitPromotionRequest(primary.group, known)
	restore := func() {}
	if found {
		restore = h.darken(order, random)
		time.Sleep(time.Duration(random.Int64N(int64(maxDarkTime))))
	}
	return func() {
		defer h.release(primary)
		restore()
		h.restartEndpoint(primary)
	}
}

// darken isolates an ordered endpoint, or cuts it off from the keeper alone, before it
// leads. In one of three cases it kills the keeper. The returned function ends the cut.
func (h *Harness) darken(order objects.PromotionRequest, random *rand.Rand) func() {
	time.Sleep(time.Duration(random.Int64N(int64(promotionDelay))))
	keeperAlone, kill := random.IntN(2) == 0, random.IntN(3) == 0
	keeper := h.instanceNamed(order.Holder)
	target := h.endpoints[slices.IndexFunc(h.endpoints, func(e *endpoint) bool { return e.server.ID() == order.Endpoint })]
	var restore func()
	if keeperAlone {
		restore = injectLinkFaults([]*Link{keeper.endpointLinks[order.Endpoint]}, LinkFaults{
			HoldToTarget:   true,
			HoldFromTarget: true,
		})
	} else {
		restore = h.isolate(target)
	}
	if kill {
		keeper.process.Signal(syscall.SIGKILL)
	}
	return restore
}

// awaitPromotionRequest returns the first request to promote an endpoint of a group after
// a number of others.
func (h *Harness) awaitPromotionRequest(group string, known int) (objects.PromotionRequest, bool) {
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(orderPoll) {
		for _, o := range h.store.PromotionRequests()[known:] {
			if o.Group == group {
				return o, true
			}
		}
	}
	return objects.PromotionRequest{}, false
}
