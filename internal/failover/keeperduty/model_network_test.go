package keeperduty

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

const (
	// modelDisturbanceInterval is the average time between two disturbances of the network.
	modelDisturbanceInterval = 4 * time.Second
	// modelMaxDisturbance is the longest time that a disturbance lasts.
	modelMaxDisturbance = 9 * time.Second
	// modelMaxTransit is the longest time that requests are held up on their way.
	modelMaxTransit = 6 * time.Second
	// modelSeedCount is the number of instances that others ask for the holder.
	modelSeedCount = 3
)

var networkCount = flag.Int("network-count", 30, "number of consecutive seeds to simulate with a disturbed network")

// TestDeposedHolderFindsNoSupport runs the simulation with 3, 5 and 9 instances of which the
// store turns a part away, the holder among them. These ask seeds for the holder, restart and
// forget their promises, and their requests are held up. It guards against ONE: a deposed
// holder acts beside its successor.
func TestDeposedHolderFindsNoSupport(t *testing.T) {
	var total modelNetwork
	promotions, commits := 0, 0
	for seed := *modelSeed; seed < *modelSeed+uint64(*networkCount); seed++ {
		s := newSimulationOf(seed, []int{3, 5, 9}[seed%3])
		s.network.enabled = true
		s.run()
		s.checkRecovery()
		s.requireNoViolation(t, "network-count")
		total.disturbances += s.network.disturbances
		total.answers += s.network.answers
		total.restarts += s.network.restarts
		total.heldUp += s.network.heldUp
		promotions += s.promotions
		commits += s.commits
	}
	t.Logf("%d disturbances, %d answers of seeds, %d restarts, %d requests held up, %d promotions, %d commits in %d runs",
		total.disturbances, total.answers, total.restarts, total.heldUp, promotions, commits, *networkCount)
	if total.disturbances < 5**networkCount || total.answers < 5**networkCount || total.restarts < *networkCount ||
		total.heldUp < 5**networkCount || promotions < *networkCount || commits < 50**networkCount {
		t.Error("too few to exercise a disturbed network")
	}
}

// modelNetwork are the disturbances of the paths to the store and between instances.
type modelNetwork struct {
	random  *rand.Rand
	enabled bool
	// heldUntil is until when requests of an instance to another are held up.
	heldUntil map[modelPath]time.Time

	disturbances, answers, restarts, heldUp int
}

// modelPath is the way of requests from one instance to another.
type modelPath struct {
	from, to rosemarylb.InstanceID
}

// newModelNetwork has random numbers of its own, so that the other faults of a seed are the
// same with and without it.
func newModelNetwork(seed uint64) modelNetwork {
	return modelNetwork{
		random:    rand.New(rand.NewPCG(seed, 46)),
		heldUntil: map[modelPath]time.Time{},
	}
}

// upTo returns a random time below a maximum.
func (n *modelNetwork) upTo(maximum time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(maximum)))
}

// oneIn is true in one of a number of calls on average.
func (n *modelNetwork) oneIn(number int) bool {
	return n.random.IntN(number) == 0
}

