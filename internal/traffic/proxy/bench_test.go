package proxy

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// sent is a query on its way to an endpoint.
type sent struct {
	id    rosemarylb.ConnectionID
	to    rosemarylb.EndpointID
	query rosemarylb.Query
}

// bench plays callers, endpoints and a keeper for one proxy, without a
// network.
type bench struct {
	t        *testing.T
	p        *Proxy
	now      time.Time
	answers  map[rosemarylb.SessionID][]rosemarylb.Reply
	welcomed map[rosemarylb.SessionID]bool
	closed   map[rosemarylb.SessionID]bool
	opening  []rosemarylb.ConnectionID
	owners   map[rosemarylb.ConnectionID]rosemarylb.EndpointID
	via      map[rosemarylb.ConnectionID]string
	sent     []sent
	asked    int
}

// Welcome implements rosemarylb.CallerPort. Sessions of callers and of other
// instances share a bench under numbers that differ.
func (b *bench) Welcome(id rosemarylb.SessionID) { b.welcomed[id] = true }

// Answer implements rosemarylb.CallerPort.
func (b *bench) Answer(id rosemarylb.SessionID, r rosemarylb.Reply) {
	b.answers[id] = append(b.answers[id], r)
}

// Refuse implements rosemarylb.CallerPort.
func (b *bench) Refuse(id rosemarylb.SessionID, r rosemarylb.Reply) {
	b.Answer(id, r)
	b.closed[id] = true
}

// Close implements rosemarylb.CallerPort.
func (b *bench) Close(id rosemarylb.SessionID) { b.closed[id] = true }

// ports are the endpoints' side of a bench.
type ports struct{ b *bench }

// Open implements rosemarylb.EndpointPort.
func (p ports) Open(id rosemarylb.ConnectionID, e rosemarylb.EndpointSpec) {
	p.b.owners[id] = e.ID
	p.b.via[id] = e.Via
	p.b.opening = append(p.b.opening, id)
}

// Send implements rosemarylb.EndpointPort.
func (p ports) Send(id rosemarylb.ConnectionID, q rosemarylb.Query) {
	s := sent{
		id:    id,
		to:    p.b.owners[id],
		query: q,
	}
	p.b.sent = append(p.b.sent, s)
}

// Close implements rosemarylb.EndpointPort.
func (p ports) Close(id rosemarylb.ConnectionID) { delete(p.b.owners, id) }

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
				Name:        "g",
				Connections: 9,
			},
		},
		IdleMillis: 3000,
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

// newBench returns a bench with a primary e1 and a replica e2 nearby, a permit
// of term 1 and one session on each route: 1 primary, 2 bounded, 3 session.
func newBench(t *testing.T) *bench {
	b := &bench{
		t:        t,
		now:      time.Unix(100, 0),
		answers:  map[rosemarylb.SessionID][]rosemarylb.Reply{},
		welcomed: map[rosemarylb.SessionID]bool{},
		closed:   map[rosemarylb.SessionID]bool{},
		owners:   map[rosemarylb.ConnectionID]rosemarylb.EndpointID{},
		via:      map[rosemarylb.ConnectionID]string{},
	}
	b.p = NewProxy(b, ports{b: b}, WithPlace("r", "r"))
	b.handle(Shared{
		Share: rosemarylb.Share{
			Members: 2,
		},
	})
	b.handle(Configured{
		Catalog: catalog(1),
	})
	b.register(spec("e1", "r"), spec("e2", "r"))
	b.permit("e1", 1, 500*time.Millisecond)
	for id, database := range []string{"primary", "bounded", "session"} {
		b.join(rosemarylb.SessionID(id+1), database)
	}
	return b
}

func (b *bench) handle(e Event) { b.p.Handle(b.now, e) }

func (b *bench) register(specs ...rosemarylb.EndpointSpec) {
	b.handle(Registered{
		Endpoints: specs,
	})
}

// permit gives a permit that also tells the position 10 as of now.
func (b *bench) permit(primary rosemarylb.EndpointID, term rosemarylb.Term, span time.Duration) {
	p := rosemarylb.Permit{
		Group:   "g",
		Primary: primary,
		Term:    term,
		AskedAt: b.now,
		Until:   b.now.Add(span),
	}
	b.handle(Permitted{
		Permits: []rosemarylb.Permit{p.WithPosition(position(term, 10), b.now)},
	})
}

func position(term rosemarylb.Term, lsn rosemarylb.LSN) rosemarylb.Position {
	return rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}
}

func (b *bench) join(id rosemarylb.SessionID, database string) {
	b.handle(Joined{
		Session:  id,
		Database: database,
	})
}

// ask has a session send a query, and opens the connections that it needs.
func (b *bench) ask(id rosemarylb.SessionID, kind rosemarylb.QueryKind) {
	b.asked++
	b.handle(Asked{
		Session: id,
		Query: rosemarylb.Query{
			ID:     "q" + strconv.Itoa(b.asked),
			Kind:   kind,
			Writes: kind == rosemarylb.QueryWrite,
		},
	})
	b.open()
}

func (b *bench) open() {
	for len(b.opening) > 0 {
		id := b.opening[0]
		b.opening = b.opening[1:]
		b.handle(Opened{
			Connection: id,
		})
	}
}

// take returns the next query that was sent.
func (b *bench) take() sent {
	b.t.Helper()
	if len(b.sent) == 0 {
		b.t.Fatal("got no query sent, want one")
	}
	s := b.sent[0]
	b.sent = b.sent[1:]
	return s
}

// reply answers a query.
func (b *bench) reply(s sent, code rosemarylb.ReplyCode, state rosemarylb.TransactionState, p rosemarylb.Position) {
	b.handle(Replied{
		Connection: s.id,
		Reply: rosemarylb.Reply{
			Code:      code,
			Signature: "sig",
			State:     state,
			Position:  p,
		},
	})
	b.open()
}

func (b *bench) lose(s sent) {
	b.handle(Lost{
		Connection: s.id,
	})
	b.open()
}

// pass lets time go by in steps, with a permit renewed or not.
func (b *bench) pass(span time.Duration) {
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(5 * time.Millisecond)
		if !b.now.Before(b.p.Next()) {
			b.p.Tick(b.now)
		}
		b.open()
	}
}

// last returns the last answer that a session got.
func (b *bench) last(id rosemarylb.SessionID) (rosemarylb.Reply, bool) {
	all := b.answers[id]
	if len(all) == 0 {
		return rosemarylb.Reply{}, false
	}
	return all[len(all)-1], true
}

func (b *bench) wantAnswer(id rosemarylb.SessionID, code rosemarylb.ReplyCode, state rosemarylb.TransactionState) {
	b.t.Helper()
	r, answered := b.last(id)
	if !answered || r.Code != code || r.State != state {
		b.t.Errorf("got answer %v %s in state %s, want %s in state %s", answered, r.Code, r.State, code, state)
	}
}

func (b *bench) wantNoAnswer(id rosemarylb.SessionID) {
	b.t.Helper()
	if r, answered := b.last(id); answered {
		b.t.Errorf("got answer %s, want none yet", r.Code)
	}
}
