package keeperduty

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/quota"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// eventCapacity is the number of events that the keeper's ring holds.
	eventCapacity = 4096
	// requestCapacity is the number of calls that the ring of a client duty holds.
	requestCapacity = 64
	// holderTickInterval is the time between decisions while this instance holds
	// the lease.
	holderTickInterval = 20 * time.Millisecond
	// idleTickInterval is the time between decisions while another instance may
	// hold the lease.
	idleTickInterval = 200 * time.Millisecond
)

var (
	leasesTotal     = metrics.NewCounter(`rosemarylb_keeper_leases_total`)
	voidLeasesTotal = metrics.NewCounter(`rosemarylb_keeper_leases_void_total`)
	promotionsTotal = metrics.NewCounter(`rosemarylb_keeper_promotions_total`)
)

// Runner is the duty that runs the keeper of one instance.
type Runner struct {
	log             *slog.Logger
	clock           rosemarylb.Clock
	keeper          keeper.Keeper
	ring            *duty.Ring[Event]
	recordRequests  *duty.Ring[recordRequest]
	promotions      *duty.Ring[rosemarylb.Promotion]
	latestRecord    *duty.Latest[keeper.Record]
	probes          *probePool
	nextTickAt      time.Time
	notHolding      *duty.Latest[bool]
	witness         *Witness
	witnessProcess  uint32
	endpoints       endpointList
	catalog         rosemarylb.Catalog
	grantLists      grantLists
	loads           loadList
	storeAnsweredAt *duty.Latest[time.Time]
	tokens          tokenGrants
}

// Option configures a Runner.
type Option func(*Runner)

// WithLogger sets the logger for the keeper's state changes. The default discards
// them.
func WithLogger(l *slog.Logger) Option {
	return func(r *Runner) {
		r.log = l
	}
}

// WithQuotaTolerance sets by how much teams may exceed their quotas. The default is zero.
func WithQuotaTolerance(t quota.Tolerance) Option {
	return func(r *Runner) {
		r.tokens.tolerance = t
	}
}

