// Package route chooses the endpoint that serves a request.
package route

import (
	"time"

	"rosemarylb"
)

// The cost of reaching an endpoint; a lower one is preferred.
const (
	costReplicaDomain = iota
	costReplicaRegion
	costPrimaryRegion
	costReplicaRemote
	costPrimaryRemote
)

// Nearest sends writes to the primary and reads to the nearest endpoint that
// can serve them in time, replicas first and other regions last.
type Nearest struct {
	placement rosemarylb.Placement
}

// NewNearest returns the default router. The placement names the owners of
// endpoints.
func NewNearest(placement rosemarylb.Placement) rosemarylb.Router {
	return &Nearest{
		placement: placement,
	}
}

// Route implements rosemarylb.Router.
func (n *Nearest) Route(
	v rosemarylb.View, known rosemarylb.Knowledge, r rosemarylb.Request, now time.Time,
) (rosemarylb.Target, rosemarylb.Reason) {
	database, found := v.Service.Database(r.Database)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonNoPrimary
	}
	if !replicaAllowed(r) {
		return n.primary(v, database)
	}
	if e, wait, usable := n.replica(v, known, r, database, now); usable {
		return n.target(v, e, 0, wait)
	}
	return n.primary(v, database)
}

// replicaAllowed reports whether any replica may serve the request at all.
func replicaAllowed(r rosemarylb.Request) bool {
	return r.Class == rosemarylb.ClassRead && r.Floor.Known && !r.Latest
}

func (n *Nearest) primary(v rosemarylb.View, d rosemarylb.Database) (rosemarylb.Target, rosemarylb.Reason) {
	p, found := v.Primary(d.Name)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonNoPrimary
	}
	e, found := d.Endpoint(p.Endpoint)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonNoPrimary
	}
	return n.target(v, e, p.Term, time.Time{})
}

func (n *Nearest) target(
	v rosemarylb.View, e rosemarylb.EndpointSpec, term rosemarylb.Term, wait time.Time,
) (rosemarylb.Target, rosemarylb.Reason) {
	owner, found := n.placement.Owner(v.Members, e)
	if !found {
		return rosemarylb.Target{}, rosemarylb.ReasonUnreachable
	}
	return rosemarylb.Target{
		Endpoint:  e.ID,
		Owner:     owner.ID,
		Term:      term,
		WaitUntil: wait,
	}, rosemarylb.ReasonNone
}

// replica returns the cheapest replica that is expected to serve the read in
// time, false when the primary is the better choice.
func (n *Nearest) replica(
	v rosemarylb.View, known rosemarylb.Knowledge, r rosemarylb.Request, d rosemarylb.Database, now time.Time,
) (best rosemarylb.EndpointSpec, wait time.Time, usable bool) {
	p, hasPrimary := v.Primary(d.Name)
	limit := costPrimaryRemote + 1
	if spec, found := d.Endpoint(p.Endpoint); hasPrimary && found {
		limit = primaryCost(v.Self, spec)
	}
	wait = now.Add(time.Duration(v.Service.ReplicaWaitMillis) * time.Millisecond)
	for _, e := range d.Endpoints {
		if e.Leaving || (hasPrimary && e.ID == p.Endpoint) {
			continue
		}
		cost := replicaCost(v.Self, e)
		if cost >= limit || !expected(known, e.ID, r, now, wait) {
			continue
		}
		best, limit, usable = e, cost, true
	}
	return best, wait, usable
}

// expected reports whether an endpoint is likely to reach the request's floor
// before wait ends. An endpoint of which nothing is known is tried.
func expected(
	known rosemarylb.Knowledge, id rosemarylb.EndpointID, r rosemarylb.Request, now, wait time.Time,
) bool {
	if now.Before(known.AvoidUntil(id)) {
		return false
	}
	s, found := known.State(id)
	if !found || s.AskedAt.IsZero() {
		return true
	}
	if r.Floor.SatisfiedBy(s.Applied) {
		return r.AsOf.IsZero() || !s.CurrentAt.Before(r.AsOf) || fresh(s, r, now)
	}
	if s.CurrentAt.IsZero() {
		return false
	}
	reachedAt := r.FloorAt.Add(s.AskedAt.Sub(s.CurrentAt))
	return !reachedAt.After(wait)
}

// fresh reports whether a replica with its last known lag is within the
// stated age now.
func fresh(s rosemarylb.EndpointState, r rosemarylb.Request, now time.Time) bool {
	if s.CurrentAt.IsZero() {
		return false
	}
	lag := s.AskedAt.Sub(s.CurrentAt)
	return !now.Add(-lag).Before(r.AsOf)
}

func replicaCost(self rosemarylb.Member, e rosemarylb.EndpointSpec) int {
	switch {
	case self.Domain == e.Domain:
		return costReplicaDomain
	case self.Region == e.Region:
		return costReplicaRegion
	default:
		return costReplicaRemote
	}
}

func primaryCost(self rosemarylb.Member, e rosemarylb.EndpointSpec) int {
	if self.Region == e.Region {
		return costPrimaryRegion
	}
	return costPrimaryRemote
}
