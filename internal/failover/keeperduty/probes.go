package keeperduty

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

const (
	// probeTimeout is the timeout of opening a connection and of each query.
	probeTimeout = 350 * time.Millisecond
	// probeIdleTimeout is how long a connection without queries stays open.
	probeIdleTimeout = 3 * time.Second
	// probeIDBase is the start of the range of the keeper's connection IDs, apart
	// from the IDs of other connections on the same port.
	probeIDBase = 1 << 48
)

// probeConnection is the keeper's connection to one endpoint. It carries one query
// at a time; the first of queries is the one sent while awaitingReply.
type probeConnection struct {
	id            rosemarylb.ConnectionID
	spec          rosemarylb.EndpointSpec
	open          bool
	awaitingReply bool
	sentAt        time.Time
	deadline      time.Time
	queries       []rosemarylb.Query
	lastUsedAt    time.Time
}

// probePool holds the keeper's connections to endpoints.
type probePool struct {
	port       rosemarylb.EndpointPort
	byID       map[rosemarylb.ConnectionID]*probeConnection
	byEndpoint map[rosemarylb.EndpointID]*probeConnection
	lastID     rosemarylb.ConnectionID
}

func newProbePool() *probePool {
	return &probePool{
		byID:       map[rosemarylb.ConnectionID]*probeConnection{},
		byEndpoint: map[rosemarylb.EndpointID]*probeConnection{},
		lastID:     probeIDBase,
	}
}

// query queues a query to an endpoint, and opens a connection if there is none to its
// address. A status query is dropped when another query is already queued.
func (pp *probePool) query(q keeper.EndpointQuery, now time.Time) {
	p, found := pp.byEndpoint[q.Endpoint.ID]
	if found && p.spec.Address != q.Endpoint.Address {
		pp.close(p)
		found = false
	}
	if !found {
		pp.lastID++
		p = &probeConnection{
			id:       pp.lastID,
			spec:     q.Endpoint,
			deadline: now.Add(probeTimeout),
		}
		pp.byID[p.id] = p
		pp.byEndpoint[q.Endpoint.ID] = p
		pp.port.Open(p.id, q.Endpoint)
	}
	p.lastUsedAt = now
	if len(p.queries) > 0 && q.Query.Kind == rosemarylb.QueryStatus {
		return
	}
	p.queries = append(p.queries, q.Query)
	pp.sendNext(p, now)
}

// sendNext sends the first queued query, unless the connection is still opening or
// awaits a reply.
func (pp *probePool) sendNext(p *probeConnection, now time.Time) {
	if !p.open || p.awaitingReply || len(p.queries) == 0 {
		return
	}
	p.awaitingReply = true
	p.sentAt = now
	p.deadline = now.Add(probeTimeout)
	pp.port.Send(p.id, p.queries[0])
}

func (pp *probePool) handleOpened(id rosemarylb.ConnectionID, now time.Time) {
	p, found := pp.byID[id]
	if !found {
		pp.port.Close(id)
		return
	}
	p.open = true
	p.deadline = time.Time{}
	pp.sendNext(p, now)
}

// handleReply returns the status that the reply shows.
func (pp *probePool) handleReply(e queryReplied, now time.Time) []keeper.Status {
	p, found := pp.byID[e.id]
	if !found || !p.awaitingReply {
		return nil
	}
	p.awaitingReply = false
	p.queries = p.queries[1:]
	p.deadline = time.Time{}
	hasState := e.reply.Code == rosemarylb.ReplyDone && e.reply.Endpoint.Term != 0
	status := keeper.Status{
		Group:       p.spec.Database,
		Endpoint:    p.spec.ID,
		ProbedAt:    p.sentAt,
		Answered:    true,
		Busy:        !hasState,
		Primary:     e.reply.Endpoint.Primary,
		Term:        e.reply.Endpoint.Term,
		LogPosition: e.reply.Endpoint.Log,
		BusySlots:   e.reply.Endpoint.Busy,
		Connections: e.reply.Endpoint.Connections,
	}
	pp.sendNext(p, now)
	return []keeper.Status{status}
}

// handleLost returns the status that the lost connection shows. An endpoint at its
// connection limit is alive; any other error counts as a refusal.
func (pp *probePool) handleLost(e connectionLost, now time.Time) []keeper.Status {
	p, found := pp.byID[e.id]
	if !found {
		return nil
	}
	pp.remove(p)
	return []keeper.Status{{
		Group:    p.spec.Database,
		Endpoint: p.spec.ID,
		ProbedAt: now,
		Answered: e.code == rosemarylb.ReplyConnectionLimit,
		Busy:     e.code == rosemarylb.ReplyConnectionLimit,
		Refused:  e.code != rosemarylb.ReplyConnectionLimit,
	}}
}

// expire closes connections whose deadline has passed and returns a status without
// an answer for each. It also closes idle connections, and all of them when holdsLease
// is false.
func (pp *probePool) expire(now time.Time, holdsLease bool) []keeper.Status {
	var statuses []keeper.Status
	for _, p := range pp.byID {
		switch {
		case !p.deadline.IsZero() && now.After(p.deadline):
			pp.close(p)
			statuses = append(statuses, keeper.Status{
				Group:    p.spec.Database,
				Endpoint: p.spec.ID,
				ProbedAt: p.sentAt,
			})
		case now.Sub(p.lastUsedAt) > probeIdleTimeout, !holdsLease:
			pp.close(p)
		}
	}
	return statuses
}

func (pp *probePool) close(p *probeConnection) {
	pp.port.Close(p.id)
	pp.remove(p)
}

func (pp *probePool) remove(p *probeConnection) {
	delete(pp.byID, p.id)
	if pp.byEndpoint[p.spec.ID] == p {
		delete(pp.byEndpoint, p.spec.ID)
	}
}
