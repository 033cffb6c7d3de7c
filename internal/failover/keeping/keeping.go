package keeping

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// ringCapacity is how many events may wait for the keeper.
	ringCapacity = 4096
	// clientCapacity is how many calls may wait for a client duty.
	clientCapacity = 64
	// tickInterval is the time between two decisions of the holder.
	tickInterval = 20 * time.Millisecond
	// idleInterval is that of the others.
	idleInterval = 200 * time.Millisecond
)

var (
	leasesTotal     = metrics.NewCounter(`rosemarylb_keeper_leases_total`)
	promotionsTotal = metrics.NewCounter(`rosemarylb_keeper_promotions_total`)
)

// Keeping is the duty.
type Keeping struct {
	log             *slog.Logger
	clock           rosemarylb.Clock
	keeper          keeper.Keeper
	ring            *duty.Ring[Event]
	recordClient    *duty.Ring[task]
	promotionClient *duty.Ring[rosemarylb.Promotion]
	latest          *duty.Latest[keeper.Record]
	probes          *probes
	tickAt          time.Time
	gaveUp          *duty.Latest[bool]
	witness         *Witness
	list            list
	heard           *duty.Latest[time.Time]
}

// Option changes a duty under construction.
type Option func(*Keeping)

// WithLogger sets where changes of belief are logged.
func WithLogger(l *slog.Logger) Option {
	return func(k *Keeping) {
		k.log = l
	}
}

