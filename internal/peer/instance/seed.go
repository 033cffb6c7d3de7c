package instance

import (
	"context"

	"rosemarylb/internal/message/link"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// askSeed asks the next seed for the lease holder that it knows. It blocks for at most
// seedTimeout. The reply's permits are not used, since the seed may not be the
// holder; the next request goes to the holder itself.
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
	request := pr.newRequest(pr.clock.Now())
	traffic := newControlTrafficTo(pr.meter, address)
	traffic.sent(request, len(request.GetCatalog()))
	reply, err := link.NewKeeperClient(conn).Ask(ctx, request)
	if err != nil {
		return
	}
	traffic.received(reply, len(reply.GetCatalog()))
	former := pr.holderHint
	pr.observeHolder(reply)
	if pr.holderHint != former {
		pr.log.Info("lease holder learned from a seed", "seed", address, "address", pr.holderHint.address,
			"token", pr.holderHint.token)
	}
}
