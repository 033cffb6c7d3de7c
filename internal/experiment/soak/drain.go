package soak

import (
	"math/rand/v2"
	"time"
)

// replaceEndpoint replaces an endpoint: it reports that it is draining, serves
// until the drain period is over, stops, and starts again.
func replaceEndpoint(h *Harness, random *rand.Rand, _ time.Duration) func() {
	e := h.randomEndpoint(random)
	if !h.reserve(e) {
		return func() {}
	}
	h.beginDrain(e)
	return func() {
		defer h.release(e)
		h.endDrain(e)
	}
}

// beginDrain has an endpoint report that it is draining.
func (h *Harness) beginDrain(e *endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.draining = true
	h.writeHeartbeat(e)
	e.drainingSince = time.Now()
}

// endDrain stops a draining endpoint after the drain period, and starts it again.
func (h *Harness) endDrain(e *endpoint) {
	time.Sleep(time.Until(e.drainingSince.Add(drainPeriod + time.Second)))
	h.mu.Lock()
	e.down = true
	e.downSince = time.Now()
	h.store.Delete("servers", e.server.ID())
	h.mu.Unlock()
	e.server.Stop()
	time.Sleep(restartDelay)
	h.restartEndpoint(e)
}
