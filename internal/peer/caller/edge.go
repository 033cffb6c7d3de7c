package caller

import (
	"math/rand/v2"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/placement"
	"rosemarylb/internal/traffic/retry"
	"rosemarylb/internal/traffic/session"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// edgeCapacity is how many events of callers may wait for the edge.
	edgeCapacity = 8192
	// outstandingLimit is how many requests may be in flight. The ring of
	// answers holds as many, so that an answer always finds room.
	outstandingLimit = 16384
	// pipelineLimit is how many requests of one caller may wait.
	pipelineLimit = 256
	// tickInterval is the time between two looks at deadlines and members.
	tickInterval = 20 * time.Millisecond
	// avoidBehind is how long a replica that was behind is not chosen.
	avoidBehind = 50 * time.Millisecond
	// avoidSilent is how long an endpoint that did not answer is not chosen.
	avoidSilent = 500 * time.Millisecond
	// answerSlack is how long after its deadline an answer is awaited.
	answerSlack = 250 * time.Millisecond
	// sessionBits is the part of a cancel key that numbers the session.
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
)

var (
	acceptedTotal = metrics.NewCounter(`rosemarylb_sessions_accepted_total`)
	retriedTotal  = metrics.NewCounter(`rosemarylb_requests_retried_total`)
	strayTotal    = metrics.NewCounter(`rosemarylb_answers_stray_total`)
	replicaReads  = metrics.NewCounter(`rosemarylb_reads_total{role="replica"}`)
	primaryReads  = metrics.NewCounter(`rosemarylb_reads_total{role="primary"}`)
	requestTime   = [rosemarylb.RankCount]*metrics.Histogram{
		metrics.NewHistogram(`rosemarylb_request_seconds{rank="urgent"}`),
		metrics.NewHistogram(`rosemarylb_request_seconds{rank="standard"}`),
		metrics.NewHistogram(`rosemarylb_request_seconds{rank="background"}`),
	}
)

// Fleet is how the edge reaches the owners of endpoints. Its methods never
// wait.
type Fleet interface {
	// Submit sends a request to its target's owner, false when it certainly
	// did not leave.
	Submit(r rosemarylb.Request) bool
	// Release tells the owner that a session with an open transaction ended.
	Release(id rosemarylb.RequestID, t rosemarylb.Target)
	// Cancel tells the owner to cancel a request.
	Cancel(id rosemarylb.RequestID, t rosemarylb.Target)
	// ForwardCancel passes a cancel key on to the instance that gave it.
	ForwardCancel(to rosemarylb.Member, process, secret uint32)
}

// client is one caller's session at the edge.
type client struct {
	socket  *socket
	session session.Session
	secret  uint32
	current command
	waiting []command
	retryAt time.Time
	partAt  time.Time
	served  string
}

// Edge keeps the sessions: it routes their requests and tells them the
// outcomes.
type Edge struct {
	self     rosemarylb.InstanceID
	view     *duty.Latest[rosemarylb.View]
	router   rosemarylb.Router
	fleet    Fleet
	ring     *duty.Ring[Event]
	answers  *duty.Ring[Event]
	budget   retry.Budget
	known    *knowledge
	clients  map[rosemarylb.SessionID]*client
	sockets  map[*socket]*client
	flying   map[rosemarylb.SessionID]*client
	session  rosemarylb.SessionID
	sequence uint64
	tickAt   time.Time
	draining bool
	drainBy  time.Time
}

// NewEdge returns an edge that is not yet started.
func NewEdge(self rosemarylb.InstanceID, view *duty.Latest[rosemarylb.View], r rosemarylb.Router, f Fleet) *Edge {
	now := time.Now()
	first := firstNumber(now)
	return &Edge{
		self:     self,
		view:     view,
		router:   r,
		fleet:    f,
		ring:     duty.NewRing[Event]("edge", edgeCapacity),
		answers:  duty.NewRing[Event]("edge-answers", outstandingLimit),
		budget:   retry.NewBudget(),
		known:    newKnowledge(),
		clients:  map[rosemarylb.SessionID]*client{},
		sockets:  map[*socket]*client{},
		flying:   map[rosemarylb.SessionID]*client{},
		session:  rosemarylb.SessionID(first),
		sequence: first,
		tickAt:   now,
	}
}

