package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/quorum"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/queue"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// ownerRingCapacity is the number of events that the owner's ring holds.
	ownerRingCapacity = 16384
	// startupTimeout bounds the start-up of a connection and the rollback of a
	// released transaction.
	startupTimeout = 2 * time.Second
	// connectBackoff is the time after a failed connection before the next one is
	// opened.
	connectBackoff = 100 * time.Millisecond
	// idleTransactionTimeout is how long a transaction may be idle before its
	// connection is dropped.
	idleTransactionTimeout = 30 * time.Second
	// tickInterval is the time between two checks of deadlines and of the view.
	tickInterval = 20 * time.Millisecond
	// maxPreparedStatements is the number of prepared statements above which an idle
	// connection is closed.
	maxPreparedStatements = 512
)

var (
	servedRequests         = metrics.NewCounter(`rosemarylb_requests_served_total`)
	unknownOutcomes        = metrics.NewCounter(`rosemarylb_requests_unknown_total`)
	rejectedRequests       = metrics.NewCounter(`rosemarylb_requests_refused_total`)
	acknowledgementSeconds = metrics.NewHistogram(`rosemarylb_acknowledgement_wait_seconds`)
)

// Owner is the duty that serves the endpoints placed on this instance. It pools
// their connections, schedules the requests queued for them, and sends answers once
// they may be acknowledged.
type Owner struct {
	loops           *EventLoops
	view            *duty.Latest[rosemarylb.View]
	placement       rosemarylb.Placement
	reply           func(rosemarylb.Outcome)
	requestProbes   func(FastProbesRequested) bool
	requestEviction func(EvictionRequested) bool
	ring            *duty.Ring[Event]

	endpoints map[rosemarylb.EndpointID]*servedEndpoint
	tickAt    time.Time
}

// OwnerOption changes an owner under construction.
type OwnerOption func(*Owner)

// WithReply sets the function that receives outcomes. It must not block.
func WithReply(reply func(rosemarylb.Outcome)) OwnerOption {
	return func(o *Owner) {
		o.reply = reply
	}
}

// WithEvictor sets the function that receives requests to close the connections of a
// dead instance. It must not block.
func WithEvictor(requestEviction func(EvictionRequested) bool) OwnerOption {
	return func(o *Owner) {
		o.requestEviction = requestEviction
	}
}

// WithProbeRequester sets the function that receives requests for fast probes. It
// must not block.
func WithProbeRequester(requestProbes func(FastProbesRequested) bool) OwnerOption {
	return func(o *Owner) {
		o.requestProbes = requestProbes
	}
}

// NewOwner returns an owner that is not yet started.
func NewOwner(
	loops *EventLoops, view *duty.Latest[rosemarylb.View], placement rosemarylb.Placement, options ...OwnerOption,
) *Owner {
	o := &Owner{
		loops:           loops,
		view:            view,
		placement:       placement,
		reply:           func(rosemarylb.Outcome) {},
		requestProbes:   func(FastProbesRequested) bool { return true },
		requestEviction: func(EvictionRequested) bool { return true },
		ring:            duty.NewRing[Event]("owner", ownerRingCapacity),
		endpoints:       map[rosemarylb.EndpointID]*servedEndpoint{},
		tickAt:          time.Now(),
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Ring returns the ring that feeds the owner.
func (o *Owner) Ring() *duty.Ring[Event] {
	return o.ring
}

// Start runs the owner. The returned function stops it and closes its
// connections.
func (o *Owner) Start() (*duty.Duty, func()) {
	d, stop := duty.Start[Event]("owner", o, o.ring)
	return d, func() {
		stop()
		for _, se := range o.endpoints {
			for _, pooled := range se.connections {
				pooled.connection.Close()
			}
		}
	}
}

// Opened implements ConnectionHandler.
func (o *Owner) Opened(c *Connection) {
	o.ring.Put(connectionOpened{
		connection: c,
	})
}

// Responded implements ConnectionHandler.
func (o *Owner) Responded(c *Connection, r Response) {
	o.ring.Put(responseReceived{
		connection: c,
		response:   r,
	})
}

// Closed implements ConnectionHandler.
func (o *Owner) Closed(c *Connection, sqlState string) {
	o.ring.Put(connectionClosed{
		connection: c,
		sqlState:   sqlState,
	})
}

// Handle implements duty.Handler.
func (o *Owner) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case RequestSubmitted:
		o.submit(e.Request, now)
	case responseReceived:
		o.handleResponse(e, now)
	case connectionOpened:
		o.addConnection(e.connection, now)
	case connectionClosed:
		o.removeConnection(e, now)
	case StateReceived:
		o.applyState(e.State, now)
	case PrimaryChanged:
		o.applyPrimary(e.Primary, now)
	case Unreachable:
		o.handleUnreachable(e.Endpoint, now)
	case RequestCanceled:
		o.cancelRequest(e.ID)
	case SessionEnded:
		o.rollBackReleased(e, now)
	}
}

