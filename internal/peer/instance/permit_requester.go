package instance

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/meter"
	"rosemarylb/internal/traffic/proxy"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// requestInterval is the time between two requests to the keeper; several
	// fit into the duration of a permit.
	requestInterval = 120 * time.Millisecond
	// requestTimeout bounds one request to the keeper.
	requestTimeout = 250 * time.Millisecond
	// keeperSilenceTimeout is the time without a reply of the keeper after which
	// permits are derived from the record in the store.
	keeperSilenceTimeout = 250 * time.Millisecond
	// recordReadInterval is the time between two reads of the record; two fit
	// into the duration of a permit.
	recordReadInterval = 200 * time.Millisecond
	// maxRecordReadInterval is that time after reads that failed, because calls that the
	// store rejects are billed too.
	maxRecordReadInterval = 400 * time.Millisecond
	// seedInterval is the time between two questions to seeds.
	seedInterval = 200 * time.Millisecond
	// seedTimeout bounds one question to a seed. It is shorter than requestTimeout, since
	// the duty asks the keeper only between the questions.
	seedTimeout = 150 * time.Millisecond
	// recordReadTimeout bounds one read of the record.
	recordReadTimeout = 400 * time.Millisecond
	// redialFailureCount is the number of consecutive failed requests after which
	// the connection is closed and dialed again.
	redialFailureCount = 2
	// maxDialBackoff is the longest backoff between two attempts to connect.
	maxDialBackoff = 200 * time.Millisecond
	// catalogResendInterval is the time after which a configuration is sent to the
	// keeper again that still announces an older one.
	catalogResendInterval = time.Second
)

// PermitRequester is the duty that requests permits from the keeper, and derives them
// from the record in the store while the keeper does not reply.
type PermitRequester struct {
	self                rosemarylb.InstanceID
	address             string
	relayPeer           rosemarylb.RelayPeer
	capacity            int
	shareKnown          bool
	peers               map[string]rosemarylb.RelayPeer
	peersVersion        uint64
	notification        *duty.Latest[keeper.Notification]
	endpointsVersion    uint64
	clock               rosemarylb.Clock
	log                 *slog.Logger
	store               rosemarylb.Store
	keeperRunner        *keeperduty.Runner
	storeAnsweredAt     *duty.Latest[time.Time]
	proxyStatus         *duty.Latest[proxy.Status]
	proxyRing           *duty.Ring[proxy.Event]
	keeperAddress       string
	keeperToken         uint64
	holderHint          leaseHolder
	lastAnswer          holderAnswer
	keeperFound         *duty.Latest[KeeperAddress]
	conn                *grpc.ClientConn
	consecutiveFailures int
	lastReplyAt         time.Time
	keeperSilent        bool
	nextDeposeAt        time.Time
	nextReadAt          time.Time
	recordRead          bool
	nextSeedAt          time.Time
	nextRequestAt       time.Time
	grantList           permit.GrantList
	seeds               []string
	nextSeed            int
	catalogs            catalogExchange
	meter               *meter.Meter
	loads               endpointLoads
}

// KeeperAddress is the address of the lease holder that an instance asks, empty while it
// knows none, and the holder's token.
type KeeperAddress struct {
	// Address is a host:port.
	Address string
	// Token is the fencing token of the holder.
	Token uint64
}

// leaseHolder is the address and the token of a lease holder that another
// instance reported. An instance that cannot read the store finds a new holder
// this way.
type leaseHolder struct {
	address string
	token   uint64
}

// holderAnswer identifies an answer of a lease holder, which the next requests name as the
// support of this instance.
type holderAnswer struct {
	// token is the holder's token, 0 for none.
	token uint64
	// micros is the time of the answer by the holder's clock.
	micros uint64
}

// NewPermitRequester returns a duty of an instance that is not yet started. It puts
// permits, shares, peers and endpoints into the rings of the proxy and of the
// keeper's duty, and reads the record in the store while the keeper is silent.
func NewPermitRequester(
	self rosemarylb.InstanceID, clock rosemarylb.Clock, store rosemarylb.Store, k *keeperduty.Runner, p *proxy.Proxy,
	options ...PermitRequesterOption,
) *PermitRequester {
	pr := &PermitRequester{
		self:            self,
		clock:           clock,
		log:             slog.New(slog.DiscardHandler),
		store:           store,
		keeperRunner:    k,
		storeAnsweredAt: duty.NewLatest(time.Time{}),
		notification:    duty.NewLatest(keeper.Notification{}),
		keeperFound:     duty.NewLatest(KeeperAddress{}),
		proxyStatus:     p.Status(),
		proxyRing:       p.Ring(),
		nextRequestAt:   clock.Now(),
		meter:           meter.NewMeter(meter.Location{}),
		catalogs: catalogExchange{
			current:   duty.NewLatest(rosemarylb.Catalog{}),
			onCatalog: func(rosemarylb.Catalog) {},
		},
	}
	for _, o := range options {
		o(pr)
	}
	pr.seeds = slices.DeleteFunc(slices.Clone(pr.seeds), func(address string) bool {
		return address == pr.address
	})
	return pr
}