// firstNumber is where the numbers of sessions and requests begin. It rises
// with time, so that an answer to a request of a former process under the same
// name is never taken for one of this process.
func firstNumber(now time.Time) uint64 {
	return uint64(now.UnixMilli()) << sessionBits
}

// Ring returns the ring of the callers' events.
func (e *Edge) Ring() *duty.Ring[Event] {
	return e.ring
}

// Answers returns the ring of outcomes.
func (e *Edge) Answers() *duty.Ring[Event] {
	return e.answers
}

// Start runs the edge. The returned function stops it.
func (e *Edge) Start() (*duty.Duty, func()) {
	return duty.Start[Event]("edge", e, e.answers, e.ring)
}

// Handle implements duty.Handler.
func (e *Edge) Handle(now time.Time, item Event) {
	switch v := item.(type) {
	case asked:
		e.asked(v, now)
	case Settled:
		e.settled(v.Outcome, now)
	case joined:
		e.joined(v)
	case gone:
		e.gone(v.socket)
	case CancelAsked:
		e.cancel(v)
	case Drained:
		e.draining = true
		e.drainBy = v.Deadline
		e.drain(now)
	}
}

// Tick implements duty.Handler.
func (e *Edge) Tick(now time.Time) {
	e.tickAt = now.Add(tickInterval)
	v := e.view.Load()
	for _, c := range e.flying {
		e.check(c, v, now)
	}
	if e.draining {
		e.drain(now)
	}
}

// Next implements duty.Handler.
func (e *Edge) Next() time.Time {
	return e.tickAt
}

func (e *Edge) joined(j joined) {
	v := e.view.Load()
	name := rosemarylb.DatabaseName(j.database)
	if _, found := v.ServiceConfig.Database(name); !found {
		write(j.socket, encode(errorResponse(stateNoDatabase, "database \""+j.database+"\" does not exist")))
		_ = j.socket.conn.Close()
		return
	}
	if e.draining {
		write(j.socket, encode(errorResponse(stateShutdown, "not run: the instance shuts down")))
		_ = j.socket.conn.Close()
		return
	}
	e.session++
	s := session.NewSession(e.session, name, v.ServiceConfig.Caller(j.user))
	if p, err := rosemarylb.ParsePosition(j.floor); err == nil {
		s = s.WithFloor(p)
	}
	c := &client{
		socket:  j.socket,
		session: s,
		secret:  rand.Uint32(),
	}
	e.clients[s.ID()] = c
	e.sockets[j.socket] = c
	acceptedTotal.Inc()
	write(j.socket, welcome(processNumber(e.self, s.ID()), c.secret))
}

// processNumber is the number that callers cancel by: it names the instance
// by a hash and the session by its lowest bits.
func processNumber(self rosemarylb.InstanceID, id rosemarylb.SessionID) uint32 {
	return instanceMark(self)<<sessionBits | uint32(id)&sessionMask
}

func instanceMark(id rosemarylb.InstanceID) uint32 {
	return uint32(placement.Weight(id, "cancel")) >> sessionBits
}

func write(k *socket, payload []byte) {
	_ = k.conn.AsyncWrite(payload, nil)
}

func (e *Edge) asked(a asked, now time.Time) {
	c, found := e.sockets[a.socket]
	if !found || !c.partAt.IsZero() {
		return
	}
	_, active := c.session.RequestInFlight()
	if !active && len(c.waiting) == 0 {
		e.begin(c, a.command, now)
		return
	}
	if len(c.waiting) >= pipelineLimit {
		write(c.socket, encode(errorResponse(stateResources, "not run: too many requests in one pipeline")))
		_ = c.socket.conn.Close()
		return
	}
	c.waiting = append(c.waiting, a.command)
}

