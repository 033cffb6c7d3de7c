package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

// Step is one fault or maintenance action of a plan.
type Step struct {
	// Offset is the start of the step, relative to the start of the callers, and
	// Duration its length.
	Offset, Duration time.Duration
	// Name is the name of its kind.
	Name string

	kind stepKind
	seed uint64
}

// stepKind is a kind of step. begin starts it and returns the function that ends
// it.
type stepKind struct {
	name string
	// isMaintenance is true for planned maintenance, under which all guarantees
	// hold.
	isMaintenance bool
	begin         func(h *Harness, random *rand.Rand, span time.Duration) func()
}

var stepKinds = []stepKind{
	{"term", true, sendSignal(syscall.SIGTERM)},
	{"hup", true, sendSignal(syscall.SIGHUP)},
	{"configure", true, changeConfig},
	{"release", true, replaceEndpoint},
	{"kill", false, sendSignal(syscall.SIGKILL)},
	{"pause", false, pauseInstance},
	{"herd", false, killInstances},
	{"store-status", false, failStore(func(random *rand.Rand) objects.Faults {
		return objects.Faults{
			Status: []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)],
		}
	})},
	{"store-slow", false, failStore(func(random *rand.Rand) objects.Faults {
		return objects.Faults{
			Delay: time.Duration(100+random.IntN(500)) * time.Millisecond,
		}
	})},
	{"store-loses", false, failStore(func(random *rand.Rand) objects.Faults {
		return objects.Faults{
			LoseWriteProbability: 0.4,
			WriteDelay:           time.Duration(random.IntN(2)) * time.Duration(1000+random.IntN(4000)) * time.Millisecond,
		}
	})},
	{"store-link", false, failStoreLinks},
	{"store-forgets", false, dropStoreHistory},
	{"link", false, failEndpointLinks},
	{"resets", false, resetConnections},
	{"crash", false, crashEndpoint},
	{"dark", false, isolateEndpoint},
	{"deaf", false, cutReplication},
	{"loses-answers", false, loseReplies},
	{"flap", false, flapEndpoint},
}

// Plan returns random steps for a seed; they may overlap. Every fourth seed has
// only maintenance steps.
func Plan(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	maintenanceOnly := seed%4 == 0
	var steps []Step
	for at := 1500 * time.Millisecond; at < length; at += time.Duration(300+random.IntN(1700)) * time.Millisecond {
		k := stepKinds[random.IntN(len(stepKinds))]
		for maintenanceOnly && !k.isMaintenance {
			k = stepKinds[random.IntN(len(stepKinds))]
		}
		steps = append(steps, Step{
			Offset:   at,
			Duration: time.Duration(200+random.IntN(4500)) * time.Millisecond,
			Name:     k.name,
			kind:     k,
			seed:     random.Uint64(),
		})
	}
	return steps
}

// withSteps adds steps of one kind at random times to a plan.
func withSteps(
	steps []Step, k stepKind, count int, length, duration time.Duration, random *rand.Rand,
) []Step {
	for range count {
		steps = append(steps, Step{
			Offset:   2*time.Second + time.Duration(random.Int64N(int64(length-2*time.Second))),
			Duration: duration,
			Name:     k.name,
			kind:     k,
			seed:     random.Uint64(),
		})
	}
	slices.SortStableFunc(steps, func(x, y Step) int {
		return int(x.Offset - y.Offset)
	})
	return steps
}

func (h *Harness) randomInstance(random *rand.Rand) *instance {
	return h.instances[random.IntN(len(h.instances))]
}

// randomInstances returns a random subset of the instances, at least one.
func (h *Harness) randomInstances(random *rand.Rand) []*instance {
	var chosen []*instance
	for _, i := range h.instances {
		if random.IntN(2) == 0 {
			chosen = append(chosen, i)
		}
	}
	if len(chosen) == 0 {
		chosen = append(chosen, h.randomInstance(random))
	}
	return chosen
}