// Start runs the duty. The returned function stops it.
func (pr *PermitRequester) Start() (*duty.Duty, func()) {
	d, stop := duty.StartWithClock[struct{}](pr.clock, "permits", pr, duty.NewRing[struct{}]("permits", 1))
	return d, func() {
		stop()
		pr.closeConnection()
	}
}

// Handle implements duty.Handler; the duty receives no events.
func (*PermitRequester) Handle(time.Time, struct{}) {}

// Next implements duty.Handler.
func (pr *PermitRequester) Next() time.Time {
	return pr.nextRequestAt
}

// Dump implements duty.Handler.
func (pr *PermitRequester) Dump() any {
	return struct {
		Keeper string `json:"keeper"`
		Silent bool   `json:"silent"`
	}{
		Keeper: pr.keeperAddress,
		Silent: pr.keeperSilent,
	}
}

// Tick implements duty.Handler. It requests permits and blocks until the keeper
// has replied; after keeperSilenceTimeout without a reply it also reads the record
// and may have the holder deposed.
func (pr *PermitRequester) Tick(now time.Time) {
	pr.nextRequestAt = now.Add(requestInterval)
	err := pr.requestPermits(now)
	if err == nil {
		pr.markKeeperAlive(now)
		return
	}
	pr.endpointsVersion = 0
	if now.Sub(pr.lastReplyAt) < keeperSilenceTimeout {
		return
	}
	pr.depose(now)
	if !pr.keeperSilent {
		pr.keeperSilent = true
		pr.log.Warn("dependency lost", "dependency", "keeper", "address", pr.keeperAddress, "error", err)
	}
	if !now.Before(pr.nextReadAt) {
		pr.recordRead = pr.readRecord()
		pr.nextReadAt = now.Add(recordReadInterval)
		if !pr.recordRead {
			pr.nextReadAt = now.Add(maxRecordReadInterval)
		}
	}
	if !pr.recordRead && !now.Before(pr.nextSeedAt) {
		pr.nextSeedAt = now.Add(seedInterval)
		pr.askSeed()
	}
}

func (pr *PermitRequester) markKeeperAlive(now time.Time) {
	pr.lastReplyAt = now
	if pr.keeperSilent {
		pr.keeperSilent = false
		pr.log.Info("dependency regained", "dependency", "keeper", "address", pr.keeperAddress)
	}
}

var (
	errNoKeeper  = errors.New("no keeper is known")
	errDeposed   = errors.New("the keeper is deposed")
	errNotKeeper = errors.New("the instance does not keep")
)

// requestPermits sends one request to the keeper and applies its reply. now is
// read before the request is sent, and the granted permits count from it.
func (pr *PermitRequester) requestPermits(now time.Time) error {
	client, err := pr.keeperClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request := pr.newRequest(now)
	traffic := newControlTrafficTo(pr.meter, pr.keeperAddress)
	traffic.sent(request, len(request.GetCatalog()))
	reply, err := client.Ask(ctx, request)
	if err != nil {
		pr.consecutiveFailures++
		if pr.consecutiveFailures >= redialFailureCount {
			pr.closeConnection()
		}
		return errors.Wrap(err, "keeper")
	}
	traffic.received(reply, len(reply.GetCatalog()))
	pr.consecutiveFailures = 0
	pr.observeAnswer(reply)
	if token := reply.GetReleased(); token != 0 {
		pr.keeperRunner.Ring().Put(keeperduty.LeaseReleased{
			Token: token,
		})
	}
	if !reply.GetKeeper() {
		pr.observeHolder(reply.GetHolderAddress(), reply.GetToken())
		return errNotKeeper
	}
	if !pr.keeperRunner.Witness().ObserveAnswer(pr.keeperToken, now) {
		return errDeposed
	}
	pr.keeperRunner.Witness().ObserveAnsweringHolder(pr.keeperToken, pr.keeperAddress)
	pr.shareKnown = true
	pr.proxyRing.Put(proxy.ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: int(reply.GetMembers()),
			Index:   int(reply.GetIndex()),
		},
	})
	pr.applyGrants(reply, now)
	pr.updatePeers(reply)
	if err := pr.catalogs.receive(reply, pr.keeperToken); err != nil {
		pr.log.Error("cannot decode the keeper's configuration", "bytes", len(reply.GetCatalog()), "error", err)
	}
	pr.applyLoads(reply, now)
	pr.applyNotification(reply, now)
	return nil
}

