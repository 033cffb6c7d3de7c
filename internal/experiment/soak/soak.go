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

// discardLogger drops the HTTP server's messages about interrupted requests.
var discardLogger = log.New(io.Discard, "", 0)

// Options are the settings of a run.
type Options struct {
	// Program is the path of the executable that instances run.
	Program string
	// Folder is the directory for settings files and the instances' output.
	Folder string
	// Seed makes the plan and the operations of callers reproducible.
	Seed uint64
	// Length is the time during which steps of the plan begin.
	Length time.Duration
	// Instances, Groups and Callers are the numbers of processes, replication groups
	// and concurrent callers.
	Instances, Groups, Callers int
	// Restores adds restores of the store from older copies to the plan.
	Restores bool
	// DarkPrimaries adds steps in which an endpoint goes dark as it is promoted.
	DarkPrimaries bool
	// DeposedHolders adds steps in which the holder of the lease is deposed by instances that
	// the store serves, while it does not serve the holder. Requests between instances then
	// pass through links.
	DeposedHolders bool
	// SyncReplicas has the groups acknowledge commits once a replica has received them,
	// and adds to the plan primaries that crash while a replica drains.
	SyncReplicas bool
}

// Report is the result of a run.
type Report struct {
	// Seed is the run's seed.
	Seed uint64
	// Steps is the plan.
	Steps []Step
	// ReplyCounts counts replies by error code, OK for successes.
	ReplyCounts map[string]int
	// Violations lists the violations of guarantees, with the time of each.
	Violations []string
}

// String returns the counts, followed by the plan and the first violations if
// there are any.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d violations; replies %v", r.Seed, len(r.Violations), r.ReplyCounts)
	if len(r.Violations) == 0 {
		return b.String()
	}
	for _, s := range r.Steps {
		fmt.Fprintf(&b, "\n  step at %.2f s for %.2f s: %s", s.Offset.Seconds(), s.Duration.Seconds(), s.Name)
	}
	for _, text := range r.Violations[:min(len(r.Violations), maxShownViolations)] {
		fmt.Fprintf(&b, "\n  violation at %s", text)
	}
	return b.String()
}

// maxShownViolations is the number of violations that a report prints.
const maxShownViolations = 12

// startTimeout bounds the wait for all instances to become ready.
const startTimeout = 15 * time.Second

// auditInterval is the time between two audits during a run.
const auditInterval = 4 * time.Second

// Run starts a harness, carries out the plan of a seed under the load of the
// callers, waits for recovery and audits the result. It returns an error if the
// harness can't start.
func Run(o Options) (Report, error) {
	h, stop, err := newHarness(o)
	if err != nil {
		return Report{}, err
	}
	defer stop()
	h.awaitInstances(startTimeout, "START", h.instances, (*instance).isReady)
	h.recorder.startedAt = time.Now()
	var callers sync.WaitGroup
	for c := range o.Callers {
		callers.Go(func() {
			h.runCaller(rand.New(rand.NewPCG(o.Seed, uint64(c)+2)))
		})
	}
	steps := Plan(o.Seed, o.Length)
	if o.Restores {
		steps = withRestores(steps, o.Seed, o.Length)
	}
	if o.DarkPrimaries {
		steps = withDarkPrimaries(steps, o.Seed, o.Length)
	}
	if o.DeposedHolders {
		steps = withDeposedHolders(steps, o.Seed, o.Length)
	}
	if o.SyncReplicas {
		steps = withDrainingReplicas(steps, o.Seed, o.Length)
	}
	stopAudits := make(chan struct{})
	waitAudits := duty.Spawn(func() {
		h.auditPeriodically(stopAudits)
	})
	h.runPlan(steps)
	h.awaitRecovery()
	h.stopping.Store(true)
	callers.Wait()
	close(stopAudits)
	waitAudits()
	h.recorder.audit(h.groups)
	h.recorder.auditPromotions(h.store.PromotionRequests())
	h.auditDrains()
	return Report{
		Seed:        o.Seed,
		Steps:       steps,
		ReplyCounts: h.recorder.replyCounts,
		Violations:  h.recorder.violations,
	}, nil
}

// auditPeriodically audits the run and probes the instances' configurations until
// stop is closed.
func (h *Harness) auditPeriodically(stop <-chan struct{}) {
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
			h.recorder.audit(h.groups)
		case <-probes.C:
			for _, i := range h.instances {
				h.probeConfig(i, known)
			}
		}
	}
}

// probeConfig checks that an instance still has the configuration that it had
// applied before. known holds the last version seen in each incarnation of an instance.
func (h *Harness) probeConfig(i *instance, known map[string]int) {
	h.mu.Lock()
	version := h.configVersion
	h.mu.Unlock()
	incarnation := fmt.Sprint(i.name, " ", i.process.Starts())
	route := versionRoute(version)
	s, err := h.connectDatabase(i, route, h.groupNames[0], 0, rand.New(rand.NewPCG(h.seed, 0)))
	if err == nil {
		s.close()
		known[incarnation] = version
		return
	}
	h.mu.Lock()
	unchanged := h.configVersion == version
	h.mu.Unlock()
	if isRefused(err) && unchanged && known[incarnation] == version && incarnation == fmt.Sprint(i.name, " ", i.process.Starts()) {
		h.recorder.recordViolationf("CONFIG: %s refuses route %s, which it has served", i.name, route)
	}
}