// Tick implements duty.Handler.
func (o *Owner) Tick(now time.Time) {
	o.tickAt = now.Add(tickInterval)
	o.applyView(now)
	for _, se := range o.endpoints {
		o.expire(se, now)
		o.dispatch(se, now)
	}
}

// Next implements duty.Handler.
func (o *Owner) Next() time.Time {
	return o.tickAt
}

// applyView applies the current view: limits, primaries, and which endpoints this
// instance owns. It closes the idle connections of endpoints that it no longer owns
// or that are leaving.
func (o *Owner) applyView(now time.Time) {
	v := o.view.Load()
	for id, se := range o.endpoints {
		spec, found := v.ServiceConfig.Endpoint(id)
		if found {
			se.spec = spec
			se.pool = se.pool.WithLimit(spec.Connections)
			se.queue = se.queue.WithServiceConfig(v.ServiceConfig, spec.Slots)
		}
		se.owned = found && o.owns(v, spec)
		if p, known := v.Primary(se.spec.Database); known {
			o.setPrimary(se, p, now)
		}
		o.dropDeadSessions(v, se)
		if !se.owned || se.spec.Leaving {
			o.closeIdleConnections(se)
		}
	}
}

func (o *Owner) owns(v rosemarylb.View, e rosemarylb.EndpointSpec) bool {
	owner, found := o.placement.Owner(v.Members, e)
	return found && owner.ID == v.Self.ID
}

// dropDeadSessions drops the connections that serve sessions of dead instances.
func (o *Owner) dropDeadSessions(v rosemarylb.View, se *servedEndpoint) {
	for _, e := range se.pool.Connections() {
		if e.RequestID.Instance == "" {
			continue
		}
		if m, found := v.Member(e.RequestID.Instance); found && m.Status == rosemarylb.MemberDead {
			o.dropConnection(se, e.ID)
		}
	}
}

func (o *Owner) closeIdleConnections(se *servedEndpoint) {
	for _, e := range se.pool.Connections() {
		if pooled, found := se.connections[e.ID]; found && e.State == poolIdle {
			pooled.connection.Close()
		}
	}
}

// endpoint returns the state of an endpoint, which is created at its first use. It
// is false for an endpoint that is not configured.
func (o *Owner) endpoint(id rosemarylb.EndpointID, now time.Time) (*servedEndpoint, bool) {
	if se, found := o.endpoints[id]; found {
		return se, true
	}
	v := o.view.Load()
	spec, found := v.ServiceConfig.Endpoint(id)
	if !found {
		return nil, false
	}
	database, _ := v.ServiceConfig.Database(spec.Database)
	se := newServedEndpoint(spec, quorum.NewMajority(database.Quorum()),
		queue.NewPriorityQueue().WithServiceConfig(v.ServiceConfig, spec.Slots))
	se.owned = o.owns(v, spec)
	if p, known := v.Primary(spec.Database); known {
		o.setPrimary(se, p, now)
	}
	o.endpoints[id] = se
	return se, true
}

func (o *Owner) submit(r rosemarylb.Request, now time.Time) {
	se, found := o.endpoint(r.Target.Endpoint, now)
	if !found {
		o.reject(r, rosemarylb.ReasonWrongOwner, nil)
		return
	}
	if reason := o.admit(se, r, now); reason != rosemarylb.ReasonNone {
		o.reject(r, reason, se)
		return
	}
	if r.Target.PinnedConnection != 0 {
		// A transaction does not wait for a slot: the requests that occupy the
		// slots may be waiting for its locks.
		o.sendRequest(se, r, r.Target.PinnedConnection, now)
		return
	}
	if r.Target.Term == 0 && !se.isFreshEnough(r) {
		se.waitingReads = append(se.waitingReads, r)
		o.requestFastProbes(se, now)
		return
	}
	o.enqueue(se, r, now)
	o.dispatch(se, now)
}

// admit returns why a request must not run on an endpoint, ReasonNone if it may. A
// request for a later term than the known one makes the endpoint the primary of that
// term.
func (o *Owner) admit(se *servedEndpoint, r rosemarylb.Request, now time.Time) rosemarylb.Reason {
	if r.Target.PinnedConnection != 0 {
		if !se.pool.IsPinnedBy(r.Target.PinnedConnection, r.ID) {
			return rosemarylb.ReasonPinnedConnectionLost
		}
		return rosemarylb.ReasonNone
	}
	if !se.owned || se.spec.Leaving {
		return rosemarylb.ReasonWrongOwner
	}
	if r.Target.Term > se.primary.Term {
		o.setPrimary(se, rosemarylb.Primary{
			Database: se.spec.Database,
			Term:     r.Target.Term,
			Endpoint: se.spec.ID,
		}, now)
	}
	if (r.Target.Term != 0) != se.isPrimary || (se.isPrimary && r.Target.Term != se.primary.Term) {
		return rosemarylb.ReasonWrongTerm
	}
	if se.isPrimary && r.Floor.Known && r.Floor.Position.Term > se.primary.Term {
		return rosemarylb.ReasonWrongTerm
	}
	return rosemarylb.ReasonNone
}