// NewKeeping returns a duty that is not yet started. The port has to tell its
// events to the duty.
func NewKeeping(k keeper.Keeper, c rosemarylb.Clock, options ...Option) *Keeping {
	n := &Keeping{
		log:             slog.New(slog.DiscardHandler),
		clock:           c,
		keeper:          k,
		ring:            duty.NewRing[Event]("keeper", ringCapacity),
		recordClient:    duty.NewRing[task]("keeper-store", clientCapacity),
		promotionClient: duty.NewRing[rosemarylb.Promotion]("keeper-promotions", clientCapacity),
		latest:          duty.NewLatest(keeper.Record{}),
		probes:          newProbes(),
		tickAt:          time.Unix(1, 0),
		gaveUp:          duty.NewLatest(false),
		witness:         &Witness{},
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Ring returns the ring that feeds the duty.
func (n *Keeping) Ring() *duty.Ring[Event] {
	return n.ring
}

// Record returns the record as last seen, for other duties.
func (n *Keeping) Record() *duty.Latest[keeper.Record] {
	return n.latest
}

// Witness returns what this instance hears of the holder as a witness.
func (n *Keeping) Witness() *Witness {
	return n.witness
}

// GaveUp tells whether a retired keeper holds nothing any more.
func (n *Keeping) GaveUp() *duty.Latest[bool] {
	return n.gaveUp
}

// Start runs the duty and its client duties, and notes when the store last answered.
// While the holder of the lease tells what changes, the record isn't followed.
// The returned function stops them.
func (n *Keeping) Start(
	store rosemarylb.Store, promoter rosemarylb.Promoter, port rosemarylb.EndpointPort,
	heard *duty.Latest[time.Time], tells *duty.Latest[keeper.Notification],
) ([]*duty.Duty, func()) {
	n.probes.port = port
	n.heard = heard
	main, stopMain := duty.StartOn[Event](n.clock, "keeper", n, n.ring)
	writer, stopWriter := duty.StartOn[task](n.clock, "keeper-store", recordClient{
		store: store,
		ring:  n.ring,
	}, n.recordClient)
	promotionClient, stopHerald := duty.StartOn[rosemarylb.Promotion](n.clock, "keeper-promotions", promotionClient{
		promoter: promoter,
		ring:     n.ring,
	}, n.promotionClient)
	watch, stopWatch := duty.StartOn[struct{}](n.clock, "keeper-watch", &watcher{
		store:   store,
		ring:    n.ring,
		latest:  n.latest,
		clock:   n.clock,
		heard:   heard,
		tells:   tells,
		witness: n.witness,
		at:      n.clock.Now(),
	}, duty.NewRing[struct{}]("keeper-watch", 1))
	return []*duty.Duty{main, writer, promotionClient, watch}, func() {
		stopWatch()
		stopHerald()
		stopWriter()
		stopMain()
	}
}

// ConnectionOpened implements rosemarylb.EndpointSink.
func (n *Keeping) ConnectionOpened(id rosemarylb.ConnectionID) {
	n.ring.Put(opened{
		id: id,
	})
}

// ReplyReceived implements rosemarylb.EndpointSink.
func (n *Keeping) ReplyReceived(id rosemarylb.ConnectionID, r rosemarylb.Reply) {
	n.ring.Put(replied{
		id:    id,
		reply: r,
	})
}

// ConnectionLost implements rosemarylb.EndpointSink.
func (n *Keeping) ConnectionLost(id rosemarylb.ConnectionID, code rosemarylb.ReplyCode) {
	n.ring.Put(lost{
		id:   id,
		code: code,
	})
}

// Handle implements duty.Handler.
func (n *Keeping) Handle(now time.Time, item Event) {
	switch e := item.(type) {
	case Questioned:
		n.questioned(e, now)
		return
	case Observed:
		n.observed(e.Object, now)
	case Registered:
		n.keeper = n.keeper.WithEndpoints(e.Endpoints)
		n.list = newList(e.Endpoints)
	case told:
		n.keeper = n.keeper.WithLeaseNotification(now)
	case Retired:
		n.keeper = n.keeper.WithShutdown()
	case Released:
		n.keeper = n.keeper.WithLeaseReleased(e.Token)
	case Deposed:
		n.keeper = n.keeper.WithHolderDeposed(e.Token)
	case written:
		n.written(e, now)
	case unread:
		n.keeper = n.keeper.WithReadUnanswered(now)
	case promoted:
		n.keeper = n.keeper.WithPromotionOutcome(e.promotion, e.outcome, now)
	case opened:
		n.probes.opened(e.id, now)
	case replied:
		n.took(n.probes.replied(e, now))
	case lost:
		n.took(n.probes.lost(e, now))
	}
	n.decide(now)
}

func (n *Keeping) took(statuses []keeper.Status) {
	for _, s := range statuses {
		n.keeper = n.keeper.WithStatus(s)
	}
}

func (n *Keeping) questioned(e Questioned, now time.Time) {
	n.keeper = n.keeper.WithReport(e.Report, now)
	grants, keeps := n.keeper.Grants(now)
	record := n.keeper.Record()
	peers, version := n.keeper.Peers()
	select {
	case e.Answer <- Answer{
		Keeps:         keeps,
		Grants:        grants,
		Share:         n.keeper.Share(e.Report.From),
		Released:      n.keeper.ReleasedToken(),
		HolderAddress: record.Address,
		Token:         record.Token,
		Peers:         peers,
		PeersVersion:  version,

		Tells:            n.tells(e.Report.From, now),
		Follows:          n.keeper.WatchesStore(e.Report.From),
		Catalog:          n.keeper.LatestCatalogVersion(),
		Endpoints:        n.list.endpoints,
		EndpointsVersion: n.list.version,
	}:
	default:
	}
}

func (n *Keeping) observed(o rosemarylb.Object, now time.Time) {
	r, err := keeper.ParseRecord(o.Value)
	if o.Version != 0 && err != nil {
		n.log.Error("the keeper's record cannot be read", "revision", o.Version, "error", err)
		return
	}
	if o.Version == 0 {
		r = keeper.Record{}
	}
	n.keeper = n.keeper.WithRecord(r, o.Version, now)
}

func (n *Keeping) written(e written, now time.Time) {
	switch {
	case e.failed:
		n.keeper = n.keeper.WithWriteUnanswered(now)
	case e.outcome.Written:
		n.keeper = n.keeper.WithWriteConfirmed(e.outcome.Object.Version, now)
		n.latest.Store(n.keeper.Record())
	default:
		r, err := keeper.ParseRecord(e.outcome.Object.Value)
		if err != nil {
			n.keeper = n.keeper.WithWriteUnanswered(now)
			return
		}
		n.keeper = n.keeper.WithWriteConflict(r, e.outcome.Object.Version, now)
	}
}

// Tick implements duty.Handler.
func (n *Keeping) Tick(now time.Time) {
	n.tickAt = now.Add(idleInterval)
	if n.keeper.Leading() {
		n.tickAt = now.Add(tickInterval)
	}
	n.took(n.probes.expire(now, n.keeper.Leading()))
	n.decide(now)
}

// Next implements duty.Handler.
func (n *Keeping) Next() time.Time {
	return n.tickAt
}

// Dump implements duty.Handler.
func (n *Keeping) Dump() any {
	return struct {
		Leading bool          `json:"leading"`
		Record  keeper.Record `json:"record"`
	}{
		Leading: n.keeper.Leading(),
		Record:  n.keeper.Record(),
	}
}

func (n *Keeping) decide(now time.Time) {
	var d keeper.Decision
	n.keeper, d = n.keeper.Decide(now)
	for _, e := range d.LogEvents {
		if e.Event == "lease taken" {
			leasesTotal.Inc()
		}
		n.log.Info(e.Event, "group", e.Group, "endpoint", e.Endpoint, "term", e.Term, "reason", e.Reason,
			"age-ms", e.AgeMillis, "token", n.keeper.Record().Token)
	}
	if d.Write != nil && !n.recordClient.Offer(task{
		write: d.Write,
	}) {
		n.keeper = n.keeper.WithWriteUnanswered(now)
	}
	if d.Read && !n.recordClient.Offer(task{}) {
		n.keeper = n.keeper.WithReadUnanswered(now)
	}
	for _, p := range d.Promotions {
		promotionsTotal.Inc()
		if !n.promotionClient.Offer(p) {
			n.keeper = n.keeper.WithPromotionOutcome(p, rosemarylb.PromotionDeferred, now)
		}
	}
	for _, o := range d.Queries {
		n.probes.order(o, now)
	}
	n.gaveUp.Store(!n.keeper.Leading())
}
