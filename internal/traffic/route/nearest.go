// Package route selects the endpoint that serves a request.
package route

import (
	"time"

	"rosemarylb"
)

// Costs of serving a read on an endpoint, by its role and distance. The lowest
// is preferred.
const (
	costReplicaSameDomain = iota
	costReplicaSameRegion
	costPrimarySameRegion
	costReplicaOtherRegion
	costPrimaryOtherRegion
)

// Nearest routes writes to the primary, and reads to the cheapest endpoint that
// is expected to serve them in time. It prefers replicas to the primary and
// endpoints in its own region to those in other regions.
type Nearest struct {
	placement rosemarylb.Placement
}

// NewNearest returns the default router. The placement determines the instance
// that owns the connections to an endpoint.
func NewNearest(placement rosemarylb.Placement) rosemarylb.Router {
	return &Nearest{
		placement: placement,
	}
}

// Route implements rosemarylb.Router.
func (n *Nearest) Route(
	v rosemarylb.View, known rosemarylb.EndpointStates, r rosemarylb.Request, now time.Time,
) (rosemarylb.Target, rosemarylb.Reason) {
	database, found := v.ServiceConfig.Database(r.Database)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonNoPrimary
	}
	if !replicaAllowed(r) {
		return n.routeToPrimary(v, database)
	}
	if e, waitUntil, usable := n.nearestReplica(v, known, r, database, now); usable {
		return n.newTarget(v, e, 0, waitUntil)
	}
	return n.routeToPrimary(v, database)
}

// replicaAllowed reports whether a replica may serve the request: it must be a
// read with a known minimum position that need not be linearizable.
func replicaAllowed(r rosemarylb.Request) bool {
	return r.Class == rosemarylb.ClassRead && r.Floor.Known && !r.Linearizable
}

// routeToPrimary returns the target for the primary of a database.
func (n *Nearest) routeToPrimary(v rosemarylb.View, d rosemarylb.Database) (rosemarylb.Target, rosemarylb.Reason) {
	p, found := v.Primary(d.Name)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonNoPrimary
	}
	e, found := d.Endpoint(p.Endpoint)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonNoPrimary
	}
	return n.newTarget(v, e, p.Term, time.Time{})
}

// newTarget returns the target for an endpoint by way of its owner.
func (n *Nearest) newTarget(
	v rosemarylb.View, e rosemarylb.EndpointSpec, term rosemarylb.Term, waitUntil time.Time,
) (rosemarylb.Target, rosemarylb.Reason) {
	owner, found := n.placement.Owner(v.Members, e)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonUnreachable
	}
	return rosemarylb.Target{
		Endpoint:     e.ID,
		Owner:        owner.ID,
		Term:         term,
		WaitDeadline: waitUntil,
	}, rosemarylb.ReasonNone
}

// nearestReplica returns the cheapest replica that is expected to serve the read
// in time, and the deadline until which the replica may wait to reach the
// minimum position. usable is false when no such replica costs less than the
// primary.
func (n *Nearest) nearestReplica(
	v rosemarylb.View, known rosemarylb.EndpointStates, r rosemarylb.Request, d rosemarylb.Database, now time.Time,
) (best rosemarylb.EndpointSpec, waitUntil time.Time, usable bool) {
	p, hasPrimary := v.Primary(d.Name)
	lowestCost := costPrimaryOtherRegion + 1
	if spec, found := d.Endpoint(p.Endpoint); hasPrimary && found {
		lowestCost = primaryCost(v.Self, spec)
	}
	waitUntil = now.Add(time.Duration(v.ServiceConfig.ReplicaWaitMillis) * time.Millisecond)
	for _, e := range d.Endpoints {
		if e.Leaving || (hasPrimary && e.ID == p.Endpoint) {
			continue
		}
		cost := replicaCost(v.Self, e)
		if cost >= lowestCost || !canServeInTime(known, e.ID, r, now, waitUntil) {
			continue
		}
		best, lowestCost, usable = e, cost, true
	}
	return best, waitUntil, usable
}

// canServeInTime reports whether a replica is expected to reach the request's
// minimum position before waitUntil, judged by its last known state. A replica
// with an unknown state is assumed to; one that is to be avoided is not.
func canServeInTime(
	known rosemarylb.EndpointStates, id rosemarylb.EndpointID, r rosemarylb.Request, now, waitUntil time.Time,
) bool {
	if now.Before(known.AvoidUntil(id)) {
		return false
	}
	s, found := known.State(id)
	if !found || s.ProbedAt.IsZero() {
		return true
	}
	if r.Floor.SatisfiedBy(s.Applied) {
		return r.AsOf.IsZero() || !s.CaughtUpAt.Before(r.AsOf) || isFreshEnough(s, r, now)
	}
	if s.CaughtUpAt.IsZero() {
		return false
	}
	reachedAt := r.FloorAt.Add(s.ProbedAt.Sub(s.CaughtUpAt))
	return !reachedAt.After(waitUntil)
}

// isFreshEnough reports whether a replica's data is recent enough for the
// request's AsOf, assuming that its replication lag has not changed since its last
// known state.
func isFreshEnough(s rosemarylb.EndpointState, r rosemarylb.Request, now time.Time) bool {
	if s.CaughtUpAt.IsZero() {
		return false
	}
	lag := s.ProbedAt.Sub(s.CaughtUpAt)
	return !now.Add(-lag).Before(r.AsOf)
}

func replicaCost(self rosemarylb.Member, e rosemarylb.EndpointSpec) int {
	switch {
	case self.Domain == e.Domain:
		return costReplicaSameDomain
	case self.Region == e.Region:
		return costReplicaSameRegion
	default:
		return costReplicaOtherRegion
	}
}

func primaryCost(self rosemarylb.Member, e rosemarylb.EndpointSpec) int {
	if self.Region == e.Region {
		return costPrimarySameRegion
	}
	return costPrimaryOtherRegion
}
