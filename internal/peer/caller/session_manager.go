package caller

import (
	"math/rand/v2"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/placement"
	"rosemarylb/internal/traffic/retry"
	"rosemarylb/internal/traffic/session"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// eventCapacity is the capacity of the ring of events from the event loops.
	eventCapacity = 8192
	// inFlightLimit bounds the requests in flight. The ring of outcomes has this
	// capacity, so that it never rejects an outcome.
	inFlightLimit = 16384
	// pipelineLimit bounds the requests that one caller may send ahead of the
	// reply to an earlier one.
	pipelineLimit = 256
	// tickInterval is the time between checks of deadlines and members.
	tickInterval = 20 * time.Millisecond
	// laggingReplicaBackoff is how long the router avoids a replica that did not
	// reach the floor of a read in time.
	laggingReplicaBackoff = 50 * time.Millisecond
	// unreachableBackoff is how long the router avoids an endpoint that did not
	// respond.
	unreachableBackoff = 500 * time.Millisecond
	// outcomeGracePeriod is how long an outcome may arrive after the deadline of
	// its request.
	outcomeGracePeriod = 250 * time.Millisecond
	// sessionIDBits is how many low bits of a cancel key's process identifier
	// hold the session; the others hold a hash of the instance.
	sessionIDBits = 20
	sessionIDMask = 1<<sessionIDBits - 1
)

var (
	acceptedTotal     = metrics.NewCounter(`rosemarylb_sessions_accepted_total`)
	retriedTotal      = metrics.NewCounter(`rosemarylb_requests_retried_total`)
	discardedTotal    = metrics.NewCounter(`rosemarylb_answers_stray_total`)
	replicaReadsTotal = metrics.NewCounter(`rosemarylb_reads_total{role="replica"}`)
	primaryReadsTotal = metrics.NewCounter(`rosemarylb_reads_total{role="primary"}`)
	requestSeconds    = [rosemarylb.RankCount]*metrics.Histogram{
		metrics.NewHistogram(`rosemarylb_request_seconds{rank="urgent"}`),
		metrics.NewHistogram(`rosemarylb_request_seconds{rank="standard"}`),
		metrics.NewHistogram(`rosemarylb_request_seconds{rank="background"}`),
	}
)

// Dispatcher sends messages about requests to the instances that own the
// connections of endpoints. Its methods never block.
type Dispatcher interface {
	// Submit sends a request to the owner of its target. It returns false when
	// the request was certainly not sent.
	Submit(r rosemarylb.Request) bool
	// Release notifies the owner that the session of an open transaction has ended,
	// so that its connection can be released.
	Release(id rosemarylb.RequestID, t rosemarylb.Target)
	// Cancel requests that the owner cancel a request.
	Cancel(id rosemarylb.RequestID, t rosemarylb.Target)
	// ForwardCancel sends a cancel key to the instance that issued it.
	ForwardCancel(to rosemarylb.Member, process, secret uint32)
}

// client is the session of one connected caller.
type client struct {
	socket  *socket
	session session.Session
	// secret is the secret of the session's cancel key.
	secret uint32
	// currentCommand is the command of the request in flight.
	currentCommand command
	// pipelined are the commands received since, in order.
	pipelined []command
	// retryAt is when the request in flight is routed again, the zero time
	// while an outcome is awaited.
	retryAt time.Time
	// closeAt is when the connection is closed after the notice of shutdown,
	// the zero time before that notice.
	closeAt time.Time
	// servedBy names the endpoint of the last reply and its role.
	servedBy string
}

// SessionManager manages the callers' sessions: it routes their requests, retries
// them and replies with their outcomes. It is the handler of one duty.
type SessionManager struct {
	self          rosemarylb.InstanceID
	view          *duty.Latest[rosemarylb.View]
	router        rosemarylb.Router
	dispatcher    Dispatcher
	events        *duty.Ring[Event]
	outcomes      *duty.Ring[Event]
	retryBudget   retry.Budget
	endpoints     *endpointTracker
	clients       map[rosemarylb.SessionID]*client
	sockets       map[*socket]*client
	inFlight      map[rosemarylb.SessionID]*client
	lastSession   rosemarylb.SessionID
	lastSequence  uint64
	tickAt        time.Time
	draining      bool
	drainDeadline time.Time
}

// NewSessionManager returns the manager of an instance's sessions, not yet started.
func NewSessionManager(self rosemarylb.InstanceID, view *duty.Latest[rosemarylb.View], r rosemarylb.Router, f Dispatcher) *SessionManager {
	now := time.Now()
	first := initialSequence(now)
	return &SessionManager{
		self:         self,
		view:         view,
		router:       r,
		dispatcher:   f,
		events:       duty.NewRing[Event]("edge", eventCapacity),
		outcomes:     duty.NewRing[Event]("edge-answers", inFlightLimit),
		retryBudget:  retry.NewBudget(),
		endpoints:    newEndpointTracker(),
		clients:      map[rosemarylb.SessionID]*client{},
		sockets:      map[*socket]*client{},
		inFlight:     map[rosemarylb.SessionID]*client{},
		lastSession:  rosemarylb.SessionID(first),
		lastSequence: first,
		tickAt:       now,
	}
}