// injectDisturbance has the store turn away the holder and some other instances for a time.
// These or the network between them may have further trouble meanwhile.
func (s *simulation) injectDisturbance() {
	n := &s.network
	if !n.enabled || s.record.Holder == "" || !n.oneIn(int(modelDisturbanceInterval/modelStep)) {
		return
	}
	n.disturbances++
	holder := s.instance(s.record.Holder)
	duration := n.upTo(modelMaxDisturbance)
	turnedAway := map[rosemarylb.InstanceID]bool{}
	pauses, cuts, restarts, holdsUp, splits := n.oneIn(2), n.oneIn(2), n.oneIn(2), n.oneIn(2), n.oneIn(3)
	transit := min(duration, n.upTo(modelMaxTransit))
	for _, instance := range s.instances {
		if instance != holder && n.oneIn(2) {
			if cuts {
				instance.endpointCutUntil[s.leader.id] = s.now.Add(duration)
			}
			continue
		}
		turnedAway[instance.id] = true
		instance.storeCutUntil = s.now.Add(duration)
		if holdsUp {
			n.heldUntil[modelPath{from: instance.id, to: holder.id}] = s.now.Add(transit)
		}
		if restarts && instance != holder && n.oneIn(2) {
			s.scheduleRestart(instance, n.upTo(duration+modelStep))
		}
	}
	if pauses {
		holder.pausedUntil = s.now.Add(n.upTo(3 * time.Second))
	}
	if cuts {
		s.leader.replicationCutUntil = s.now.Add(duration)
	}
	if splits {
		for _, one := range s.instances {
			for _, other := range s.instances {
				if turnedAway[one.id] != turnedAway[other.id] {
					one.instanceCutUntil[other.id] = s.now.Add(duration)
				}
			}
		}
	}
	s.logEvent("the store turns away " + strconv.Itoa(len(turnedAway)) + " of " + strconv.Itoa(len(s.instances)) +
		" with " + string(holder.id) + " for " + duration.String() +
		", pauses " + strconv.FormatBool(pauses) + ", cuts " + strconv.FormatBool(cuts) +
		", restarts " + strconv.FormatBool(restarts) + ", holds up " + strconv.FormatBool(holdsUp) +
		", splits " + strconv.FormatBool(splits))
}

// scheduleRestart replaces the process of an instance after a time.
func (s *simulation) scheduleRestart(instance *simulatedInstance, after time.Duration) {
	s.scheduled = append(s.scheduled, scheduledCall{
		at: s.now.Add(after),
		run: func() {
			if s.calm {
				return
			}
			s.logEvent(string(instance.id) + " restarts")
			s.network.restarts++
			s.startProcess(instance)
		},
	})
}

// scheduleRequest delivers a request of one instance to another, at the end of a time in
// which requests between them are held up.
func (s *simulation) scheduleRequest(from, to *simulatedInstance, deliver func()) {
	until := s.network.heldUntil[modelPath{
		from: from.id,
		to:   to.id,
	}]
	if !s.now.Before(until) {
		s.schedule(80*time.Millisecond, deliver)
		return
	}
	s.network.heldUp++
	s.scheduled = append(s.scheduled, scheduledCall{
		at:  until,
		run: deliver,
	})
}

// askSeed asks the next seed for the holder that it knows, as an instance does that neither
// the holder nor the store answers.
func (s *simulation) askSeed(instance *simulatedInstance) {
	if !s.network.enabled || instance.witness.HolderSilence(s.now) < modelHolderSilence || s.storeReachable(instance) {
		return
	}
	instance.nextSeed++
	seed := s.instances[instance.nextSeed%modelSeedCount]
	if seed == instance || s.now.Before(instance.instanceCutUntil[seed.id]) {
		return
	}
	onInstance, onSeed := callbackRunner(instance), callbackRunner(seed)
	s.scheduleRequest(instance, seed, func() {
		onSeed(func() {
			named := seed.latest
			if token, address := seed.witness.AnsweringHolder(); token > named.Token {
				named = keeper.Record{
					Holder: rosemarylb.InstanceID(address),
					Token:  token,
				}
			}
			s.schedule(80*time.Millisecond, func() {
				onInstance(func() {
					if named.Token > max(instance.latest.Token, instance.hint.Token) {
						instance.hint = named
						s.network.answers++
					}
				})
			})
		})
	})
}

// checkHolders checks that a holder does not act once its successor may grant permits and
// tokens by itself.
func (s *simulation) checkHolders() {
	for _, later := range s.instances {
		if !s.acts(later) || s.now.Before(later.keeper.Tenure().GrantsFrom) {
			continue
		}
		for _, earlier := range s.instances {
			if earlier.keeper.Record().Token < later.keeper.Record().Token && s.acts(earlier) {
				s.reportViolation(string(earlier.id) + " acts beside its successor " + string(later.id))
				return
			}
		}
	}
}

// acts reports whether an instance runs and acts as the holder of the lease.
func (s *simulation) acts(instance *simulatedInstance) bool {
	if s.now.Before(instance.pausedUntil) || s.now.Before(instance.downUntil) {
		return false
	}
	_, holds := instance.keeper.Grants(s.now)
	return holds
}
