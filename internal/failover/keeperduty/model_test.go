package keeperduty

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/permit"
)

var (
	modelSeed  = flag.Uint64("model-seed", 1, "first seed of the simulation")
	modelCount = flag.Int("model-count", 20, "number of consecutive seeds to simulate")
)

const (
	modelStep      = 20 * time.Millisecond
	modelDuration  = 45 * time.Second
	modelGroup     = rosemarylb.DatabaseName("g")
	modelInstances = 5
	// modelHolderSilence is the time without an answer of the holder after which an instance
	// takes permits from the record, or asks seeds.
	modelHolderSilence = 250 * time.Millisecond
	// modelStopTime is how long a process runs on after a planned stop has begun.
	modelStopTime = 4 * time.Second
	// modelMaxQueueTime is the longest time that a promotion waits behind others.
	modelMaxQueueTime = 3 * time.Second
)

// TestNoCommitAtAReplacedPrimaryAndNoStaleRead simulates keepers, instances, a store
// and endpoints under random faults: pauses, kills, planned stops, network partitions,
// lost and late answers, and outages of the store. Instances commit and read at the primary that
// they hold a permit for. Permits for two primaries at the same time, a commit
// acknowledged by a replaced primary, a read that misses an acknowledged commit, two
// holders of one token or a token that decreases fails the test.
func TestNoCommitAtAReplacedPrimaryAndNoStaleRead(t *testing.T) {
	promotions, commits, holders := 0, 0, 0
	for seed := *modelSeed; seed < *modelSeed+uint64(*modelCount); seed++ {
		s := newSimulation(seed)
		s.run()
		s.requireNoViolation(t, "model-count")
		promotions += s.promotions
		commits += s.commits
		holders += len(s.holderByToken)
	}
	if promotions < *modelCount/4 || commits < 50**modelCount || holders < *modelCount {
		t.Errorf("got %d promotions, %d commits and %d holders in %d runs, too few to exercise failover",
			promotions, commits, holders, *modelCount)
	}
}

// simulation is the state of one run. The store holds a single record, at revision.
type simulation struct {
	seed        uint64
	random      *rand.Rand
	now         time.Time
	instances   []*simulatedInstance
	endpoints   []*simulatedEndpoint
	leader      *simulatedEndpoint
	record      keeper.Record
	revision    uint64
	restores    storeRestores
	replication modelReplication
	darkness    modelDarkness
	network     modelNetwork
	// calm is true once no more faults begin.
	calm           bool
	storeDownUntil time.Time
	scheduled      []scheduledCall
	acknowledged   map[int]bool
	lastCommit     int
	highestToken   uint64
	holderByToken  map[uint64]rosemarylb.InstanceID
	promotions     int
	commits        int
	violations     []string
	recentEvents   []string
}

// scheduledCall is a function to run at a simulated time.
type scheduledCall struct {
	at  time.Time
	run func()
}

// simulatedInstance is an instance with its keeper and its permit. Its callbacks run
// at its next step.
type simulatedInstance struct {
	id            rosemarylb.InstanceID
	process       uint64
	keeper        keeper.Keeper
	witness       *Witness
	permit        rosemarylb.Permit
	pausedUntil   time.Time
	downUntil     time.Time
	storeCutUntil time.Time
	// storeAnswersCutUntil is until when the instance's writes take effect but their
	// answers are lost.
	storeAnswersCutUntil time.Time
	instanceCutUntil     map[rosemarylb.InstanceID]time.Time
	endpointCutUntil     map[rosemarylb.EndpointID]time.Time
	nextRequestAt        time.Time
	nextOperationAt      time.Time
	nextDeposeAt         time.Time
	storeAnsweredAt      time.Time
	notification         keeper.Notification
	// hint is the holder that a seed has named, with its token alone.
	hint     keeper.Record
	nextSeed int
	// support is the last answer of a holder that the instance has accepted.
	support keeper.Support
	// latest is the record of the latest holder that the instance knows of.
	latest    keeper.Record
	callbacks []func()
}

// simulatedEndpoint is an endpoint; its log lists the numbers of commits.
type simulatedEndpoint struct {
	id                  rosemarylb.EndpointID
	primary             bool
	term                rosemarylb.Term
	leaving             bool
	log                 []int
	downUntil           time.Time
	replicationCutUntil time.Time
}

func newSimulation(seed uint64) *simulation {
	return newSimulationOf(seed, modelInstances)
}

