package instance

import (
	"context"
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// replyTimeout bounds the wait for a reply of the keeper's duty.
const replyTimeout = 250 * time.Millisecond

// permitServer serves requests for permits and for promises of a witness.
type permitServer struct {
	link.UnimplementedKeeperServer

	clock   rosemarylb.Clock
	ring    *duty.Ring[keeperduty.Event]
	witness *keeperduty.Witness
}

// ServeKeeper serves the permit requests of other instances on a listener. What it
// receives counts in b. The returned function stops the server and waits for it to end.
func ServeKeeper(listener net.Listener, b *budget.Budget, clock rosemarylb.Clock, k *keeperduty.Runner) func() {
	counted, options := newInboundListener(listener, b)
	s := grpc.NewServer(options...)
	link.RegisterKeeperServer(s, &permitServer{
		clock:   clock,
		ring:    k.Ring(),
		witness: k.Witness(),
	})
	wait := duty.Spawn(func() {
		_ = s.Serve(counted)
	})
	return func() {
		s.Stop()
		wait()
	}
}

// Ask implements link.KeeperServer. It runs on a goroutine of the gRPC server and
// waits for the keeper's duty. The reply is empty when the duty's ring is full.
func (s *permitServer) Ask(ctx context.Context, request *link.PermitRequest) (*link.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	replies := make(chan keeperduty.PermitReply, 1)
	if !s.ring.Offer(keeperduty.PermitRequested{
		Report: decodeReport(request, s.clock.Now()),
		Reply:  replies,
	}) {
		return &link.PermitReply{}, nil
	}
	select {
	case reply := <-replies:
		return encodePermitReply(reply, request.GetPeersVersion(), request.GetEndpointsVersion()), nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "keeper")
	}
}

// Depose implements link.KeeperServer.
func (s *permitServer) Depose(_ context.Context, request *link.DeposeRequest) (*link.DeposeReply, error) {
	return &link.DeposeReply{
		Promised: s.witness.PromiseToIgnore(request.GetToken(), s.clock.Now()),
	}, nil
}

func decodeReport(request *link.PermitRequest, now time.Time) keeper.Report {
	r := keeper.Report{
		From:            rosemarylb.InstanceID(request.GetFrom()),
		StoreAnsweredAt: timeBefore(now, request.GetStoreMicros()),
		Address:         request.GetAddress(),
		Peer: rosemarylb.RelayPeer{
			Address: request.GetRelayAddress(),
			Region:  rosemarylb.RegionName(request.GetRegion()),
		},
		CatalogVersion: request.GetCatalogVersion(),
		Capacity:       int(request.GetCapacity()),
	}
	for _, e := range request.GetEvidence() {
		r.Observations = append(r.Observations, keeper.Observation{
			Group:          rosemarylb.DatabaseName(e.GetGroup()),
			Primary:        rosemarylb.EndpointID(e.GetPrimary()),
			AnsweredAt:     timeBefore(now, e.GetAnsweredMicros()),
			FirstFailureAt: timeBefore(now, e.GetFailingMicros()),
		})
	}
	return r
}

// timeBefore returns the time a number of microseconds before now, or the zero
// time if the number is negative.
func timeBefore(now time.Time, micros int64) time.Time {
	if micros < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(micros) * time.Microsecond)
}

// microsSince returns the microseconds from a time until now, at least 0, or -1 for
// the zero time.
func microsSince(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at).Microseconds(), 0)
}

// encodePermitReply encodes a reply to an instance that has the given versions of
// the lists of peers and endpoints; a list that it has already is left out.
func encodePermitReply(reply keeperduty.PermitReply, peersVersion, endpointsVersion uint64) *link.PermitReply {
	encoded := &link.PermitReply{
		Keeper:        reply.IsHolder,
		Members:       uint32(reply.Share.Members),
		Index:         uint32(reply.Share.Index),
		Released:      reply.ReleasedToken,
		HolderAddress: reply.HolderAddress,
		Token:         reply.HolderToken,
	}
	if reply.SendsChanges {
		encoded.Tells = true
		encoded.Follows = reply.WatchesStore
		encoded.CatalogVersion = reply.CatalogVersion
		encoded.EndpointsVersion = reply.EndpointsVersion
		if reply.EndpointsVersion != endpointsVersion {
			encoded.Endpoints = encodeEndpoints(reply.Endpoints)
		}
	}
	if reply.IsHolder && reply.Peers.Version() != peersVersion {
		encodePeerUpdate(encoded, reply.Peers.UpdateSince(peersVersion))
	}
	for _, g := range reply.Grants {
		p := &link.GrantedPermit{
			Group:   string(g.Group),
			Primary: string(g.Primary),
			Term:    uint64(g.Term),
		}
		if !g.Position.IsZero() {
			p.Position = encodePosition(g.Position)
			p.PositionMicros = g.PositionMicros
		}
		encoded.Permits = append(encoded.Permits, p)
	}
	return encoded
}

func encodePeerUpdate(encoded *link.PermitReply, update keeper.PeerUpdate) {
	encoded.PeersVersion = update.Version
	encoded.PeersSince = update.Since
	encoded.PeersGone = update.Removed
	for _, p := range update.Added {
		encoded.Peers = append(encoded.Peers, &link.Peer{
			Address: p.Address,
			Region:  string(p.Region),
		})
	}
}

func decodeGrants(r *link.PermitReply) []keeper.Grant {
	var grants []keeper.Grant
	for _, p := range r.GetPermits() {
		g := keeper.Grant{
			Group:          rosemarylb.DatabaseName(p.GetGroup()),
			Primary:        rosemarylb.EndpointID(p.GetPrimary()),
			Term:           rosemarylb.Term(p.GetTerm()),
			PositionMicros: p.GetPositionMicros(),
		}
		if p.GetPosition() != nil {
			g.Position = decodePosition(p.GetPosition())
		}
		grants = append(grants, g)
	}
	return grants
}

func encodeEndpoints(specs []rosemarylb.EndpointSpec) []*link.Endpoint {
	var encoded []*link.Endpoint
	for _, e := range specs {
		encoded = append(encoded, &link.Endpoint{
			Id:      string(e.ID),
			Group:   string(e.Database),
			Address: e.Address,
			Domain:  string(e.Domain),
			Region:  string(e.Region),
			Slots:   uint32(e.Slots),
			Leaving: e.Leaving,
			Primary: e.Primary,
			Born:    e.Born,
		})
	}
	return encoded
}

func decodeEndpoints(endpoints []*link.Endpoint) []rosemarylb.EndpointSpec {
	var specs []rosemarylb.EndpointSpec
	for _, e := range endpoints {
		specs = append(specs, rosemarylb.EndpointSpec{
			ID:       rosemarylb.EndpointID(e.GetId()),
			Database: rosemarylb.DatabaseName(e.GetGroup()),
			Address:  e.GetAddress(),
			Domain:   rosemarylb.DomainName(e.GetDomain()),
			Region:   rosemarylb.RegionName(e.GetRegion()),
			Slots:    int(e.GetSlots()),
			Leaving:  e.GetLeaving(),
			Primary:  e.GetPrimary(),
			Born:     e.GetBorn(),
		})
	}
	return specs
}
