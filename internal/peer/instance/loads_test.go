package instance

import (
	"testing"
	"time"

	"rosemarylb/internal/message/link"

	"google.golang.org/protobuf/proto"
)

// TestLoadsReachProxies guards against loads that arrive at the wrong endpoint, seem
// younger than they are, or make replies large.
func TestLoadsReachProxies(t *testing.T) {
	const maxAddition = 40
	now := time.Unix(1000, 0)
	pr, reply := sizedFleet(now)
	pr.loads = endpointLoads{}.withEndpoints(reply.Endpoints)
	request := pr.newRequest(now)
	plain := proto.Size(encodePermitReply(reply, request))
	encoded := encodePermitReply(reply, request)
	encodeLoads(encoded, reply, request, now)
	if got := proto.Size(encoded) - plain; got >= maxAddition {
		t.Errorf("got %d bytes more with loads, want less than %d", got, maxAddition)
	}
	pr.applyLoads(encoded, now)
	loads := pr.loads.loads
	if len(loads) != len(reply.Endpoints) {
		t.Fatalf("got %d loads, want %d", len(loads), len(reply.Endpoints))
	}
	for i, got := range loads {
		want := reply.Loads[i]
		if got.Endpoint != reply.Endpoints[i].ID || got.Busy != want.Busy || got.Connections != want.Connections/8*8 ||
			got.ObservedAt.After(want.ObservedAt) {
			t.Errorf("got load %+v at place %d, want %+v", got, i, want)
		}
	}
	later := now.Add(3 * time.Second)
	again := pr.newRequest(later)
	unchanged := &link.PermitReply{
		Tells:            true,
		EndpointsVersion: reply.EndpointsVersion,
	}
	encodeLoads(unchanged, reply, again, later)
	if unchanged.GetLoadsVersion() != 0 {
		t.Error("got loads that the instance has already, want none")
	}
	pr.applyLoads(unchanged, later)
	loads = pr.loads.loads
	if len(loads) == 0 || !loads[0].ObservedAt.After(now) {
		t.Error("got unchanged loads that grow old, want them confirmed")
	}
}

// TestLoadsOfOtherHolderAreAskedFor guards against loads of a former keeper that pass for
// those of its successor, and of one list of endpoints for those of another.
func TestLoadsOfOtherHolderAreAskedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	pr, reply := sizedFleet(now)
	pr.loads = endpointLoads{}.withEndpoints(reply.Endpoints)
	encoded := &link.PermitReply{
		Tells:            true,
		EndpointsVersion: reply.EndpointsVersion,
	}
	encodeLoads(encoded, reply, pr.newRequest(now), now)
	pr.applyLoads(encoded, now)
	passed := pr.proxyRing.Depth()
	if got := pr.loads.versionFor(pr.keeperToken + 1); got != 0 {
		t.Errorf("got version %d named to another holder, want 0", got)
	}
	pr.endpointsVersion++
	pr.applyLoads(encoded, now)
	if passed != 1 || pr.proxyRing.Depth() != passed {
		t.Error("got loads of another list of endpoints passed on, want only those of the own list")
	}
}
