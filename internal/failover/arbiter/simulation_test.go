package arbiter_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/arbiter"
	"rosemarylb/internal/failover/quorum"
)

var (
	simulationSeed   = flag.Uint64("seed", 0, "first seed of the failover simulation")
	simulationCount  = flag.Uint64("count", 24, "number of consecutive seeds to simulate")
	simulationFaults = flag.Int("steps", 40, "number of faults in each simulation")
)

// logEntry is a commit: its ID and the term in which it was written. The entry that a
// promotion writes has the ID -1.
type logEntry struct {
	term rosemarylb.Term
	id   int
}

// simulatedEndpoint is an endpoint that replicates its log from upstream, or appends to
// it while it is the primary.
type simulatedEndpoint struct {
	id       rosemarylb.EndpointID
	log      []logEntry
	term     rosemarylb.Term
	proposer rosemarylb.InstanceID
	primary  bool
	upstream rosemarylb.EndpointID
	paused   bool
}

func (e *simulatedEndpoint) position() rosemarylb.Position {
	if len(e.log) == 0 {
		return rosemarylb.Position{}
	}
	return rosemarylb.Position{
		Term: e.log[len(e.log)-1].term,
		LSN:  rosemarylb.LSN(len(e.log)),
	}
}

// acknowledgedWrite is an acknowledged write and its position in the log.
type acknowledgedWrite struct {
	id       int
	position rosemarylb.Position
}

// inLog reports whether a log holds the write at its position.
func (a acknowledgedWrite) inLog(log []logEntry) bool {
	return int(a.position.LSN) <= len(log) && log[a.position.LSN-1].id == a.id
}

// readCheckDepth is the number of latest acknowledged writes that a read is checked
// for.
const readCheckDepth = 64

// heldAnswer is an answer that waits for confirmation before the caller gets it.
type heldAnswer struct {
	primary            rosemarylb.Primary
	id                 int
	isRead             bool
	sentAt             time.Time
	position           rosemarylb.Position
	log                []logEntry
	acknowledgedBefore []acknowledgedWrite
}

// simulatedInstance is an instance with its arbiter and its acknowledger.
type simulatedInstance struct {
	id           rosemarylb.InstanceID
	arbiter      rosemarylb.Arbiter
	acknowledger rosemarylb.Acknowledger
	primary      rosemarylb.Primary
	paused       bool
	readOnly     bool
	held         []heldAnswer
}

// scheduledCall is a function to run at a simulated time. Calls of the same time run in
// the order of their sequence numbers.
type scheduledCall struct {
	at       time.Time
	sequence int
	run      func()
}

// schedule implements heap.Interface, with the earliest call first.
type schedule []scheduledCall

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].sequence < s[j].sequence
	}
	return s[i].at.Before(s[j].at)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledCall)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	random           *rand.Rand
	now              time.Time
	pending          schedule
	lastSequence     int
	database         rosemarylb.Database
	endpoints        map[rosemarylb.EndpointID]*simulatedEndpoint
	instances        []*simulatedInstance
	cutLinks         map[string]bool
	lossProbability  float64
	delayProbability float64
	lastWriteID      int
	acknowledged     []acknowledgedWrite
	primaryByTerm    map[rosemarylb.Term]rosemarylb.EndpointID
	reads            int
	violation        string
	// maintenance draws which endpoints are leaving, apart from the faults.
	maintenance *rand.Rand
}

func newSimulation(seed uint64, endpointCount, instanceCount int) *simulation {
	s := &simulation{
		random:        rand.New(rand.NewPCG(seed, 1)),
		maintenance:   rand.New(rand.NewPCG(seed, 2)),
		now:           time.Unix(1000, 0),
		endpoints:     map[rosemarylb.EndpointID]*simulatedEndpoint{},
		cutLinks:      map[string]bool{},
		primaryByTerm: map[rosemarylb.Term]rosemarylb.EndpointID{},
		database: rosemarylb.Database{
			Name: "book",
		},
	}
	for n := range endpointCount {
		id := rosemarylb.EndpointID(fmt.Sprintf("e%d", n))
		s.endpoints[id] = &simulatedEndpoint{
			id: id,
		}
		s.database.Endpoints = append(s.database.Endpoints, rosemarylb.EndpointSpec{
			ID:      id,
			Address: string(id),
		})
	}
	for n := range instanceCount {
		id := rosemarylb.InstanceID(fmt.Sprintf("k%d", n))
		instance := &simulatedInstance{
			id:           id,
			arbiter:      arbiter.NewElection(id, s.database, arbiter.WithSeed(seed+uint64(n))),
			acknowledger: quorum.NewMajority(s.database.Quorum()),
		}
		s.instances = append(s.instances, instance)
		s.after(0, func() { s.decide(instance) })
	}
	for _, spec := range s.database.Endpoints {
		s.after(0, func() { s.replicate(s.endpoints[spec.ID]) })
	}
	s.after(0, s.submitRequests)
	return s
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.pending, scheduledCall{
		at:       s.now.Add(delay),
		sequence: s.lastSequence,
		run:      run,
	})
}

