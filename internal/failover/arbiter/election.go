// Package arbiter elects the primary of a group of endpoints: it decides when a
// primary has failed and which replica to promote.
package arbiter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarylb"
)

// Timing of the default arbiter.
const (
	// statusInterval is the time between status probes of an endpoint.
	statusInterval = 250 * time.Millisecond
	// failedProbeRetryInterval is the time until the next status probe of an
	// endpoint after one that failed.
	failedProbeRetryInterval = 100 * time.Millisecond
	// silenceTimeout is the time without an answer after which an endpoint counts
	// as failed.
	silenceTimeout = 1000 * time.Millisecond
	// failedProbeLimit is the number of consecutive failed probes after which an
	// endpoint counts as failed.
	failedProbeLimit = 2
	// laterTermTimeout is how long an endpoint may be in a later term than the
	// primary before a new election starts. It gives another proposer the time to
	// complete its promotion.
	laterTermTimeout = 600 * time.Millisecond
	// electionTimeout is the timeout of one election.
	electionTimeout = 1200 * time.Millisecond
	// commandRetryInterval is the time after which a fence, promote or follow
	// command is sent again.
	commandRetryInterval = 300 * time.Millisecond
	// backoffUnit is the unit of the random backoff between elections.
	backoffUnit = 150 * time.Millisecond
	// maxBackoffUnits is the longest backoff, in units.
	maxBackoffUnits = 4
)

type phase uint8

const (
	phaseWatching phase = iota
	phaseFencing
	phasePromoting
)

var phaseNames = [...]string{"watching", "fencing", "promoting"}

// memberState is the arbiter's view of one endpoint of the group. grantedTerm is the
// latest term that the endpoint has granted to this proposer.
type memberState struct {
	spec          rosemarylb.EndpointSpec
	state         rosemarylb.EndpointState
	answered      bool
	lastAnswerAt  time.Time
	failedProbes  int
	nextCommandAt time.Time
	grantedTerm   rosemarylb.Term
}

// Election is an Arbiter that promotes by majority. A proposer asks the group to grant
// it a new term; once a majority has done so, it promotes the endpoint among them with
// the latest log. An endpoint grants a term to one proposer only, so a term has at most
// one primary, whichever instances propose. Apart from its random source, an Election
// is an immutable value.
type Election struct {
	proposer         rosemarylb.InstanceID
	database         rosemarylb.Database
	members          []memberState
	primary          rosemarylb.Primary
	phase            phase
	proposedTerm     rosemarylb.Term
	candidate        rosemarylb.EndpointID
	electionDeadline time.Time
	nextElectionAt   time.Time
	startedAt        time.Time
	laterTermSince   time.Time
	announcedTerm    rosemarylb.Term
	random           *rand.Rand
}

// Option configures an Election under construction.
type Option func(*Election)

