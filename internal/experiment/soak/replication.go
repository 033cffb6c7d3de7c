package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// drainCrashCount is the number of steps in a plan in which a primary crashes while a
	// replica drains, drainCrashLength their length.
	drainCrashCount  = 3
	drainCrashLength = drainPeriod + 3*time.Second
	// slowReplicaLag is by how much longer a replica takes to receive a commit than the
	// one that drains.
	slowReplicaLag = 80 * time.Millisecond
	// maxCrashDelay is the longest time from the start of the drain to the crash.
	maxCrashDelay = 3 * time.Second
	// maxCrashTime is the longest time for which the primary is down.
	maxCrashTime = 5 * time.Second
)

var drainCrashKind = stepKind{
	name:  "drain-crash",
	begin: crashBesideDrain,
}

// withDrainingReplicas adds steps in which a primary crashes while a replica drains. Their
// random numbers are their own, so that the other steps of a seed stay the same.
func withDrainingReplicas(steps []Step, seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 4))
	return withSteps(steps, drainCrashKind, drainCrashCount, length, drainCrashLength, random)
}

// crashBesideDrain drains the replica that receives commits first, and crashes the primary
// meanwhile. Nothing happens while another step has claimed an endpoint of the group.
func crashBesideDrain(h *Harness, random *rand.Rand, _ time.Duration) func() {
	replica, primary := h.randomReplica(random)
	if replica == nil || !h.reserve(replica) {
		return func() {}
	}
	h.setLag(replica, slowReplicaLag)
	h.beginDrain(replica)
	time.Sleep(time.Duration(random.Int64N(int64(maxCrashDelay))))
	h.stopEndpoint(primary)
	time.Sleep(time.Duration(random.Int64N(int64(maxCrashTime))))
	h.restartEndpoint(primary)
	return func() {
		defer h.release(replica)
		h.endDrain(replica)
		h.setLag(replica, 0)
	}
}

// randomReplica returns a random endpoint that is not the primary of its group, and the
// primary. Both are nil if the group has no primary now.
func (h *Harness) randomReplica(random *rand.Rand) (replica, primary *endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.endpoints[random.IntN(len(h.endpoints))]
	for _, o := range h.endpoints {
		if o.group == e.group && o.server.IsPrimary() {
			primary = o
		}
	}
	if primary == nil {
		return nil, nil
	}
	for e == primary || e.group != primary.group {
		e = h.endpoints[random.IntN(len(h.endpoints))]
	}
	return e, primary
}

// setLag has the other endpoints of a group receive commits later than one does.
func (h *Harness) setLag(first *endpoint, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		if e.group == first.group && e != first {
			e.server.SetLag(lag)
		}
	}
}
