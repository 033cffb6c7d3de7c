// Package proxy serves the queries of callers on connections to endpoints: it
// keeps the sessions, chooses where each query runs, and settles its answer.
// It knows no protocol; ports carry queries and replies.
package proxy

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// ringCapacity is how many events may wait for the proxy.
	ringCapacity = 16384
	// tickBusy and tickIdle are the times between two looks at deadlines,
	// with queries under way and without.
	tickBusy = 5 * time.Millisecond
	tickIdle = 50 * time.Millisecond
	// readySpan is how long an instance without a permit stays ready: longer
	// than a change of primary takes.
	readySpan = 3 * time.Second
	// queueLimit is how many queries of a rank may wait for a group.
	queueLimit = 512
)

var (
	sessionsTotal = metrics.NewCounter(`rosemarylb_proxy_sessions_total`)
	queryTime     = metrics.NewHistogram(`rosemarylb_proxy_query_seconds`)
	repeatsTotal  = metrics.NewCounter(`rosemarylb_proxy_repeats_total`)
)

// Proxy is the duty that serves callers.
type Proxy struct {
	log       *slog.Logger
	callers   rosemarylb.CallerPort
	relays    rosemarylb.CallerPort
	endpoints rosemarylb.EndpointPort
	region    rosemarylb.RegionName
	domain    rosemarylb.DomainName
	address   string
	ring      *duty.Ring[Event]
	status    *duty.Latest[Status]

	catalog  rosemarylb.Catalog
	share    rosemarylb.Share
	groups   map[rosemarylb.DatabaseName]*group
	pools    map[rosemarylb.EndpointID]*pool
	links    map[rosemarylb.ConnectionID]*link
	sessions map[rosemarylb.SessionID]*session
	known    bool
	joins    []Joined
	peers    []rosemarylb.Peer
	number   uint64
	tickAt   time.Time
	jobs     int
	drain    Drained
}

// Status is what other duties read of the proxy.
type Status struct {
	// Ready is true once the proxy can serve.
	Ready bool
	// Empty is true when no session is open.
	Empty bool
	// Version is that of the configuration in force, 0 for none.
	Version uint64
	// Observations are what it has seen of primaries.
	Observations []Observation
}

// Option changes a proxy under construction.
type Option func(*Proxy)

// WithLogger sets where decisions are logged.
func WithLogger(l *slog.Logger) Option {
	return func(p *Proxy) {
		p.log = l
	}
}

// WithPlace sets where the instance stands.
func WithPlace(region rosemarylb.RegionName, domain rosemarylb.DomainName) Option {
	return func(p *Proxy) {
		p.region = region
		p.domain = domain
	}
}

// NewProxy returns a proxy that is not yet started.
func NewProxy(callers rosemarylb.CallerPort, endpoints rosemarylb.EndpointPort, options ...Option) *Proxy {
	p := &Proxy{
		log:       slog.New(slog.DiscardHandler),
		callers:   callers,
		endpoints: endpoints,
		ring:      duty.NewRing[Event]("proxy", ringCapacity),
		status: duty.NewLatest(Status{
			Empty: true,
		}),
		groups:   map[rosemarylb.DatabaseName]*group{},
		pools:    map[rosemarylb.EndpointID]*pool{},
		links:    map[rosemarylb.ConnectionID]*link{},
		sessions: map[rosemarylb.SessionID]*session{},
		tickAt:   time.Unix(1, 0),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Ring returns the ring that feeds the proxy.
func (p *Proxy) Ring() *duty.Ring[Event] {
	return p.ring
}

// Status returns what other duties may read.
func (p *Proxy) Status() *duty.Latest[Status] {
	return p.status
}

// Start runs the proxy by a clock. The returned function stops it.
func (p *Proxy) Start(c rosemarylb.Clock) (*duty.Duty, func()) {
	return duty.StartOn[Event](c, "proxy", p, p.ring)
}

// Handle implements duty.Handler.
func (p *Proxy) Handle(now time.Time, item Event) {
	switch e := item.(type) {
	case Asked:
		p.asked(e, now)
	case Replied:
		p.replied(e, now)
	case Joined:
		p.joined(e, now)
	case Left:
		p.left(e, now)
	case Opened:
		p.opened(e, now)
	case Lost:
		p.lost(e, now)
	case Registered:
		p.registered(e, now)
	case Configured:
		p.configured(e, now)
	case Permitted:
		p.permitted(e, now)
	case Peered:
		p.peers = e.Peers
	case Shared:
		p.share = e.Share
	case Drained:
		p.drain = e
		p.log.Info("drain", "sessions", len(p.sessions))
	}
}

// Next implements duty.Handler.
func (p *Proxy) Next() time.Time {
	return p.tickAt
}

// Tick implements duty.Handler.
func (p *Proxy) Tick(now time.Time) {
	p.tickAt = now.Add(tickIdle)
	if p.jobs > 0 {
		p.tickAt = now.Add(tickBusy)
	}
	for _, g := range p.groups {
		p.expire(g, now)
		p.dispatch(g, now)
	}
	p.expireLinks(now)
	if !p.drain.CloseAt.IsZero() {
		p.closeSessions(now)
	}
	p.publish(now)
}

func (p *Proxy) publish(now time.Time) {
	s := Status{
		Ready:   p.ready(now),
		Empty:   len(p.sessions) == 0,
		Version: p.catalog.Version,
	}
	for _, g := range p.groups {
		if observation := p.observation(g, now); observation.Primary != "" {
			s.Observations = append(s.Observations, observation)
		}
	}
	p.status.Store(s)
}

// ready reports whether the instance can serve: it knows a configuration and
// endpoints, and has or had lately a permit to use some primary.
func (p *Proxy) ready(now time.Time) bool {
	if p.catalog.Version == 0 || !p.known || !p.drain.CloseAt.IsZero() {
		return false
	}
	for name := range p.catalog.Groups {
		if g, found := p.groups[name]; found && now.Before(g.permit.Until.Add(readySpan)) {
			return true
		}
	}
	return len(p.catalog.Groups) == 0
}

// group returns a group, made at its first use.
func (p *Proxy) group(name rosemarylb.DatabaseName) *group {
	if g, found := p.groups[name]; found {
		return g
	}
	g := &group{
		name:  name,
		lines: newLines(),
		jobs:  map[uint64]*job{},
		observation: Observation{
			Group: name,
		},
	}
	p.groups[name] = g
	return g
}

func (p *Proxy) configured(e Configured, now time.Time) {
	if !e.Catalog.Supersedes(p.catalog) {
		return
	}
	p.catalog = e.Catalog
	joins := p.joins
	p.joins = nil
	for _, j := range joins {
		p.joined(j, now)
	}
	for name := range e.Catalog.Groups {
		p.group(name)
	}
	for _, l := range p.pools {
		l.spec = l.spec.WithPlace(l.spec.Region, e.Catalog.Groups[l.group.name].Connections)
	}
	p.log.Info("configuration in force", "version", e.Catalog.Version, "routes", len(e.Catalog.Routes))
}
