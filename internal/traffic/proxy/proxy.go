// Package proxy runs the queries of callers on connections to endpoints. It
// manages sessions and connection pools, routes queries, and determines their
// outcome. It is independent of wire protocols: ports carry queries and
// replies.
package proxy

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// ringCapacity is the capacity of the event ring.
	ringCapacity = 16384
	// busyTickInterval and idleTickInterval are the times between checks of
	// deadlines, with queries in flight and without.
	busyTickInterval = 5 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// readyGracePeriod is how long an instance stays ready after its permit
	// expired. It is longer than a failover.
	readyGracePeriod = 3 * time.Second
	// queueLimit is the maximum number of queued queries of a rank in each
	// queue of a group.
	queueLimit = 512
	// bytesPerMegabit converts megabits to bytes.
	bytesPerMegabit = 1e6 / 8
	// linkBudgetPart is the part of the machine's link that reads which leave the region
	// without need may use.
	linkBudgetPart = 0.05
	// maxLinkBudget is the most that they may use, in bytes a second. 40 instances of a
	// region then take a third of a link of 60 Mbit/s between regions.
	maxLinkBudget = 0.5 * bytesPerMegabit
)

var (
	sessionsTotal = metrics.NewCounter(`rosemarylb_proxy_sessions_total`)
	queryTime     = metrics.NewHistogram(`rosemarylb_proxy_query_seconds`)
	retriesTotal  = metrics.NewCounter(`rosemarylb_proxy_repeats_total`)
)

// Proxy is the duty that runs the queries of callers.
type Proxy struct {
	log          *slog.Logger
	callerPort   rosemarylb.CallerPort
	relayPort    rosemarylb.CallerPort
	endpointPort rosemarylb.EndpointPort
	region       rosemarylb.RegionName
	domain       rosemarylb.DomainName
	address      string
	ring         *duty.Ring[Event]
	status       *duty.Latest[Status]

	catalog     rosemarylb.Catalog
	share       rosemarylb.ConnectionShare
	groups      map[rosemarylb.DatabaseName]*group
	pools       map[rosemarylb.EndpointID]*endpointPool
	connections map[rosemarylb.ConnectionID]*connection
	sessions    map[rosemarylb.SessionID]*session
	// revoked are the revoked sessions whose callers have left a transaction open.
	revoked         map[rosemarylb.SessionID]*session
	endpointsKnown  bool
	waitingSessions []waitingSession
	peers           []rosemarylb.RelayPeer
	peersRevision   uint64
	peersByRegion   map[rosemarylb.RegionName]int
	lastID          uint64
	nextTick        time.Time
	inFlight        int
	drain           DrainStarted
	quotas          quotas
	random          func() float64
	linkBudget      float64
}

// Status is the state that the proxy publishes to other duties.
type Status struct {
	// Ready reports whether the proxy can serve queries.
	Ready bool
	// Empty reports whether no session is open.
	Empty bool
	// CatalogVersion is the version of the configuration in force, 0 if there is none.
	CatalogVersion uint64
	// Observations are the observations of primaries.
	Observations []Observation
}

// Option configures a proxy.
type Option func(*Proxy)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(p *Proxy) {
		p.log = logger
	}
}

// WithLocation sets the region and failure domain of the instance.
func WithLocation(region rosemarylb.RegionName, domain rosemarylb.DomainName) Option {
	return func(p *Proxy) {
		p.region = region
		p.domain = domain
	}
}

// WithRandom sets the source of random numbers in [0, 1) that spread reads over
// endpoints. It is used by the proxy's thread alone.
func WithRandom(random func() float64) Option {
	return func(p *Proxy) {
		p.random = random
	}
}

// WithLinkBudget sets how many bytes a second the instance may exchange with other
// regions for reads that its own region could serve.
func WithLinkBudget(bytesPerSecond float64) Option {
	return func(p *Proxy) {
		p.linkBudget = bytesPerSecond
	}
}

// LinkBudget returns the budget for WithLinkBudget of a machine whose link has a capacity
// in megabits a second, 0 for unknown.
func LinkBudget(megabits float64) float64 {
	if megabits <= 0 {
		return maxLinkBudget
	}
	return min(megabits*bytesPerMegabit*linkBudgetPart, maxLinkBudget)
}

