package instance

import (
	"context"
	"math"

	"rosemarylb"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/traffic/quota"

	"github.com/cockroachdb/errors"
)

// maxRateMillis is the highest rate that is accepted from another instance, in
// thousandths of an operation a second. The sum over all instances does not overflow.
const maxRateMillis = 1e12

// Reserve implements link.KeeperServer. It runs on a goroutine of the gRPC server and
// waits for the keeper's duty. The reply is empty when the duty's ring is full.
func (s *permitServer) Reserve(ctx context.Context, request *link.ReserveRequest) (*link.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	replies := make(chan quota.Reply, 1)
	if !s.ring.Offer(keeperduty.ReserveRequested{
		Request: decodeReserveRequest(request),
		Reply:   replies,
	}) {
		return &link.ReserveReply{}, nil
	}
	select {
	case reply := <-replies:
		return encodeReserveReply(reply), nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "keeper")
	}
}

// ReserveFromDeputy implements link.KeeperServer. It waits for the proxy, whose allowance
// holds the standing rates.
func (s *permitServer) ReserveFromDeputy(
	ctx context.Context, request *link.ReserveRequest,
) (*link.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	replies := make(chan quota.Reply, 1)
	if !s.onDeputyRequest(decodeReserveRequest(request).Demands, replies) {
		return &link.ReserveReply{}, nil
	}
	select {
	case reply := <-replies:
		return encodeReserveReply(reply), nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "deputy")
	}
}

func encodeReserveRequest(r quota.Request) *link.ReserveRequest {
	m := &link.ReserveRequest{
		From:         string(r.From),
		Process:      r.Process,
		Sequence:     r.Sequence,
		Acknowledged: r.Acknowledged,

		CatalogVersion: r.CatalogVersion,
	}
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, &link.TeamDemand{
			Team:           string(d.Team),
			Wanted:         uint32(d.Wanted),
			Waiting:        uint32(d.Waiting),
			RateMillis:     uint64(d.RateMillis),
			StandingMillis: uint64(d.StandingMillis),
			Deputy:         d.Deputy,
		})
	}
	return m
}

func decodeReserveRequest(m *link.ReserveRequest) quota.Request {
	r := quota.Request{
		From:         rosemarylb.InstanceID(m.GetFrom()),
		Process:      m.GetProcess(),
		Sequence:     m.GetSequence(),
		Acknowledged: m.GetAcknowledged(),

		CatalogVersion: m.GetCatalogVersion(),
	}
	for _, d := range m.GetDemands() {
		r.Demands = append(r.Demands, quota.Demand{
			Team:           rosemarylb.TeamName(d.GetTeam()),
			Wanted:         decodeCount(d.GetWanted()),
			Waiting:        decodeCount(d.GetWaiting()),
			RateMillis:     int64(min(d.GetRateMillis(), maxRateMillis)),
			StandingMillis: int64(min(d.GetStandingMillis(), maxRateMillis)),
			Deputy:         d.GetDeputy(),
		})
	}
	return r
}

func encodeReserveReply(r quota.Reply) *link.ReserveReply {
	m := &link.ReserveReply{
		Keeper: r.Answered,
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &link.TeamGrant{
			Tokens:         uint32(g.Tokens),
			Held:           uint32(g.Held),
			StandingMillis: uint64(g.StandingMillis),
			RetryMillis:    uint32(g.RetryMillis),
		})
	}
	return m
}

func decodeReserveReply(m *link.ReserveReply) quota.Reply {
	r := quota.Reply{
		Answered: m.GetKeeper(),
	}
	for _, g := range m.GetGrants() {
		r.Grants = append(r.Grants, quota.Grant{
			Tokens:         decodeCount(g.GetTokens()),
			Held:           decodeCount(g.GetHeld()),
			StandingMillis: int64(min(g.GetStandingMillis(), maxRateMillis)),
			RetryMillis:    int64(g.GetRetryMillis()),
		})
	}
	return r
}

// decodeCount returns a number of operations, which is not negative on any platform.
func decodeCount(n uint32) int {
	return int(min(n, math.MaxInt32))
}