// next starts the caller's next request, if it has sent one.
func (e *Edge) next(c *client, now time.Time) {
	for len(c.waiting) > 0 {
		if _, active := c.session.RequestInFlight(); active {
			return
		}
		following := c.waiting[0]
		c.waiting = c.waiting[1:]
		e.begin(c, following, now)
	}
	if _, active := c.session.RequestInFlight(); !active && e.draining {
		e.farewell(c)
	}
}

// begin answers a command locally or sends it on its way.
func (e *Edge) begin(c *client, k command, now time.Time) {
	if k.kind != kindRun {
		e.local(c, k)
		return
	}
	if c.session.TransactionAborted() {
		e.withinAborted(c, k)
		return
	}
	if len(e.flying) >= outstandingLimit {
		write(c.socket, encode(errorResponse(stateResources, "not run: overload"), ready(e.status(c))))
		return
	}
	e.sequence++
	id := rosemarylb.RequestID{
		Instance: e.self,
		Session:  c.session.ID(),
		Sequence: e.sequence,
	}
	s, r := c.session.WithNewRequest(k.ask, id, e.view.Load().ServiceConfig, now)
	c.session, c.current = s, k
	if r.Key != "" {
		a, err := withKey(k, r.Key)
		if err != nil {
			c.session, _ = c.session.WithFinalOutcome(rosemarylb.NewNotRun(id, rosemarylb.ReasonNone), now)
			write(c.socket, encode(errorResponse(stateUnsupported, err.Error()), ready(e.status(c))))
			return
		}
		r = r.WithPayload(a.Payload)
		c.session = c.session.WithRequestInFlight(r)
	}
	e.budget = e.budget.WithFirstAttempt()
	e.flying[c.session.ID()] = c
	e.route(c, r, now)
}

// route sends a request to the endpoint that the router chooses.
func (e *Edge) route(c *client, r rosemarylb.Request, now time.Time) {
	c.retryAt = time.Time{}
	v := e.view.Load()
	if r.Target.Lease == 0 {
		target, reason := e.router.Route(v, e.known, r, now)
		if reason != rosemarylb.ReasonNone {
			e.settled(rosemarylb.NewNotRun(r.ID, reason), now)
			return
		}
		r = r.WithTarget(target)
	}
	until := now.Add(time.Duration(v.ServiceConfig.TargetMillis[r.Rank]) * time.Millisecond)
	if until.After(r.Deadline) {
		until = r.Deadline
	}
	r = r.WithQueueDeadline(until)
	c.session = c.session.WithRequestInFlight(r)
	if !e.fleet.Submit(r) {
		e.settled(rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonOverload), now)
	}
}

func (e *Edge) gone(k *socket) {
	c, found := e.sockets[k]
	if !found {
		return
	}
	delete(e.sockets, k)
	delete(e.clients, c.session.ID())
	delete(e.flying, c.session.ID())
	if t, open := c.session.TransactionTarget(); open {
		e.release(rosemarylb.RequestID{
			Instance: e.self,
			Session:  c.session.ID(),
		}, t)
	}
}

func (e *Edge) cancel(a CancelAsked) {
	v := e.view.Load()
	mark := a.Process >> sessionBits
	if mark != instanceMark(e.self) {
		if a.Forwarded {
			return
		}
		for _, m := range v.Members {
			if instanceMark(m.ID) == mark {
				e.fleet.ForwardCancel(m, a.Process, a.Secret)
			}
		}
		return
	}
	for id, c := range e.flying {
		if uint32(id)&sessionMask != a.Process&sessionMask || c.secret != a.Secret {
			continue
		}
		r, _ := c.session.RequestInFlight()
		e.fleet.Cancel(r.ID, r.Target)
	}
}

// EdgeReport is the edge's part of a dump.
type EdgeReport struct {
	// Sessions is how many callers are connected.
	Sessions int `json:"sessions"`
	// InFlight is how many requests await an outcome.
	InFlight int `json:"in-flight"`
	// Draining is true while the instance shuts down.
	Draining bool `json:"draining"`
}

// Dump implements duty.Handler.
func (e *Edge) Dump() any {
	return EdgeReport{
		Sessions: len(e.clients),
		InFlight: len(e.flying),
		Draining: e.draining,
	}
}
