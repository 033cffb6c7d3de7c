package keeper

import (
	"time"

	"rosemarylb"
)

const (
	// promotionRetryDelay is the delay before an unanswered promotion is sent
	// again.
	promotionRetryDelay = 100 * time.Millisecond
	// promotionCompletionTimeout is how long an endpoint that accepted its
	// promotion may take to become primary.
	promotionCompletionTimeout = 3 * time.Second
	// catchUpTimeout is how long the promotion waits for a replica to receive the
	// rest of the previous primary's log. It counts from when the record names the
	// failover.
	catchUpTimeout = 1500 * time.Millisecond
	// stepDownTimeout is how long a primary may take to step down, and how long a
	// failover waits for its first answer.
	stepDownTimeout = 600 * time.Millisecond
	// promotionRefusalDelay is how long an endpoint that refused its promotion is not
	// a candidate again. It may have refused because it was about to start.
	promotionRefusalDelay = time.Second
	// discoveryTimeout is how long the endpoints of a group without a known
	// primary are probed before one of them is promoted.
	discoveryTimeout = 3 * time.Second
	// candidateStatusMaxAge is the maximum age of an endpoint's status for which
	// it may be promoted.
	candidateStatusMaxAge = 500 * time.Millisecond
)

// Reasons for a failover on which its later steps depend.
const (
	reasonSilent    = "silent"
	reasonDemoted   = "demoted"
	reasonInherited = "left by the former keeper"
	reasonRestored  = "record of an earlier era"
)

// failover is a change of a group's primary that has not completed.
type failover struct {
	startedAt time.Time
	reason    string
	previous  Leadership
	// recordedAt is when the store confirmed the record that names the failover.
	// A permit requested later does not cover the previous primary, and those
	// requested earlier have expired after another PermitDuration.
	recordedAt     time.Time
	stepDownSentAt time.Time
	// stepDownAgainAt is when a candidate that leads an earlier term is asked to step down
	// once more.
	stepDownAgainAt time.Time
	candidate       rosemarylb.EndpointID
	// refusedBy is the last endpoint that refused its promotion, at refusedAt.
	refusedBy rosemarylb.EndpointID
	refusedAt time.Time
	orders    orders
	// promotionPending is true while the last order is not answered, promotionAcceptedAt
	// when it was accepted, zero once its completion is no longer awaited.
	promotionPending    bool
	promotionAcceptedAt time.Time
	retryAt             time.Time
	// promotedFrom is the position of the candidate when it was chosen.
	promotedFrom rosemarylb.Position
	// loggedWait is why the promotion was last logged to wait, and for which endpoint.
	loggedWait string
}

// decideGroup decides what is due for one group: the next step of its failover,
// the start of one, or the next probe of its primary.
func (k Keeper) decideGroup(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	k = k.withDepartures(name, now)
	g := k.groups[name]
	l := k.leadership(name)
	_, listed := k.endpointSpec(name, l.Primary)
	if g.observedSince.IsZero() || listed != g.missingSince.IsZero() {
		g = g.withListing(listed, now)
		k = k.withGroup(name, g)
	}
	switch {
	case g.failingOver():
		return k.decideFailover(name, d, now)
	case k.staleTakeover && (l.FailingOver || l.Primary == ""):
		return k.startFailover(name, l, reasonRestored, now), d
	case l.FailingOver:
		return k.startFailover(name, l, reasonInherited, now), d
	case l.Primary == "":
		return k.discoverPrimary(name, d, now)
	}
	if reason := k.failoverReason(name, l, now); reason != "" {
		return k.startFailover(name, l, reason, now), d
	}
	interval := probeInterval
	if now.Sub(k.lastAnswerAt(name, l)) > fastProbeAfter {
		interval = fastProbeInterval
	}
	if e, listed := k.endpointSpec(name, l.Primary); listed && g.probeDue(e.ID, now) {
		g, d = g.probe(d, e, interval, now)
		k = k.withGroup(name, g)
	}
	return k.probeLoads(name, d, now)
}

// discoverPrimary probes all endpoints of a group whose primary the record does
// not name. It adopts the primary of the highest term, and starts a failover if
// none is found within discoveryTimeout.
func (k Keeper) discoverPrimary(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	g := k.groups[name]
	answered := 0
	for _, e := range k.endpoints[name] {
		g, d = g.probe(d, e, fastProbeInterval, now)
		s := g.states[e.ID]
		if s.probedAt.IsZero() {
			continue
		}
		answered++
		if s.isPrimary && s.term > g.desired.Term {
			g.desired = Leadership{
				Primary: e.ID,
				Term:    s.term,
				Start:   k.termStart(name, e.ID, s.term),
			}
			k = k.withLogEvent(LogEvent{
				Event:    "primary found",
				Group:    name,
				Endpoint: e.ID,
				Term:     s.term,
			})
		}
	}
	k = k.withGroup(name, g)
	if g.desired.Primary == "" && answered > 0 && now.Sub(g.observedSince) > discoveryTimeout {
		return k.startFailover(name, Leadership{}, "no endpoint leads", now), d
	}
	return k, d
}