// NewRunner returns a duty that is not started yet. The EndpointPort that Start
// receives must report its events to it.
func NewRunner(k keeper.Keeper, clock rosemarylb.Clock, options ...Option) *Runner {
	r := &Runner{
		log:            slog.New(slog.DiscardHandler),
		clock:          clock,
		keeper:         k,
		ring:           duty.NewRing[Event]("keeper", eventCapacity),
		recordRequests: duty.NewRing[recordRequest]("keeper-store", requestCapacity),
		promotions:     duty.NewRing[rosemarylb.Promotion]("keeper-promotions", requestCapacity),
		latestRecord:   duty.NewLatest(keeper.Record{}),
		probes:         newProbePool(),
		nextTickAt:     time.Unix(1, 0),
		notHolding:     duty.NewLatest(false),
		witness:        &Witness{},
		witnessProcess: k.WitnessProcess(),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Ring returns the ring that feeds the duty.
func (r *Runner) Ring() *duty.Ring[Event] {
	return r.ring
}

// LatestRecord returns the latest record read or written, for use by other duties.
func (r *Runner) LatestRecord() *duty.Latest[keeper.Record] {
	return r.latestRecord
}

// Witness returns this instance's state as a witness of the lease holder.
func (r *Runner) Witness() *Witness {
	return r.witness
}

// WitnessProcess returns the number that identifies this process as a witness.
func (r *Runner) WitnessProcess() uint32 {
	return r.witnessProcess
}

// NotHolding is true while this process neither holds the lease nor has to store its
// release, and false until the first decision. A shutdown waits for it after
// RetireRequested.
func (r *Runner) NotHolding() *duty.Latest[bool] {
	return r.notHolding
}

// Start runs the duty and its client duties, and returns them with a function that
// stops them. It stores the time of each answer to a watch of the store in
// storeAnsweredAt. While notification shows that the lease holder reports changes to
// this instance, the record is not watched.
func (r *Runner) Start(
	store rosemarylb.Store, promoter rosemarylb.Promoter, port rosemarylb.EndpointPort,
	storeAnsweredAt *duty.Latest[time.Time], notification *duty.Latest[keeper.Notification],
) ([]*duty.Duty, func()) {
	r.probes.port = port
	r.storeAnsweredAt = storeAnsweredAt
	keeperDuty, stopKeeper := duty.StartWithClock[Event](r.clock, "keeper", r, r.ring)
	recordDuty, stopRecord := duty.StartWithClock[recordRequest](r.clock, "keeper-store", recordClient{
		store: store,
		ring:  r.ring,
	}, r.recordRequests)
	promotionDuty, stopPromotion := duty.StartWithClock[rosemarylb.Promotion](r.clock, "keeper-promotions", promotionClient{
		promoter: promoter,
		clock:    r.clock,
		ring:     r.ring,
	}, r.promotions)
	watchDuty, stopWatch := duty.StartWithClock[struct{}](r.clock, "keeper-watch", &recordWatcher{
		store:           store,
		ring:            r.ring,
		record:          r.latestRecord,
		clock:           r.clock,
		storeAnsweredAt: storeAnsweredAt,
		notification:    notification,
		witness:         r.witness,
		nextAt:          r.clock.Now(),
	}, duty.NewRing[struct{}]("keeper-watch", 1))
	return []*duty.Duty{keeperDuty, recordDuty, promotionDuty, watchDuty}, func() {
		stopWatch()
		stopPromotion()
		stopRecord()
		stopKeeper()
	}
}

// ConnectionOpened implements rosemarylb.EndpointSink.
func (r *Runner) ConnectionOpened(id rosemarylb.ConnectionID) {
	r.ring.Put(connectionOpened{
		id: id,
	})
}

// ReplyReceived implements rosemarylb.EndpointSink.
func (r *Runner) ReplyReceived(id rosemarylb.ConnectionID, reply rosemarylb.Reply) {
	r.ring.Put(queryReplied{
		id:    id,
		reply: reply,
	})
}

// ConnectionLost implements rosemarylb.EndpointSink.
func (r *Runner) ConnectionLost(id rosemarylb.ConnectionID, code rosemarylb.ReplyCode) {
	r.ring.Put(connectionLost{
		id:   id,
		code: code,
	})
}

// Handle implements duty.Handler.
func (r *Runner) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case PermitRequested:
		r.handlePermitRequest(e, now)
		return
	case ReserveRequested:
		r.handleReserve(e, now)
		return
	case RecordObserved:
		r.handleRecordObserved(e.Object, now)
	case EndpointsChanged:
		r.keeper = r.keeper.WithEndpoints(e.Endpoints)
		r.endpoints = newEndpointList(e.Endpoints)
	case CatalogChanged:
		r.catalog = e.Catalog
		r.keeper = r.keeper.WithCatalog(e.Catalog)
		r.tokens = r.tokens.withCatalog(e.Catalog, now)
		return
	case holderAnswered:
		r.keeper = r.keeper.WithLeaseNotification(now)
	case RetireRequested:
		r.keeper = r.keeper.WithShutdown()
	case LeaseReleased:
		r.keeper = r.keeper.WithLeaseReleased(e.Token)
	case HolderDeposed:
		r.keeper = r.keeper.WithHolderDeposed(e.Record)
	case writeFinished:
		r.handleWriteFinished(e, now)
	case readFailed:
		r.keeper = r.keeper.WithReadUnanswered(now)
	case promotionFinished:
		r.keeper = r.keeper.WithPromotionOutcome(e.promotion, e.outcome, now)
	case connectionOpened:
		r.probes.handleOpened(e.id, now)
	case queryReplied:
		r.applyStatuses(r.probes.handleReply(e, now))
	case connectionLost:
		r.applyStatuses(r.probes.handleLost(e, now))
	}
	r.executeDecision(now)
}

func (r *Runner) applyStatuses(statuses []keeper.Status) {
	for _, status := range statuses {
		r.keeper = r.keeper.WithStatus(status)
	}
}

// handlePermitRequest replies at once. The reply is dropped if the requester does
// not receive it.
func (r *Runner) handlePermitRequest(e PermitRequested, now time.Time) {
	e.Report.Observations = append(e.Report.Observations, r.grantLists.resolve(e.GrantsVersion, e.Indexed)...)
	r.keeper = r.keeper.WithReport(e.Report, now)
	grants, holds := r.keeper.Grants(now)
	record := r.keeper.Record()
	version := uint64(0)
	if holds {
		r.grantLists = r.grantLists.withGrants(record.Token, grants)
		grants, version = r.grantLists.order(grants), r.grantLists.version()
	}
	if holds {
		r.loads = r.loads.withLoads(r.keeper, r.endpoints, now)
	}
	select {
	case e.Reply <- PermitReply{
		IsHolder:      holds,
		AnsweredAt:    r.keeper.AnswersAt(now),
		Grants:        grants,
		GrantsVersion: version,
		Share:         r.keeper.Share(e.Report.From),
		ReleasedToken: r.keeper.ReleasedToken(),
		HolderAddress: record.Address,
		HolderToken:   record.Token,
		Peers:         r.keeper.Peers(),

		SendsChanges:     r.notifies(e.Report.From, now),
		WatchesStore:     r.keeper.WatchesStore(e.Report.From),
		CatalogVersion:   r.keeper.LatestCatalogVersion(),
		Endpoints:        r.endpoints.endpoints,
		EndpointsVersion: r.endpoints.version,
		Loads:            r.loads.loads,
		LoadsVersion:     r.loads.version,
		Catalog:          r.catalog,
	}:
	default:
	}
}