// newSimulationOf returns a simulation with a number of instances.
func newSimulationOf(seed uint64, instances int) *simulation {
	s := &simulation{
		seed:          seed,
		random:        rand.New(rand.NewPCG(seed, 7)),
		now:           time.Unix(1000, 0),
		acknowledged:  map[int]bool{},
		holderByToken: map[uint64]rosemarylb.InstanceID{},
		restores:      newStoreRestores(seed),
		replication:   newModelReplication(seed),
		darkness:      newModelDarkness(seed),
		network:       newModelNetwork(seed),
	}
	for i := range 3 {
		s.endpoints = append(s.endpoints, &simulatedEndpoint{
			id:      rosemarylb.EndpointID("e" + strconv.Itoa(i)),
			primary: i == 0,
			term:    1,
		})
	}
	s.leader = s.endpoints[0]
	for i := range instances {
		instance := &simulatedInstance{
			id: rosemarylb.InstanceID("i" + strconv.Itoa(i)),
		}
		s.instances = append(s.instances, instance)
		s.startProcess(instance)
	}
	return s
}

// endpointSpecs returns the endpoints as they are registered.
func (s *simulation) endpointSpecs() []rosemarylb.EndpointSpec {
	var specs []rosemarylb.EndpointSpec
	for _, endpoint := range s.endpoints {
		if s.replication.unlisted[endpoint.id] {
			continue
		}
		specs = append(specs, rosemarylb.EndpointSpec{
			ID:       endpoint.id,
			Database: modelGroup,
			Address:  string(endpoint.id),
			Leaving:  endpoint.leaving,
		})
	}
	return specs
}

// startProcess replaces an instance's process by one without any state.
func (s *simulation) startProcess(instance *simulatedInstance) {
	instance.process = s.random.Uint64()
	instance.keeper = keeper.NewKeeper(instance.id, instance.process, string(instance.id)).
		WithEndpoints(s.endpointSpecs()).
		WithCatalog(s.replication.catalog())
	instance.witness = &Witness{}
	instance.permit = rosemarylb.Permit{}
	instance.notification = keeper.Notification{}
	instance.support = keeper.Support{}
	instance.hint = keeper.Record{}
	instance.latest = keeper.Record{}
	instance.callbacks = nil
	instance.instanceCutUntil = map[rosemarylb.InstanceID]time.Time{}
	instance.endpointCutUntil = map[rosemarylb.EndpointID]time.Time{}
}

// logEvent keeps the last 40 events for the report of a failed run.
func (s *simulation) logEvent(text string) {
	s.recentEvents = append(s.recentEvents, s.now.Sub(time.Unix(1000, 0)).String()+" "+text)
	if len(s.recentEvents) > 40 {
		s.recentEvents = s.recentEvents[1:]
	}
}

// requireNoViolation fails the test with the first violation of the run, the events before
// it, and the arguments that repeat it. countFlag is the test's flag for the number of seeds.
func (s *simulation) requireNoViolation(t *testing.T, countFlag string) {
	t.Helper()
	if len(s.violations) == 0 {
		return
	}
	t.Fatalf("seed %d: %v\n%s\nreproduce with -args -model-seed %d -%s 1", s.seed, s.violations[0],
		strings.Join(s.recentEvents, "\n"), s.seed, countFlag)
}

// reportViolation ends the run as failed.
func (s *simulation) reportViolation(text string) {
	s.violations = append(s.violations, s.now.Sub(time.Unix(1000, 0)).String()+": "+text)
}

// schedule runs a function after a random delay below maxDelay.
func (s *simulation) schedule(maxDelay time.Duration, run func()) {
	s.scheduled = append(s.scheduled, scheduledCall{
		at:  s.now.Add(time.Duration(s.random.Int64N(int64(maxDelay)))),
		run: run,
	})
}

// callbackRunner returns a function that queues callbacks for an instance. They run
// once the instance is neither paused nor down, and are dropped if its process has
// been replaced by then.
func callbackRunner(instance *simulatedInstance) func(callback func()) {
	process := instance.process
	return func(callback func()) {
		instance.callbacks = append(instance.callbacks, func() {
			if instance.process == process {
				callback()
			}
		})
	}
}

func (s *simulation) run() { s.advance(modelDuration) }

