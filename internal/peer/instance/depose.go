package instance

import (
	"context"
	"hash/fnv"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// deposeDelay is how long the lease holder has not replied before its
	// witnesses are requested to ignore it.
	deposeDelay = time.Second
	// maxDeposeJitter is the upper bound of the delay that each instance adds to
	// deposeDelay, so that not all send requests at once.
	maxDeposeJitter = 400 * time.Millisecond
	// deposeInterval is the time between two attempts.
	deposeInterval = 800 * time.Millisecond
	// deposeTimeout bounds one request to a witness.
	deposeTimeout = 150 * time.Millisecond
	// maxStoreSilence is how long ago the store may have replied: without the
	// store no instance can take the lease.
	maxStoreSilence = 1500 * time.Millisecond
)

// depose asks the witnesses of a lease holder that does not reply to promise to
// ignore it, and notifies the keeper's duty once a quorum of them has.
func (pr *PermitRequester) depose(now time.Time) {
	silent := pr.keeperRunner.Witness().HolderSilence(now)
	if silent < deposeDelay+pr.deposeJitter() || now.Before(pr.nextDeposeAt) ||
		now.Sub(pr.storeAnsweredAt.Load()) > maxStoreSilence {
		return
	}
	pr.nextDeposeAt = now.Add(deposeInterval)
	record := pr.keeperRunner.LatestRecord().Load()
	if record.Holder == "" || record.Holder == pr.self {
		return
	}
	witnesses := 0
	for id := range record.Witnesses {
		if id != record.Holder {
			witnesses++
		}
	}
	_, required := keeper.WitnessQuorum(witnesses)
	var promised []rosemarylb.InstanceID
	for id, address := range record.Witnesses {
		if id != record.Holder && len(promised) < required && pr.requestPromise(id, address, record.Token) {
			promised = append(promised, id)
		}
	}
	pr.log.Info("holder deposed", "holder", record.Holder, "token", record.Token, "promised", len(promised),
		"needed", required, "by", promised, "silent-ms", silent.Milliseconds())
	if len(promised) >= required {
		pr.keeperRunner.Ring().Put(keeperduty.HolderDeposed{
			Record: record,
		})
	}
}

// deposeJitter returns the delay that this instance adds to deposeDelay: one of
// four values, chosen by a hash of its name.
func (pr *PermitRequester) deposeJitter() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(pr.self))
	return time.Duration(h.Sum32()%4) * maxDeposeJitter / 4
}

// requestPromise reports whether one witness promises to ignore the holder of a
// token. A witness that cannot be reached does not.
func (pr *PermitRequester) requestPromise(id rosemarylb.InstanceID, address string, token uint64) bool {
	if id == pr.self {
		return pr.keeperRunner.Witness().PromiseToIgnore(token, pr.clock.Now())
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return false
	}
	defer func() {
		_ = conn.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), deposeTimeout)
	defer cancel()
	reply, err := link.NewKeeperClient(conn).Depose(ctx, &link.DeposeRequest{
		Token: token,
	})
	return err == nil && reply.GetPromised()
}
