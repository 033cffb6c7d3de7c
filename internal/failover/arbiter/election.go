// Package arbiter decides when an endpoint is promoted, and which.
package arbiter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarylb"
)

// Intervals of the default arbiter.
const (
	// probeInterval is the time between two probes of an endpoint.
	probeInterval = 250 * time.Millisecond
	// suspectInterval is the time between two probes of a primary that
	// failed to answer.
	suspectInterval = 100 * time.Millisecond
	// silenceLimit is how long a primary may leave probes unanswered.
	silenceLimit = 1000 * time.Millisecond
	// refusalLimit is how many refused probes in a row are a crash.
	refusalLimit = 2
	// strayLimit is how long an endpoint may stand in a later term than the
	// primary, so that another proposer can finish its promotion.
	strayLimit = 600 * time.Millisecond
	// electionLimit bounds one try to promote.
	electionLimit = 1200 * time.Millisecond
	// repeatInterval is the time after which a command is repeated.
	repeatInterval = 300 * time.Millisecond
	// backoffStep is the unit of the random wait before another try.
	backoffStep = 150 * time.Millisecond
	// backoffSteps is the greatest number of units waited.
	backoffSteps = 4
)

type phase uint8

const (
	phaseWatching phase = iota
	phaseFencing
	phasePromoting
)

var phaseNames = [...]string{"watching", "fencing", "promoting"}

// member is what the arbiter knows of one endpoint of the group.
type member struct {
	spec       rosemarylb.EndpointSpec
	state      rosemarylb.EndpointState
	seen       bool
	answeredAt time.Time
	refusals   int
	askAgainAt time.Time
	granted    rosemarylb.Term
}

// Election promotes by majority: a proposer has a new term given to it by a
// majority of the group, and promotes the endpoint among them with the
// latest log. An endpoint gives a term to one proposer only, so a term has at
// most one primary, whatever the keepers believe of each other.
type Election struct {
	proposer     rosemarylb.InstanceID
	database     rosemarylb.Database
	members      []member
	primary      rosemarylb.Primary
	phase        phase
	term         rosemarylb.Term
	candidate    rosemarylb.EndpointID
	giveUpAt     time.Time
	notBefore    time.Time
	watchedSince time.Time
	strayedAt    time.Time
	announced    rosemarylb.Term
	random       *rand.Rand
}

// Option changes an arbiter under construction.
type Option func(*Election)