// advance runs the simulation for a time, or until a violation.
func (s *simulation) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for s.now.Before(end) && len(s.violations) == 0 {
		s.now = s.now.Add(modelStep)
		if !s.calm {
			s.injectFault()
			s.injectRestore()
			s.injectReplicationFault()
			s.injectDisturbance()
		}
		s.updateListing()
		s.replicate()
		due := s.scheduled
		s.scheduled = nil
		for _, call := range due {
			if call.at.After(s.now) {
				s.scheduled = append(s.scheduled, call)
				continue
			}
			call.run()
		}
		for _, instance := range s.instances {
			s.step(instance)
		}
		s.checkPermits()
		s.checkHolders()
	}
}

// checkPermits checks that all valid permits name the same primary and term. Otherwise
// one instance commits at the new primary while another reads from the old one.
func (s *simulation) checkPermits() {
	var valid rosemarylb.Permit
	for _, instance := range s.instances {
		p := instance.permit
		if !p.ValidFor(p.Term, s.now) {
			continue
		}
		if valid.Primary != "" && (p.Primary != valid.Primary || p.Term != valid.Term) {
			s.reportViolation("permits for " + string(valid.Primary) + " and " + string(p.Primary) + " at the same time")
			return
		}
		valid = p
	}
}

// injectFault starts a random fault in one of 40 steps on average. Half of the faults
// of instances hit the holder of the lease.
func (s *simulation) injectFault() {
	if s.random.IntN(40) != 0 {
		return
	}
	instance := s.instances[s.random.IntN(len(s.instances))]
	if holder := s.record.Holder; s.random.IntN(2) == 0 && holder != "" {
		instance = s.instance(holder)
	}
	endpoint := s.endpoints[s.random.IntN(len(s.endpoints))]
	duration := time.Duration(s.random.Int64N(int64(6 * time.Second)))
	switch s.random.IntN(10) {
	case 0:
		s.logEvent(string(instance.id) + " paused for " + duration.String())
		instance.pausedUntil = s.now.Add(duration)
	case 1:
		s.logEvent(string(instance.id) + " killed")
		instance.downUntil = s.now.Add(duration / 4)
		s.startProcess(instance)
	case 2, 3:
		s.logEvent(string(instance.id) + " without store for " + duration.String())
		instance.storeCutUntil = s.now.Add(duration)
	case 4:
		other := s.instances[s.random.IntN(len(s.instances))]
		instance.instanceCutUntil[other.id] = s.now.Add(duration)
		other.instanceCutUntil[instance.id] = s.now.Add(duration)
	case 5:
		instance.endpointCutUntil[endpoint.id] = s.now.Add(duration)
	case 6:
		endpoint.downUntil = s.now.Add(duration)
	case 7:
		endpoint.replicationCutUntil = s.now.Add(duration)
	case 8:
		if s.random.IntN(3) == 0 {
			s.storeDownUntil = s.now.Add(duration)
		}
	case 9:
		s.logEvent(string(instance.id) + " stops")
		s.stop(instance)
		if s.random.IntN(2) == 0 {
			s.logEvent(string(instance.id) + " without answers of the store for " + duration.String())
			instance.storeAnswersCutUntil = s.now.Add(duration)
		}
		if s.random.IntN(2) == 0 {
			s.replacePrimary(duration)
		}
	}
}

// stop lets an instance release its lease, and replaces its process modelStopTime later.
func (s *simulation) stop(instance *simulatedInstance) {
	process := instance.process
	instance.keeper = instance.keeper.WithShutdown()
	s.scheduled = append(s.scheduled, scheduledCall{
		at: s.now.Add(modelStopTime),
		run: func() {
			if instance.process == process {
				s.startProcess(instance)
			}
		},
	})
}

// replacePrimary marks the primary as leaving for a time, so that a live primary is
// replaced.
func (s *simulation) replacePrimary(duration time.Duration) {
	leaving := s.latestPrimary()
	s.logEvent(string(leaving.id) + " is leaving for " + duration.String())
	leaving.leaving = true
	s.registerEndpoints()
	s.scheduled = append(s.scheduled, scheduledCall{
		at: s.now.Add(duration),
		run: func() {
			leaving.leaving = false
			s.registerEndpoints()
		},
	})
}

// registerEndpoints makes the endpoints' registrations known to all keepers.
func (s *simulation) registerEndpoints() {
	for _, instance := range s.instances {
		instance.keeper = instance.keeper.WithEndpoints(s.endpointSpecs())
	}
}

