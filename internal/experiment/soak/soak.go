package soak

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"rosemarylb/internal/process/duty"
)

// discard takes what the stand-in's server logs of calls that were cut off.
var discard = log.New(io.Discard, "", 0)

// Options are what a run is made of.
type Options struct {
	// Program is the path of the program that instances run.
	Program string
	// Folder takes settings and the instances' output.
	Folder string
	// Seed draws the plan and what callers do.
	Seed uint64
	// Length is for how long things are disturbed.
	Length time.Duration
	// Instances, Groups and Callers are how many there are.
	Instances, Groups, Callers int
}

// Report is what came of a run.
type Report struct {
	// Seed is the run's seed.
	Seed uint64
	// Steps is the plan.
	Steps []Step
	// Codes counts answers by code, OK for successes.
	Codes map[string]int
	// Wrong are the broken promises.
	Wrong []string
}

// String describes the run, with the plan if something was found wrong.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d wrong; answers %v", r.Seed, len(r.Wrong), r.Codes)
	if len(r.Wrong) == 0 {
		return b.String()
	}
	for _, s := range r.Steps {
		fmt.Fprintf(&b, "\n  step %.2f s, %.2f s long: %s", s.At.Seconds(), s.For.Seconds(), s.Name)
	}
	for _, text := range r.Wrong[:min(len(r.Wrong), shownLimit)] {
		fmt.Fprintf(&b, "\n  wrong at %s", text)
	}
	return b.String()
}

// shownLimit is how many broken promises a report shows.
const shownLimit = 12

// startSpan bounds the start of all instances.
const startSpan = 15 * time.Second

// auditInterval is the time between two comparisons.
const auditInterval = 4 * time.Second

// Run plays one run.
func Run(o Options) (Report, error) {
	w, stop, err := newWorld(o)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	w.await(startSpan, "START", w.instances, (*instance).ready)
	w.ledger.begun = time.Now()
	var callers sync.WaitGroup
	for c := range o.Callers {
		callers.Go(func() {
			w.call(rand.New(rand.NewPCG(o.Seed, uint64(c)+2)))
		})
	}
	steps := Plan(o.Seed, o.Length)
	auditing := make(chan struct{})
	waitAudits := duty.Spawn(func() {
		w.auditing(auditing)
	})
	w.play(steps)
	w.recover()
	w.ending.Store(true)
	callers.Wait()
	close(auditing)
	waitAudits()
	w.ledger.audit(w.groups)
	w.ledger.auditOrders(w.store.Orders())
	w.auditDrains()
	return Report{
		Seed:  o.Seed,
		Steps: steps,
		Codes: w.ledger.codes,
		Wrong: w.ledger.wrong,
	}, nil
}

// auditing compares and probes configurations until it is stopped.
func (w *World) auditing(stop <-chan struct{}) {
	audits := time.NewTicker(auditInterval)
	defer audits.Stop()
	probes := time.NewTicker(auditInterval / 10)
	defer probes.Stop()
	known := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-audits.C:
			w.ledger.audit(w.groups)
		case <-probes.C:
			for _, i := range w.instances {
				w.probe(i, known)
			}
		}
	}
}

// probe looks whether an instance still has a configuration that it had.
func (w *World) probe(i *instance, known map[string]int) {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	incarnation := fmt.Sprint(i.name, " ", i.process.Starts())
	route := versionRoute(version)
	s, err := w.open(i, route, w.names[0], 0, rand.New(rand.NewPCG(w.seed, 0)))
	if err == nil {
		s.close()
		known[incarnation] = version
		return
	}
	w.mu.Lock()
	same := w.version == version
	w.mu.Unlock()
	if isRefused(err) && same && known[incarnation] == version && incarnation == fmt.Sprint(i.name, " ", i.process.Starts()) {
		w.ledger.violatef("CONFIG: %s lost route %s, which it had", i.name, route)
	}
}

