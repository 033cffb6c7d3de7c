package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

// Step is one disturbance of a plan.
type Step struct {
	// At is when it begins, counted from the start of the callers, and For how
	// long it lasts.
	At, For time.Duration
	// Name names its kind.
	Name string

	kind kind
	draw uint64
}

// kind is a kind of disturbance: it acts, and returns what ends it.
type kind struct {
	name string
	// planned is true for work that promises hold under.
	planned bool
	act     func(w *World, random *rand.Rand, span time.Duration) func()
}

var kinds = []kind{
	{"term", true, signals(syscall.SIGTERM)},
	{"hup", true, signals(syscall.SIGHUP)},
	{"configure", true, configures},
	{"release", true, releases},
	{"kill", false, signals(syscall.SIGKILL)},
	{"pause", false, pauses},
	{"herd", false, herds},
	{"store-status", false, failsStore(func(random *rand.Rand) objects.Faults {
		return objects.Faults{
			Status: []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)],
		}
	})},
	{"store-slow", false, failsStore(func(random *rand.Rand) objects.Faults {
		return objects.Faults{
			Delay: time.Duration(100+random.IntN(500)) * time.Millisecond,
		}
	})},
	{"store-loses", false, failsStore(func(random *rand.Rand) objects.Faults {
		return objects.Faults{
			LoseSome: 0.4,
			Late:     time.Duration(random.IntN(2)) * time.Duration(1000+random.IntN(4000)) * time.Millisecond,
		}
	})},
	{"store-link", false, failsStoreLinks},
	{"store-forgets", false, forgets},
	{"link", false, failsLinks},
	{"resets", false, resets},
	{"crash", false, crashes},
	{"dark", false, darkens},
	{"deaf", false, deafens},
	{"loses-answers", false, losesAnswers},
	{"flap", false, flaps},
}

// Plan draws a plan: steps in series that overlap. Every fourth seed has planned
// work alone, under which all promises hold.
func Plan(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	planned := seed%4 == 0
	var steps []Step
	for at := 1500 * time.Millisecond; at < length; at += time.Duration(300+random.IntN(1700)) * time.Millisecond {
		k := kinds[random.IntN(len(kinds))]
		for planned && !k.planned {
			k = kinds[random.IntN(len(kinds))]
		}
		steps = append(steps, Step{
			At:   at,
			For:  time.Duration(200+random.IntN(4500)) * time.Millisecond,
			Name: k.name,
			kind: k,
			draw: random.Uint64(),
		})
	}
	return steps
}

func (w *World) any(random *rand.Rand) *instance {
	return w.instances[random.IntN(len(w.instances))]
}

// some draws a part of the instances, at least one.
func (w *World) some(random *rand.Rand) []*instance {
	var drawn []*instance
	for _, i := range w.instances {
		if random.IntN(2) == 0 {
			drawn = append(drawn, i)
		}
	}
	if len(drawn) == 0 {
		drawn = append(drawn, w.any(random))
	}
	return drawn
}

func (w *World) anyEndpoint(random *rand.Rand) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[random.IntN(len(w.endpoints))]
	// Two times of three it is the primary of its group.
	if random.IntN(3) == 0 {
		return e
	}
	for _, o := range w.endpoints {
		if o.group == e.group && o.server.Leads() {
			return o
		}
	}
	return e
}

func signals(s syscall.Signal) func(*World, *rand.Rand, time.Duration) func() {
	return func(w *World, random *rand.Rand, _ time.Duration) func() {
		p := w.any(random).process
		p.Signal(s)
		return func() {}
	}
}

func configures(w *World, _ *rand.Rand, _ time.Duration) func() {
	w.configure()
	return func() {}
}

// releases replaces an endpoint: it says that it leaves, serves on for the span
// in which it may still be sent requests, ends, and starts anew.
func releases(w *World, random *rand.Rand, _ time.Duration) func() {
	e := w.anyEndpoint(random)
	if !w.reserve(e) {
		return func() {}
	}
	w.mu.Lock()
	e.leaving = true
	w.beat(e)
	e.leavingAt = time.Now()
	w.mu.Unlock()
	return func() {
		defer w.free(e)
		time.Sleep(time.Until(e.leavingAt.Add(drainSpan + time.Second)))
		w.mu.Lock()
		e.absent = true
		e.absentAt = time.Now()
		w.store.Delete("servers", e.server.ID())
		w.mu.Unlock()
		e.server.Stop()
		time.Sleep(restartDelay)
		w.restart(e)
	}
}

// reserve keeps an endpoint for one step that ends it, false while another of its
// group is reserved.
func (w *World) reserve(e *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.endpoints {
		if o.group == e.group && o.reserved {
			return false
		}
	}
	e.reserved = true
	return true
}

func (w *World) free(e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.reserved = false
}

// stop ends an endpoint without a word.
func (w *World) stop(e *endpoint) {
	w.mu.Lock()
	e.absent = true
	e.absentAt = time.Now()
	w.mu.Unlock()
	e.server.Stop()
}

