package keeper

import (
	"time"

	"rosemarylb"
)

const (
	// probeInterval is the interval between status probes of a healthy primary.
	probeInterval = 400 * time.Millisecond
	// fastProbeInterval is the interval between probes of a primary that may be
	// dead, and of all endpoints of a group without a known primary or during its
	// failover.
	fastProbeInterval = 100 * time.Millisecond
	// fastProbeAfter is the time since a primary's last answer after which it is
	// probed at fastProbeInterval.
	fastProbeAfter = 250 * time.Millisecond
	// suspendTimeout is the time since a primary's last answer after which no more
	// permits are granted on it, so that they have expired by the time that it is
	// presumed dead.
	suspendTimeout = 400 * time.Millisecond
	// deadTimeout is the time since a primary's last answer after which it is
	// presumed dead, and for which an instance's queries have to fail before it
	// counts as unable to reach the primary.
	deadTimeout = 900 * time.Millisecond
	// refusedTimeout is the time since a primary's last answer after which it is
	// replaced if it refuses or breaks connections.
	refusedTimeout = 250 * time.Millisecond
	// deadProbeFailures is the number of consecutive failed probes for which a
	// primary is presumed dead.
	deadProbeFailures = 2
	// suspendProbeFailures is the number of consecutive failed probes for which no
	// more permits are granted on a primary.
	suspendProbeFailures = 1
	// reportMaxAge is the maximum age of an instance's report for which it counts.
	reportMaxAge = 800 * time.Millisecond
	// missingTimeout is how long a primary may be missing from the list of
	// endpoints before it is replaced.
	missingTimeout = 500 * time.Millisecond
)

// endpointState is the last status of an endpoint and the state of its probes.
type endpointState struct {
	nextProbeAt time.Time
	// nextLoadProbeAt is when the next probe for the load is due, apart from the others,
	// which must not be late when a failover starts.
	nextLoadProbeAt time.Time
	// probedAt is when the request for the status was sent, zero for no status.
	probedAt  time.Time
	isPrimary bool
	term      rosemarylb.Term
	position  rosemarylb.Position
	// busy and connections are the last reported load.
	busy        int
	connections int
	// failures and refusals count consecutive failed probes.
	failures int
	refusals int
	// receivedUpTo is the time up to which the endpoint is known to have received the
	// primary's log, in a group with synchronous replicas.
	receivedUpTo time.Time
}

// isPrimaryIn reports whether the endpoint's last status says that it is primary in a
// term.
func (s endpointState) isPrimaryIn(t rosemarylb.Term) bool {
	return s.isPrimary && s.term == t
}

// groupState is the keeper's state of one group while it holds the lease.
type groupState struct {
	states        map[rosemarylb.EndpointID]endpointState
	observedSince time.Time
	// answeredAt is when the last probe that a primary answered was sent.
	answeredAt   time.Time
	missingSince time.Time
	// desired is what the record has to say of the group, zero for no change.
	desired  Leadership
	failover failover
	// ordersSettledAt is when all orders of the last failover have taken effect or never
	// will.
	ordersSettledAt time.Time
	// unansweredOrders counts the orders that were sent and not answered, also those of
	// earlier failovers.
	unansweredOrders int
	// replication is what is known of the replication of a group with synchronous
	// replicas.
	replication replication
}

func (g groupState) failingOver() bool {
	return !g.failover.startedAt.IsZero()
}

func (g groupState) withState(id rosemarylb.EndpointID, s endpointState) groupState {
	g.states = withEntry(g.states, id, s)
	return g
}

// withListing records whether the primary is listed, and begins to observe a new
// group.
func (g groupState) withListing(listed bool, now time.Time) groupState {
	if g.observedSince.IsZero() {
		g.observedSince = now
	}
	switch {
	case listed:
		g.missingSince = time.Time{}
	case g.missingSince.IsZero():
		g.missingSince = now
	}
	return g
}

func (k Keeper) withGroup(name rosemarylb.DatabaseName, g groupState) Keeper {
	k.groups = withEntry(k.groups, name, g)
	return k
}

// Status is the outcome of a status probe of an endpoint.
type Status struct {
	// Group is the replicated database.
	Group rosemarylb.DatabaseName
	// Endpoint is the endpoint that was probed.
	Endpoint rosemarylb.EndpointID
	// ProbedAt is when the request was sent.
	ProbedAt time.Time
	// Answered is false when the endpoint did not answer.
	Answered bool
	// Refused is true when the endpoint refused or broke the connection.
	Refused bool
	// Busy is true when the endpoint answered that it was too busy to report its
	// state; the fields below are unset then.
	Busy bool
	// Primary is true when the endpoint reports itself as primary.
	Primary bool
	// Term is the endpoint's term.
	Term rosemarylb.Term
	// LogPosition is the position of the last entry in the endpoint's log.
	LogPosition rosemarylb.Position
	// BusySlots and Connections are the endpoint's use by all instances.
	BusySlots, Connections int
}