// NewProxy returns a proxy; Start runs it.
func NewProxy(callers rosemarylb.CallerPort, endpoints rosemarylb.EndpointPort, options ...Option) *Proxy {
	p := &Proxy{
		log:          slog.New(slog.DiscardHandler),
		callerPort:   callers,
		endpointPort: endpoints,
		ring:         duty.NewRing[Event]("proxy", ringCapacity),
		status: duty.NewLatest(Status{
			Empty: true,
		}),
		groups:      map[rosemarylb.DatabaseName]*group{},
		pools:       map[rosemarylb.EndpointID]*endpointPool{},
		connections: map[rosemarylb.ConnectionID]*connection{},
		sessions:    map[rosemarylb.SessionID]*session{},
		revoked:     map[rosemarylb.SessionID]*session{},
		nextTick:    time.Unix(1, 0),
		quotas:      newQuotas(),
		random:      rand.Float64,
		linkBudget:  maxLinkBudget,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Ring returns the ring that carries events to the proxy.
func (p *Proxy) Ring() *duty.Ring[Event] {
	return p.ring
}

// Status returns the published status.
func (p *Proxy) Status() *duty.Latest[Status] {
	return p.status
}

// Start starts the proxy with the given clock. The returned function stops it.
func (p *Proxy) Start(c rosemarylb.Clock) (*duty.Duty, func()) {
	return duty.StartWithClock[Event](c, "proxy", p, p.ring)
}

// Handle implements duty.Handler.
func (p *Proxy) Handle(now time.Time, item Event) {
	switch e := item.(type) {
	case QueryReceived:
		p.handleQuery(e, now)
	case ReplyReceived:
		p.handleReply(e, now)
	case SessionOpened:
		p.openSession(e, now)
	case SessionClosed:
		p.endSession(e, now)
	case ConnectionOpened:
		p.handleOpened(e, now)
	case ConnectionLost:
		p.handleLost(e, now)
	case EndpointsChanged:
		p.applyEndpoints(e, now)
	case CatalogChanged:
		p.applyCatalog(e, now)
	case PermitsReceived:
		p.applyPermits(e, now)
	case PeersChanged:
		p.applyPeers(e.Peers)
	case ShareChanged:
		p.share = e.Share
	case QuotaEvent:
		p.handleQuotaEvent(e, now)
	case ExplanationRequested:
		e.Reply <- p.explain(e.Request, now)
	case LoadsReceived:
		p.applyLoads(e)
	case DrainStarted:
		p.drain = e
		p.log.Info("drain", "sessions", len(p.sessions))
	}
}

// Next implements duty.Handler.
func (p *Proxy) Next() time.Time {
	return p.nextTick
}

// Tick implements duty.Handler.
func (p *Proxy) Tick(now time.Time) {
	p.nextTick = now.Add(idleTickInterval)
	if p.inFlight > 0 {
		p.nextTick = now.Add(busyTickInterval)
	}
	for _, g := range p.groups {
		p.expireQueries(g, now)
		p.sample(g, now)
		p.dispatch(g, now)
	}
	p.publishShares()
	p.expireConnections(now)
	p.rejectWaitingSessions(now)
	p.decideWaiting(now)
	p.closeRevoked(now)
	if !p.drain.CloseAt.IsZero() {
		p.closeSessions(now)
	}
	p.publishStatus(now)
}

func (p *Proxy) publishStatus(now time.Time) {
	s := Status{
		Ready:          p.isReady(now),
		Empty:          len(p.sessions) == 0,
		CatalogVersion: p.catalog.Version,
	}
	for _, g := range p.groups {
		if observation := p.currentObservation(g, now); observation.Primary != "" {
			s.Observations = append(s.Observations, observation)
		}
	}
	p.status.Store(s)
}

// isReady reports whether the instance can serve queries: it has a
// configuration and the endpoints, no drain has started, and the permit of a
// configured group is valid or expired less than readyGracePeriod ago. A
// configuration without groups needs no permit.
func (p *Proxy) isReady(now time.Time) bool {
	if p.catalog.Version == 0 || !p.endpointsKnown || !p.drain.CloseAt.IsZero() {
		return false
	}
	for name := range p.catalog.Groups {
		if g, found := p.groups[name]; found && now.Before(g.permit.ExpiresAt.Add(readyGracePeriod)) {
			return true
		}
	}
	return len(p.catalog.Groups) == 0
}

// group returns a group, and creates it if needed.
func (p *Proxy) group(name rosemarylb.DatabaseName) *group {
	if g, found := p.groups[name]; found {
		return g
	}
	g := p.newGroup(name)
	p.groups[name] = g
	return g
}

// newGroup returns a group that is not registered.
func (p *Proxy) newGroup(name rosemarylb.DatabaseName) *group {
	return &group{
		name:   name,
		queues: newQueues(),
		queued: map[uint64]*pendingQuery{},
		observation: Observation{
			Group: name,
		},
		balancing: balancing{
			balancer: newBalancer(p.linkBudget),
		},
	}
}

func (p *Proxy) applyCatalog(e CatalogChanged, now time.Time) {
	if !e.Catalog.Supersedes(p.catalog) {
		return
	}
	p.catalog = e.Catalog
	p.quotas.allowance = p.quotas.allowance.WithCatalog(e.Catalog)
	p.updateDeputies()
	waiting := p.waitingSessions
	p.waitingSessions = nil
	for _, w := range waiting {
		p.openSession(w.event, now)
	}
	for name := range e.Catalog.Groups {
		p.group(name)
	}
	p.revokeSessions(now)
	for _, ep := range p.pools {
		ep.spec = ep.spec.WithRegionAndLimit(ep.spec.Region, e.Catalog.Groups[ep.group.name].MaxConnections)
	}
	p.log.Info("configuration in force", "version", e.Catalog.Version, "routes", len(e.Catalog.Routes))
}