// observeAnswer stores the answer of a lease holder, also of one that lacks the witnesses to
// act. After a promise to ignore that holder none is accepted.
func (pr *PermitRequester) observeAnswer(reply *link.PermitReply) {
	if reply.GetHolderMicros() == 0 || !pr.keeperRunner.Witness().Accepts(reply.GetToken()) {
		return
	}
	pr.lastAnswer = holderAnswer{
		token:  reply.GetToken(),
		micros: reply.GetHolderMicros(),
	}
}

// observeHolder stores the lease holder that another instance names, if it is a later one.
func (pr *PermitRequester) observeHolder(address string, token uint64) {
	if token > max(pr.keeperToken, pr.holderHint.token) {
		pr.holderHint = leaseHolder{
			address: address,
			token:   token,
		}
	}
}

// applyGrants passes the permits of a holder's reply to the proxy. They count from the
// time of the request. A reply that refers to an unknown list grants nothing; the next
// one brings the whole list.
func (pr *PermitRequester) applyGrants(reply *link.PermitReply, requestedAt time.Time) {
	grants, list, err := receiveGrants(reply, pr.grantList, pr.keeperToken)
	pr.grantList = list
	if err != nil {
		pr.log.Warn("grants ignored", "address", pr.keeperAddress, "error", err)
		return
	}
	pr.proxyRing.Put(proxy.PermitsReceived{
		Permits: permit.FromGrants(grants, requestedAt),
	})
}

func (pr *PermitRequester) newRequest(now time.Time) *link.PermitRequest {
	request := &link.PermitRequest{
		From:         string(pr.self),
		StoreMicros:  microsSince(pr.storeAnsweredAt.Load(), now),
		Address:      pr.address,
		RelayAddress: pr.relayPeer.Address,
		Region:       string(pr.relayPeer.Region),
		Domain:       string(pr.relayPeer.Domain),
		PeersVersion: pr.peersVersion,

		EndpointsVersion: pr.endpointsVersion,
		LoadsVersion:     pr.loads.versionFor(pr.keeperToken),
		CatalogVersion:   pr.proxyStatus.Load().CatalogVersion,
		Capacity:         uint32(pr.capacity),
		Token:            pr.lastAnswer.token,
		HolderMicros:     pr.lastAnswer.micros,
		Process:          pr.keeperRunner.WitnessProcess(),
		Catalog:          pr.catalogs.contentFor(pr.keeperToken, now),
	}
	encodeObservations(request, pr.proxyStatus.Load().Observations, pr.grantList, pr.keeperToken, now)
	return request
}

// keeperClient returns a client of the lease holder with the highest known token,
// by the record or by another instance's hint. It fails when no holder is known or
// this instance has promised to ignore that holder.
func (pr *PermitRequester) keeperClient() (link.KeeperClient, error) {
	record := pr.keeperRunner.LatestRecord().Load()
	address, token := record.Address, record.Token
	if pr.holderHint.token > token {
		address, token = pr.holderHint.address, pr.holderHint.token
	}
	if address == "" {
		return nil, errNoKeeper
	}
	if !pr.keeperRunner.Witness().Accepts(token) {
		pr.keeperFound.Store(KeeperAddress{})
		return nil, errDeposed
	}
	pr.keeperToken = token
	pr.keeperFound.Store(KeeperAddress{
		Address: address,
		Token:   token,
	})
	if address != pr.keeperAddress {
		pr.closeConnection()
		pr.keeperAddress = address
	}
	if pr.conn == nil {
		conn, err := dialKeeper(address)
		if err != nil {
			return nil, errors.Wrap(err, "keeper")
		}
		pr.conn = conn
	}
	return link.NewKeeperClient(pr.conn), nil
}

func (pr *PermitRequester) closeConnection() {
	if pr.conn != nil {
		_ = pr.conn.Close()
		pr.conn = nil
	}
	pr.consecutiveFailures = 0
}

// dialKeeper returns a connection to a lease holder, which is established with the
// first call.
func dialKeeper(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  maxDialBackoff / 4,
				Multiplier: 2,
				MaxDelay:   maxDialBackoff,
			},
			MinConnectTimeout: requestTimeout,
		}))
}
