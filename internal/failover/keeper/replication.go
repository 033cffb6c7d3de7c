package keeper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rosemarylb"
)

// maxPositionSamples is the number of positions of a primary that are kept, about three
// seconds of its probes.
const maxPositionSamples = 8

// replication is what a keeper knows of the replication of a group with synchronous
// replicas. Such a group's primary acknowledges a commit once a number of replicas has
// received it, whichever they are and whether or not they are leaving.
type replication struct {
	// samples are positions of the primary in its term, the oldest first.
	samples []positionSample
	// departures are the endpoints that are no longer listed, but whose logs may hold
	// acknowledged commits that no replica has.
	departures map[rosemarylb.EndpointID]departure
	// revision is the revision of the list of endpoints that the record's replicas are
	// from, 0 if the departures have changed since.
	revision uint64
}

// positionSample is the position of a primary's log at the time of a probe.
type positionSample struct {
	probedAt time.Time
	position rosemarylb.Position
}

// departure is an endpoint that is no longer listed.
type departure struct {
	// spec is the endpoint as it was listed, its name alone if only the record names it.
	spec rosemarylb.EndpointSpec
	// notedAt is when the keeper noted that the endpoint is missing, zero until its
	// next decision.
	notedAt time.Time
}

// withPosition returns the group and the state of an endpoint after its status has shown
// the position of its log. During a failover, which may have been preceded by another one,
// positions of the previous primary say nothing of what its replicas have received.
func (g groupState) withPosition(l Leadership, a Status, s endpointState) (groupState, endpointState) {
	samples := g.replication.samples
	if g.failingOver() {
		return g, s
	}
	if a.Endpoint == l.Primary {
		if s.isPrimaryIn(l.Term) {
			samples = append(slices.Clone(samples), positionSample{
				probedAt: a.ProbedAt,
				position: a.LogPosition,
			})
			g.replication.samples = samples[max(len(samples)-maxPositionSamples, 0):]
		}
		return g, s
	}
	for _, sample := range samples {
		if !a.LogPosition.Less(sample.position) && sample.probedAt.After(s.receivedUpTo) {
			s.receivedUpTo = sample.probedAt
		}
	}
	return g, s
}

// termStart returns how much of the log a primary had at the start of its term, or some
// time later, 0 for a group without synchronous replicas.
func (k Keeper) termStart(name rosemarylb.DatabaseName, primary rosemarylb.EndpointID, t rosemarylb.Term) rosemarylb.LSN {
	g := k.groups[name]
	switch {
	case k.syncReplicas[name] == 0:
		return 0
	case primary == g.failover.previous.Primary && t == g.failover.previous.Term:
		return g.failover.previous.Start
	case primary == g.failover.orders.target:
		// Its log may have been rolled back since it was chosen.
		return min(g.failover.promotedFrom.LSN, g.states[primary].position.LSN)
	default:
		return g.states[primary].position.LSN
	}
}

// hasReceivingReplica reports whether a planned replacement of the primary can be
// expected to succeed: in a group with synchronous replicas, an endpoint that stays has
// lately received the primary's log.
func (k Keeper) hasReceivingReplica(name rosemarylb.DatabaseName, l Leadership, now time.Time) bool {
	if k.syncReplicas[name] == 0 {
		return k.syncReplicas != nil
	}
	for _, e := range k.endpoints[name] {
		s := k.groups[name].states[e.ID]
		if e.ID != l.Primary && !e.Leaving && s.failures == 0 && now.Sub(s.receivedUpTo) < loadMaxAge {
			return true
		}
	}
	return false
}

// withMissing notes the endpoints of groups with synchronous replicas that were listed
// before and no longer are.
func (k Keeper) withMissing(before map[rosemarylb.DatabaseName][]rosemarylb.EndpointSpec) Keeper {
	for name := range k.syncReplicas {
		for _, e := range before[name] {
			if _, listed := k.endpointSpec(name, e.ID); listed {
				continue
			}
			g := k.groups[name]
			g.replication.departures = withEntry(g.replication.departures, e.ID, departure{
				spec: e,
			})
			k = k.withGroup(name, g)
		}
	}
	return k
}