// randomEndpoint returns a random endpoint, in at least two of three cases the
// primary of its group.
func (h *Harness) randomEndpoint(random *rand.Rand) *endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.endpoints[random.IntN(len(h.endpoints))]
	if random.IntN(3) == 0 {
		return e
	}
	for _, o := range h.endpoints {
		if o.group == e.group && o.server.IsPrimary() {
			return o
		}
	}
	return e
}

// sendSignal returns a step that sends a signal to one instance.
func sendSignal(s syscall.Signal) func(*Harness, *rand.Rand, time.Duration) func() {
	return func(h *Harness, random *rand.Rand, _ time.Duration) func() {
		p := h.randomInstance(random).process
		p.Signal(s)
		return func() {}
	}
}

func changeConfig(h *Harness, _ *rand.Rand, _ time.Duration) func() {
	h.publishConfig()
	return func() {}
}

// reserve claims an endpoint for a step that stops it. It returns false while an
// endpoint of the same group is claimed.
func (h *Harness) reserve(e *endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.endpoints {
		if o.group == e.group && o.reserved {
			return false
		}
	}
	e.reserved = true
	return true
}

func (h *Harness) release(e *endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.reserved = false
}

// stopEndpoint stops an endpoint without draining.
func (h *Harness) stopEndpoint(e *endpoint) {
	h.mu.Lock()
	e.down = true
	e.downSince = time.Now()
	h.mu.Unlock()
	e.server.Stop()
}

