package registry

import (
	"time"

	"rosemarylb"
)

// restoredRetention is the time for which an endpoint is still published that a restored
// store no longer lists. Endpoints write their entries every 1.2 s, and again after an
// outage of the store, which may last for some seconds.
const restoredRetention = 10 * time.Second

// isStale reports whether an entry is older than the known one of the same endpoint: of
// an earlier start of the endpoint, or from before it began to drain.
func isStale(entry, known rosemarylb.EndpointSpec) bool {
	return entry.Born < known.Born || entry.Born == known.Born && known.Leaving && !entry.Leaving
}

// retention returns how long endpoints that the next listing lacks are published.
func (e *EndpointWatcher) retention(next rosemarylb.EndpointListing) time.Duration {
	if e.listing.Version.Era < next.Version.Era {
		return restoredRetention
	}
	return missingRetention
}

// withKnownEntries returns the next listing with the known entries in place of those
// that a restored store has in an older state. The known entry stays until the endpoint
// has written one that is not stale.
func (e *EndpointWatcher) withKnownEntries(next rosemarylb.EndpointListing) rosemarylb.EndpointListing {
	restored := e.listing.Version.Era < next.Version.Era
	var kept []rosemarylb.EndpointSpec
	for id, entry := range next.Endpoints {
		known, found := e.knownEntry(id)
		_, outdated := e.outdated[id]
		if found && (restored || outdated) && isStale(entry, known) {
			e.outdated[id] = struct{}{}
			kept = append(kept, known)
			continue
		}
		delete(e.outdated, id)
	}
	return next.WithChanges(next.Version, kept, nil)
}

// knownEntry returns the entry of an endpoint that is published, false if there is none.
func (e *EndpointWatcher) knownEntry(id rosemarylb.EndpointID) (rosemarylb.EndpointSpec, bool) {
	if known, found := e.listing.Endpoints[id]; found {
		return known, true
	}
	m, found := e.missing[id]
	return m.spec, found
}