// initialSequence returns the number from which sessions and requests are
// counted. It increases with time, so that a late outcome for an earlier process
// of the same instance never matches a request of this one.
func initialSequence(now time.Time) uint64 {
	return uint64(now.UnixMilli()) << sessionIDBits
}

// Ring returns the ring of events from callers.
func (sm *SessionManager) Ring() *duty.Ring[Event] {
	return sm.events
}

// Outcomes returns the ring of outcomes. It is served before Ring.
func (sm *SessionManager) Outcomes() *duty.Ring[Event] {
	return sm.outcomes
}

// Start runs the duty. The returned function stops it.
func (sm *SessionManager) Start() (*duty.Duty, func()) {
	return duty.Start[Event]("edge", sm, sm.outcomes, sm.events)
}

// Handle implements duty.Handler.
func (sm *SessionManager) Handle(now time.Time, item Event) {
	switch event := item.(type) {
	case requestReceived:
		sm.handleRequest(event, now)
	case OutcomeReceived:
		sm.handleOutcome(event.Outcome, now)
	case sessionOpened:
		sm.openSession(event)
	case sessionClosed:
		sm.closeSession(event.socket)
	case CancelRequested:
		sm.cancelRequest(event)
	case DrainStarted:
		sm.draining = true
		sm.drainDeadline = event.Deadline
		sm.drainSessions(now)
	}
}

// Tick implements duty.Handler.
func (sm *SessionManager) Tick(now time.Time) {
	sm.tickAt = now.Add(tickInterval)
	v := sm.view.Load()
	for _, c := range sm.inFlight {
		sm.checkInFlight(c, v, now)
	}
	if sm.draining {
		sm.drainSessions(now)
	}
}

// Next implements duty.Handler.
func (sm *SessionManager) Next() time.Time {
	return sm.tickAt
}

func (sm *SessionManager) openSession(event sessionOpened) {
	v := sm.view.Load()
	name := rosemarylb.DatabaseName(event.database)
	if _, found := v.ServiceConfig.Database(name); !found {
		write(event.socket, encode(errorResponse(sqlStateInvalidCatalogName, "database \""+event.database+"\" does not exist")))
		event.socket.conn.Close()
		return
	}
	if sm.draining {
		write(event.socket, encode(errorResponse(sqlStateAdminShutdown, "not run: the instance shuts down")))
		event.socket.conn.Close()
		return
	}
	sm.lastSession++
	s := session.NewSession(sm.lastSession, name, v.ServiceConfig.Caller(event.user))
	if p, err := rosemarylb.ParsePosition(event.floor); err == nil {
		s = s.WithFloor(p)
	}
	c := &client{
		socket:  event.socket,
		session: s,
		secret:  rand.Uint32(),
	}
	sm.clients[s.ID()] = c
	sm.sockets[event.socket] = c
	acceptedTotal.Inc()
	write(event.socket, startupReply(cancelProcessID(sm.self, s.ID()), c.secret))
}

// cancelProcessID returns the process identifier of a session's cancel key: a
// hash of the instance in the high bits and the low bits of the session in the
// others.
func cancelProcessID(self rosemarylb.InstanceID, id rosemarylb.SessionID) uint32 {
	return instanceHash(self)<<sessionIDBits | uint32(id)&sessionIDMask
}

// instanceHash returns the bits that identify an instance in a cancel key.
func instanceHash(id rosemarylb.InstanceID) uint32 {
	return uint32(placement.Weight(id, "cancel")) >> sessionIDBits
}

// write queues a payload for a socket's event loop, which sends it.
func write(sock *socket, payload []byte) {
	sock.conn.Write(payload)
}

func (sm *SessionManager) handleRequest(event requestReceived, now time.Time) {
	c, found := sm.sockets[event.socket]
	if !found || !c.closeAt.IsZero() {
		return
	}
	_, active := c.session.RequestInFlight()
	if !active && len(c.pipelined) == 0 {
		sm.startCommand(c, event.command, now)
		return
	}
	if len(c.pipelined) >= pipelineLimit {
		write(c.socket, encode(errorResponse(sqlStateInsufficientResources, "not run: too many requests in one pipeline")))
		c.socket.conn.Close()
		return
	}
	c.pipelined = append(c.pipelined, event.command)
}

// startPipelined starts the caller's pipelined requests in turn until one is in
// flight. While draining, it disconnects a caller that has none left.
func (sm *SessionManager) startPipelined(c *client, now time.Time) {
	for len(c.pipelined) > 0 {
		if _, active := c.session.RequestInFlight(); active {
			return
		}
		cmd := c.pipelined[0]
		c.pipelined = c.pipelined[1:]
		sm.startCommand(c, cmd, now)
	}
	if _, active := c.session.RequestInFlight(); !active && sm.draining {
		sm.disconnect(c)
	}
}