// startFailover stops granting permits for a group and marks the failover in the
// record that is written next.
func (k Keeper) startFailover(name rosemarylb.DatabaseName, l Leadership, reason string, now time.Time) Keeper {
	g := k.groups[name]
	age := now.Sub(k.lastAnswerAt(name, l)).Milliseconds()
	g.failover = failover{
		startedAt: now,
		reason:    reason,
		previous:  l,
		orders:    k.newOrders(name, l, now),
	}
	if l.FailingOver {
		// The record already marked the failover when this keeper took the lease.
		g.failover.recordedAt = now
	}
	g.desired = l
	g.desired.FailingOver = true
	if !l.FailingOver && !g.failover.orders.unknown {
		// The first order needs no write of its own.
		g.desired.Orders = g.failover.termsWithOrder("")
	}
	k = k.withLogEvent(LogEvent{
		Event:     "move started",
		Group:     name,
		Endpoint:  l.Primary,
		Term:      l.Term,
		Reason:    reason,
		AgeMillis: age,
	})
	return k.withGroup(name, g)
}

// decideFailover takes the next step of a failover. It ends once another primary
// is found and the permits on the previous one have expired, or once the previous
// primary has recovered. Otherwise it has the previous primary step down, and
// promotes an endpoint after that primary has confirmed it or its permits have
// expired.
func (k Keeper) decideFailover(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	g := k.groups[name]
	for _, e := range k.probedEndpoints(name) {
		g, d = g.probe(d, e, fastProbeInterval, now)
	}
	k = k.withGroup(name, g)
	if g.failover.reason == reasonRestored {
		return k.resolveRestored(name, now), d
	}
	permitsExpired := !g.failover.recordedAt.IsZero() && !now.Before(g.failover.recordedAt.Add(PermitDuration))
	if id, term, found := k.latestSuccessor(name, now); found {
		if !permitsExpired {
			return k, d
		}
		return k.endFailover(name, id, term, now), d
	}
	if k.recovered(name, now) {
		return k.endFailover(name, g.failover.previous.Primary, g.failover.previous.Term, now), d
	}
	if g.failover.recordedAt.IsZero() {
		return k, d
	}
	if !g.failover.promotionAcceptedAt.IsZero() {
		if now.Sub(g.failover.promotionAcceptedAt) > promotionCompletionTimeout {
			g.failover.promotionAcceptedAt = time.Time{}
			g.failover.candidate = ""
			k = k.withGroup(name, g)
		}
		return k, d
	}
	if g.failover.promotionPending {
		return k, d
	}
	var stepDownDone bool
	k, d, stepDownDone = k.stepDown(name, d, now)
	if !stepDownDone || !permitsExpired && !g.previousSteppedDown() {
		return k, d
	}
	if g.failover.reason == reasonSilent && !g.previousSteppedDown() && !k.presumedDead(name, g.failover.previous, now) {
		return k, d
	}
	return k.promote(name, d, now)
}

// previousSteppedDown reports whether a status requested after the step-down was
// sent shows that the previous primary is no longer primary. It commits nothing
// from then on, so its permits need not expire first.
func (g groupState) previousSteppedDown() bool {
	s := g.states[g.failover.previous.Primary]
	return !g.failover.stepDownSentAt.IsZero() && s.probedAt.After(g.failover.stepDownSentAt) && !s.isPrimary
}

// successor returns the endpoint that leads the group in the highest term after
// that of the previous primary, and that term.
func (g groupState) successor() (rosemarylb.EndpointID, rosemarylb.Term, bool) {
	var found rosemarylb.EndpointID
	term := g.failover.previous.Term
	for id, s := range g.states {
		if s.isPrimary && s.term > term && s.probedAt.After(g.failover.startedAt) {
			found, term = id, s.term
		}
	}
	return found, term, found != ""
}

// latestSuccessor returns the successor of the previous primary and its term, and false
// if there is none or if it need not be the latest one.
func (k Keeper) latestSuccessor(name rosemarylb.DatabaseName, now time.Time) (rosemarylb.EndpointID, rosemarylb.Term, bool) {
	id, term, found := k.groups[name].successor()
	return id, term, found && k.isLatestPrimary(name, id, term, now)
}

// isLatestPrimary reports whether no other endpoint can lead a later term than a
// successor of the previous primary. Where it is not known how many promotions former
// keepers have ordered, the endpoint of the last one need not answer: all but the previous
// primary have to, unless the last order has started the term.
func (k Keeper) isLatestPrimary(
	name rosemarylb.DatabaseName, id rosemarylb.EndpointID, t rosemarylb.Term, now time.Time,
) bool {
	g := k.groups[name]
	if id == g.failover.orders.target || !g.failover.orders.unknown {
		return g.failover.isLatest(id, t)
	}
	if now.Before(g.failover.allSettledAt()) {
		return false
	}
	for _, other := range k.logHolders(name) {
		if other != g.failover.previous.Primary && !g.answers(other, now) {
			return false
		}
		if g.states[other].term > t {
			// It led that term, or replicates from the endpoint that does.
			return false
		}
	}
	return true
}