// restart runs an endpoint again.
func (w *World) restart(e *endpoint) {
	if err := e.server.Restart(); err != nil {
		w.ledger.violatef("HARNESS: %s could not start again: %v", e.server.ID(), err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.absent = false
	e.leaving = false
	e.born = time.Now().UnixMilli()
	w.beat(e)
}

func pauses(w *World, random *rand.Rand, _ time.Duration) func() {
	drawn := w.some(random)[:1]
	for _, i := range drawn {
		i.process.Signal(syscall.SIGSTOP)
	}
	return func() {
		for _, i := range drawn {
			i.process.Signal(syscall.SIGCONT)
		}
	}
}

func herds(w *World, random *rand.Rand, _ time.Duration) func() {
	drawn := w.some(random)
	if random.IntN(3) == 0 {
		drawn = w.instances
	}
	for _, i := range drawn {
		i.process.Signal(syscall.SIGKILL)
	}
	return func() {}
}

func failsStore(draw func(*rand.Rand) objects.Faults) func(*World, *rand.Rand, time.Duration) func() {
	return func(w *World, random *rand.Rand, _ time.Duration) func() {
		drawn := w.some(random)
		if random.IntN(2) == 0 {
			drawn = w.instances
		}
		faults := draw(random)
		for _, i := range drawn {
			i.view.SetFaults(faults)
		}
		return func() {
			for _, i := range drawn {
				i.view.SetFaults(objects.Faults{})
			}
		}
	}
}

// drawLinkFaults draws what is wrong with a link.
func drawLinkFaults(random *rand.Rand) LinkFaults {
	return []LinkFaults{
		{Delay: time.Duration(20+random.IntN(300)) * time.Millisecond},
		{HoldThere: true},
		{HoldBack: true},
		{HoldThere: true, HoldBack: true},
		{Refuse: true},
	}[random.IntN(5)]
}

func inject(links []*Link, h LinkFaults) func() {
	for _, l := range links {
		l.SetFaults(h)
		if h.Refuse {
			l.Reset()
		}
	}
	return func() {
		for _, l := range links {
			l.SetFaults(LinkFaults{})
		}
	}
}

func failsStoreLinks(w *World, random *rand.Rand, _ time.Duration) func() {
	var links []*Link
	for _, i := range w.some(random) {
		links = append(links, i.store)
	}
	return inject(links, drawLinkFaults(random))
}

// failsLinks disturbs the ways from some instances to one endpoint.
func failsLinks(w *World, random *rand.Rand, _ time.Duration) func() {
	e := w.anyEndpoint(random)
	var links []*Link
	for _, i := range w.some(random) {
		links = append(links, i.links[e.server.ID()])
	}
	return inject(links, drawLinkFaults(random))
}

// darkens silences an endpoint for all instances, and its replicas.
func darkens(w *World, random *rand.Rand, _ time.Duration) func() {
	e := w.anyEndpoint(random)
	var links []*Link
	for _, i := range w.instances {
		links = append(links, i.links[e.server.ID()])
	}
	end := inject(links, LinkFaults{
		HoldThere: true,
		HoldBack:  true,
	})
	wake := w.deafen(e)
	return func() {
		wake()
		end()
	}
}

// deafen cuts an endpoint's group off from its primary.
func (w *World) deafen(e *endpoint) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var others []*endpoint
	for _, o := range w.endpoints {
		if o.group == e.group && o != e {
			others = append(others, o)
			o.server.SetDeaf(true)
		}
	}
	return func() {
		for _, o := range others {
			o.server.SetDeaf(false)
		}
	}
}

func deafens(w *World, random *rand.Rand, _ time.Duration) func() {
	return w.deafen(w.anyEndpoint(random))
}

func forgets(w *World, _ *rand.Rand, _ time.Duration) func() {
	w.store.Forget()
	return func() {}
}

func resets(w *World, random *rand.Rand, _ time.Duration) func() {
	for _, i := range w.some(random) {
		for _, l := range i.links {
			if random.IntN(2) == 0 {
				l.Reset()
			}
		}
	}
	return func() {}
}

func crashes(w *World, random *rand.Rand, _ time.Duration) func() {
	e := w.anyEndpoint(random)
	if !w.reserve(e) {
		return func() {}
	}
	w.stop(e)
	return func() {
		w.restart(e)
		w.free(e)
	}
}

func losesAnswers(w *World, random *rand.Rand, _ time.Duration) func() {
	e := w.anyEndpoint(random)
	e.server.SetFaults(line.ServerFaults{
		LoseAnswer: 0.1,
		Fail:       0.05,
	})
	return func() {
		e.server.SetFaults(line.ServerFaults{})
	}
}

// flaps has an endpoint end and start by turns.
func flaps(w *World, random *rand.Rand, span time.Duration) func() {
	e := w.anyEndpoint(random)
	if !w.reserve(e) {
		return func() {}
	}
	defer w.free(e)
	for end := time.Now().Add(span); time.Now().Before(end); {
		w.stop(e)
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		w.restart(e)
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
	}
	return func() {}
}