// withReplicas has the record name the endpoints whose logs may hold acknowledged
// commits, so that the next holder of the lease knows those that are missing by then.
func (k Keeper) withReplicas(name rosemarylb.DatabaseName) Keeper {
	if k.syncReplicas[name] == 0 {
		return k
	}
	g := k.groups[name]
	l := k.leadership(name)
	if l == (Leadership{}) || l.Replicas != "" && g.replication.revision == k.endpointsRevision {
		return k
	}
	var ids []string
	for _, id := range k.logHolders(name) {
		ids = append(ids, string(id))
	}
	l.Replicas = strings.Join(ids, " ")
	g.desired = l
	g.replication.revision = k.endpointsRevision
	return k.withGroup(name, g)
}

// withRecordedReplicas notes the endpoints that the record of the former holder names and
// that are not listed.
func (g groupState) withRecordedReplicas(l Leadership, listed []rosemarylb.EndpointSpec) groupState {
	for id := range strings.FieldsSeq(l.Replicas) {
		isListed := slices.ContainsFunc(listed, func(e rosemarylb.EndpointSpec) bool {
			return string(e.ID) == id
		})
		if !isListed {
			g.replication.departures = withEntry(g.replication.departures, rosemarylb.EndpointID(id), departure{
				spec: rosemarylb.EndpointSpec{
					ID: rosemarylb.EndpointID(id),
				},
			})
		}
	}
	return g
}

// withDepartures drops the departures whose logs are no longer needed.
func (k Keeper) withDepartures(name rosemarylb.DatabaseName, now time.Time) Keeper {
	if k.syncReplicas[name] == 0 {
		return k
	}
	g := k.groups[name]
	if g.observedSince.IsZero() {
		g = g.withRecordedReplicas(k.record.Groups[name], k.endpoints[name])
	}
	if len(g.replication.departures) == 0 {
		return k
	}
	rest := map[rosemarylb.EndpointID]departure{}
	g.replication.revision = 0
	for id, d := range g.replication.departures {
		if d.notedAt.IsZero() {
			d.notedAt = now
		}
		if !k.isReplaced(name, d) {
			rest[id] = d
		}
	}
	g.replication.departures = rest
	return k.withGroup(name, g)
}

// probedEndpoints returns the endpoints of a group to probe: those listed, and those that
// are missing from the list, as they may still receive commits.
func (k Keeper) probedEndpoints(name rosemarylb.DatabaseName) []rosemarylb.EndpointSpec {
	departures := k.groups[name].replication.departures
	if k.syncReplicas[name] == 0 || len(departures) == 0 {
		return k.endpoints[name]
	}
	all := slices.Clone(k.endpoints[name])
	for _, id := range slices.Sorted(maps.Keys(departures)) {
		if e := departures[id].spec; e.Address != "" {
			all = append(all, e)
		}
	}
	return all
}