func (s *simulation) instance(id rosemarylb.InstanceID) *simulatedInstance {
	for _, instance := range s.instances {
		if instance.id == id {
			return instance
		}
	}
	return s.instances[0]
}

func (s *simulation) endpoint(id rosemarylb.EndpointID) *simulatedEndpoint {
	for _, endpoint := range s.endpoints {
		if endpoint.id == id {
			return endpoint
		}
	}
	return nil
}

// latestPrimary returns the endpoint that leads the latest term, also after it has
// stepped down: a primary of an earlier term leads nothing, and the next promotion is
// one to a later term.
func (s *simulation) latestPrimary() *simulatedEndpoint {
	return s.leader
}

// replicate copies the latest primary's log to the endpoints that reach it. A former
// primary becomes a replica in one of 40 steps on average.
func (s *simulation) replicate() {
	primary := s.latestPrimary()
	if !primary.primary || s.now.Before(primary.downUntil) || s.isDark(primary.id) {
		return
	}
	for _, endpoint := range s.endpoints {
		if endpoint == primary || s.now.Before(endpoint.downUntil) || s.isDark(endpoint.id) ||
			s.now.Before(endpoint.replicationCutUntil) || s.random.IntN(3) == 0 {
			continue
		}
		if endpoint.primary && s.random.IntN(40) != 0 {
			continue
		}
		endpoint.primary = false
		endpoint.term = primary.term
		endpoint.log = s.replication.received(endpoint, primary)
	}
}

// step runs an instance's callbacks and the keeper's decision, and starts the requests
// that are due.
func (s *simulation) step(instance *simulatedInstance) {
	if s.now.Before(instance.pausedUntil) || s.now.Before(instance.downUntil) {
		return
	}
	callbacks := instance.callbacks
	instance.callbacks = nil
	for _, callback := range callbacks {
		callback()
	}
	var decision keeper.Decision
	instance.keeper, decision = instance.keeper.Decide(s.now)
	s.execute(instance, decision)
	for _, event := range decision.LogEvents {
		s.restores.countLogEvent(event)
		s.logEvent(string(instance.id) + " " + event.Event + " " + string(event.Endpoint) + " " + event.Reason)
	}
	if !s.now.Before(instance.nextRequestAt) {
		instance.nextRequestAt = s.now.Add(120 * time.Millisecond)
		s.requestPermit(instance)
	}
	if !s.now.Before(instance.nextOperationAt) {
		instance.nextOperationAt = s.now.Add(60 * time.Millisecond)
		s.runOperation(instance)
	}
}

// execute carries out a keeper's decision.
func (s *simulation) execute(instance *simulatedInstance, decision keeper.Decision) {
	if decision.Write != nil {
		s.writeRecord(instance, *decision.Write)
	}
	if decision.Read {
		s.readRecord(instance, func(record keeper.Record, version rosemarylb.Version) {
			instance.keeper = instance.keeper.WithRecord(record, version, s.now)
		}, func() {
			instance.keeper = instance.keeper.WithReadUnanswered(s.now)
		})
	}
	for _, promotion := range decision.Promotions {
		s.promote(instance, promotion)
	}
	for _, query := range decision.Queries {
		s.queryEndpoint(instance, query)
	}
}

func (s *simulation) storeReachable(instance *simulatedInstance) bool {
	return !s.now.Before(s.storeDownUntil) && !s.now.Before(instance.storeCutUntil)
}

// writeRecord writes the record. The write may be lost, applied without an answer, or
// applied up to 6 seconds later if its revision still matches.
func (s *simulation) writeRecord(instance *simulatedInstance, write keeper.Write) {
	onInstance := callbackRunner(instance)
	unanswered := func() {
		s.schedule(storeTimeout, func() {
			onInstance(func() { instance.keeper = instance.keeper.WithWriteUnanswered(s.now) })
		})
	}
	if !s.storeReachable(instance) {
		if s.random.IntN(3) == 0 {
			s.schedule(6*time.Second, func() { s.applyWrite(write) })
		}
		unanswered()
		return
	}
	s.schedule(60*time.Millisecond, func() {
		applied := s.applyWrite(write)
		if s.now.Before(instance.storeAnswersCutUntil) || s.random.IntN(12) == 0 {
			unanswered()
			return
		}
		record, version := s.record, s.version()
		s.schedule(60*time.Millisecond, func() {
			onInstance(func() {
				instance.storeAnsweredAt = s.now
				if applied {
					instance.keeper = instance.keeper.WithWriteConfirmed(version, s.now)
					return
				}
				instance.keeper = instance.keeper.WithWriteConflict(record, version, s.now)
			})
		})
	})
}

