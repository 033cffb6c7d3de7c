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

// answerTimeout bounds the wait for the keeper's duty.
const answerTimeout = 250 * time.Millisecond

// permitServer answers questions for permits.
type permitServer struct {
	link.UnimplementedKeeperServer

	clock   rosemarylb.Clock
	ring    *duty.Ring[keeping.Event]
	witness *keeping.Witness
}

// ServePermits answers other instances' questions on a listener. The returned
// function stops it.
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

// Ask implements link.KeeperServer. It runs on a thread of the library.
func (s *permitServer) Ask(ctx context.Context, q *link.PermitRequest) (*link.PermitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer := make(chan keeping.PermitReply, 1)
	if !s.ring.Offer(keeping.PermitRequested{
		Report: decodeReport(q, s.clock.Now()),
		Reply:  answer,
	}) {
		return &link.PermitReply{}, nil
	}
	select {
	case a := <-answer:
		return encodePermits(a, q.GetPeersVersion(), q.GetEndpointsVersion()), nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "keeper")
	}
}

// Depose implements link.KeeperServer.
func (s *permitServer) Depose(_ context.Context, q *link.DeposeRequest) (*link.DeposeReply, error) {
	return &link.DeposeReply{
		Promised: s.witness.PromiseToIgnore(q.GetToken(), s.clock.Now()),
	}, nil
}

func decodeReport(q *link.PermitRequest, now time.Time) keeper.Report {
	r := keeper.Report{
		From:            rosemarylb.InstanceID(q.GetFrom()),
		StoreAnsweredAt: before(now, q.GetStoreMicros()),
		Address:         q.GetAddress(),
		Peer: rosemarylb.RelayPeer{
			Address: q.GetRelayAddress(),
			Region:  rosemarylb.RegionName(q.GetRegion()),
		},
		CatalogVersion: q.GetCatalogVersion(),
	}
	for _, e := range q.GetEvidence() {
		r.Evidence = append(r.Evidence, keeper.Evidence{
			Group:        rosemarylb.DatabaseName(e.GetGroup()),
			Primary:      rosemarylb.EndpointID(e.GetPrimary()),
			AnsweredAt:   before(now, e.GetAnsweredMicros()),
			FailingSince: before(now, e.GetFailingMicros()),
		})
	}
	return r
}

// before returns the time a number of microseconds ago, the zero time for a
// negative number.
func before(now time.Time, micros int64) time.Time {
	if micros < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(micros) * time.Microsecond)
}

// since returns how many microseconds ago a time was, -1 for the zero time.
func since(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at).Microseconds(), 0)
}

// encodePermits encodes an answer to an asker that has some versions of the
// lists of peers and of endpoints.
func encodePermits(a keeping.PermitReply, peers, endpoints uint64) *link.PermitReply {
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
		if a.EndpointsVersion != endpoints {
			r.Endpoints = encodeEndpoints(a.Endpoints)
		}
	}
	if a.IsHolder && a.PeersVersion != peers {
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

func decodePermits(r *link.PermitReply) []keeper.Grant {
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

func encodeEndpoints(all []rosemarylb.EndpointSpec) []*link.Endpoint {
	var out []*link.Endpoint
	for _, e := range all {
		out = append(out, &link.Endpoint{
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
	return out
}

func decodeEndpoints(all []*link.Endpoint) []rosemarylb.EndpointSpec {
	var out []rosemarylb.EndpointSpec
	for _, e := range all {
		out = append(out, rosemarylb.EndpointSpec{
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
	return out
}
