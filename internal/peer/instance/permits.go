package instance

import (
	"context"
	"net"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeping"
	"rosemarylb/internal/message/link"
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
	ring    *duty.Ring[keeping.Event]
	witness *keeping.Witness
}

// ServePermits serves the permit requests of other instances on a listener. The
// returned function stops the server and waits for it to end.
func ServePermits(listener net.Listener, c rosemarylb.Clock, k *keeping.Runner) func() {
	s := grpc.NewServer()
	link.RegisterKeeperServer(s, &permitServer{
		clock:   c,
		ring:    k.Ring(),
		witness: k.Witness(),
	})
	wait := duty.Spawn(func() {
		_ = s.Serve(listener)
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
	answer := make(chan keeping.PermitReply, 1)
	if !s.ring.Offer(keeping.PermitRequested{
		Report: decodeReport(request, s.clock.Now()),
		Reply:  answer,
	}) {
		return &link.PermitReply{}, nil
	}
	select {
	case a := <-answer:
		return encodePermitReply(a, request.GetPeersVersion(), request.GetEndpointsVersion()), nil
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
	}
	for _, e := range request.GetEvidence() {
		r.Evidence = append(r.Evidence, keeper.Evidence{
			Group:        rosemarylb.DatabaseName(e.GetGroup()),
			Primary:      rosemarylb.EndpointID(e.GetPrimary()),
			AnsweredAt:   timeBefore(now, e.GetAnsweredMicros()),
			FailingSince: timeBefore(now, e.GetFailingMicros()),
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
func encodePermitReply(a keeping.PermitReply, peersVersion, endpointsVersion uint64) *link.PermitReply {
	r := &link.PermitReply{
		Keeper:        a.IsHolder,
		Members:       uint32(a.Share.Members),
		Index:         uint32(a.Share.Index),
		Released:      a.ReleasedToken,
		HolderAddress: a.HolderAddress,
		Token:         a.HolderToken,
	}
	if a.SendsChanges {
		r.Tells = true
		r.Follows = a.WatchesStore
		r.CatalogVersion = a.CatalogVersion
		r.EndpointsVersion = a.EndpointsVersion
		if a.EndpointsVersion != endpointsVersion {
			r.Endpoints = encodeEndpoints(a.Endpoints)
		}
	}
	if a.IsHolder && a.PeersVersion != peersVersion {
		r.PeersVersion = a.PeersVersion
		for _, p := range a.Peers {
			r.Peers = append(r.Peers, &link.Peer{
				Address: p.Address,
				Region:  string(p.Region),
			})
		}
	}
	for _, g := range a.Grants {
		p := &link.GrantedPermit{
			Group:   string(g.Group),
			Primary: string(g.Primary),
			Term:    uint64(g.Term),
		}
		if !g.Position.IsZero() {
			p.Position = encodePosition(g.Position)
			p.PositionMicros = g.PositionMicros
		}
		r.Permits = append(r.Permits, p)
	}
	return r
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
