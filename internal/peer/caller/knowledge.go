package caller

import (
	"time"

	"rosemarylb"
)

// knowledge is what answers have told of endpoints.
type knowledge struct {
	states map[rosemarylb.EndpointID]rosemarylb.EndpointState
	avoid  map[rosemarylb.EndpointID]time.Time
}

func newKnowledge() *knowledge {
	return &knowledge{
		states: map[rosemarylb.EndpointID]rosemarylb.EndpointState{},
		avoid:  map[rosemarylb.EndpointID]time.Time{},
	}
}

// State implements rosemarylb.Knowledge.
func (k *knowledge) State(id rosemarylb.EndpointID) (rosemarylb.EndpointState, bool) {
	s, found := k.states[id]
	return s, found
}

// AvoidUntil implements rosemarylb.Knowledge.
func (k *knowledge) AvoidUntil(id rosemarylb.EndpointID) time.Time {
	return k.avoid[id]
}

// learn takes the state of the endpoint that an outcome came from.
func (k *knowledge) learn(o rosemarylb.Outcome, now time.Time) {
	if o.Endpoint == "" {
		return
	}
	if !o.State.ProbedAt.IsZero() {
		k.states[o.Endpoint] = o.State
	}
	switch o.Reason {
	case rosemarylb.ReasonReplicaLagging:
		k.avoid[o.Endpoint] = now.Add(avoidBehind)
	case rosemarylb.ReasonUnreachable:
		k.avoid[o.Endpoint] = now.Add(avoidSilent)
	default:
	}
}