// isRefused reports whether a session was refused because no route has the name of
// its database.
func isRefused(err error) bool {
	return err != nil && err.Error() == "NODB: "+errSessionRefused.Error()
}

// runPlan carries out the steps of a plan and waits for their ends.
func (h *Harness) runPlan(steps []Step) {
	var running sync.WaitGroup
	startedAt := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(startedAt.Add(s.Offset)))
		running.Go(func() {
			if !s.kind.isMaintenance {
				defer h.beginFault()()
			}
			random := rand.New(rand.NewPCG(s.seed, 0))
			endStep := s.kind.begin(h, random, s.Duration)
			time.Sleep(time.Until(startedAt.Add(s.Offset + s.Duration)))
			endStep()
		})
	}
	running.Wait()
}

// awaitRecovery waits until every instance serves every group on every kind of
// route, under the last configuration, and reports what is missing after
// recoveryTimeout.
func (h *Harness) awaitRecovery() {
	end := time.Now().Add(recoveryTimeout)
	random := rand.New(rand.NewPCG(h.seed, 1<<32))
	var pending []func() string
	for _, i := range h.instances {
		for _, g := range h.groupNames {
			for kind := range routeKinds {
				pending = append(pending, func() string { return h.checkService(i, g, kind, random) })
			}
		}
		pending = append(pending, func() string { return h.checkConfig(i, random) })
	}
	for len(pending) > 0 && time.Now().Before(end) {
		var failing []func() string
		for _, check := range pending {
			if check() != "" {
				failing = append(failing, check)
			}
		}
		pending = failing
		time.Sleep(100 * time.Millisecond)
	}
	for _, check := range pending {
		if failure := check(); failure != "" {
			h.recorder.recordViolationf("RECOVER: %s, %s after the last fault", failure, recoveryTimeout)
		}
	}
}

// checkService tries a write and a read on one route of an instance. It returns
// the failure, empty if both succeed.
func (h *Harness) checkService(i *instance, group string, kind int, random *rand.Rand) string {
	prefix := fmt.Sprintf("%s doesn't serve %s on a %s route", i.name, group, routeKinds[kind].name)
	s, err := h.connectRoute(i, group, kind, random)
	if err != nil {
		return prefix + ": " + err.Error()
	}
	defer s.close()
	if succeeded, _ := s.write(); !succeeded {
		return prefix + ": write"
	}
	if succeeded, _ := s.read(); !succeeded {
		return prefix + ": read"
	}
	return ""
}

// checkConfig checks that an instance serves the route of the last version and no
// longer that of two versions before. It returns the failure, empty for none.
func (h *Harness) checkConfig(i *instance, random *rand.Rand) string {
	h.mu.Lock()
	version := h.configVersion
	h.mu.Unlock()
	s, err := h.connectDatabase(i, versionRoute(version), h.groupNames[0], 0, random)
	if err != nil {
		return i.name + " lacks " + versionRoute(version) + ": " + err.Error()
	}
	s.close()
	s, err = h.connectDatabase(i, versionRoute(version-6), h.groupNames[0], 0, random)
	if err == nil {
		s.close()
		return i.name + " still has " + versionRoute(version-6)
	}
	if !isRefused(err) {
		return i.name + " doesn't refuse " + versionRoute(version-6) + ": " + err.Error()
	}
	return ""
}

// awaitInstances waits until all instances meet a condition, and records a
// violation with the code for each that doesn't within the time.
func (h *Harness) awaitInstances(span time.Duration, code string, all []*instance, condition func(*instance) bool) {
	end := time.Now().Add(span)
	for _, i := range all {
		for !condition(i) {
			if time.Now().After(end) {
				h.recorder.recordViolationf("%s: %s isn't ready after %s", code, i.name, span)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// auditDrains checks that no transaction began at a draining endpoint in the second
// between drainPeriod and its stop. It checks runs without faults only.
func (h *Harness) auditDrains() {
	if !h.lastFaultEndedAt.IsZero() {
		return
	}
	for _, e := range h.endpoints {
		seen := map[int]bool{}
		for _, r := range h.groups[e.group].Executions() {
			begins := !seen[r.Transaction]
			seen[r.Transaction] = true
			late := r.RanAt.After(e.drainingSince.Add(drainPeriod)) && r.RanAt.Before(e.drainingSince.Add(drainPeriod+time.Second))
			if !e.drainingSince.IsZero() && r.Server == e.server.ID() && begins && late {
				h.recorder.recordViolationf("DRAIN: %s ran at %s, %d ms after the endpoint began to drain", r.ID, r.Server,
					r.RanAt.Sub(e.drainingSince).Milliseconds())
			}
		}
	}
}