// applyWrite replaces the record if the write's revision is the current one.
func (s *simulation) applyWrite(write keeper.Write) bool {
	if write.Replaces.Revision != s.revision {
		return false
	}
	s.revision++
	s.record = write.Record
	s.restores.keepCopy(s.now, s.record, s.revision)
	return true
}

// readRecord reads the record and calls one of the two functions in the instance.
func (s *simulation) readRecord(
	instance *simulatedInstance, onRecord func(keeper.Record, rosemarylb.Version), onFailure func(),
) {
	onInstance := callbackRunner(instance)
	if !s.storeReachable(instance) || s.now.Before(instance.storeAnswersCutUntil) {
		s.schedule(time.Second, func() { onInstance(onFailure) })
		return
	}
	s.schedule(60*time.Millisecond, func() {
		record, version := s.record, s.version()
		s.schedule(60*time.Millisecond, func() {
			onInstance(func() {
				instance.storeAnsweredAt = s.now
				instance.observe(record, version, s.now)
				onRecord(record, version)
			})
		})
	})
}

// promote queues a promotion, as the ring of the duty that sends promotions does. One
// in four waits there behind those of other groups, and all do while the instance is
// paused.
func (s *simulation) promote(instance *simulatedInstance, promotion rosemarylb.Promotion) {
	onInstance := callbackRunner(instance)
	wait := modelStep
	if s.random.IntN(4) == 0 {
		wait = modelMaxQueueTime
	}
	s.schedule(wait, func() {
		onInstance(func() {
			p := &modelPromoter{
				simulation: s,
				instance:   instance,
			}
			outcome := promotionClient{
				promoter: p,
				clock:    p,
			}.promote(promotion)
			if !p.sent {
				instance.keeper = instance.keeper.WithPromotionOutcome(promotion, outcome, s.now)
			}
		})
	})
}

// modelPromoter is the promoter and the clock of one instance. Its outcomes reach the
// keeper later.
type modelPromoter struct {
	simulation *simulation
	instance   *simulatedInstance
	sent       bool
}

// Now implements rosemarylb.Clock.
func (p *modelPromoter) Now() time.Time { return p.simulation.now }

// Promote implements rosemarylb.Promoter.
func (p *modelPromoter) Promote(_ context.Context, promotion rosemarylb.Promotion) rosemarylb.PromotionOutcome {
	p.sent = true
	p.simulation.deliverPromotion(p.instance, promotion)
	return rosemarylb.PromotionUnknown
}

// deliverPromotion delivers a promotion before its deadline, and checks the fencing
// tokens: each belongs to one holder, and they never decrease.
func (s *simulation) deliverPromotion(instance *simulatedInstance, promotion rosemarylb.Promotion) {
	onInstance := callbackRunner(instance)
	s.schedule(max(promotion.Deadline.Sub(s.now), modelStep), func() {
		if holder, known := s.holderByToken[promotion.Token]; known && holder != instance.id {
			s.reportViolation("two holders with token " + strconv.FormatUint(promotion.Token, 10))
		}
		s.holderByToken[promotion.Token] = instance.id
		if promotion.Token < s.highestToken {
			s.reportViolation("promotion with a lower token after a higher one")
		}
		s.highestToken = max(s.highestToken, promotion.Token)
		endpoint := s.endpoint(promotion.Endpoint)
		outcome := rosemarylb.PromotionDone
		if s.now.Before(endpoint.downUntil) {
			outcome = rosemarylb.PromotionRefused
		} else if s.latestPrimary() != endpoint || !endpoint.primary {
			s.scheduleMakePrimary(instance, endpoint)
		}
		if s.random.IntN(6) == 0 {
			outcome = rosemarylb.PromotionUnknown
		}
		onInstance(func() { instance.keeper = instance.keeper.WithPromotionOutcome(promotion, outcome, s.now) })
	})
}