// recovered reports whether the previous primary is available again and may stay
// primary: neither a promotion nor a step-down has been sent, and the failover was
// not taken over from another keeper, which may have sent one.
func (k Keeper) recovered(name rosemarylb.DatabaseName, now time.Time) bool {
	g := k.groups[name]
	previous := g.failover.previous
	s := g.states[previous.Primary]
	if g.failover.orders.target != "" || !g.failover.stepDownSentAt.IsZero() || g.failover.reason == reasonInherited {
		return false
	}
	spec, listed := k.endpointSpec(name, previous.Primary)
	if g.failover.reason == reasonSilent && listed && !spec.Leaving && k.lastAnswerAt(name, previous).After(g.failover.startedAt) {
		return true
	}
	if !listed || spec.Leaving || !s.isPrimaryIn(previous.Term) || !s.probedAt.After(g.failover.startedAt) {
		return false
	}
	return !k.unreachable(name, previous, now)
}

// endFailover completes a failover with the given endpoint as primary.
func (k Keeper) endFailover(name rosemarylb.DatabaseName, id rosemarylb.EndpointID, t rosemarylb.Term, now time.Time) Keeper {
	g := k.groups[name]
	k = k.withLogEvent(LogEvent{
		Event:     "move ended",
		Group:     name,
		Endpoint:  id,
		Term:      t,
		Reason:    g.failover.reason,
		AgeMillis: now.Sub(g.failover.startedAt).Milliseconds(),
	})
	g.desired = Leadership{
		Primary: id,
		Term:    t,
		Start:   k.termStart(name, id, t),
	}
	if t != g.failover.previous.Term {
		g.replication.samples = nil
	}
	g.ordersSettledAt = g.failover.allSettledAt()
	g.failover = failover{}
	g.observedSince = now
	return k.withGroup(name, g)
}

// stepDown has the previous primary step down if it answers and another endpoint
// can replace it. It returns true when the failover may proceed: the previous
// primary no longer leads, does not answer or is not listed, or stepDownTimeout has
// passed since the step-down was sent.
func (k Keeper) stepDown(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision, bool) {
	g := k.groups[name]
	previous := g.failover.previous
	s := g.states[previous.Primary]
	spec, listed := k.endpointSpec(name, previous.Primary)
	answering := listed && s.probedAt.After(g.failover.startedAt) && s.failures == 0
	if !answering && listed && g.failover.reason != reasonSilent && now.Sub(g.failover.startedAt) < stepDownTimeout {
		return k, d, false
	}
	if !answering || !s.isPrimaryIn(previous.Term) {
		return k, d, true
	}
	if !k.hasReplacement(name, previous) {
		return k, d, false
	}
	if g.failover.stepDownSentAt.IsZero() {
		g.failover.stepDownSentAt = now
		d.Queries = append(d.Queries, stepDownQuery(spec, previous.Term))
		return k.withGroup(name, g), d, false
	}
	return k, d, now.Sub(g.failover.stepDownSentAt) > stepDownTimeout
}

// promote chooses a candidate unless there is one, and sends its promotion. It
// sends none that could be under way after the lease has expired.
func (k Keeper) promote(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	if k.groups[name].failover.orders.target == "" {
		// The first order after a change of the keeper is recorded while it waits.
		k, _ = k.withOrderRecorded(name, "")
	}
	g := k.groups[name]
	if now.Before(k.promoteNotBefore) || now.Before(g.failover.retryAt) {
		return k, d
	}
	if !now.Add(PromotionTimeout).Before(k.leaseUntil) {
		return k, d
	}
	if g.failover.candidate == "" {
		var chosen rosemarylb.EndpointID
		if k, chosen = k.promotionCandidate(name, now); chosen == "" {
			return k, d
		}
		var recorded bool
		if k, recorded = k.withOrderRecorded(name, chosen); !recorded {
			return k, d
		}
		var replica bool
		if k, d, replica = k.stepDownBeforeOrder(name, chosen, d, now); !replica {
			return k, d
		}
		g.failover.candidate = chosen
		g.failover.promotedFrom = g.states[chosen].position
	}
	if g.failover.candidate == g.failover.refusedBy {
		// The order may be accepted this time.
		g.failover.refusedBy = ""
	}
	g = g.withOrderSent(g.failover.candidate, now.Add(PromotionTimeout))
	g.failover.retryAt = time.Time{}
	d.Promotions = append(d.Promotions, rosemarylb.Promotion{
		Group:    name,
		Endpoint: g.failover.candidate,
		Holder:   k.self,
		Token:    k.record.Token,
		Deadline: g.failover.orders.deadline,
	})
	k = k.withLogEvent(LogEvent{
		Event:     "promotion ordered",
		Group:     name,
		Endpoint:  g.failover.candidate,
		Term:      g.failover.previous.Term,
		Reason:    g.failover.reason,
		AgeMillis: now.Sub(g.failover.startedAt).Milliseconds(),
	})
	return k.withGroup(name, g), d
}
