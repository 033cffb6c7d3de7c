package soak

import (
	"math/rand/v2"
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
// lose its path to the keeper before it does. In one of three cases the keeper is killed.
func darkenPromoted(h *Harness, random *rand.Rand, _ time.Duration) func() {
	_, primary := h.randomReplica(random)
	if primary == nil || !h.reserve(primary) {
		return func() {}
	}
	known := len(h.store.PromotionRequests())
	h.stopEndpoint(primary)
	order, found := h.awaitPromotionRequest(primary.group, known)
	if !found {
		return func() {
			defer h.release(primary)
			h.restartEndpoint(primary)
		}
	}
	time.Sleep(time.Duration(random.Int64N(int64(promotionDelay))))
	restore := h.darken(order, random.IntN(2) == 0)
	if random.IntN(3) == 0 {
		h.signalInstance(order.Holder, syscall.SIGKILL)
	}
	time.Sleep(time.Duration(random.Int64N(int64(maxDarkTime))))
	return func() {
		defer h.release(primary)
		restore()
		h.restartEndpoint(primary)
	}
}

// darken cuts an ordered endpoint off from all instances and endpoints, or from the keeper
// alone. The returned function ends this.
func (h *Harness) darken(order objects.PromotionRequest, keeperAlone bool) func() {
	var links []*Link
	for _, i := range h.instances {
		if i.name == order.Holder || !keeperAlone {
			links = append(links, i.endpointLinks[order.Endpoint])
		}
	}
	restoreLinks := injectLinkFaults(links, LinkFaults{
		HoldToTarget:   true,
		HoldFromTarget: true,
	})
	if keeperAlone {
		return restoreLinks
	}
	restoreReplication := func() {}
	for _, e := range h.endpoints {
		if e.server.ID() == order.Endpoint {
			restoreReplication = h.cutReplicationFrom(e)
		}
	}
	return func() {
		restoreReplication()
		restoreLinks()
	}
}

// signalInstance sends a signal to the process of an instance.
func (h *Harness) signalInstance(name string, s syscall.Signal) {
	for _, i := range h.instances {
		if i.name == name {
			i.process.Signal(s)
		}
	}
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