func (h *Harness) restartEndpoint(e *endpoint) {
	if err := e.server.Restart(); err != nil {
		h.recorder.recordViolationf("HARNESS: %s could not restart: %v", e.server.ID(), err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e.down = false
	e.draining = false
	e.startedMillis = time.Now().UnixMilli()
	h.writeHeartbeat(e)
}

// pauseInstance suspends the process of one instance.
func pauseInstance(h *Harness, random *rand.Rand, _ time.Duration) func() {
	chosen := h.randomInstances(random)[:1]
	for _, i := range chosen {
		i.process.Signal(syscall.SIGSTOP)
	}
	return func() {
		for _, i := range chosen {
			i.process.Signal(syscall.SIGCONT)
		}
	}
}

// killInstances kills several instances at once, in one of three cases all.
func killInstances(h *Harness, random *rand.Rand, _ time.Duration) func() {
	chosen := h.randomInstances(random)
	if random.IntN(3) == 0 {
		chosen = h.instances
	}
	for _, i := range chosen {
		i.process.Signal(syscall.SIGKILL)
	}
	return func() {}
}

// failStore returns a step that gives some instances, or all, the same faults of
// the store.
func failStore(draw func(*rand.Rand) objects.Faults) func(*Harness, *rand.Rand, time.Duration) func() {
	return func(h *Harness, random *rand.Rand, _ time.Duration) func() {
		chosen := h.randomInstances(random)
		if random.IntN(2) == 0 {
			chosen = h.instances
		}
		faults := draw(random)
		for _, i := range chosen {
			i.storeView.SetFaults(faults)
		}
		return func() {
			for _, i := range chosen {
				i.storeView.SetFaults(objects.Faults{})
			}
		}
	}
}

func randomLinkFaults(random *rand.Rand) LinkFaults {
	return []LinkFaults{
		{Delay: time.Duration(20+random.IntN(300)) * time.Millisecond},
		{HoldToTarget: true},
		{HoldFromTarget: true},
		{HoldToTarget: true, HoldFromTarget: true},
		{Refuse: true},
	}[random.IntN(5)]
}

// injectLinkFaults sets faults on links and returns the function that clears them.
func injectLinkFaults(links []*Link, faults LinkFaults) func() {
	for _, l := range links {
		l.SetFaults(faults)
		if faults.Refuse {
			l.Reset()
		}
	}
	return func() {
		for _, l := range links {
			l.SetFaults(LinkFaults{})
		}
	}
}

func failStoreLinks(h *Harness, random *rand.Rand, _ time.Duration) func() {
	var links []*Link
	for _, i := range h.randomInstances(random) {
		links = append(links, i.storeLink)
	}
	return injectLinkFaults(links, randomLinkFaults(random))
}

// failEndpointLinks sets faults on the links from some instances to one endpoint.
func failEndpointLinks(h *Harness, random *rand.Rand, _ time.Duration) func() {
	e := h.randomEndpoint(random)
	var links []*Link
	for _, i := range h.randomInstances(random) {
		links = append(links, i.endpointLinks[e.server.ID()])
	}
	return injectLinkFaults(links, randomLinkFaults(random))
}

// isolateEndpoint cuts an endpoint off from all instances and from its group.
func isolateEndpoint(h *Harness, random *rand.Rand, _ time.Duration) func() {
	return h.isolate(h.randomEndpoint(random))
}

// isolate cuts an endpoint off from all instances and from its group. The returned function
// ends this.
func (h *Harness) isolate(e *endpoint) func() {
	return h.isolateFrom(e, h.instances)
}

// isolateFrom cuts an endpoint off from some instances and from its group. The returned
// function ends this.
func (h *Harness) isolateFrom(e *endpoint, instances []*instance) func() {
	var links []*Link
	for _, i := range instances {
		links = append(links, i.endpointLinks[e.server.ID()])
	}
	restoreLinks := injectLinkFaults(links, LinkFaults{
		HoldToTarget:   true,
		HoldFromTarget: true,
	})
	restoreReplication := h.cutReplicationFrom(e)
	return func() {
		restoreReplication()
		restoreLinks()
	}
}

// cutReplicationFrom stops replication to all other endpoints of an endpoint's
// group. The returned function resumes it.
func (h *Harness) cutReplicationFrom(e *endpoint) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var others []*endpoint
	for _, o := range h.endpoints {
		if o.group == e.group && o != e {
			others = append(others, o)
			o.server.SetReplicationCut(true)
		}
	}
	return func() {
		for _, o := range others {
			o.server.SetReplicationCut(false)
		}
	}
}

func cutReplication(h *Harness, random *rand.Rand, _ time.Duration) func() {
	return h.cutReplicationFrom(h.randomEndpoint(random))
}

// dropStoreHistory drops the store's event history, which breaks the watches of
// older revisions.
func dropStoreHistory(h *Harness, _ *rand.Rand, _ time.Duration) func() {
	h.store.Compact()
	return func() {}
}

func resetConnections(h *Harness, random *rand.Rand, _ time.Duration) func() {
	for _, i := range h.randomInstances(random) {
		for _, l := range i.endpointLinks {
			if random.IntN(2) == 0 {
				l.Reset()
			}
		}
	}
	return func() {}
}

func crashEndpoint(h *Harness, random *rand.Rand, _ time.Duration) func() {
	e := h.randomEndpoint(random)
	if !h.reserve(e) {
		return func() {}
	}
	h.stopEndpoint(e)
	return func() {
		h.restartEndpoint(e)
		h.release(e)
	}
}

// loseReplies has an endpoint drop some of its replies and fail some statements.
func loseReplies(h *Harness, random *rand.Rand, _ time.Duration) func() {
	e := h.randomEndpoint(random)
	e.server.SetFaults(line.ServerFaults{
		LoseResponse: 0.1,
		FailRead:     0.05,
	})
	return func() {
		e.server.SetFaults(line.ServerFaults{})
	}
}

// flapEndpoint stops and restarts an endpoint repeatedly.
func flapEndpoint(h *Harness, random *rand.Rand, span time.Duration) func() {
	e := h.randomEndpoint(random)
	if !h.reserve(e) {
		return func() {}
	}
	defer h.release(e)
	for end := time.Now().Add(span); time.Now().Before(end); {
		h.stopEndpoint(e)
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		h.restartEndpoint(e)
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
	}
	return func() {}
}
