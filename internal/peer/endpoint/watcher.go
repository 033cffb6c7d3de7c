package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
)

const (
	// probeInterval is the time between two probes of an endpoint, and between two
	// checks of the view.
	probeInterval = 250 * time.Millisecond
	// fastProbeInterval is the time between two probes while an answer or a read waits
	// for their result.
	fastProbeInterval = time.Millisecond
	// fastProbeDuration is how long fast probes continue after one request for them.
	fastProbeDuration = 100 * time.Millisecond
	// probeTimeout bounds the start-up of a control connection and the response to a
	// probe; the connection is closed after it.
	probeTimeout = time.Second
)

// FastProbesRequested requests fast probes of a database's endpoints.
type FastProbesRequested struct {
	// Database is the name of the database.
	Database rosemarylb.DatabaseName
}

// EvictionRequested requests that an endpoint close the connections of a dead instance.
type EvictionRequested struct {
	// Endpoint is the endpoint that holds the connections.
	Endpoint rosemarylb.EndpointID
	// Instance is the dead instance.
	Instance rosemarylb.InstanceID
}

// WatcherEvent is an event that the watcher handles.
type WatcherEvent interface {
	watcherEvent()
}

func (FastProbesRequested) watcherEvent() {}
func (EvictionRequested) watcherEvent()   {}
func (connectionOpened) watcherEvent()    {}
func (responseReceived) watcherEvent()    {}
func (connectionClosed) watcherEvent()    {}

// controlConnection is the control connection to one endpoint. connection is nil
// while none is open. startedAt is when the command in flight was sent or, before the
// connection is ready, when its opening began.
type controlConnection struct {
	spec            rosemarylb.EndpointSpec
	connection      *Connection
	ready           bool
	pendingCommand  *rosemarylb.Command
	commandInFlight *rosemarylb.Command
	startedAt       time.Time
	nextProbeAt     time.Time
	lastResponseAt  time.Time
	fastProbesUntil time.Time
	state           rosemarylb.EndpointState
}

// Watcher is the duty that probes the endpoints that this instance owns. For the
// databases whose primary this instance owns it probes all endpoints, and runs the
// arbiter that decides on failover.
type Watcher struct {
	loops      *EventLoops
	view       *duty.Latest[rosemarylb.View]
	placement  rosemarylb.Placement
	newArbiter func(rosemarylb.InstanceID, rosemarylb.Database) rosemarylb.Arbiter
	observe    func(Event) bool
	announce   func(rosemarylb.Primary)
	ring       *duty.Ring[WatcherEvent]

	controls   map[rosemarylb.EndpointID]*controlConnection
	arbiters   map[rosemarylb.DatabaseName]rosemarylb.Arbiter
	nextTickAt time.Time
	nextViewAt time.Time
}

// WatcherOption changes a watcher under construction.
type WatcherOption func(*Watcher)

// WithArbiterFactory sets the function that creates the arbiter of a database.
func WithArbiterFactory(newArbiter func(rosemarylb.InstanceID, rosemarylb.Database) rosemarylb.Arbiter) WatcherOption {
	return func(w *Watcher) {
		w.newArbiter = newArbiter
	}
}

// WithObserver sets the function that receives the states of endpoints, unreachable
// endpoints and new primaries.
func WithObserver(observe func(Event) bool) WatcherOption {
	return func(w *Watcher) {
		w.observe = observe
	}
}

// WithAnnouncer sets the function that announces new primaries to the fleet.
func WithAnnouncer(announce func(rosemarylb.Primary)) WatcherOption {
	return func(w *Watcher) {
		w.announce = announce
	}
}

// watcherRingCapacity is the number of events that the watcher's ring holds.
const watcherRingCapacity = 8192