// run runs the scheduled calls of a span of simulated time. It stops at a violation.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for s.violation == "" && len(s.pending) > 0 && !s.pending[0].at.After(end) {
		call := heap.Pop(&s.pending).(scheduledCall)
		s.now = call.at
		call.run()
	}
	s.now = end
}

// violatedf records the first violation of an invariant.
func (s *simulation) violatedf(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// latency draws the delay of a message: up to 8.5 ms, or 200 ms to 3.2 s for a delayed
// one.
func (s *simulation) latency() time.Duration {
	if s.random.Float64() < s.delayProbability {
		return time.Duration(200+s.random.IntN(3000)) * time.Millisecond
	}
	return time.Duration(500+s.random.IntN(8000)) * time.Microsecond
}

// send delivers a message from one peer to another after a delay, or loses it.
func (s *simulation) send(from, to string, deliver func()) {
	if s.cutLinks[from+">"+to] || s.random.Float64() < s.lossProbability {
		return
	}
	s.after(s.latency(), deliver)
}

// whenRunning runs a function on an endpoint once it is not paused.
func (s *simulation) whenRunning(endpoint *simulatedEndpoint, run func()) {
	if !endpoint.paused {
		run()
		return
	}
	s.after(20*time.Millisecond, func() { s.whenRunning(endpoint, run) })
}

// decide carries out the arbiter's decision, and schedules the next one.
func (s *simulation) decide(instance *simulatedInstance) {
	if instance.paused {
		s.after(10*time.Millisecond, func() { s.decide(instance) })
		return
	}
	next, decision := instance.arbiter.Decide(s.now)
	instance.arbiter = next
	if decision.Announce {
		s.announce(instance, decision.Primary)
	}
	for _, command := range decision.Commands {
		s.sendCommand(instance, command)
	}
	delay := max(decision.Next.Sub(s.now), time.Millisecond)
	s.after(delay, func() { s.decide(instance) })
}

// announce sends a primary to all instances; the sender itself adopts it at once.
func (s *simulation) announce(from *simulatedInstance, primary rosemarylb.Primary) {
	for _, instance := range s.instances {
		adopt := func() {
			instance.arbiter = instance.arbiter.WithAnnounced(primary)
			if primary.Supersedes(instance.primary) {
				instance.primary = primary
				instance.acknowledger = instance.acknowledger.WithPrimary(primary)
			}
		}
		if instance == from {
			adopt()
			continue
		}
		s.send(string(from.id), string(instance.id), adopt)
	}
}

// sendCommand sends a command to an endpoint and delivers the answer as a probe.
// Without an answer within a second the probe counts as failed.
func (s *simulation) sendCommand(instance *simulatedInstance, command rosemarylb.Command) {
	endpoint := s.endpoints[command.Endpoint]
	probedAt := s.now
	answered := false
	s.send(string(instance.id), string(endpoint.id), func() {
		s.whenRunning(endpoint, func() {
			granted := s.execute(endpoint, command)
			state := rosemarylb.EndpointState{
				ID:       endpoint.id,
				Primary:  endpoint.primary,
				Term:     endpoint.term,
				Log:      endpoint.position(),
				Applied:  endpoint.position(),
				ProbedAt: probedAt,
			}
			s.send(string(endpoint.id), string(instance.id), func() {
				answered = true
				s.deliverProbe(instance, rosemarylb.ProbeResult{
					Endpoint: endpoint.id,
					Answered: true,
					Granted:  granted,
					Command:  command,
					State:    state,
				})
			})
		})
	})
	s.after(time.Second, func() {
		if !answered {
			instance.arbiter = instance.arbiter.WithProbe(rosemarylb.ProbeResult{
				Endpoint: endpoint.id,
				Command:  command,
			}, s.now)
		}
	})
}

func (s *simulation) deliverProbe(instance *simulatedInstance, probe rosemarylb.ProbeResult) {
	if instance.paused {
		s.after(10*time.Millisecond, func() { s.deliverProbe(instance, probe) })
		return
	}
	instance.arbiter = instance.arbiter.WithProbe(probe, s.now)
	instance.acknowledger = instance.acknowledger.WithState(probe.State)
	s.releaseAnswers(instance)
}

// execute runs a command at an endpoint by the rules for endpoints, and reports whether
// it was granted.
func (s *simulation) execute(endpoint *simulatedEndpoint, command rosemarylb.Command) bool {
	switch command.Kind {
	case rosemarylb.CommandFence:
		if command.Term < endpoint.term || (command.Term == endpoint.term && endpoint.proposer != command.Proposer) {
			return false
		}
		if command.Term > endpoint.term {
			endpoint.term, endpoint.proposer, endpoint.primary, endpoint.upstream = command.Term, command.Proposer, false, ""
		}
		return true
	case rosemarylb.CommandPromote:
		return s.promote(endpoint, command)
	case rosemarylb.CommandFollow:
		if command.Term < endpoint.term || (command.Term == endpoint.term && endpoint.primary) {
			return false
		}
		if command.Term > endpoint.term {
			endpoint.term, endpoint.proposer = command.Term, ""
		}
		endpoint.primary, endpoint.upstream = false, rosemarylb.EndpointID(command.Upstream)
		return true
	default:
		return true
	}
}

// promote makes an endpoint the primary of a term. It checks that the term has no other
// primary, and that the endpoint's log holds the writes acknowledged in earlier terms.
func (s *simulation) promote(endpoint *simulatedEndpoint, command rosemarylb.Command) bool {
	if command.Term != endpoint.term || endpoint.proposer != command.Proposer {
		return false
	}
	if endpoint.primary {
		return true
	}
	if other, found := s.primaryByTerm[command.Term]; found && other != endpoint.id {
		s.violatedf("term %d has two primaries, %s and %s", command.Term, other, endpoint.id)
	}
	s.primaryByTerm[command.Term] = endpoint.id
	for _, a := range s.acknowledged {
		// A promotion that arrives after one of a later term no longer confirms
		// any write.
		if a.position.Term < command.Term && !a.inLog(endpoint.log) {
			s.violatedf("write %d was acknowledged and is lost in term %d", a.id, command.Term)
		}
	}
	endpoint.primary = true
	endpoint.log = append(endpoint.log[:len(endpoint.log):len(endpoint.log)], logEntry{
		term: command.Term,
		id:   -1,
	})
	return true
}

// replicate fetches the entries after an endpoint's last one from its upstream, and
// schedules the next exchange.
func (s *simulation) replicate(endpoint *simulatedEndpoint) {
	interval := time.Duration(1+s.random.IntN(10)) * time.Millisecond
	if endpoint.paused || endpoint.primary || endpoint.upstream == "" {
		s.after(interval, func() { s.replicate(endpoint) })
		return
	}
	upstream := s.endpoints[endpoint.upstream]
	term, from := endpoint.term, endpoint.position()
	s.send(string(endpoint.id), string(upstream.id), func() {
		s.whenRunning(upstream, func() {
			if !upstream.primary || upstream.term != term {
				return
			}
			matches := int(from.LSN) <= len(upstream.log) &&
				(from.LSN == 0 || upstream.log[from.LSN-1].term == from.Term)
			var entries []logEntry
			if matches {
				entries = upstream.log[from.LSN:]
			}
			s.send(string(upstream.id), string(endpoint.id), func() {
				s.whenRunning(endpoint, func() { s.appendEntries(endpoint, term, from, matches, entries) })
			})
		})
	})
	s.after(interval, func() { s.replicate(endpoint) })
}

// appendEntries appends the upstream's entries after from, or removes the last entry
// when the upstream's log does not match there. It does nothing when the endpoint has
// changed its term, role or log since the request.
func (s *simulation) appendEntries(
	endpoint *simulatedEndpoint, term rosemarylb.Term, from rosemarylb.Position, matches bool,
	entries []logEntry,
) {
	if endpoint.term != term || endpoint.primary || endpoint.position() != from {
		return
	}
	if !matches {
		endpoint.log = endpoint.log[:len(endpoint.log)-1]
		return
	}
	endpoint.log = append(endpoint.log[:len(endpoint.log):len(endpoint.log)], entries...)
}

// submitRequests makes each instance write or read at the primary that it knows, and
// schedules the next requests.
func (s *simulation) submitRequests() {
	for _, instance := range s.instances {
		if instance.primary.Term == 0 || instance.paused {
			continue
		}
		if !instance.readOnly && s.random.IntN(2) == 0 {
			s.submitWrite(instance)
		} else {
			s.submitRead(instance)
		}
	}
	s.after(time.Duration(2+s.random.IntN(20))*time.Millisecond, s.submitRequests)
}

func (s *simulation) submitWrite(instance *simulatedInstance) {
	s.lastWriteID++
	id, primary, sentAt := s.lastWriteID, instance.primary, s.now
	endpoint := s.endpoints[primary.Endpoint]
	s.send(string(instance.id), string(endpoint.id), func() {
		s.whenRunning(endpoint, func() {
			if !endpoint.primary {
				return
			}
			endpoint.log = append(endpoint.log[:len(endpoint.log):len(endpoint.log)], logEntry{
				term: endpoint.term,
				id:   id,
			})
			position := endpoint.position()
			s.send(string(endpoint.id), string(instance.id), func() {
				s.holdAnswer(instance, heldAnswer{
					primary:  primary,
					id:       id,
					sentAt:   sentAt,
					position: position,
				})
			})
		})
	})
}

func (s *simulation) submitRead(instance *simulatedInstance) {
	primary, sentAt := instance.primary, s.now
	endpoint := s.endpoints[primary.Endpoint]
	acknowledgedBefore := s.acknowledged[max(0, len(s.acknowledged)-readCheckDepth):len(s.acknowledged):len(s.acknowledged)]
	s.send(string(instance.id), string(endpoint.id), func() {
		s.whenRunning(endpoint, func() {
			log, position := endpoint.log, endpoint.position()
			s.send(string(endpoint.id), string(instance.id), func() {
				s.holdAnswer(instance, heldAnswer{
					primary:            primary,
					isRead:             true,
					sentAt:             sentAt,
					position:           position,
					log:                log,
					acknowledgedBefore: acknowledgedBefore,
				})
			})
		})
	})
}

func (s *simulation) holdAnswer(instance *simulatedInstance, answer heldAnswer) {
	instance.held = append(instance.held, answer)
	s.releaseAnswers(instance)
}

// confirmed reports whether an answer may be released: the instance still knows the
// primary that the request was sent to, in the same term, and the acknowledger confirms
// the position.
func (i *simulatedInstance) confirmed(answer heldAnswer) bool {
	if i.primary != answer.primary {
		return false
	}
	if answer.isRead {
		return i.acknowledger.Confirmed(answer.position, answer.sentAt)
	}
	return i.acknowledger.Confirmed(answer.position, time.Time{})
}

// releaseAnswers releases the answers that are confirmed. It drops the others when they
// are 10 seconds old or of a term before the known primary's.
func (s *simulation) releaseAnswers(instance *simulatedInstance) {
	if instance.paused {
		return
	}
	var held []heldAnswer
	for _, answer := range instance.held {
		if !instance.confirmed(answer) {
			if s.now.Sub(answer.sentAt) < 10*time.Second && answer.position.Term >= instance.primary.Term {
				held = append(held, answer)
			}
			continue
		}
		if !answer.isRead {
			s.acknowledged = append(s.acknowledged, acknowledgedWrite{
				id:       answer.id,
				position: answer.position,
			})
			continue
		}
		s.checkRead(answer)
	}
	instance.held = held
}

// checkRead checks that a confirmed read saw the writes acknowledged before it.
func (s *simulation) checkRead(answer heldAnswer) {
	s.reads++
	for _, a := range answer.acknowledgedBefore {
		if !a.inLog(answer.log) {
			s.violatedf("a confirmed read missed write %d, acknowledged before it began", a.id)
		}
	}
}

// injectFault starts or ends one random fault, or ends all of them.
func (s *simulation) injectFault() {
	switch s.random.IntN(12) {
	case 0, 1:
		endpoint := s.endpoints[s.database.Endpoints[s.random.IntN(len(s.database.Endpoints))].ID]
		endpoint.paused = !endpoint.paused
	case 2, 3:
		instance := s.instances[s.random.IntN(len(s.instances))]
		instance.paused = !instance.paused
	case 4, 5:
		s.cutLinks[s.randomPeer()+">"+s.randomPeer()] = true
	case 6:
		s.lossProbability = s.random.Float64() * 0.3
	case 7:
		s.delayProbability = s.random.Float64() * 0.2
	case 10:
		// A restarted instance has lost the terms that it proposed.
		s.restart(s.instances[s.random.IntN(len(s.instances))])
	case 8:
		// An instance that only reads leaves the log of a former primary unchanged.
		instance := s.instances[s.random.IntN(len(s.instances))]
		instance.readOnly = !instance.readOnly
	case 9:
		// The instance reaches only the primary that it knows, and receives nothing
		// from other instances.
		instance := s.instances[s.random.IntN(len(s.instances))]
		for _, spec := range s.database.Endpoints {
			s.cutLinks[string(instance.id)+">"+string(spec.ID)] = spec.ID != instance.primary.Endpoint
		}
		for _, other := range s.instances {
			s.cutLinks[string(other.id)+">"+string(instance.id)] = true
		}
		instance.readOnly = true
	default:
		s.heal()
	}
}

// restart replaces an instance by one without any state.
func (s *simulation) restart(instance *simulatedInstance) {
	instance.arbiter = arbiter.NewElection(instance.id, s.database, arbiter.WithSeed(s.random.Uint64()))
	instance.acknowledger = quorum.NewMajority(s.database.Quorum())
	instance.primary = rosemarylb.Primary{}
	instance.held = nil
}

func (s *simulation) randomPeer() string {
	n := s.random.IntN(len(s.instances) + len(s.database.Endpoints))
	if n < len(s.instances) {
		return string(s.instances[n].id)
	}
	return string(s.database.Endpoints[n-len(s.instances)].ID)
}

// replaceEndpoint lets no endpoint leave any more, or another one in place of it.
func (s *simulation) replaceEndpoint() {
	leaving := s.maintenance.IntN(2 * len(s.database.Endpoints))
	endpoints := slices.Clone(s.database.Endpoints)
	for i := range endpoints {
		endpoints[i].Leaving = i == leaving
	}
	s.database.Endpoints = endpoints
	for _, instance := range s.instances {
		instance.arbiter = instance.arbiter.WithDatabase(s.database)
	}
}

// heal ends all faults.
func (s *simulation) heal() {
	for _, endpoint := range s.endpoints {
		endpoint.paused = false
	}
	for _, instance := range s.instances {
		instance.paused, instance.readOnly = false, false
	}
	s.cutLinks = map[string]bool{}
	s.lossProbability, s.delayProbability = 0, 0
}

// runSimulation runs a simulation with a number of faults and returns the violation, if
// any. After the faults have ended, writes have to be acknowledged again. With
// maintenance, one endpoint at a time may be leaving, also at the end.
func runSimulation(seed uint64, faults int, maintenance bool) (s *simulation, violation string) {
	endpointCount := 3
	if seed%4 == 3 {
		endpointCount = 5
	}
	s = newSimulation(seed, endpointCount, 3)
	s.run(3 * time.Second)
	for range faults {
		s.injectFault()
		if maintenance && s.maintenance.IntN(3) == 0 {
			s.replaceEndpoint()
		}
		s.run(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		if s.violation != "" {
			return s, s.violation
		}
	}
	s.heal()
	s.run(8 * time.Second)
	before := len(s.acknowledged)
	s.run(2 * time.Second)
	if s.violation == "" && len(s.acknowledged) == before {
		s.violatedf("no write is acknowledged between 8 s and 10 s after all faults ended")
	}
	return s, s.violation
}

// TestRandomFaultsLoseNothing simulates instances and endpoints under pauses, restarts,
// cut links, and lost and late messages. Two primaries in a term, a promotion that
// loses an acknowledged write, or a confirmed read that misses one fails the test.
func TestRandomFaultsLoseNothing(t *testing.T) {
	runSimulations(t, *simulationCount, false)
}

// TestLeavingEndpointsLoseNothing simulates the same while endpoints are replaced as
// planned, for a third of the seeds.
func TestLeavingEndpointsLoseNothing(t *testing.T) {
	runSimulations(t, (*simulationCount+2)/3, true)
}

func runSimulations(t *testing.T, count uint64, maintenance bool) {
	t.Helper()
	writes, reads, promotions := 0, 0, 0
	for seed := *simulationSeed; seed < *simulationSeed+count; seed++ {
		s, violation := runSimulation(seed, *simulationFaults, maintenance)
		if violation != "" {
			t.Fatalf("seed %d: %s (reproduce with -args -seed %d -count 1 -steps %d)", seed, violation, seed,
				*simulationFaults)
		}
		writes += len(s.acknowledged)
		reads += s.reads
		promotions += len(s.primaryByTerm)
	}
	t.Logf("%d acknowledged writes, %d confirmed reads, %d promotions", writes, reads, promotions)
}
