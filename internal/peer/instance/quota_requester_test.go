package instance

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/clock"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/meter"
	"rosemarylb/internal/traffic/proxy"
	"rosemarylb/internal/traffic/quota"
)

// memoryStore is a store with one object. It also stands in for a promoter and for the
// endpoints, of which there are none.
type memoryStore struct {
	mu     sync.Mutex
	object rosemarylb.Object
}

func (s *memoryStore) Get(context.Context, string) (rosemarylb.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object, nil
}

func (s *memoryStore) Put(_ context.Context, o rosemarylb.Object) (rosemarylb.PutOutcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := o.Version == s.object.Version
	if written {
		o.Version.Revision++
		s.object = o
	}
	return rosemarylb.PutOutcome{
		Written: written,
		Object:  s.object,
	}, nil
}

func (s *memoryStore) Watch(ctx context.Context, name string, _ rosemarylb.Version) (rosemarylb.Object, error) {
	time.Sleep(20 * time.Millisecond)
	return s.Get(ctx, name)
}

func (*memoryStore) Instances(context.Context) ([]rosemarylb.Member, error) { return nil, nil }

func (*memoryStore) Promote(context.Context, rosemarylb.Promotion) rosemarylb.PromotionOutcome {
	return rosemarylb.PromotionDeferred
}

func (*memoryStore) Open(rosemarylb.ConnectionID, rosemarylb.EndpointSpec) {}
func (*memoryStore) Send(rosemarylb.ConnectionID, rosemarylb.Query)        {}
func (*memoryStore) Close(rosemarylb.ConnectionID)                         {}

// replies collects the replies to callers.
type replies chan rosemarylb.Reply

func (replies) Accept(rosemarylb.SessionID)                            {}
func (r replies) SendReply(_ rosemarylb.SessionID, q rosemarylb.Reply) { r <- q }
func (r replies) Reject(_ rosemarylb.SessionID, q rosemarylb.Reply)    { r <- q }
func (replies) Close(rosemarylb.SessionID)                             {}

// newServedKeeper returns a keeper that is not started, and the address at which it is
// served to other instances.
func newServedKeeper(t *testing.T, c rosemarylb.Clock, self rosemarylb.InstanceID) (*keeperduty.Runner, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	runner := keeperduty.NewRunner(keeper.NewKeeper(self, 1, address), c)
	t.Cleanup(ServeKeeper(listener, budget.NewBudget(1<<30, slog.New(slog.DiscardHandler)), c, runner,
		func(rosemarylb.Catalog) {}, meter.NewMeter(meter.Location{}),
		func([]quota.Demand, chan<- quota.Reply) bool { return false }))
	return runner, address
}

// startKeeper starts a keeper that serves other instances, and returns its address once
// it holds the lease.
func startKeeper(t *testing.T, c rosemarylb.Clock, catalog rosemarylb.Catalog) KeeperAddress {
	t.Helper()
	runner, address := newServedKeeper(t, c, "keeper")
	store := &memoryStore{}
	_, stop := runner.Start(store, store, store, duty.NewLatest(time.Time{}), duty.NewLatest(keeper.Notification{}))
	t.Cleanup(stop)
	runner.Ring().Put(keeperduty.CatalogChanged{
		Catalog: catalog,
	})
	for deadline := time.Now().Add(20 * time.Second); runner.LatestRecord().Load().Holder == ""; {
		if time.Now().After(deadline) {
			t.Fatal("got no lease within 20 s, want one")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return KeeperAddress{
		Address: address,
		Token:   runner.LatestRecord().Load().Token,
	}
}

// TestQuotaHoldsOverTwoInstances guards against instances that each apply the whole
// quota, that refuse the first operations of an idle team, or that do not reach the
// keeper. Admitted operations find no endpoint, and are answered for that reason.
func TestQuotaHoldsOverTwoInstances(t *testing.T) {
	key := rosemarylb.NewKeyDigest("key")
	catalog := rosemarylb.Catalog{
		Version: 1,
		Routes: map[string]rosemarylb.Route{
			"db": {
				Database:      "db",
				Group:         "g",
				TimeoutMillis: 2400,
			},
		},
	}.WithTeams([]rosemarylb.Team{{
		Name:          "team",
		Keys:          []rosemarylb.KeyDigest{key},
		RatePerSecond: 5,
		Burst:         10,
	}})
	c := clock.BootTime{}
	found := duty.NewLatest(startKeeper(t, c, catalog))
	answers := make(replies, 1000)
	var proxies []*proxy.Proxy
	for _, id := range []rosemarylb.InstanceID{"a", "b"} {
		p := proxy.NewProxy(answers, &memoryStore{}, proxy.WithQuotas(id, 1))
		_, stopProxy := p.Start(c)
		t.Cleanup(stopProxy)
		_, stopRequester := NewQuotaRequester(c, p, found).Start()
		t.Cleanup(stopRequester)
		p.Ring().Put(proxy.CatalogChanged{
			Catalog: catalog,
		})
		proxies = append(proxies, p)
	}
	session := rosemarylb.SessionID(0)
	// refusals runs operations on each instance and returns how many the quota refused.
	refusals := func(operations int) int {
		for range operations {
			for _, p := range proxies {
				session++
				p.SessionOpened(session, rosemarylb.SessionRequest{
					Database: "db",
					Key:      key,
				})
				p.QueryReceived(session, rosemarylb.Query{
					Kind: rosemarylb.QueryRead,
				})
			}
		}
		refused := 0
		for range operations * len(proxies) {
			select {
			case r := <-answers:
				if strings.HasPrefix(r.Text, "not run: quota, retry-after-ms=") {
					refused++
				}
			case <-time.After(20 * time.Second):
				t.Fatal("got no answer within 20 s, want one")
			}
		}
		return refused
	}
	if got := refusals(1); got != 0 {
		t.Errorf("got %d of 2 operations refused, want none", got)
	}
	if got := refusals(60); got < 30 {
		t.Errorf("got %d of 120 operations refused, want at least 30", got)
	}
}
