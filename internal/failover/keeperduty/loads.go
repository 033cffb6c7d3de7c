package keeperduty

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

const (
	// loadListInterval is the time between two lists of loads. Each new list goes to all
	// instances.
	loadListInterval = 500 * time.Millisecond
	// connectionStep is the change of the number of connections that makes a new list.
	connectionStep = 8
)

// loadList is the immutable list of the last known loads of the endpoints, by their
// places in the list of endpoints of a version.
type loadList struct {
	endpointsVersion uint64
	// version changes with each noticeable change, 0 before the first list.
	version uint64
	loads   []rosemarylb.EndpointLoad
	nextAt  time.Time
}

// withLoads returns the list with the present loads, if it is due and they differ
// noticeably.
func (l loadList) withLoads(k keeper.Keeper, endpoints endpointList, now time.Time) loadList {
	if now.Before(l.nextAt) && l.endpointsVersion == endpoints.version {
		return l
	}
	l.nextAt = now.Add(loadListInterval)
	changed := l.endpointsVersion != endpoints.version || len(l.loads) != len(endpoints.endpoints)
	loads := make([]rosemarylb.EndpointLoad, 0, len(endpoints.endpoints))
	for i, e := range endpoints.endpoints {
		loads = append(loads, k.Load(e, now))
		changed = changed || differs(l.loads[i], loads[i])
	}
	if changed {
		l.version++
		l.loads = loads
		l.endpointsVersion = endpoints.version
	}
	return l
}

// differs reports whether an instance should be told of a changed load.
func differs(before, after rosemarylb.EndpointLoad) bool {
	return before.IsKnown() != after.IsKnown() || before.Busy != after.Busy ||
		before.Connections/connectionStep != after.Connections/connectionStep
}
