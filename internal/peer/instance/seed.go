package instance

import (
	"context"

	"rosemarylb"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/meter"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// askSeed asks the next seed for the lease holder that it knows. It blocks for at most
// seedTimeout. The next request goes to that holder.
func (pr *PermitRequester) askSeed() {
	if len(pr.seeds) == 0 {
		return
	}
	address := pr.seeds[pr.nextSeed%len(pr.seeds)]
	pr.nextSeed++
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return
	}
	defer func() {
		_ = conn.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), seedTimeout)
	defer cancel()
	request := &link.HolderRequest{
		Domain: string(pr.relayPeer.Domain),
		Region: string(pr.relayPeer.Region),
	}
	traffic := newControlTrafficTo(pr.meter, address)
	traffic.sent(request, 0)
	reply, err := link.NewKeeperClient(conn).FindHolder(ctx, request)
	if err != nil {
		return
	}
	traffic.received(reply, 0)
	former := pr.holderHint
	pr.observeHolder(reply.GetAddress(), reply.GetToken())
	if pr.holderHint != former {
		pr.log.Info("lease holder learned from a seed", "seed", address, "address", pr.holderHint.address,
			"token", pr.holderHint.token)
	}
}

// FindHolder implements link.KeeperServer. The question does not reach the keeper's duty:
// whoever asks need not support this instance as the holder, and may have promised to
// ignore it.
func (s *permitServer) FindHolder(_ context.Context, request *link.HolderRequest) (*link.HolderReply, error) {
	traffic := newControlTraffic(s.meter, meter.Location{
		Domain: rosemarylb.DomainName(request.GetDomain()),
		Region: rosemarylb.RegionName(request.GetRegion()),
	})
	traffic.received(request, 0)
	record := s.record.Load()
	latest := latestHolder(leaseHolder{
		address: record.Address,
		token:   record.Token,
	}, s.witness)
	reply := &link.HolderReply{
		Address: latest.address,
		Token:   latest.token,
	}
	traffic.sent(reply, 0)
	return reply, nil
}

// latestHolder returns the holder that answers this instance if it is later than the one
// in the record, else the latter. An instance that the keeper notifies does not read the
// record.
func latestHolder(recorded leaseHolder, w *keeperduty.Witness) leaseHolder {
	token, address := w.AnsweringHolder()
	if token <= recorded.token {
		return recorded
	}
	return leaseHolder{
		address: address,
		token:   token,
	}
}
