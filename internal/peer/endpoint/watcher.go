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
	for _, d := range v.Service.Databases {
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

func (w *Watcher) want(name rosemarylb.DatabaseName, now time.Time) {
	for _, a := range w.watches {
		if a.spec.Database != name {
			continue
		}
		if a.wantedUntil.Before(now) {
			a.askAt = now
		}
		a.wantedUntil = now.Add(wantedSpan)
	}
}

// decide asks the arbiters and sends what is due.
func (w *Watcher) decide(now time.Time) {
	w.nextAt = now.Add(watchInterval)
	for name, a := range w.kept {
		next, d := a.Decide(now)
		w.kept[name] = next
		for _, c := range d.Commands {
			w.order(c, now)
		}
		if d.Announce {
			w.announce(d.Primary)
			w.observe(Appointed{
				Primary: d.Primary,
			})
		}
		w.wakeAt(d.Next)
	}
	for _, a := range w.watches {
		w.probe(a, now)
		if a.asked != nil {
			w.wakeAt(a.askedAt.Add(answerTimeout))
			continue
		}
		w.wakeAt(a.askAt)
	}
}

func (w *Watcher) wakeAt(at time.Time) {
	if !at.IsZero() && at.Before(w.nextAt) {
		w.nextAt = at
	}
}

// order takes a command of an arbiter; a status never replaces another one.
func (w *Watcher) order(c rosemarylb.Command, now time.Time) {
	a, found := w.watches[c.Endpoint]
	if !found {
		return
	}
	lesser := c.Kind == rosemarylb.CommandStatus || c.Kind == rosemarylb.CommandEvict
	if lesser && a.pending != nil {
		return
	}
	a.pending = &c
	a.askAt = now
}

// probe sends the pending command, or a status when one is due.
func (w *Watcher) probe(a *watch, now time.Time) {
	if a.asked != nil || now.Before(a.askAt) {
		return
	}
	if a.connection == nil {
		a.connection = w.loops.Open(a.spec, "control "+string(w.view.Load().Self.ID), w)
		a.ready = false
		a.askedAt = now
	}
	if !a.ready {
		w.checkOpening(a, now)
		return
	}
	c := a.pending
	if c == nil {
		c = &rosemarylb.Command{
			Kind:     rosemarylb.CommandStatus,
			Endpoint: a.spec.ID,
		}
	}
	a.pending = nil
	a.asked = c
	a.askedAt = now
	a.connection.Send(query(controlText(*c)))
}

func (w *Watcher) checkOpening(a *watch, now time.Time) {
	a.askAt = now.Add(watchInterval)
	if now.Sub(a.askedAt) >= answerTimeout {
		w.lost(a, now)
	}
}

func (w *Watcher) opened(c *Connection, now time.Time) {
	if a, found := w.watches[c.Endpoint]; found && a.connection == c {
		a.ready = true
		a.askAt = now
	}
}

func (w *Watcher) answered(e answered, now time.Time) {
	a, found := w.watches[e.connection.Endpoint]
	if !found || a.connection != e.connection || a.asked == nil {
		return
	}
	c := *a.asked
	askedAt := a.askedAt
	a.asked = nil
	a.askAt = now.Add(watchInterval)
	if a.wantedUntil.After(now) {
		a.askAt = askedAt.Add(wantedInterval)
	}
	state, granted, err := decodeState(a.spec.ID, e.answer.Payload, askedAt)
	if err != nil {
		w.lost(a, now)
		return
	}
	a.state = state
	a.answeredAt = now
	w.tell(a.spec.Database, rosemarylb.Probe{
		Endpoint: a.spec.ID,
		Answered: true,
		Granted:  granted,
		Command:  c,
		State:    state,
	}, now)
	w.observe(Observed{
		State: state,
	})
}

func (w *Watcher) closed(c *Connection, now time.Time) {
	if a, found := w.watches[c.Endpoint]; found && a.connection == c {
		w.lost(a, now)
	}
}

// lost gives up a connection and tells that its endpoint did not answer.
func (w *Watcher) lost(a *watch, now time.Time) {
	c := rosemarylb.Command{
		Kind:     rosemarylb.CommandStatus,
		Endpoint: a.spec.ID,
	}
	if a.asked != nil {
		c = *a.asked
	}
	a.drop()
	a.askAt = now.Add(watchInterval)
	w.tell(a.spec.Database, rosemarylb.Probe{
		Endpoint: a.spec.ID,
		Command:  c,
	}, now)
	w.observe(Silenced{
		Endpoint: a.spec.ID,
	})
}

func (w *Watcher) tell(name rosemarylb.DatabaseName, p rosemarylb.Probe, now time.Time) {
	if a, found := w.kept[name]; found {
		w.kept[name] = a.WithProbe(p, now)
	}
}

func (a *watch) drop() {
	if a.connection != nil {
		a.connection.Close()
	}
	a.connection = nil
	a.ready = false
	a.asked = nil
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
