package keeper

import (
	"time"

	"rosemarylb"
)

// promotionCandidate returns the endpoint to promote, empty if none is to be promoted yet.
func (k Keeper) promotionCandidate(name rosemarylb.DatabaseName, now time.Time) (Keeper, rosemarylb.EndpointID) {
	switch {
	case k.syncReplicas == nil:
		return k, ""
	case k.syncReplicas[name] > 0:
		return k.synchronousCandidate(name, now)
	default:
		return k, k.furthestCandidate(name, now)
	}
}

// answers reports whether an endpoint has lately answered since the failover began.
func (g groupState) answers(id rosemarylb.EndpointID, now time.Time) bool {
	s := g.states[id]
	return s.probedAt.After(g.failover.startedAt) && now.Sub(s.probedAt) < candidateStatusMaxAge
}

// isCandidate reports whether an endpoint answers and has not lately refused its
// promotion.
func (g groupState) isCandidate(id rosemarylb.EndpointID, now time.Time) bool {
	refused := id == g.failover.refusedBy && now.Sub(g.failover.refusedAt) < promotionRefusalDelay
	return g.answers(id, now) && !refused
}

// isPrevious reports whether an endpoint is the previous primary and leads no term of the
// failover, as it does once it has been promoted again.
func (g groupState) isPrevious(id rosemarylb.EndpointID) bool {
	return id == g.failover.previous.Primary && !g.leadsOrderedTerm(id)
}

// leadsOrderedTerm reports whether an endpoint leads a term that an order has started.
func (g groupState) leadsOrderedTerm(id rosemarylb.EndpointID) bool {
	s := g.states[id]
	return s.isPrimary && s.term > g.failover.previous.Term
}

// furthestCandidate returns the endpoint whose log is the furthest. If the previous
// primary has reported its own position, it returns none for up to catchUpTimeout until
// an endpoint has reached that position.
func (k Keeper) furthestCandidate(name rosemarylb.DatabaseName, now time.Time) rosemarylb.EndpointID {
	g := k.groups[name]
	var candidate rosemarylb.EndpointID
	var furthest rosemarylb.Position
	for _, e := range k.endpoints[name] {
		s := g.states[e.ID]
		if !g.isCandidate(e.ID, now) || e.Leaving {
			continue
		}
		if g.isPrevious(e.ID) && g.failover.reason != reasonDemoted {
			continue
		}
		if candidate == "" || furthest.Less(s.position) {
			candidate, furthest = e.ID, s.position
		}
	}
	if g.isBehindPrevious(furthest, now) {
		return ""
	}
	return candidate
}

// isBehindPrevious reports whether the previous primary has reported a position that a
// log has not reached, within the time that replicas have to receive the rest.
func (g groupState) isBehindPrevious(p rosemarylb.Position, now time.Time) bool {
	previous := g.states[g.failover.previous.Primary]
	known := previous.probedAt.After(g.failover.startedAt)
	return known && p.Less(previous.position) && now.Sub(g.failover.recordedAt) < catchUpTimeout
}

// candidateClass orders the endpoints whose logs hold every acknowledged commit.
type candidateClass uint8

const (
	classStaying candidateClass = iota
	// classLeaving is an endpoint that is replaced as planned once it leads.
	classLeaving
	// classPrevious is the previous primary after it has stepped down.
	classPrevious

	candidateClassCount = 3
)

// candidateClass returns the class of an endpoint as a candidate, false if it is none.
func (g groupState) candidateClass(e rosemarylb.EndpointSpec, now time.Time) (candidateClass, bool) {
	switch {
	case !g.isCandidate(e.ID, now):
		return 0, false
	case g.isPrevious(e.ID) && g.failover.reason != reasonDemoted:
		return classPrevious, !g.states[e.ID].isPrimary
	case e.Leaving:
		return classLeaving, true
	default:
		return classStaying, true
	}
}

// synchronousCandidate returns an endpoint of a group with synchronous replicas whose log
// holds every acknowledged commit: the furthest of the first class that has one. Those that
// stay have the time to receive the rest of the previous primary's log.
func (k Keeper) synchronousCandidate(name rosemarylb.DatabaseName, now time.Time) (Keeper, rosemarylb.EndpointID) {
	g := k.groups[name]
	required, awaited := k.requiredPosition(name)
	if awaited != "" {
		return k.withWaitLogged(name, awaited, "silent, may alone hold an acknowledged commit", now), ""
	}
	var best [candidateClassCount]rosemarylb.EndpointID
	for _, e := range k.endpoints[name] {
		class, eligible := g.candidateClass(e, now)
		position := g.states[e.ID].position
		if !eligible || position.Less(required) {
			continue
		}
		if best[class] == "" || g.states[best[class]].position.Less(position) {
			best[class] = e.ID
		}
	}
	if g.isBehindPrevious(g.states[best[classStaying]].position, now) {
		return k, ""
	}
	for _, id := range best {
		if id != "" {
			return k, id
		}
	}
	return k.withWaitLogged(name, "", "no log that answers holds every acknowledged commit", now), ""
}

// withWaitLogged logs why a promotion waits, and for which endpoint, once until that
// changes. All endpoints are silent for a moment after the permits have expired.
func (k Keeper) withWaitLogged(
	name rosemarylb.DatabaseName, id rosemarylb.EndpointID, reason string, now time.Time,
) Keeper {
	g := k.groups[name]
	wait := reason + " " + string(id)
	if g.failover.loggedWait == wait || now.Sub(g.failover.recordedAt) < PermitDuration+candidateStatusMaxAge {
		return k
	}
	g.failover.loggedWait = wait
	return k.withGroup(name, g).withLogEvent(LogEvent{
		Event:     "promotion waits",
		Group:     name,
		Endpoint:  id,
		Term:      g.failover.previous.Term,
		Reason:    reason,
		AgeMillis: now.Sub(g.failover.startedAt).Milliseconds(),
	})
}
