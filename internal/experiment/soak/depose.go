package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"rosemarylb/internal/standin/objects"
)

const (
	// deposedHolderCount is the number of steps in a plan in which the store turns away the
	// holder of the lease and others, deposedHolderLength their length.
	deposedHolderCount  = 2
	deposedHolderLength = 8 * time.Second
	// minHolderPause and maxHolderPause are the times for which the holder is suspended. The
	// others depose it after a second.
	minHolderPause = time.Second
	maxHolderPause = 2500 * time.Millisecond
	// maxTransit is the longest time for which requests to the holder are held up.
	maxTransit = 5 * time.Second
)

var deposedHolderKind = stepKind{
	name:  "deposed-holder",
	begin: deposeHolder,
}

// withDeposedHolders adds steps in which the holder of the lease is deposed. Their random
// numbers are their own, so that the other steps of a seed stay the same.
func withDeposedHolders(steps []Step, seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 46))
	return withSteps(steps, deposedHolderKind, deposedHolderCount, length, deposedHolderLength, random)
}

// deposeHolder has the store turn away the holder of the lease and about half of the other
// instances, and suspends the holder until the rest has deposed it. The rest loses its path
// to a primary, so that the next holder replaces that primary. Some of the instances that are
// turned away restart, and their requests to the holder are held up for longer than it is
// suspended.
func deposeHolder(h *Harness, random *rand.Rand, _ time.Duration) func() {
	holder := h.holder()
	if holder == nil {
		return func() {}
	}
	turnedAway, served := h.splitAround(holder, random)
	for _, i := range turnedAway {
		i.storeView.SetFaults(objects.Faults{
			Status: http.StatusServiceUnavailable,
		})
		// A watch that waits would still bring the next record.
		i.storeLink.Reset()
	}
	restoreTransit := h.holdRequests(turnedAway, holder)
	restorePrimary := func() {}
	if _, primary := h.randomReplica(random); primary != nil {
		restorePrimary = h.isolateFrom(primary, served)
	}
	holder.process.Signal(syscall.SIGSTOP)
	time.Sleep(minHolderPause + time.Duration(random.Int64N(int64(maxHolderPause-minHolderPause))))
	for _, i := range turnedAway {
		if i != holder && random.IntN(3) == 0 {
			i.process.Signal(syscall.SIGKILL)
		}
	}
	holder.process.Signal(syscall.SIGCONT)
	time.Sleep(time.Duration(random.Int64N(int64(maxTransit))))
	restoreTransit()
	return func() {
		restorePrimary()
		for _, i := range turnedAway {
			i.storeView.SetFaults(objects.Faults{})
		}
	}
}

// holder returns the instance that holds the lease by the record, nil for none.
func (h *Harness) holder() *instance {
	var record struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(h.store.Spec(proxyKind, recordName), &record) != nil {
		return nil
	}
	return h.instanceNamed(record.Holder)
}

// splitAround returns the holder with about half of the other instances, and the rest, of
// which there is at least one.
func (h *Harness) splitAround(holder *instance, random *rand.Rand) (with, rest []*instance) {
	with = []*instance{holder}
	for _, n := range random.Perm(len(h.instances)) {
		i := h.instances[n]
		switch {
		case i == holder:
		case len(rest) == 0 || random.IntN(2) == 0:
			rest = append(rest, i)
		default:
			with = append(with, i)
		}
	}
	return with, rest
}

// holdRequests holds up the requests of some instances to the holder. The returned function
// delivers them.
func (h *Harness) holdRequests(from []*instance, holder *instance) func() {
	var links []*Link
	for _, i := range from {
		if i != holder {
			links = append(links, i.peerLinks[holder.name])
		}
	}
	return injectLinkFaults(links, LinkFaults{
		HoldToTarget: true,
	})
}