// isRefused reports whether a session was refused for the name of its
// database.
func isRefused(err error) bool {
	return err != nil && err.Error() == "NODB: "+errWelcome.Error()
}

// play carries out a plan.
func (w *World) play(steps []Step) {
	var under sync.WaitGroup
	begun := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(begun.Add(s.At)))
		under.Go(func() {
			if !s.kind.planned {
				defer w.disturb()()
			}
			random := rand.New(rand.NewPCG(s.draw, 0))
			end := s.kind.act(w, random, s.For)
			time.Sleep(time.Until(begun.Add(s.At + s.For)))
			end()
		})
	}
	under.Wait()
}

// recover waits until every instance serves every group by every kind of route,
// under the last configuration.
func (w *World) recover() {
	end := time.Now().Add(recoverSpan)
	random := rand.New(rand.NewPCG(w.seed, 1<<32))
	var left []func() string
	for _, i := range w.instances {
		for _, g := range w.names {
			for kind := range routeKinds {
				left = append(left, func() string { return w.serves(i, g, kind, random) })
			}
		}
		left = append(left, func() string { return w.configured(i, random) })
	}
	for len(left) > 0 && time.Now().Before(end) {
		var rest []func() string
		for _, check := range left {
			if check() != "" {
				rest = append(rest, check)
			}
		}
		left = rest
		time.Sleep(100 * time.Millisecond)
	}
	for _, check := range left {
		if what := check(); what != "" {
			w.ledger.violatef("RECOVER: %s, %s after the last fault", what, recoverSpan)
		}
	}
}

// serves reports what an instance doesn't serve, empty for nothing.
func (w *World) serves(i *instance, group string, kind int, random *rand.Rand) string {
	what := fmt.Sprintf("%s doesn't serve %s by %s", i.name, group, routeKinds[kind].name)
	s, err := w.connect(i, group, kind, random)
	if err != nil {
		return what + ": " + err.Error()
	}
	defer s.close()
	if served, _ := s.write(); !served {
		return what + ": write"
	}
	if served, _ := s.read(); !served {
		return what + ": read"
	}
	return ""
}

// configured reports whether an instance has another configuration than the
// last one, empty if it has that.
func (w *World) configured(i *instance, random *rand.Rand) string {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	s, err := w.open(i, versionRoute(version), w.names[0], 0, random)
	if err != nil {
		return i.name + " lacks " + versionRoute(version) + ": " + err.Error()
	}
	s.close()
	s, err = w.open(i, versionRoute(version-6), w.names[0], 0, random)
	if err == nil {
		s.close()
		return i.name + " still has " + versionRoute(version-6)
	}
	if !isRefused(err) {
		return i.name + " doesn't refuse " + versionRoute(version-6) + ": " + err.Error()
	}
	return ""
}

// await waits until all instances are in some state.
func (w *World) await(span time.Duration, rule string, all []*instance, is func(*instance) bool) {
	end := time.Now().Add(span)
	for _, i := range all {
		for !is(i) {
			if time.Now().After(end) {
				w.ledger.violatef("%s: %s isn't ready after %s", rule, i.name, span)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// auditDrains looks for requests that were sent to an endpoint long after it
// said that it leaves, in runs in which nothing was disturbed.
func (w *World) auditDrains() {
	if !w.disturbedAt.IsZero() {
		return
	}
	for _, e := range w.endpoints {
		first := map[int]bool{}
		for _, r := range w.groups[e.group].Runs() {
			begins := !first[r.Transaction]
			first[r.Transaction] = true
			late := r.At.After(e.leavingAt.Add(drainSpan)) && r.At.Before(e.leavingAt.Add(drainSpan+time.Second))
			if !e.leavingAt.IsZero() && r.Server == e.server.ID() && begins && late {
				w.ledger.violatef("DRAIN: %s ran at %s, %d ms after it said that it leaves", r.ID, r.Server,
					r.At.Sub(e.leavingAt).Milliseconds())
			}
		}
	}
}