// makePrimary makes an endpoint the primary of the next term. Commits that its log
// lacks are rolled back.
func (s *simulation) makePrimary(endpoint *simulatedEndpoint) {
	if s.now.Before(endpoint.downUntil) || s.latestPrimary() == endpoint && endpoint.primary {
		return
	}
	endpoint.term = s.latestPrimary().term + 1
	s.logEvent(string(endpoint.id) + " leads term " + strconv.FormatUint(uint64(endpoint.term), 10))
	endpoint.primary = true
	s.leader = endpoint
	s.promotions++
	s.checkPromoted(endpoint)
	acknowledged := map[int]bool{}
	for _, c := range endpoint.log {
		acknowledged[c] = s.acknowledged[c]
	}
	s.acknowledged = acknowledged
}

// queryEndpoint queries an endpoint's state, or makes it step down.
func (s *simulation) queryEndpoint(instance *simulatedInstance, query keeper.EndpointQuery) {
	onInstance := callbackRunner(instance)
	endpoint := s.endpoint(query.Endpoint.ID)
	requestedAt := s.now
	status := keeper.Status{
		Group:    modelGroup,
		Endpoint: endpoint.id,
		ProbedAt: requestedAt,
	}
	if s.now.Before(instance.endpointCutUntil[endpoint.id]) || s.now.Before(endpoint.downUntil) || s.isDark(endpoint.id) {
		s.schedule(350*time.Millisecond, func() {
			onInstance(func() { instance.keeper = instance.keeper.WithStatus(status) })
		})
		return
	}
	s.schedule(100*time.Millisecond, func() {
		if query.Query.Kind == rosemarylb.QueryStepDown && endpoint.term < query.Query.Term {
			endpoint.primary = false
		}
		status.Answered = true
		status.Primary = endpoint.primary
		status.Term = endpoint.term
		status.LogPosition = rosemarylb.Position{
			Term: endpoint.term,
			LSN:  rosemarylb.LSN(len(endpoint.log)),
		}
		onInstance(func() { instance.keeper = instance.keeper.WithStatus(status) })
	})
}

// requestPermit requests a permit from the lease holder. An instance that the holder
// does not notify also reads the record, which grants permits while the holder is
// silent.
func (s *simulation) requestPermit(instance *simulatedInstance) {
	onInstance := callbackRunner(instance)
	requestedAt := s.now
	if instance.notification.ReplacesWatch(s.now) {
		instance.keeper = instance.keeper.WithLeaseNotification(s.now)
	} else {
		s.readRecord(instance, func(record keeper.Record, version rosemarylb.Version) {
			instance.keeper = instance.keeper.WithRecord(record, version, s.now)
			if instance.witness.HolderSilence(s.now) > modelHolderSilence {
				s.adoptPermits(instance, permit.FromRecord(record, version.Era, requestedAt))
			}
			s.depose(instance, instance.latest)
		}, func() {})
	}
	if instance.keeper.HoldsLease() {
		instance.observe(instance.keeper.Record(), s.version(), s.now)
	}
	s.askSeed(instance)
	record := instance.latest
	if instance.hint.Token > record.Token {
		record = instance.hint
	}
	if record.Holder == "" || !instance.witness.Accepts(record.Token) {
		return
	}
	holder := s.instance(record.Holder)
	if s.now.Before(instance.instanceCutUntil[holder.id]) {
		return
	}
	onHolder := callbackRunner(holder)
	report := keeper.Report{
		From:            instance.id,
		Process:         instance.keeper.WitnessProcess(),
		Support:         instance.support,
		Address:         string(instance.id),
		StoreAnsweredAt: instance.storeAnsweredAt,
		Observations: []keeper.Observation{{
			Group:   modelGroup,
			Primary: instance.permit.Primary,
		}},
	}
	s.scheduleRequest(instance, holder, func() {
		onHolder(func() {
			holder.keeper = holder.keeper.WithReport(report, s.now)
			grants, holds := holder.keeper.Grants(s.now)
			released := holder.keeper.ReleasedToken()
			notifies := holder.keeper.Notifies(instance.id, s.now)
			watchesStore := holder.keeper.WatchesStore(instance.id)
			answer := keeper.Support{
				Token:      holder.keeper.Record().Token,
				AnsweredAt: holder.keeper.AnswersAt(s.now),
			}
			s.schedule(80*time.Millisecond, func() {
				onInstance(func() {
					if released != 0 {
						instance.keeper = instance.keeper.WithLeaseReleased(released)
					}
					if !answer.AnsweredAt.IsZero() && instance.witness.Accepts(answer.Token) {
						instance.support = answer
					}
					if holds && instance.witness.ObserveAnswer(record.Token, requestedAt) {
						instance.witness.ObserveAnsweringHolder(record.Token, string(holder.id))
						s.adoptPermits(instance, permit.FromGrants(grants, requestedAt))
						if notifies {
							instance.notification = keeper.Notification{
								RequestedAt:  requestedAt,
								WatchesStore: watchesStore,
							}
						}
					}
				})
			})
		})
	})
}