// WithStatus applies the outcome of a status probe. It is ignored while the
// instance does not hold the lease.
func (k Keeper) WithStatus(a Status) Keeper {
	if !k.holdsLease {
		return k
	}
	g := k.groups[a.Group]
	s := g.states[a.Endpoint]
	switch {
	case !a.Answered:
		s.failures++
		if a.Refused {
			s.refusals++
		}
	case a.Busy:
		s.failures = 0
		s.refusals = 0
	default:
		s = endpointState{
			nextProbeAt: s.nextProbeAt,

			nextLoadProbeAt: s.nextLoadProbeAt,

			probedAt:    a.ProbedAt,
			isPrimary:   a.Primary,
			term:        a.Term,
			position:    a.LogPosition,
			busy:        a.BusySlots,
			connections: a.Connections,

			receivedUpTo: s.receivedUpTo,
		}
		if k.syncReplicas[a.Group] > 0 {
			g, s = g.withPosition(k.leadership(a.Group), a, s)
		}
	}
	l := k.leadership(a.Group)
	if a.Answered && a.Endpoint == l.Primary && a.ProbedAt.After(g.answeredAt) {
		g.answeredAt = a.ProbedAt
	}
	return k.withGroup(a.Group, g.withState(a.Endpoint, s))
}

// lastAnswerAt returns when the last request that the primary answered was sent,
// by this keeper or by any instance, but no time before the group was observed.
func (k Keeper) lastAnswerAt(name rosemarylb.DatabaseName, l Leadership) time.Time {
	g := k.groups[name]
	reported := k.members.answeredAt[observedPrimary{
		group:    name,
		endpoint: l.Primary,
	}]
	return laterTime(reported, laterTime(g.answeredAt, g.observedSince))
}

// hasEnoughReports reports whether at least half of the instances have reported
// recently, so that a keeper which is cut off from the fleet fails nothing over.
func (k Keeper) hasEnoughReports() bool {
	recent := k.fleet.recentReports
	return recent*2 >= k.members.count() && recent > 0
}

// unreachable reports whether the primary fails for most of the instances that
// reported recently. Instances that sent it no query count as able to reach it: a
// few failures on a quiet database are no reason for a failover.
func (k Keeper) unreachable(name rosemarylb.DatabaseName, l Leadership, now time.Time) bool {
	failing := 0
	for _, m := range k.members.allFailing() {
		e := m.observations[name]
		recent := e.Primary == l.Primary && now.Sub(m.reportedAt) <= reportMaxAge
		if recent && !e.FirstFailureAt.IsZero() && now.Sub(e.FirstFailureAt) > deadTimeout {
			failing++
		}
	}
	return failing*2 > k.fleet.recentReports
}

// failoverReason returns why a group's primary has to be replaced, or the empty
// string if it need not be.
func (k Keeper) failoverReason(name rosemarylb.DatabaseName, l Leadership, now time.Time) string {
	g := k.groups[name]
	s := g.states[l.Primary]
	spec, listed := k.endpointSpec(name, l.Primary)
	silence := now.Sub(k.lastAnswerAt(name, l))
	switch {
	case !listed && !g.missingSince.IsZero() && now.Sub(g.missingSince) > missingTimeout:
		return "gone"
	case spec.Leaving && k.hasReplacement(name, l) && k.hasReceivingReplica(name, l, now):
		return "leaving"
	case s.probedAt.After(g.observedSince) && !s.isPrimary:
		return "demoted"
	case !k.hasEnoughReports():
		return ""
	case s.refusals >= deadProbeFailures && silence > refusedTimeout:
		return "refused"
	case s.failures >= suspendProbeFailures && silence > suspendTimeout:
		return reasonSilent
	}
	if k.unreachable(name, l, now) {
		return "unreachable for most"
	}
	return ""
}

// presumedDead reports whether a primary that does not answer may be replaced once
// its permits have expired.
func (k Keeper) presumedDead(name rosemarylb.DatabaseName, l Leadership, now time.Time) bool {
	s := k.groups[name].states[l.Primary]
	return s.failures >= deadProbeFailures && now.Sub(k.lastAnswerAt(name, l)) > deadTimeout && k.hasEnoughReports()
}

// hasReplacement reports whether the group has another endpoint that is not
// leaving.
func (k Keeper) hasReplacement(name rosemarylb.DatabaseName, l Leadership) bool {
	for _, e := range k.endpoints[name] {
		if e.ID != l.Primary && !e.Leaving {
			return true
		}
	}
	return false
}

func (k Keeper) endpointSpec(name rosemarylb.DatabaseName, id rosemarylb.EndpointID) (rosemarylb.EndpointSpec, bool) {
	for _, e := range k.endpoints[name] {
		if e.ID == id {
			return e, true
		}
	}
	return rosemarylb.EndpointSpec{}, false
}

// probeDue reports whether the next status query to an endpoint is due.
func (g groupState) probeDue(id rosemarylb.EndpointID, now time.Time) bool {
	return !now.Before(g.states[id].nextProbeAt)
}

// probe adds a status query to the decision when the endpoint's next one is due.
func (g groupState) probe(
	d Decision, e rosemarylb.EndpointSpec, interval time.Duration, now time.Time,
) (groupState, Decision) {
	if !g.probeDue(e.ID, now) {
		return g, d
	}
	s := g.states[e.ID]
	s.nextProbeAt = now.Add(interval)
	d.Queries = append(d.Queries, statusQuery(e))
	return g.withState(e.ID, s), d
}

func statusQuery(e rosemarylb.EndpointSpec) EndpointQuery {
	return EndpointQuery{
		Endpoint: e,
		Query: rosemarylb.Query{
			Kind: rosemarylb.QueryStatus,
		},
	}
}

// stepDownQuery makes an endpoint that leads a term a replica.
func stepDownQuery(e rosemarylb.EndpointSpec, t rosemarylb.Term) EndpointQuery {
	return EndpointQuery{
		Endpoint: e,
		Query: rosemarylb.Query{
			Kind: rosemarylb.QueryStepDown,
			Term: t + 1,
		},
	}
}
