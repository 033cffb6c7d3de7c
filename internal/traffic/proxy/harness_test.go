package proxy

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// sent is a query that the proxy sent to an endpoint.
type sent struct {
	id    rosemarylb.ConnectionID
	to    rosemarylb.EndpointID
	query rosemarylb.Query
}

// harness simulates the callers, endpoints and keeper of a proxy without a
// network.
type harness struct {
	t          testing.TB
	proxy      *Proxy
	now        time.Time
	answers    map[rosemarylb.SessionID][]rosemarylb.Reply
	accepted   map[rosemarylb.SessionID]bool
	closed     map[rosemarylb.SessionID]bool
	opening    []rosemarylb.ConnectionID
	owners     map[rosemarylb.ConnectionID]rosemarylb.EndpointID
	relays     map[rosemarylb.ConnectionID]string
	sent       []sent
	queryCount int
}

// Accept implements rosemarylb.CallerPort. A harness is both the caller port
// and the relay port; their sessions have different numbers.
func (h *harness) Accept(id rosemarylb.SessionID) { h.accepted[id] = true }

// SendReply implements rosemarylb.CallerPort.
func (h *harness) SendReply(id rosemarylb.SessionID, r rosemarylb.Reply) {
	h.answers[id] = append(h.answers[id], r)
}

// Reject implements rosemarylb.CallerPort.
func (h *harness) Reject(id rosemarylb.SessionID, r rosemarylb.Reply) {
	h.SendReply(id, r)
	h.closed[id] = true
}

// Close implements rosemarylb.CallerPort.
func (h *harness) Close(id rosemarylb.SessionID) { h.closed[id] = true }

// endpointPorts is the endpoint port of a harness.
type endpointPorts struct{ harness *harness }

// Open implements rosemarylb.EndpointPort.
func (p endpointPorts) Open(id rosemarylb.ConnectionID, e rosemarylb.EndpointSpec) {
	p.harness.owners[id] = e.ID
	p.harness.relays[id] = e.Via
	p.harness.opening = append(p.harness.opening, id)
}

// Send implements rosemarylb.EndpointPort.
func (p endpointPorts) Send(id rosemarylb.ConnectionID, q rosemarylb.Query) {
	s := sent{
		id:    id,
		to:    p.harness.owners[id],
		query: q,
	}
	p.harness.sent = append(p.harness.sent, s)
}

// Close implements rosemarylb.EndpointPort.
func (p endpointPorts) Close(id rosemarylb.ConnectionID) { delete(p.harness.owners, id) }

func route(database string, c rosemarylb.Consistency) rosemarylb.Route {
	return rosemarylb.Route{
		Database:        database,
		Group:           "g",
		Consistency:     c,
		StalenessMillis: 1000,
		TimeoutMillis:   800,
	}
}

func catalog(version uint64) rosemarylb.Catalog {
	return rosemarylb.Catalog{
		Version: version,
		Routes: map[string]rosemarylb.Route{
			"primary": route("primary", rosemarylb.ConsistencyPrimary),
			"bounded": route("bounded", rosemarylb.ConsistencyBounded),
			"session": route("session", rosemarylb.ConsistencySession),
		},
		Groups: map[rosemarylb.DatabaseName]rosemarylb.Group{
			"g": {
				Name:           "g",
				MaxConnections: 9,
			},
		},
		TransactionIdleMillis: 3000,
	}
}

func spec(id rosemarylb.EndpointID, region rosemarylb.RegionName) rosemarylb.EndpointSpec {
	return rosemarylb.EndpointSpec{
		ID:       id,
		Database: "g",
		Region:   region,
		Domain:   rosemarylb.DomainName(region),
		Slots:    2,
	}
}

// newHarness returns a harness with a primary e1 and a replica e2 in the region
// of the proxy, a permit of term 1 and one session on each route: 1 primary, 2
// bounded, 3 session.
func newHarness(t testing.TB) *harness {
	h := &harness{
		t:        t,
		now:      time.Unix(100, 0),
		answers:  map[rosemarylb.SessionID][]rosemarylb.Reply{},
		accepted: map[rosemarylb.SessionID]bool{},
		closed:   map[rosemarylb.SessionID]bool{},
		owners:   map[rosemarylb.ConnectionID]rosemarylb.EndpointID{},
		relays:   map[rosemarylb.ConnectionID]string{},
	}
	h.proxy = NewProxy(h, endpointPorts{harness: h}, WithLocation("r", "r"),
		WithRandom(rand.New(rand.NewPCG(1, 7)).Float64))
	h.handle(ShareChanged{
		Share: rosemarylb.ConnectionShare{
			Members: 2,
		},
	})
	h.handle(CatalogChanged{
		Catalog: catalog(1),
	})
	h.register(spec("e1", "r"), spec("e2", "r"))
	h.permit("e1", 1, 500*time.Millisecond)
	for id, database := range []string{"primary", "bounded", "session"} {
		h.join(rosemarylb.SessionID(id+1), database)
	}
	return h
}