// adoptPermits keeps the permit with the latest term and end.
func (s *simulation) adoptPermits(instance *simulatedInstance, permits []rosemarylb.Permit) {
	for _, p := range permits {
		if p.Term > instance.permit.Term || p.Term == instance.permit.Term && p.ExpiresAt.After(instance.permit.ExpiresAt) {
			instance.permit = p
		}
	}
}

// depose asks the other witnesses to ignore a silent holder, as the permit client of
// an instance does, and deposes it when enough of them promise.
func (s *simulation) depose(instance *simulatedInstance, record keeper.Record) {
	if record.Holder == "" || record.Holder == instance.id ||
		instance.witness.HolderSilence(s.now) < time.Second || s.now.Before(instance.nextDeposeAt) {
		return
	}
	instance.nextDeposeAt = s.now.Add(800 * time.Millisecond)
	others, promised := 0, 0
	for id := range record.Witnesses {
		if id == record.Holder {
			continue
		}
		others++
		other := s.instance(id)
		reachable := !s.now.Before(instance.instanceCutUntil[id]) &&
			!s.now.Before(other.pausedUntil) && !s.now.Before(other.downUntil)
		if reachable && other.witness.PromiseToIgnore(record.Token, s.now) {
			promised++
		}
	}
	if _, need := keeper.WitnessQuorum(others); promised >= need {
		instance.keeper = instance.keeper.WithHolderDeposed(record)
	}
}

// runOperation commits or reads at the primary that the instance has a permit for.
// The answer counts only if a permit for the same term covers its arrival.
func (s *simulation) runOperation(instance *simulatedInstance) {
	onInstance := callbackRunner(instance)
	used := instance.permit
	if used.Primary == "" || !s.now.Before(used.ExpiresAt) ||
		s.now.Before(instance.endpointCutUntil[used.Primary]) {
		return
	}
	endpoint := s.endpoint(used.Primary)
	acknowledged := map[int]bool{}
	for c := range s.acknowledged {
		acknowledged[c] = s.acknowledged[c]
	}
	isRead := s.random.IntN(2) == 0
	s.schedule(200*time.Millisecond, func() {
		if s.now.Before(endpoint.downUntil) || s.isDark(endpoint.id) || !endpoint.primary {
			return
		}
		log := slices.Clone(endpoint.log)
		replaced := s.latestPrimary() != endpoint
		commit := 0
		if !isRead {
			s.lastCommit++
			commit = s.lastCommit
			endpoint.log = append(endpoint.log, commit)
		}
		answer := func() {
			s.schedule(200*time.Millisecond, func() {
				onInstance(func() {
					if !instance.permit.ValidFor(used.Term, s.now) {
						return
					}
					if isRead {
						s.checkRead(log, acknowledged)
						return
					}
					if replaced {
						s.reportViolation("a commit at the replaced primary " + string(endpoint.id) + " is acknowledged")
					}
					s.acknowledge(commit)
				})
			})
		}
		if isRead || s.replication.syncReplicas == 0 {
			answer()
			return
		}
		s.awaitReplica(endpoint, commit, s.now, answer)
	})
}

// acknowledge records that a caller was told of a commit.
func (s *simulation) acknowledge(commit int) {
	s.commits++
	switch {
	case slices.Contains(s.latestPrimary().log, commit):
		s.acknowledged[commit] = true
	case s.replication.syncReplicas > 0:
		s.reportViolation("commit " + strconv.Itoa(commit) + " is acknowledged after a promotion without it")
	}
}

// checkRead checks that a log holds every commit that was acknowledged before the read
// and has not been rolled back since.
func (s *simulation) checkRead(log []int, acknowledgedBefore map[int]bool) {
	for c, acknowledged := range acknowledgedBefore {
		if acknowledged && s.acknowledged[c] && !slices.Contains(log, c) {
			s.reportViolation("a read misses commit " + strconv.Itoa(c))
			return
		}
	}
}