// startCommand replies to a command locally or routes it as a request.
func (sm *SessionManager) startCommand(c *client, cmd command, now time.Time) {
	if !sm.forward(c, cmd, now) {
		c.socket.release(cmd)
	}
}

// release takes an answered command off the account of its connection.
func (s *socket) release(cmd command) {
	s.conn.Account().Add(budget.KindQueries, -cmd.bytes)
}

// forward routes a command as a request. It returns false if it replied to the command
// itself.
func (sm *SessionManager) forward(c *client, cmd command, now time.Time) bool {
	if cmd.kind != kindForward {
		sm.replyLocally(c, cmd)
		return false
	}
	if c.session.TransactionAborted() {
		sm.replyInAborted(c, cmd)
		return false
	}
	if len(sm.inFlight) >= inFlightLimit {
		write(c.socket, encode(errorResponse(sqlStateInsufficientResources, "not run: overload"), readyForQuery(sm.transactionStatus(c))))
		return false
	}
	sm.lastSequence++
	id := rosemarylb.RequestID{
		Instance: sm.self,
		Session:  c.session.ID(),
		Sequence: sm.lastSequence,
	}
	s, r := c.session.WithNewRequest(cmd.request, id, sm.view.Load().ServiceConfig, now)
	c.session, c.currentCommand = s, cmd
	if r.Key != "" {
		withKey, err := withKeyInsert(cmd, r.Key)
		if err != nil {
			c.session, _ = c.session.WithFinalOutcome(rosemarylb.NewNotRun(id, rosemarylb.ReasonNone), now)
			write(c.socket, encode(errorResponse(sqlStateFeatureNotSupported, err.Error()), readyForQuery(sm.transactionStatus(c))))
			return false
		}
		r = r.WithPayload(withKey.Payload)
		c.session = c.session.WithRequestInFlight(r)
	}
	sm.retryBudget = sm.retryBudget.WithFirstAttempt()
	sm.inFlight[c.session.ID()] = c
	sm.route(c, r, now)
	return true
}

// route sends a request to the endpoint that the router chooses, or to that of
// its open transaction.
func (sm *SessionManager) route(c *client, r rosemarylb.Request, now time.Time) {
	c.retryAt = time.Time{}
	v := sm.view.Load()
	if r.Target.PinnedConnection == 0 {
		target, reason := sm.router.Route(v, sm.endpoints, r, now)
		if reason != rosemarylb.ReasonNone {
			sm.handleOutcome(rosemarylb.NewNotRun(r.ID, reason), now)
			return
		}
		r = r.WithTarget(target)
	}
	queueDeadline := now.Add(time.Duration(v.ServiceConfig.TargetMillis[r.Rank]) * time.Millisecond)
	if queueDeadline.After(r.Deadline) {
		queueDeadline = r.Deadline
	}
	r = r.WithQueueDeadline(queueDeadline)
	c.session = c.session.WithRequestInFlight(r)
	if !sm.dispatcher.Submit(r) {
		sm.handleOutcome(rosemarylb.NewNotRun(r.ID, rosemarylb.ReasonOverload), now)
	}
}

func (sm *SessionManager) closeSession(sock *socket) {
	c, found := sm.sockets[sock]
	if !found {
		return
	}
	delete(sm.sockets, sock)
	delete(sm.clients, c.session.ID())
	delete(sm.inFlight, c.session.ID())
	if t, open := c.session.TransactionTarget(); open {
		sm.releaseConnection(rosemarylb.RequestID{
			Instance: sm.self,
			Session:  c.session.ID(),
		}, t)
	}
}

func (sm *SessionManager) cancelRequest(event CancelRequested) {
	v := sm.view.Load()
	hash := event.Process >> sessionIDBits
	if hash != instanceHash(sm.self) {
		if event.Forwarded {
			return
		}
		for _, m := range v.Members {
			if instanceHash(m.ID) == hash {
				sm.dispatcher.ForwardCancel(m, event.Process, event.Secret)
			}
		}
		return
	}
	for id, c := range sm.inFlight {
		if uint32(id)&sessionIDMask != event.Process&sessionIDMask || c.secret != event.Secret {
			continue
		}
		r, _ := c.session.RequestInFlight()
		sm.dispatcher.Cancel(r.ID, r.Target)
	}
}

// SessionsReport describes the sessions in a dump.
type SessionsReport struct {
	// Sessions is the number of connected callers.
	Sessions int `json:"sessions"`
	// InFlight is the number of requests that await an outcome.
	InFlight int `json:"in-flight"`
	// Draining is true while the instance shuts down.
	Draining bool `json:"draining"`
}

// Dump implements duty.Handler.
func (sm *SessionManager) Dump() any {
	return SessionsReport{
		Sessions: len(sm.clients),
		InFlight: len(sm.inFlight),
		Draining: sm.draining,
	}
}