// WithSeed seeds the random backoff and the proposer's identity, so that a run can be
// repeated.
func WithSeed(seed uint64) Option {
	return func(e *Election) {
		e.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// NewElection returns the default arbiter of a database for the proposer self. Each
// Election appends a random suffix to the proposer's name: after a restart it no longer
// knows the terms that it proposed, and must not be granted one of them again.
func NewElection(
	self rosemarylb.InstanceID, database rosemarylb.Database, options ...Option,
) rosemarylb.Arbiter {
	e := Election{
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(&e)
	}
	e.proposer = rosemarylb.InstanceID(fmt.Sprintf("%s.%016x", self, e.random.Uint64()))
	return e.WithDatabase(database)
}

// WithDatabase implements rosemarylb.Arbiter.
func (e Election) WithDatabase(database rosemarylb.Database) rosemarylb.Arbiter {
	members := make([]memberState, 0, len(database.Endpoints))
	for _, spec := range database.Endpoints {
		m, _ := e.member(spec.ID)
		m.spec = spec
		members = append(members, m)
	}
	e.database = database
	e.members = members
	return e
}

// WithAnnounced implements rosemarylb.Arbiter.
func (e Election) WithAnnounced(primary rosemarylb.Primary) rosemarylb.Arbiter {
	if primary.Term <= e.primary.Term {
		return e
	}
	e.primary = primary
	e.announcedTerm = primary.Term
	if e.proposedTerm <= primary.Term {
		e.phase = phaseWatching
	}
	return e
}

// WithProbe implements rosemarylb.Arbiter.
func (e Election) WithProbe(probe rosemarylb.ProbeResult, now time.Time) rosemarylb.Arbiter {
	m, found := e.member(probe.Endpoint)
	if !found {
		return e
	}
	m = m.withProbe(probe, e.proposedTerm, now)
	e = e.withMember(m)
	if probe.Answered {
		e = e.withPrimaryState(m.state)
	}
	switch {
	case e.phase == phaseFencing && !probe.Granted && probe.Answered && m.state.Term > e.proposedTerm:
		return e.withBackoff(now)
	case e.phase == phasePromoting && probe.Command.Kind == rosemarylb.CommandPromote:
		return e.withPromoteResult(probe, now)
	default:
		return e
	}
}

// withProbe returns the state after a probe. A fence that the endpoint granted counts
// only for the proposed term.
func (m memberState) withProbe(
	probe rosemarylb.ProbeResult, proposedTerm rosemarylb.Term, now time.Time,
) memberState {
	if !probe.Answered {
		m.failedProbes++
		if probe.Command.Kind == rosemarylb.CommandStatus {
			m.nextCommandAt = now.Add(failedProbeRetryInterval)
		}
		return m
	}
	m.failedProbes = 0
	m.lastAnswerAt = now
	m.answered = true
	if !probe.State.ProbedAt.Before(m.state.ProbedAt) {
		m.state = probe.State
	}
	isFence := probe.Command.Kind == rosemarylb.CommandFence
	if isFence && probe.Granted && probe.Command.Term == proposedTerm {
		m.grantedTerm = proposedTerm
		m.state = probe.State
	}
	return m
}

// withPrimaryState adopts the endpoint as primary if its state shows it as the primary
// of a later term. An election for that term or an earlier one ends.
func (e Election) withPrimaryState(state rosemarylb.EndpointState) Election {
	if !state.Primary || state.Term <= e.primary.Term {
		return e
	}
	e.primary = rosemarylb.Primary{
		Database: e.database.Name,
		Term:     state.Term,
		Endpoint: state.ID,
	}
	if state.Term >= e.proposedTerm {
		e.phase = phaseWatching
	}
	return e
}

// withPromoteResult ends the election when the candidate is promoted, and backs off
// when it refused. A probe without an answer is ignored, as the command is repeated.
func (e Election) withPromoteResult(probe rosemarylb.ProbeResult, now time.Time) Election {
	if probe.Command.Term != e.proposedTerm || !probe.Answered {
		return e
	}
	if !probe.Granted {
		return e.withBackoff(now)
	}
	e.primary = rosemarylb.Primary{
		Database: e.database.Name,
		Term:     e.proposedTerm,
		Endpoint: probe.Endpoint,
	}
	e.phase = phaseWatching
	return e
}

// withBackoff ends the election and delays the next one by a random time, so that
// competing proposers do not collide again.
func (e Election) withBackoff(now time.Time) Election {
	e.phase = phaseWatching
	units := time.Duration(1 + e.random.IntN(maxBackoffUnits))
	e.nextElectionAt = now.Add(units * backoffUnit)
	return e
}

// Decide implements rosemarylb.Arbiter.
func (e Election) Decide(now time.Time) (rosemarylb.Arbiter, rosemarylb.Decision) {
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
	if e.phase != phaseWatching && now.After(e.electionDeadline) {
		e = e.withBackoff(now)
	}
	e = e.withLaterTerm(now)
	if e.phase == phaseWatching && e.electionDue(now) {
		e = e.withElection(now)
	}
	if e.phase == phaseFencing && e.grants() >= e.database.Quorum() {
		e.phase = phasePromoting
		e.candidate = e.bestCandidate()
		e = e.withNextCommandAt(e.candidate, now)
	}
	decision := rosemarylb.Decision{}
	e, decision.Commands = e.dueCommands(now)
	if e.primary.Term > e.announcedTerm {
		e.announcedTerm = e.primary.Term
		decision.Primary = e.primary
		decision.Announce = true
	}
	decision.Next = e.nextDecisionAt(now)
	return e, decision
}

// withElection starts an election for the term after the highest known one, and makes
// a command to every endpoint due.
func (e Election) withElection(now time.Time) Election {
	highestTerm := max(e.proposedTerm, e.primary.Term)
	for _, m := range e.members {
		highestTerm = max(highestTerm, m.state.Term)
	}
	e.proposedTerm = highestTerm + 1
	e.phase = phaseFencing
	e.electionDeadline = now.Add(electionTimeout)
	for _, m := range e.members {
		e = e.withNextCommandAt(m.spec.ID, now)
	}
	return e
}

// dueCommands returns the commands due by now, and schedules the next command to each
// of their endpoints.
func (e Election) dueCommands(now time.Time) (Election, []rosemarylb.Command) {
	var due []rosemarylb.Command
	for _, m := range e.members {
		if now.Before(m.nextCommandAt) {
			continue
		}
		command := e.commandFor(m, now)
		due = append(due, command)
		interval := statusInterval
		if command.Kind != rosemarylb.CommandStatus {
			interval = commandRetryInterval
		}
		e = e.withNextCommandAt(m.spec.ID, now.Add(interval))
	}
	return e, due
}

// commandFor returns the command that the phase requires for an endpoint, a status
// probe if none.
func (e Election) commandFor(m memberState, now time.Time) rosemarylb.Command {
	command := rosemarylb.Command{
		Kind:     rosemarylb.CommandStatus,
		Endpoint: m.spec.ID,
		Term:     e.proposedTerm,
		Proposer: e.proposer,
	}
	switch {
	case e.phase == phaseFencing && m.grantedTerm != e.proposedTerm && e.isVoter(m, now):
		command.Kind = rosemarylb.CommandFence
	case e.phase == phasePromoting && m.spec.ID == e.candidate:
		command.Kind = rosemarylb.CommandPromote
	case e.phase == phaseWatching && e.mustFollowPrimary(m):
		spec, _ := e.database.Endpoint(e.primary.Endpoint)
		command.Kind = rosemarylb.CommandFollow
		command.Term = e.primary.Term
		command.Upstream = spec.Address
	}
	return command
}

// nextDecisionAt returns the time at which Decide has to be called again.
func (e Election) nextDecisionAt(now time.Time) time.Time {
	next := now.Add(statusInterval)
	for _, m := range e.members {
		if m.nextCommandAt.Before(next) {
			next = m.nextCommandAt
		}
	}
	if e.phase != phaseWatching && e.electionDeadline.Before(next) {
		next = e.electionDeadline
	}
	return next
}

func (e Election) member(id rosemarylb.EndpointID) (memberState, bool) {
	for _, m := range e.members {
		if m.spec.ID == id {
			return m, true
		}
	}
	return memberState{}, false
}

func (e Election) withMember(m memberState) Election {
	members := make([]memberState, len(e.members))
	copy(members, e.members)
	for i := range members {
		if members[i].spec.ID == m.spec.ID {
			members[i] = m
		}
	}
	e.members = members
	return e
}

func (e Election) withNextCommandAt(id rosemarylb.EndpointID, nextCommandAt time.Time) Election {
	m, found := e.member(id)
	if !found {
		return e
	}
	m.nextCommandAt = nextCommandAt
	return e.withMember(m)
}

// Summary implements rosemarylb.Arbiter.
func (e Election) Summary() string {
	return fmt.Sprintf("phase=%s primary=%s term=%d proposed=%d", phaseNames[e.phase], e.primary.Endpoint,
		e.primary.Term, e.proposedTerm)
}
