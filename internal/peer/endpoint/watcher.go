package endpoint

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
)

const (
	// watchInterval is the time between two probes of an owned endpoint, and
	// between two looks at the view.
	watchInterval = 250 * time.Millisecond
	// wantedInterval is the time between two probes while an answer waits for
	// their result.
	wantedInterval = time.Millisecond
	// wantedSpan is how long one wish for quick probes lasts.
	wantedSpan = 100 * time.Millisecond
	// answerTimeout is how long a probe may stay unanswered before its
	// connection is given up.
	answerTimeout = time.Second
)

// Wanted asks the watcher for quick probes of a database's endpoints.
type Wanted struct {
	// Database is the database.
	Database rosemarylb.DatabaseName
}

// Evicted asks the watcher to break the connections of a dead instance.
type Evicted struct {
	// Endpoint is the endpoint that has them.
	Endpoint rosemarylb.EndpointID
	// Instance is the dead instance.
	Instance rosemarylb.InstanceID
}

// WatchEvent is what the watcher duty decides on.
type WatchEvent interface {
	watchEvent()
}

func (Wanted) watchEvent()   {}
func (Evicted) watchEvent()  {}
func (opened) watchEvent()   {}
func (answered) watchEvent() {}
func (closed) watchEvent()   {}

// watch is the control connection to one endpoint.
type watch struct {
	spec        rosemarylb.EndpointSpec
	connection  *Connection
	ready       bool
	pending     *rosemarylb.Command
	asked       *rosemarylb.Command
	askedAt     time.Time
	askAt       time.Time
	answeredAt  time.Time
	wantedUntil time.Time
	state       rosemarylb.EndpointState
}

// Watcher probes the endpoints that this instance owns, and keeps the
// primaries of the databases whose primary it owns.
type Watcher struct {
	loops     *Loops
	view      *duty.Latest[rosemarylb.View]
	placement rosemarylb.Placement
	arbiters  func(rosemarylb.InstanceID, rosemarylb.Database) rosemarylb.Arbiter
	observe   func(Event) bool
	announce  func(rosemarylb.Primary)
	ring      *duty.Ring[WatchEvent]

	watches map[rosemarylb.EndpointID]*watch
	kept    map[rosemarylb.DatabaseName]rosemarylb.Arbiter
	nextAt  time.Time
	viewAt  time.Time
}

// WatcherOption changes a watcher under construction.
type WatcherOption func(*Watcher)

// WithArbiters sets what makes the arbiter of a database.
func WithArbiters(make func(rosemarylb.InstanceID, rosemarylb.Database) rosemarylb.Arbiter) WatcherOption {
	return func(w *Watcher) {
		w.arbiters = make
	}
}

// WithObserver sets where the states of endpoints go.
func WithObserver(observe func(Event) bool) WatcherOption {
	return func(w *Watcher) {
		w.observe = observe
	}
}

// WithAnnouncer sets where new primaries are announced.
func WithAnnouncer(announce func(rosemarylb.Primary)) WatcherOption {
	return func(w *Watcher) {
		w.announce = announce
	}
}

// watchCapacity is how many events may wait for the watcher.
const watchCapacity = 8192

