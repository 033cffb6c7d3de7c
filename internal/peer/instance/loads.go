package instance

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/proxy"
)

const (
	// busyBits is the number of bits of a load that hold the busy slots.
	busyBits = 4
	// maxBusyLevel is the highest level of busy slots.
	maxBusyLevel = 1<<busyBits - 2
	// connectionUnit is the number of connections that the unit of the other bits is.
	connectionUnit = 8
	// confirmedAge is the age of loads that the keeper has not seen change. It probes
	// them about once a second.
	confirmedAge = time.Second
)

// encodeLoad returns the byte of a load in a reply.
func encodeLoad(l rosemarylb.EndpointLoad, slots int) byte {
	if !l.IsKnown() {
		return 0
	}
	busy := min(l.Busy*maxBusyLevel/max(slots, maxBusyLevel), maxBusyLevel)
	connections := min(l.Connections/connectionUnit, 1<<busyBits-1)
	return byte(connections<<busyBits | busy + 1)
}

// decodeLoad returns the busy slots and connections of a byte, false if the load is not
// known.
func decodeLoad(encoded byte, slots int) (busy, connections int, known bool) {
	level := int(encoded & (1<<busyBits - 1))
	if level == 0 {
		return 0, 0, false
	}
	return (level - 1) * max(slots, maxBusyLevel) / maxBusyLevel, int(encoded>>busyBits) * connectionUnit, true
}

// encodeLoads adds the loads to the reply to an instance that has the list of endpoints
// and other loads.
func encodeLoads(encoded *link.PermitReply, reply keeperduty.PermitReply, request *link.PermitRequest, now time.Time) {
	if !reply.IsHolder || reply.LoadsVersion == 0 || reply.LoadsVersion == request.GetLoadsVersion() ||
		reply.EndpointsVersion != request.GetEndpointsVersion() || len(reply.Loads) != len(reply.Endpoints) {
		return
	}
	oldest := now
	for i, l := range reply.Loads {
		encoded.Loads = append(encoded.Loads, encodeLoad(l, reply.Endpoints[i].Slots))
		if l.IsKnown() && l.ObservedAt.Before(oldest) {
			oldest = l.ObservedAt
		}
	}
	encoded.LoadsVersion = reply.LoadsVersion
	encoded.LoadsAgeMillis = uint32(now.Sub(oldest).Milliseconds())
}

// endpointLoads are the loads of the endpoints that an instance has from a lease holder.
type endpointLoads struct {
	// version identifies the loads to the holder of token, 0 for none.
	version uint64
	token   uint64
	// specs are the endpoints by whose places the loads are given.
	specs []rosemarylb.EndpointSpec
	loads []rosemarylb.EndpointLoad
}

// versionFor returns the version to name in a request to the holder of a token.
func (l endpointLoads) versionFor(token uint64) uint64 {
	if l.token != token {
		return 0
	}
	return l.version
}

// withEndpoints returns the loads for another list of endpoints, all unknown.
func (endpointLoads) withEndpoints(specs []rosemarylb.EndpointSpec) endpointLoads {
	return endpointLoads{
		specs: specs,
	}
}

// withReply returns the loads after a reply of the holder of a token to a request. A
// reply without loads confirms those that the request named. It returns false if the
// reply does not tell of loads.
func (l endpointLoads) withReply(reply *link.PermitReply, token uint64, requestedAt time.Time) (endpointLoads, bool) {
	if reply.GetLoadsVersion() == 0 {
		if l.versionFor(token) == 0 {
			return l, false
		}
		return l.observedAt(requestedAt.Add(-confirmedAge)), true
	}
	if len(reply.GetLoads()) != len(l.specs) {
		return l, false
	}
	l.version, l.token, l.loads = reply.GetLoadsVersion(), token, nil
	observedAt := requestedAt.Add(-time.Duration(reply.GetLoadsAgeMillis()) * time.Millisecond)
	for i, e := range l.specs {
		busy, connections, known := decodeLoad(reply.GetLoads()[i], e.Slots)
		if known {
			l.loads = append(l.loads, rosemarylb.EndpointLoad{
				Endpoint:    e.ID,
				Busy:        busy,
				Connections: connections,
				ObservedAt:  observedAt,
			})
		}
	}
	return l, true
}

// observedAt returns the loads as of a later time.
func (l endpointLoads) observedAt(at time.Time) endpointLoads {
	loads := make([]rosemarylb.EndpointLoad, 0, len(l.loads))
	for _, load := range l.loads {
		if at.After(load.ObservedAt) {
			load.ObservedAt = at
		}
		loads = append(loads, load)
	}
	l.loads = loads
	return l
}

// applyLoads passes the loads in a reply to the proxy.
func (pr *PermitRequester) applyLoads(reply *link.PermitReply, requestedAt time.Time) {
	if !reply.GetTells() {
		pr.loads = endpointLoads{}
		return
	}
	if reply.GetEndpointsVersion() != pr.endpointsVersion {
		// The loads are those of another list of endpoints.
		return
	}
	loads, told := pr.loads.withReply(reply, pr.keeperToken, requestedAt)
	pr.loads = loads
	if told {
		pr.proxyRing.Put(proxy.LoadsReceived{
			Loads: loads.loads,
		})
	}
}