// logHolders returns the endpoints of a group, also missing ones, whose logs may hold
// acknowledged commits, in a fixed order.
func (k Keeper) logHolders(name rosemarylb.DatabaseName) []rosemarylb.EndpointID {
	ids := slices.Collect(maps.Keys(k.groups[name].replication.departures))
	for _, e := range k.endpoints[name] {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// isReplaced reports whether an endpoint that was missing is listed again, has left its
// log to a new one at its address as it was leaving, or has ended and can hold no
// acknowledged commit that enough replicas lack: they have received what the primary had
// after its end.
func (k Keeper) isReplaced(name rosemarylb.DatabaseName, d departure) bool {
	states := k.groups[name].states
	last := states[d.spec.ID]
	endedAt := laterTime(d.notedAt, last.probedAt)
	received := 0
	for _, e := range k.endpoints[name] {
		if e.ID == d.spec.ID || d.spec.Leaving && e.Address == d.spec.Address {
			return true
		}
		if states[e.ID].receivedUpTo.After(endedAt) {
			received++
		}
	}
	ended := d.spec.Address == "" || last.failures >= deadProbeFailures
	return ended && received >= k.syncReplicas[name]
}

// requiredPosition returns a position that a log has to reach to hold every commit that
// was acknowledged to a caller before a failover, or an endpoint that has to be heard
// before such a position is known.
//
// A commit that was acknowledged is in the log of the primary and in those of the group's
// number of synchronous replicas, so that one of them is heard if no more than that number
// of endpoints are silent. Heard is an endpoint whose status was requested after the
// permits of the previous primary had expired: nothing is acknowledged to a caller from
// then on. The previous primary alone will do, unless another one may have been promoted
// since: its replicas are rolled back to its log.
func (k Keeper) requiredPosition(name rosemarylb.DatabaseName) (rosemarylb.Position, rosemarylb.EndpointID) {
	g := k.groups[name]
	previous := g.failover.previous
	inherited := g.failover.reason == reasonInherited
	settledAt := laterTime(g.failover.recordedAt.Add(PermitDuration), k.promoteNotBefore)
	positions, silent := k.replicaPositions(name, settledAt)
	replicas := k.syncReplicas[name]
	laterTerm := g.knowsLaterTerm(previous.Term)
	last := g.states[previous.Primary]
	whole := previous.Primary != "" && g.hasWholeLog(last.position)
	heard := whole && !last.probedAt.Before(settledAt)
	switch {
	case !inherited && len(silent) < replicas:
		return furthestPosition(positions, previous.Start != 0 && !laterTerm), ""
	case !inherited && !laterTerm && whole && (heard || g.previousSteppedDown()):
		return last.position, ""
	case heard && len(silent) <= replicas:
		return furthestPosition(append(positions, last.position), len(silent) == 0), ""
	case len(silent) < replicas, previous.Primary == "" && len(silent) <= replicas:
		return furthestPosition(positions, false), ""
	default:
		return rosemarylb.Position{}, silent[0]
	}
}

// replicaPositions returns the start of the previous primary's term and the positions of the
// other endpoints that were heard from a time on, and those that were not.
func (k Keeper) replicaPositions(
	name rosemarylb.DatabaseName, since time.Time,
) (positions []rosemarylb.Position, silent []rosemarylb.EndpointID) {
	g := k.groups[name]
	previous := g.failover.previous
	positions = append(positions, rosemarylb.Position{
		Term: previous.Term,
		LSN:  previous.Start,
	})
	for _, id := range k.logHolders(name) {
		s := g.states[id]
		switch {
		case id == previous.Primary:
		case s.probedAt.Before(since):
			silent = append(silent, id)
		default:
			positions = append(positions, s.position)
		}
	}
	return positions, silent
}

// knowsLaterTerm reports whether an endpoint has been in a later term than a given one: an
// order has started it, and where its log began is not known.
func (g groupState) knowsLaterTerm(t rosemarylb.Term) bool {
	for _, s := range g.states {
		if s.term > t {
			return true
		}
	}
	return false
}

// furthestPosition returns the furthest of several positions. A log may have the term of
// a primary that it has hardly received anything from, and lack what that primary had at
// the start of its term. Where that start is not known, and the primary may be silent, the
// result is also as far as the longest log of an earlier term.
func furthestPosition(positions []rosemarylb.Position, startKnown bool) rosemarylb.Position {
	var furthest rosemarylb.Position
	longest := rosemarylb.LSN(0)
	for _, p := range positions {
		longest = max(longest, p.LSN)
		if furthest.Less(p) {
			furthest = p
		}
	}
	if !startKnown {
		furthest.LSN = longest
	}
	return furthest
}

// hasWholeLog reports whether a position of the primary's is no earlier than those that it
// had while it led. One that was started anew under its name may have lost its log.
func (g groupState) hasWholeLog(p rosemarylb.Position) bool {
	samples := g.replication.samples
	return len(samples) == 0 || !p.Less(samples[len(samples)-1].position)
}
