package caller

import (
	"time"

	"rosemarylb"
)

// endpointTracker keeps what outcomes have reported about endpoints, for the
// router.
type endpointTracker struct {
	// states are the last reported states.
	states map[rosemarylb.EndpointID]rosemarylb.EndpointState
	// avoidUntil is when the router may choose an endpoint again.
	avoidUntil map[rosemarylb.EndpointID]time.Time
}

func newEndpointTracker() *endpointTracker {
	return &endpointTracker{
		states:     map[rosemarylb.EndpointID]rosemarylb.EndpointState{},
		avoidUntil: map[rosemarylb.EndpointID]time.Time{},
	}
}

// State implements rosemarylb.EndpointStates.
func (t *endpointTracker) State(id rosemarylb.EndpointID) (rosemarylb.EndpointState, bool) {
	s, found := t.states[id]
	return s, found
}

// AvoidUntil implements rosemarylb.EndpointStates.
func (t *endpointTracker) AvoidUntil(id rosemarylb.EndpointID) time.Time {
	return t.avoidUntil[id]
}

// update records the state that an outcome reports, and starts a backoff for an
// endpoint that lagged or could not be reached.
func (t *endpointTracker) update(o rosemarylb.Outcome, now time.Time) {
	if o.Endpoint == "" {
		return
	}
	if !o.State.ProbedAt.IsZero() {
		t.states[o.Endpoint] = o.State
	}
	switch o.Reason {
	case rosemarylb.ReasonReplicaLagging:
		t.avoidUntil[o.Endpoint] = now.Add(laggingReplicaBackoff)
	case rosemarylb.ReasonUnreachable:
		t.avoidUntil[o.Endpoint] = now.Add(unreachableBackoff)
	default:
	}
}
