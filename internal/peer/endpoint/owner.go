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
	// ownerCapacity is how many events may wait for the owner.
	ownerCapacity = 16384
	// openTimeout bounds the start-up of a connection.
	openTimeout = 2 * time.Second
	// refusedPause is the wait after an endpoint refused a connection.
	refusedPause = 100 * time.Millisecond
	// leaseSpan is how long a transaction may stay idle.
	leaseSpan = 30 * time.Second
	// tickInterval is the time between two looks at deadlines and the view.
	tickInterval = 20 * time.Millisecond
	// preparedLimit is how many statements one connection keeps.
	preparedLimit = 512
)

var (
	servedTotal  = metrics.NewCounter(`rosemarylb_requests_served_total`)
	unknownTotal = metrics.NewCounter(`rosemarylb_requests_unknown_total`)
	refusedTotal = metrics.NewCounter(`rosemarylb_requests_refused_total`)
	heldSeconds  = metrics.NewHistogram(`rosemarylb_acknowledgement_wait_seconds`)
)

// Owner serves the endpoints placed on this instance: it holds their
// connections, orders the requests that wait for them, and gives out answers
// once they may be acknowledged.
type Owner struct {
	loops     *Loops
	view      *duty.Latest[rosemarylb.View]
	placement rosemarylb.Placement
	reply     func(rosemarylb.Outcome)
	want      func(Wanted) bool
	evict     func(Evicted) bool
	ring      *duty.Ring[Event]

	desks  map[rosemarylb.EndpointID]*desk
	tickAt time.Time
}

// OwnerOption changes an owner under construction.
type OwnerOption func(*Owner)

// WithReply sets where outcomes go. It must not wait.
func WithReply(reply func(rosemarylb.Outcome)) OwnerOption {
	return func(o *Owner) {
		o.reply = reply
	}
}

// WithEvict sets where wishes to break a dead instance's connections go. It
// must not wait.
func WithEvict(evict func(Evicted) bool) OwnerOption {
	return func(o *Owner) {
		o.evict = evict
	}
}

// WithWant sets where wishes for quick probes go. It must not wait.
func WithWant(want func(Wanted) bool) OwnerOption {
	return func(o *Owner) {
		o.want = want
	}
}

// NewOwner returns an owner that is not yet started.
func NewOwner(
	loops *Loops, view *duty.Latest[rosemarylb.View], placement rosemarylb.Placement, options ...OwnerOption,
) *Owner {
	o := &Owner{
		loops:     loops,
		view:      view,
		placement: placement,
		reply:     func(rosemarylb.Outcome) {},
		want:      func(Wanted) bool { return true },
		evict:     func(Evicted) bool { return true },
		ring:      duty.NewRing[Event]("owner", ownerCapacity),
		desks:     map[rosemarylb.EndpointID]*desk{},
		tickAt:    time.Now(),
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
		for _, k := range o.desks {
			for _, l := range k.links {
				l.connection.Close()
			}
		}
	}
}

// Opened implements Sink.
func (o *Owner) Opened(c *Connection) {
	o.ring.Put(opened{
		connection: c,
	})
}

// Answered implements Sink.
func (o *Owner) Answered(c *Connection, a Answer) {
	o.ring.Put(answered{
		connection: c,
		answer:     a,
	})
}

// Closed implements Sink.
func (o *Owner) Closed(c *Connection, sqlState string) {
	o.ring.Put(closed{
		connection: c,
		sqlState:   sqlState,
	})
}

// Handle implements duty.Handler.
func (o *Owner) Handle(now time.Time, item Event) {
	switch e := item.(type) {
	case Submitted:
		o.submit(e.Request, now)
	case answered:
		o.answered(e, now)
	case opened:
		o.opened(e.connection, now)
	case closed:
		o.closed(e, now)
	case Observed:
		o.observed(e.State, now)
	case Appointed:
		o.appointed(e.Primary, now)
	case Silenced:
		o.silenced(e.Endpoint, now)
	case Canceled:
		o.cancel(e.ID)
	case Released:
		o.released(e, now)
	}
}

// Tick implements duty.Handler.
func (o *Owner) Tick(now time.Time) {
	o.tickAt = now.Add(tickInterval)
	o.refresh(now)
	for _, k := range o.desks {
		o.expire(k, now)
		o.dispatch(k, now)
	}
}