// NewWatcher returns a watcher that is not yet started.
func NewWatcher(
	loops *EventLoops, view *duty.Latest[rosemarylb.View], placement rosemarylb.Placement, options ...WatcherOption,
) *Watcher {
	w := &Watcher{
		loops:     loops,
		view:      view,
		placement: placement,
		observe:   func(Event) bool { return true },
		announce:  func(rosemarylb.Primary) {},
		ring:      duty.NewRing[WatcherEvent]("watcher", watcherRingCapacity),
		controls:  map[rosemarylb.EndpointID]*controlConnection{},
		arbiters:  map[rosemarylb.DatabaseName]rosemarylb.Arbiter{},
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Ring returns the ring that feeds the watcher.
func (w *Watcher) Ring() *duty.Ring[WatcherEvent] {
	return w.ring
}

// Start runs the watcher. The returned function stops it and closes its
// connections.
func (w *Watcher) Start() (*duty.Duty, func()) {
	d, stop := duty.Start[WatcherEvent]("watcher", w, w.ring)
	return d, func() {
		stop()
		for _, cc := range w.controls {
			cc.close()
		}
	}
}

// Opened implements ConnectionHandler.
func (w *Watcher) Opened(c *Connection) {
	w.ring.Put(connectionOpened{
		connection: c,
	})
}

// Responded implements ConnectionHandler.
func (w *Watcher) Responded(c *Connection, r Response) {
	w.ring.Put(responseReceived{
		connection: c,
		response:   r,
	})
}

// Closed implements ConnectionHandler.
func (w *Watcher) Closed(c *Connection, sqlState string) {
	w.ring.Put(connectionClosed{
		connection: c,
		sqlState:   sqlState,
	})
}

// Handle implements duty.Handler.
func (w *Watcher) Handle(now time.Time, event WatcherEvent) {
	switch e := event.(type) {
	case FastProbesRequested:
		w.probeFast(e.Database, now)
	case EvictionRequested:
		w.scheduleCommand(rosemarylb.Command{
			Kind:     rosemarylb.CommandEvict,
			Endpoint: e.Endpoint,
			Evicted:  e.Instance,
		}, now)
	case connectionOpened:
		w.markReady(e.connection, now)
	case responseReceived:
		w.handleResponse(e, now)
	case connectionClosed:
		w.handleClosed(e.connection, now)
	}
	w.runArbiters(now)
}

// Tick implements duty.Handler.
func (w *Watcher) Tick(now time.Time) {
	if !now.Before(w.nextViewAt) {
		w.applyView()
		w.nextViewAt = now.Add(probeInterval)
	}
	for _, cc := range w.controls {
		if cc.commandInFlight != nil && now.Sub(cc.startedAt) >= probeTimeout {
			w.reportUnreachable(cc, now)
		}
	}
	w.runArbiters(now)
}

// Next implements duty.Handler.
func (w *Watcher) Next() time.Time {
	if w.nextTickAt.IsZero() || w.nextViewAt.Before(w.nextTickAt) {
		return w.nextViewAt.Add(time.Nanosecond)
	}
	return w.nextTickAt
}

// applyView applies the current view: it updates the arbiters, starts to probe new
// endpoints, and closes the control connections to those that are no longer probed
// or have moved to another address.
func (w *Watcher) applyView() {
	v := w.view.Load()
	probed := map[rosemarylb.EndpointID]rosemarylb.EndpointSpec{}
	for _, d := range v.ServiceConfig.Databases {
		ownsPrimary := w.ownsPrimary(v, d)
		w.updateArbiter(v, d, ownsPrimary)
		for _, e := range d.Endpoints {
			if ownsPrimary || w.owns(v, e) {
				probed[e.ID] = e
			}
		}
	}
	for id, cc := range w.controls {
		if spec, found := probed[id]; !found || spec.Address != cc.spec.Address {
			cc.close()
			delete(w.controls, id)
		}
	}
	for id, spec := range probed {
		if cc, found := w.controls[id]; found {
			cc.spec = spec
			continue
		}
		w.controls[id] = &controlConnection{
			spec: spec,
		}
	}
}

// updateArbiter creates, updates or removes the arbiter of a database.
func (w *Watcher) updateArbiter(v rosemarylb.View, d rosemarylb.Database, ownsPrimary bool) {
	if !ownsPrimary {
		delete(w.arbiters, d.Name)
		return
	}
	a, found := w.arbiters[d.Name]
	if !found {
		a = w.newArbiter(v.Self.ID, d)
	}
	if p, known := v.Primary(d.Name); known {
		a = a.WithAnnounced(p)
	}
	w.arbiters[d.Name] = a.WithDatabase(d)
}

// ownsPrimary reports whether this instance owns the primary of a database, or its
// first endpoint while no configured primary is known. That instance runs the arbiter.
func (w *Watcher) ownsPrimary(v rosemarylb.View, d rosemarylb.Database) bool {
	if len(d.Endpoints) == 0 {
		return false
	}
	e := d.Endpoints[0]
	if p, found := v.Primary(d.Name); found {
		if spec, configured := d.Endpoint(p.Endpoint); configured {
			e = spec
		}
	}
	return w.owns(v, e)
}

func (w *Watcher) owns(v rosemarylb.View, e rosemarylb.EndpointSpec) bool {
	owner, found := w.placement.Owner(v.Members, e)
	return found && owner.ID == v.Self.ID
}

// WatcherReport is the watcher's part of a dump.
type WatcherReport struct {
	// Arbitrated is the arbiter's summary for each database whose arbiter runs on this
	// instance.
	Arbitrated map[string]string `json:"kept"`
	// Watched is the last known log and applied positions of each probed endpoint.
	Watched map[string]string `json:"watched"`
}

// Dump implements duty.Handler.
func (w *Watcher) Dump() any {
	r := WatcherReport{
		Arbitrated: map[string]string{},
		Watched:    map[string]string{},
	}
	for name, a := range w.arbiters {
		r.Arbitrated[string(name)] = a.Summary()
	}
	for id, cc := range w.controls {
		r.Watched[string(id)] = "term " + cc.state.Log.String() + " applied " + cc.state.Applied.String()
	}
	return r
}