func (h *harness) handle(e Event) { h.proxy.Handle(h.now, e) }

func (h *harness) register(specs ...rosemarylb.EndpointSpec) {
	h.handle(EndpointsChanged{
		Endpoints: specs,
	})
}

// permit grants a permit with position 10 of the term as of now.
func (h *harness) permit(primary rosemarylb.EndpointID, term rosemarylb.Term, span time.Duration) {
	p := rosemarylb.Permit{
		Group:       "g",
		Primary:     primary,
		Term:        term,
		RequestedAt: h.now,
		ExpiresAt:   h.now.Add(span),
	}
	h.handle(PermitsReceived{
		Permits: []rosemarylb.Permit{p.WithPosition(position(term, 10), h.now)},
	})
}

func position(term rosemarylb.Term, lsn rosemarylb.LSN) rosemarylb.Position {
	return rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}
}

func (h *harness) join(id rosemarylb.SessionID, database string) {
	h.handle(SessionOpened{
		Session:  id,
		Database: database,
	})
}

// ask sends a query of a session and establishes the connections that the proxy
// opens.
func (h *harness) ask(id rosemarylb.SessionID, kind rosemarylb.QueryKind) {
	h.receive(id, kind)
	h.openConnections()
}

// receive sends a query of a session.
func (h *harness) receive(id rosemarylb.SessionID, kind rosemarylb.QueryKind) {
	h.queryCount++
	h.handle(QueryReceived{
		Session: id,
		Query: rosemarylb.Query{
			ID:     "q" + strconv.Itoa(h.queryCount),
			Kind:   kind,
			Writes: kind == rosemarylb.QueryWrite,
		},
	})
}

func (h *harness) openConnections() {
	for len(h.opening) > 0 {
		id := h.opening[0]
		h.opening = h.opening[1:]
		h.handle(ConnectionOpened{
			Connection: id,
		})
	}
}

// nextSent removes and returns the oldest query that the proxy sent.
func (h *harness) nextSent() sent {
	h.t.Helper()
	if len(h.sent) == 0 {
		h.t.Fatal("got no query sent, want one")
	}
	s := h.sent[0]
	h.sent = h.sent[1:]
	return s
}

// reply delivers a reply to a sent query.
func (h *harness) reply(s sent, code rosemarylb.ReplyCode, state rosemarylb.TransactionState, p rosemarylb.Position) {
	h.handle(ReplyReceived{
		Connection: s.id,
		Reply: rosemarylb.Reply{
			Code:      code,
			Signature: "sig",
			State:     state,
			Position:  p,
		},
	})
	h.openConnections()
}

func (h *harness) loseConnection(s sent) {
	h.handle(ConnectionLost{
		Connection: s.id,
	})
	h.openConnections()
}

// advance moves the clock forward in steps of 5 ms. It renews no permits.
func (h *harness) advance(span time.Duration) {
	for end := h.now.Add(span); h.now.Before(end); {
		h.now = h.now.Add(5 * time.Millisecond)
		if !h.now.Before(h.proxy.Next()) {
			h.proxy.Tick(h.now)
		}
		h.openConnections()
	}
}

// last returns the latest reply to a session.
func (h *harness) last(id rosemarylb.SessionID) (rosemarylb.Reply, bool) {
	all := h.answers[id]
	if len(all) == 0 {
		return rosemarylb.Reply{}, false
	}
	return all[len(all)-1], true
}

func (h *harness) wantAnswer(id rosemarylb.SessionID, code rosemarylb.ReplyCode, state rosemarylb.TransactionState) {
	h.t.Helper()
	r, answered := h.last(id)
	if !answered || r.Code != code || r.State != state {
		h.t.Errorf("got answer %v %s in state %s, want %s in state %s", answered, r.Code, r.State, code, state)
	}
}

func (h *harness) wantNoAnswer(id rosemarylb.SessionID) {
	h.t.Helper()
	if r, answered := h.last(id); answered {
		h.t.Errorf("got answer %s, want none yet", r.Code)
	}
}
