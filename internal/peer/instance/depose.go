package instance

import (
	"context"
	"hash/fnv"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeping"
	"rosemarylb/internal/message/link"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// deposeAfter is how long the holder of the lease is silent before its
	// witnesses are asked to listen to it no more.
	deposeAfter = time.Second
	// deposeSpread is the most that instances wait beyond that, so that not all
	// ask at once.
	deposeSpread = 400 * time.Millisecond
	// deposeInterval is the time between two tries.
	deposeInterval = 800 * time.Millisecond
	// deposeTimeout bounds one question.
	deposeTimeout = 150 * time.Millisecond
	// storeSpan is how recent an answer of the store has to be: without the
	// store the lease cannot be taken.
	storeSpan = 1500 * time.Millisecond
)

// depose has the witnesses of a silent holder promise to listen to it no more,
// and tells the keeper's duty when enough have.
func (a *Asker) depose(now time.Time) {
	silent := a.keeping.Witness().HolderSilence(now)
	if silent < deposeAfter+a.spread() || now.Before(a.deposeAt) || now.Sub(a.storeAt.Load()) > storeSpan {
		return
	}
	a.deposeAt = now.Add(deposeInterval)
	record := a.keeping.LatestRecord().Load()
	if record.Holder == "" || record.Holder == a.self {
		return
	}
	others, promised := 0, 0
	for id := range record.Witnesses {
		if id != record.Holder {
			others++
		}
	}
	_, need := keeper.WitnessQuorum(others)
	for id, address := range record.Witnesses {
		if id != record.Holder && promised < need && a.promises(id, address, record.Token) {
			promised++
		}
	}
	a.log.Info("holder deposed", "holder", record.Holder, "token", record.Token, "promised", promised,
		"needed", need, "silent-ms", silent.Milliseconds())
	if promised >= need {
		a.keeping.Ring().Put(keeping.HolderDeposed{
			Token: record.Token,
		})
	}
}

// spread is this instance's wait beyond the others'.
func (a *Asker) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.self))
	return time.Duration(h.Sum32()%4) * deposeSpread / 4
}

// promises asks one witness.
func (a *Asker) promises(id rosemarylb.InstanceID, address string, token uint64) bool {
	if id == a.self {
		return a.keeping.Witness().PromiseToIgnore(token, a.clock.Now())
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
