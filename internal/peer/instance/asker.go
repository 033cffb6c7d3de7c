package instance

import (
	"context"
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeping"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/proxy"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// askInterval is the time between two questions; several fit into the
	// span of a permit.
	askInterval = 120 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	// silentAfter is how long the keeper may be silent before the store is
	// asked in its place.
	silentAfter = 250 * time.Millisecond
	// readInterval is the time between two reads of the store: two fit into the
	// span of a permit.
	readInterval = 200 * time.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = 400 * time.Millisecond
	// redialAfter is how many questions in a row may fail on one connection.
	redialAfter = 2
	// dialBackoff is the longest wait between two tries to connect.
	dialBackoff = 200 * time.Millisecond
)

// Asker is the duty that asks for permits: the keeper, or the store while the
// keeper is silent.
type Asker struct {
	self     rosemarylb.InstanceID
	own      string
	peer     rosemarylb.RelayPeer
	peers    uint64
	told     *duty.Latest[keeper.Notification]
	list     uint64
	clock    rosemarylb.Clock
	log      *slog.Logger
	store    rosemarylb.Store
	keeping  *keeping.Runner
	storeAt  *duty.Latest[time.Time]
	status   *duty.Latest[proxy.Status]
	tell     *duty.Ring[proxy.Event]
	address  string
	token    uint64
	hint     holder
	conn     *grpc.ClientConn
	failures int
	heardAt  time.Time
	silent   bool
	deposeAt time.Time
	readAt   time.Time
	at       time.Time
}

// holder is where the holder of a token is reached, as another instance told:
// an instance that the store does not answer learns of it so.
type holder struct {
	address string
	token   uint64
}

// NewAsker returns a duty that is not yet started; it tells the proxy's ring.
func NewAsker(
	self rosemarylb.InstanceID, address string, peer rosemarylb.RelayPeer, c rosemarylb.Clock, l *slog.Logger, s rosemarylb.Store,
	k *keeping.Runner, storeAt *duty.Latest[time.Time], told *duty.Latest[keeper.Notification], p *proxy.Proxy,
) *Asker {
	return &Asker{
		self:    self,
		own:     address,
		peer:    peer,
		clock:   c,
		log:     l,
		store:   s,
		keeping: k,
		storeAt: storeAt,
		told:    told,
		status:  p.Status(),
		tell:    p.Ring(),
		at:      c.Now(),
	}
}

// Start runs the duty. The returned function stops it.
func (a *Asker) Start() (*duty.Duty, func()) {
	d, stop := duty.StartOn[struct{}](a.clock, "permits", a, duty.NewRing[struct{}]("permits", 1))
	return d, func() {
		stop()
		a.hangUp()
	}
}

// Handle implements duty.Handler; the duty takes no events.
func (*Asker) Handle(time.Time, struct{}) {}

// Next implements duty.Handler.
func (a *Asker) Next() time.Time {
	return a.at
}

// Dump implements duty.Handler.
func (a *Asker) Dump() any {
	return struct {
		Keeper string `json:"keeper"`
		Silent bool   `json:"silent"`
	}{
		Keeper: a.address,
		Silent: a.silent,
	}
}

// Tick implements duty.Handler; its thread waits for the keeper and the store.
func (a *Asker) Tick(now time.Time) {
	a.at = now.Add(askInterval)
	err := a.ask(now)
	if err == nil {
		a.noteHeard(now)
		return
	}
	a.list = 0
	if now.Sub(a.heardAt) < silentAfter {
		return
	}
	a.depose(now)
	if !a.silent {
		a.silent = true
		a.log.Warn("dependency lost", "dependency", "keeper", "address", a.address, "error", err)
	}
	if now.Sub(a.readAt) >= readInterval {
		a.readAt = now
		a.read()
	}
}

func (a *Asker) noteHeard(now time.Time) {
	a.heardAt = now
	if a.silent {
		a.silent = false
		a.log.Info("dependency regained", "dependency", "keeper", "address", a.address)
	}
}

var (
	errNoKeeper  = errors.New("no keeper is known")
	errDeposed   = errors.New("the keeper is deposed")
	errNotKeeper = errors.New("the instance does not keep")
)

// ask asks the keeper. Permits count from before the question.
func (a *Asker) ask(now time.Time) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := client.Ask(ctx, a.question(now))
	if err != nil {
		a.failures++
		if a.failures >= redialAfter {
			a.hangUp()
		}
		return errors.Wrap(err, "keeper")
	}
	a.failures = 0
	if token := reply.GetReleased(); token != 0 {
		a.keeping.Ring().Put(keeping.LeaseReleased{
			Token: token,
		})
	}
	if !reply.GetKeeper() {
		if reply.GetToken() > a.token {
			a.hint = holder{
				address: reply.GetHolderAddress(),
				token:   reply.GetToken(),
			}
		}
		return errNotKeeper
	}
	if !a.keeping.Witness().ObserveAnswer(a.token, now) {
		return errDeposed
	}
	a.tell.Put(proxy.ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: int(reply.GetMembers()),
			Index:   int(reply.GetIndex()),
		},
	})
	a.tell.Put(proxy.PermitsReceived{
		Permits: permit.FromGrants(decodePermits(reply), now),
	})
	a.tellPeers(reply)
	a.tellStore(reply, now)
	return nil
}

func (a *Asker) question(now time.Time) *link.PermitRequest {
	q := &link.PermitRequest{
		From:         string(a.self),
		StoreMicros:  since(a.storeAt.Load(), now),
		Address:      a.own,
		RelayAddress: a.peer.Address,
		Region:       string(a.peer.Region),
		PeersVersion: a.peers,

		EndpointsVersion: a.list,
		CatalogVersion:   a.status.Load().CatalogVersion,
	}
	for _, s := range a.status.Load().Observations {
		q.Evidence = append(q.Evidence, &link.Evidence{
			Group:          string(s.Group),
			Primary:        string(s.Primary),
			AnsweredMicros: since(s.AnsweredAt, now),
			FailingMicros:  since(s.FirstFailureAt, now),
		})
	}
	return q
}

// read asks the store in the keeper's place.
func (a *Asker) read() {
	askedAt := a.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	o, err := a.store.Get(ctx, keeping.RecordName)
	if err != nil || o.Version == 0 {
		return
	}
	r, err := keeper.ParseRecord(o.Value)
	if err != nil {
		a.log.Error("the keeper's record cannot be read", "revision", o.Version, "error", err)
		return
	}
	a.tell.Put(proxy.PermitsReceived{
		Permits: permit.FromRecord(r, askedAt),
	})
}

// client returns the client of the keeper's address.
func (a *Asker) client() (link.KeeperClient, error) {
	record := a.keeping.LatestRecord().Load()
	address, token := record.Address, record.Token
	if a.hint.token > token {
		address, token = a.hint.address, a.hint.token
	}
	if address == "" {
		return nil, errNoKeeper
	}
	if !a.keeping.Witness().Accepts(token) {
		return nil, errDeposed
	}
	a.token = token
	if address != a.address {
		a.hangUp()
		a.address = address
	}
	if a.conn == nil {
		conn, err := grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff: backoff.Config{
					BaseDelay:  dialBackoff / 4,
					Multiplier: 2,
					MaxDelay:   dialBackoff,
				},
				MinConnectTimeout: askTimeout,
			}))
		if err != nil {
			return nil, errors.Wrap(err, "keeper")
		}
		a.conn = conn
	}
	return link.NewKeeperClient(a.conn), nil
}

func (a *Asker) hangUp() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
	a.failures = 0
}