func (r *Runner) handleRecordObserved(object rosemarylb.Object, now time.Time) {
	record, err := keeper.ParseRecord(object.Value)
	if object.Version.Exists() && err != nil {
		r.log.Error("cannot decode the keeper record", "revision", object.Version.Revision, "error", err)
		return
	}
	if !object.Version.Exists() {
		record = keeper.Record{}
	}
	r.keeper = r.keeper.WithRecord(record, object.Version, now)
}

func (r *Runner) handleWriteFinished(e writeFinished, now time.Time) {
	switch {
	case e.failed:
		r.keeper = r.keeper.WithWriteUnanswered(now)
	case e.outcome.Written:
		r.keeper = r.keeper.WithWriteConfirmed(e.outcome.Object.Version, now)
		storeIfLater(r.latestRecord, r.keeper.Record())
	default:
		record, err := keeper.ParseRecord(e.outcome.Object.Value)
		if err != nil {
			r.keeper = r.keeper.WithWriteUnanswered(now)
			return
		}
		r.keeper = r.keeper.WithWriteConflict(record, e.outcome.Object.Version, now)
	}
}

// Tick implements duty.Handler.
func (r *Runner) Tick(now time.Time) {
	r.nextTickAt = now.Add(idleTickInterval)
	if r.keeper.HoldsLease() {
		r.nextTickAt = now.Add(holderTickInterval)
	}
	r.applyStatuses(r.probes.expire(now, r.keeper.HoldsLease()))
	r.executeDecision(now)
	if r.keeper.HoldsLease() {
		r.tokens = r.tokens.withTenure(r.keeper.Tenure(), r.log).advanced(now)
	}
}

// Next implements duty.Handler.
func (r *Runner) Next() time.Time {
	return r.nextTickAt
}

// Dump implements duty.Handler.
func (r *Runner) Dump() any {
	return struct {
		HoldsLease bool          `json:"leading"`
		Record     keeper.Record `json:"record"`
	}{
		HoldsLease: r.keeper.HoldsLease(),
		Record:     r.keeper.Record(),
	}
}

// executeDecision runs the keeper's decision and passes its writes, reads,
// promotions and endpoint queries to the client duties. A request whose ring is
// full is reported to the keeper as failed, so that it is decided on again.
func (r *Runner) executeDecision(now time.Time) {
	var decision keeper.Decision
	r.keeper, decision = r.keeper.Decide(now)
	for _, event := range decision.LogEvents {
		switch event.Event {
		case "lease taken":
			leasesTotal.Inc()
		case keeper.EventLeaseVoid:
			voidLeasesTotal.Inc()
		}
		r.log.Info(event.Event, "group", event.Group, "endpoint", event.Endpoint, "term", event.Term,
			"reason", event.Reason, "age-ms", event.AgeMillis, "token", r.keeper.Record().Token)
	}
	if decision.Write != nil && !r.recordRequests.Offer(recordRequest{
		write: decision.Write,
	}) {
		r.keeper = r.keeper.WithWriteUnanswered(now)
	}
	if decision.Read && !r.recordRequests.Offer(recordRequest{}) {
		r.keeper = r.keeper.WithReadUnanswered(now)
	}
	for _, promotion := range decision.Promotions {
		promotionsTotal.Inc()
		if !r.promotions.Offer(promotion) {
			r.keeper = r.keeper.WithPromotionOutcome(promotion, rosemarylb.PromotionDeferred, now)
		}
	}
	for _, query := range decision.Queries {
		r.probes.query(query, now)
	}
	r.notHolding.Store(!r.keeper.HoldsLease() && r.keeper.ReleasedToken() == 0)
}