// Next implements duty.Handler.
func (o *Owner) Next() time.Time {
	return o.tickAt
}

// refresh takes up the view: limits, primaries and what is owned here.
func (o *Owner) refresh(now time.Time) {
	v := o.view.Load()
	for id, k := range o.desks {
		spec, found := v.ServiceConfig.Endpoint(id)
		if found {
			k.spec = spec
			k.pool = k.pool.WithLimit(spec.Connections)
			k.queue = k.queue.WithServiceConfig(v.ServiceConfig, spec.Slots)
		}
		k.owned = found && o.owns(v, spec)
		if p, known := v.Primary(k.spec.Database); known {
			o.appoint(k, p, now)
		}
		o.releaseLost(v, k)
		if !k.owned || k.spec.Leaving {
			o.closeIdle(k)
		}
	}
}

func (o *Owner) owns(v rosemarylb.View, e rosemarylb.EndpointSpec) bool {
	owner, found := o.placement.Owner(v.Members, e)
	return found && owner.ID == v.Self.ID
}

// releaseLost ends the transactions of sessions whose instance is dead.
func (o *Owner) releaseLost(v rosemarylb.View, k *desk) {
	for _, e := range k.pool.Connections() {
		if e.RequestID.Instance == "" {
			continue
		}
		if m, found := v.Member(e.RequestID.Instance); found && m.Status == rosemarylb.MemberDead {
			o.drop(k, e.ID)
		}
	}
}

func (o *Owner) closeIdle(k *desk) {
	for _, e := range k.pool.Connections() {
		if l, found := k.links[e.ID]; found && e.State == poolIdle {
			l.connection.Close()
		}
	}
}

// desk returns the desk of an endpoint, made at its first use.
func (o *Owner) desk(id rosemarylb.EndpointID, now time.Time) (*desk, bool) {
	if k, found := o.desks[id]; found {
		return k, true
	}
	v := o.view.Load()
	spec, found := v.ServiceConfig.Endpoint(id)
	if !found {
		return nil, false
	}
	database, _ := v.ServiceConfig.Database(spec.Database)
	k := newDesk(spec, quorum.NewMajority(database.Quorum()), queue.NewPriorityQueue().WithServiceConfig(v.ServiceConfig,
		spec.Slots))
	k.owned = o.owns(v, spec)
	if p, known := v.Primary(spec.Database); known {
		o.appoint(k, p, now)
	}
	o.desks[id] = k
	return k, true
}

func (o *Owner) submit(r rosemarylb.Request, now time.Time) {
	k, found := o.desk(r.Target.Endpoint, now)
	if !found {
		o.refuse(r, rosemarylb.ReasonWrongOwner, nil)
		return
	}
	if reason := o.admit(k, r, now); reason != rosemarylb.ReasonNone {
		o.refuse(r, reason, k)
		return
	}
	if r.Target.Lease != 0 {
		// A transaction does not wait for a slot: the requests that hold the
		// slots may be waiting for its locks.
		o.run(k, r, r.Target.Lease, now)
		return
	}
	if r.Target.Term == 0 && !k.satisfies(r) {
		k.waiting = append(k.waiting, r)
		o.wish(k, now)
		return
	}
	o.enqueue(k, r, now)
	o.dispatch(k, now)
}

// admit checks whether a request may run here at all.
func (o *Owner) admit(k *desk, r rosemarylb.Request, now time.Time) rosemarylb.Reason {
	if r.Target.Lease != 0 {
		if !k.pool.LeasedBy(r.Target.Lease, r.ID) {
			return rosemarylb.ReasonLeaseLost
		}
		return rosemarylb.ReasonNone
	}
	if !k.owned || k.spec.Leaving {
		return rosemarylb.ReasonWrongOwner
	}
	if r.Target.Term > k.primary.Term {
		o.appoint(k, rosemarylb.Primary{
			Database: k.spec.Database,
			Term:     r.Target.Term,
			Endpoint: k.spec.ID,
		}, now)
	}
	if (r.Target.Term != 0) != k.leads || (k.leads && r.Target.Term != k.primary.Term) {
		return rosemarylb.ReasonWrongTerm
	}
	if k.leads && r.Floor.Known && r.Floor.Position.Term > k.primary.Term {
		return rosemarylb.ReasonWrongTerm
	}
	return rosemarylb.ReasonNone
}
