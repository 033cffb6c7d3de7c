package keeper

import (
	"time"

	"rosemarylb"
)

const (
	// loadProbeInterval is the interval between the probes of an endpoint that is not
	// the primary. Each one occupies a slot of the endpoint for a moment.
	loadProbeInterval = time.Second
	// loadMaxAge is the age of a status at which the load in it no longer counts. An
	// endpoint whose probe is lost stays known until the next one.
	loadMaxAge = 5 * loadProbeInterval / 2
)

// probeLoads adds the status queries to the decision that are due for the loads of the
// endpoints beside the primary, and for their positions.
func (k Keeper) probeLoads(name rosemarylb.DatabaseName, d Decision, now time.Time) (Keeper, Decision) {
	primary := k.leadership(name).Primary
	for _, e := range k.probedEndpoints(name) {
		g := k.groups[name]
		s := g.states[e.ID]
		if e.ID == primary || now.Before(s.nextLoadProbeAt) {
			continue
		}
		s.nextLoadProbeAt = now.Add(loadProbeInterval)
		d.Queries = append(d.Queries, statusQuery(e))
		k = k.withGroup(name, g.withState(e.ID, s))
	}
	return k, d
}

// Load returns the last reported load of an endpoint, not known if that is too long ago.
func (k Keeper) Load(e rosemarylb.EndpointSpec, now time.Time) rosemarylb.EndpointLoad {
	s := k.groups[e.Database].states[e.ID]
	l := rosemarylb.EndpointLoad{
		Endpoint: e.ID,
	}
	if s.probedAt.IsZero() || now.Sub(s.probedAt) > loadMaxAge {
		return l
	}
	l.Busy, l.Connections, l.ObservedAt = s.busy, s.connections, s.probedAt
	return l
}