// NewWatcher returns a watcher that is not yet started.
func NewWatcher(
	loops *Loops, view *duty.Latest[rosemarylb.View], placement rosemarylb.Placement, options ...WatcherOption,
) *Watcher {
	w := &Watcher{
		loops:     loops,
		view:      view,
		placement: placement,
		observe:   func(Event) bool { return true },
		announce:  func(rosemarylb.Primary) {},
		ring:      duty.NewRing[WatchEvent]("watcher", watchCapacity),
		watches:   map[rosemarylb.EndpointID]*watch{},
		kept:      map[rosemarylb.DatabaseName]rosemarylb.Arbiter{},
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Ring returns the ring that feeds the watcher.
func (w *Watcher) Ring() *duty.Ring[WatchEvent] {
	return w.ring
}

// Start runs the watcher. The returned function stops it.
func (w *Watcher) Start() (*duty.Duty, func()) {
	d, stop := duty.Start[WatchEvent]("watcher", w, w.ring)
	return d, func() {
		stop()
		for _, a := range w.watches {
			a.drop()
		}
	}
}

// Opened implements Sink.
func (w *Watcher) Opened(c *Connection) {
	w.ring.Put(opened{
		connection: c,
	})
}

// Answered implements Sink.
func (w *Watcher) Answered(c *Connection, a Answer) {
	w.ring.Put(answered{
		connection: c,
		answer:     a,
	})
}

// Closed implements Sink.
func (w *Watcher) Closed(c *Connection, sqlState string) {
	w.ring.Put(closed{
		connection: c,
		sqlState:   sqlState,
	})
}

// Handle implements duty.Handler.
func (w *Watcher) Handle(now time.Time, item WatchEvent) {
	switch e := item.(type) {
	case Wanted:
		w.want(e.Database, now)
	case Evicted:
		w.order(rosemarylb.Command{
			Kind:     rosemarylb.CommandEvict,
			Endpoint: e.Endpoint,
			Evicted:  e.Instance,
		}, now)
	case opened:
		w.opened(e.connection, now)
	case answered:
		w.answered(e, now)
	case closed:
		w.closed(e.connection, now)
	}
	w.decide(now)
}

// Tick implements duty.Handler.
func (w *Watcher) Tick(now time.Time) {
	if !now.Before(w.viewAt) {
		w.refresh()
		w.viewAt = now.Add(watchInterval)
	}
	for _, a := range w.watches {
		if a.asked != nil && now.Sub(a.askedAt) >= answerTimeout {
			w.lost(a, now)
		}
	}
	w.decide(now)
}

// Next implements duty.Handler.
func (w *Watcher) Next() time.Time {
	if w.nextAt.IsZero() || w.viewAt.Before(w.nextAt) {
		return w.viewAt.Add(time.Nanosecond)
	}
	return w.nextAt
}

// refresh takes up the view: which endpoints are watched, and which databases
// are kept.
func (w *Watcher) refresh() {
	v := w.view.Load()
	wanted := map[rosemarylb.EndpointID]rosemarylb.EndpointSpec{}
	for _, d := range v.ServiceConfig.Databases {
		keeps := w.keeps(v, d)
		w.refreshArbiter(v, d, keeps)
		for _, e := range d.Endpoints {
			if keeps || w.owns(v, e) {
				wanted[e.ID] = e
			}
		}
	}
	for id, a := range w.watches {
		if spec, still := wanted[id]; !still || spec.Address != a.spec.Address {
			a.drop()
			delete(w.watches, id)
		}
	}
	for id, spec := range wanted {
		if a, found := w.watches[id]; found {
			a.spec = spec
			continue
		}
		w.watches[id] = &watch{
			spec: spec,
		}
	}
}

func (w *Watcher) refreshArbiter(v rosemarylb.View, d rosemarylb.Database, keeps bool) {
	if !keeps {
		delete(w.kept, d.Name)
		return
	}
	a, found := w.kept[d.Name]
	if !found {
		a = w.arbiters(v.Self.ID, d)
	}
	if p, known := v.Primary(d.Name); known {
		a = a.WithAnnounced(p)
	}
	w.kept[d.Name] = a.WithDatabase(d)
}

// keeps reports whether this instance decides on a database's primary: the
// owner of the primary does, or of the first endpoint while none is known.
func (w *Watcher) keeps(v rosemarylb.View, d rosemarylb.Database) bool {
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

// WatchReport is the watcher's part of a dump.
type WatchReport struct {
	// Kept describes the databases whose primaries are decided here.
	Kept map[string]string `json:"kept"`
	// Watched describes the endpoints that are probed.
	Watched map[string]string `json:"watched"`
}

// Dump implements duty.Handler.
func (w *Watcher) Dump() any {
	r := WatchReport{
		Kept:    map[string]string{},
		Watched: map[string]string{},
	}
	for name, a := range w.kept {
		r.Kept[string(name)] = a.Summary()
	}
	for id, a := range w.watches {
		r.Watched[string(id)] = "term " + a.state.Log.String() + " applied " + a.state.Applied.String()
	}
	return r
}