// WithSeed makes the random waits repeatable.
func WithSeed(seed uint64) Option {
	return func(e *Election) {
		e.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// NewElection returns the default arbiter of a database for one proposer. Each
// arbiter proposes under a name of its own: a restarted one has forgotten the
// terms that it proposed, and must not be given one again that it has.
func NewElection(
	self rosemarylb.InstanceID, d rosemarylb.Database, options ...Option,
) rosemarylb.Arbiter {
	e := Election{
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range options {
		o(&e)
	}
	e.proposer = rosemarylb.InstanceID(fmt.Sprintf("%s.%016x", self, e.random.Uint64()))
	return e.WithDatabase(d)
}

// WithDatabase implements rosemarylb.Arbiter.
func (e Election) WithDatabase(d rosemarylb.Database) rosemarylb.Arbiter {
	members := make([]member, 0, len(d.Endpoints))
	for _, spec := range d.Endpoints {
		m, _ := e.member(spec.ID)
		m.spec = spec
		members = append(members, m)
	}
	e.database = d
	e.members = members
	return e
}

// WithAnnounced implements rosemarylb.Arbiter.
func (e Election) WithAnnounced(p rosemarylb.Primary) rosemarylb.Arbiter {
	if p.Term <= e.primary.Term {
		return e
	}
	e.primary = p
	e.announced = p.Term
	if e.term <= p.Term {
		e.phase = phaseWatching
	}
	return e
}

// WithProbe implements rosemarylb.Arbiter.
func (e Election) WithProbe(p rosemarylb.ProbeResult, now time.Time) rosemarylb.Arbiter {
	m, found := e.member(p.Endpoint)
	if !found {
		return e
	}
	m = m.withProbe(p, e.term, now)
	e = e.withMember(m)
	if p.Answered {
		e = e.withPrimaryState(m.state)
	}
	switch {
	case e.phase == phaseFencing && !p.Granted && p.Answered && m.state.Term > e.term:
		return e.withBackoff(now)
	case e.phase == phasePromoting && p.Command.Kind == rosemarylb.CommandPromote:
		return e.withPromoteAnswer(p, now)
	default:
		return e
	}
}

func (m member) withProbe(p rosemarylb.ProbeResult, proposed rosemarylb.Term, now time.Time) member {
	if !p.Answered {
		m.refusals++
		if p.Command.Kind == rosemarylb.CommandStatus {
			m.askAgainAt = now.Add(suspectInterval)
		}
		return m
	}
	m.refusals = 0
	m.answeredAt = now
	m.seen = true
	if !p.State.ProbedAt.Before(m.state.ProbedAt) {
		m.state = p.State
	}
	fence := p.Command.Kind == rosemarylb.CommandFence
	if fence && p.Granted && p.Command.Term == proposed {
		m.granted = proposed
		m.state = p.State
	}
	return m
}

// withPrimaryState adopts a primary of a later term that a probe has shown.
func (e Election) withPrimaryState(s rosemarylb.EndpointState) Election {
	if !s.Primary || s.Term <= e.primary.Term {
		return e
	}
	e.primary = rosemarylb.Primary{
		Database: e.database.Name,
		Term:     s.Term,
		Endpoint: s.ID,
	}
	if s.Term >= e.term {
		e.phase = phaseWatching
	}
	return e
}

func (e Election) withPromoteAnswer(p rosemarylb.ProbeResult, now time.Time) Election {
	if p.Command.Term != e.term || !p.Answered {
		return e
	}
	if !p.Granted {
		return e.withBackoff(now)
	}
	e.primary = rosemarylb.Primary{
		Database: e.database.Name,
		Term:     e.term,
		Endpoint: p.Endpoint,
	}
	e.phase = phaseWatching
	return e
}

func (e Election) withBackoff(now time.Time) Election {
	e.phase = phaseWatching
	steps := time.Duration(1 + e.random.IntN(backoffSteps))
	e.notBefore = now.Add(steps * backoffStep)
	return e
}

// Decide implements rosemarylb.Arbiter.
func (e Election) Decide(now time.Time) (rosemarylb.Arbiter, rosemarylb.Decision) {
	if e.watchedSince.IsZero() {
		e.watchedSince = now
	}
	if e.phase != phaseWatching && now.After(e.giveUpAt) {
		e = e.withBackoff(now)
	}
	e = e.withStray(now)
	if e.phase == phaseWatching && e.mustElect(now) {
		e = e.withElection(now)
	}
	if e.phase == phaseFencing && e.grants() >= e.database.Quorum() {
		e.phase = phasePromoting
		e.candidate = e.bestCandidate()
		e = e.withDueAt(e.candidate, now)
	}
	d := rosemarylb.Decision{}
	e, d.Commands = e.commands(now)
	if e.primary.Term > e.announced {
		e.announced = e.primary.Term
		d.Primary = e.primary
		d.Announce = true
	}
	d.Next = e.next(now)
	return e, d
}

func (e Election) withElection(now time.Time) Election {
	highest := max(e.term, e.primary.Term)
	for _, m := range e.members {
		highest = max(highest, m.state.Term)
	}
	e.term = highest + 1
	e.phase = phaseFencing
	e.giveUpAt = now.Add(electionLimit)
	for _, m := range e.members {
		e = e.withDueAt(m.spec.ID, now)
	}
	return e
}

func (e Election) commands(now time.Time) (Election, []rosemarylb.Command) {
	var due []rosemarylb.Command
	for _, m := range e.members {
		if now.Before(m.askAgainAt) {
			continue
		}
		c := e.commandFor(m)
		due = append(due, c)
		interval := probeInterval
		if c.Kind != rosemarylb.CommandStatus {
			interval = repeatInterval
		}
		e = e.withDueAt(m.spec.ID, now.Add(interval))
	}
	return e, due
}

func (e Election) commandFor(m member) rosemarylb.Command {
	c := rosemarylb.Command{
		Kind:     rosemarylb.CommandStatus,
		Endpoint: m.spec.ID,
		Term:     e.term,
		Proposer: e.proposer,
	}
	switch {
	case e.phase == phaseFencing && m.granted != e.term && e.votes(m):
		c.Kind = rosemarylb.CommandFence
	case e.phase == phasePromoting && m.spec.ID == e.candidate:
		c.Kind = rosemarylb.CommandPromote
	case e.phase == phaseWatching && e.mustFollow(m):
		spec, _ := e.database.Endpoint(e.primary.Endpoint)
		c.Kind = rosemarylb.CommandFollow
		c.Term = e.primary.Term
		c.Upstream = spec.Address
	}
	return c
}

// next returns the deadline of the next decision.
func (e Election) next(now time.Time) time.Time {
	next := now.Add(probeInterval)
	for _, m := range e.members {
		if m.askAgainAt.Before(next) {
			next = m.askAgainAt
		}
	}
	if e.phase != phaseWatching && e.giveUpAt.Before(next) {
		next = e.giveUpAt
	}
	return next
}

func (e Election) member(id rosemarylb.EndpointID) (member, bool) {
	for _, m := range e.members {
		if m.spec.ID == id {
			return m, true
		}
	}
	return member{}, false
}

func (e Election) withMember(m member) Election {
	members := make([]member, len(e.members))
	copy(members, e.members)
	for i := range members {
		if members[i].spec.ID == m.spec.ID {
			members[i] = m
		}
	}
	e.members = members
	return e
}

func (e Election) withDueAt(id rosemarylb.EndpointID, at time.Time) Election {
	m, found := e.member(id)
	if !found {
		return e
	}
	m.askAgainAt = at
	return e.withMember(m)
}

// Summary implements rosemarylb.Arbiter.
func (e Election) Summary() string {
	return fmt.Sprintf("phase=%s primary=%s term=%d proposed=%d", phaseNames[e.phase], e.primary.Endpoint,
		e.primary.Term, e.term)
}
