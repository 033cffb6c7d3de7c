// Package pool tracks the connections to one endpoint: their states, their
// number and the transactions that they are pinned to. It opens and closes none
// itself.
package pool

import (
	"time"

	"rosemarylb"
)

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	// StateOpening is a connection whose start-up handshake is not finished.
	StateOpening State = iota
	// StateIdle is a connection without session state, free for any request.
	StateIdle
	// StateBusy is a connection with a request in flight.
	StateBusy
	// StatePinned is a connection pinned to an open transaction that has no
	// request in flight.
	StatePinned
)

// stateNames are the names in dumps.
var stateNames = [...]string{"opening", "idle", "busy", "leased"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Connection is the state of one connection of the pool.
type Connection struct {
	// ID identifies the connection. A transaction that the connection is pinned to
	// carries the ID in its requests.
	ID uint64
	// State is its state.
	State State
	// RequestID is the request in flight, or the last request of the session that
	// the connection is pinned to.
	RequestID rosemarylb.RequestID
	// Rank is the rank of that request.
	Rank rosemarylb.Rank
	// Deadline is when the start-up handshake has to be finished, or when the
	// pinned transaction times out; the zero time means none.
	Deadline time.Time
}

// Pool is an immutable set of connections with a limit on their number.
type Pool struct {
	limit         int
	urgentReserve int
	connections   []Connection
	openAfter     time.Time
}

// urgentReservePercent is the percentage of the connections that is reserved
// for urgent transactions.
const urgentReservePercent = 25

// NewPool returns an empty pool of at most limit connections.
func NewPool(limit int) Pool {
	return Pool{
		limit:         limit,
		urgentReserve: limit * urgentReservePercent / 100,
	}
}

// WithLimit returns the pool with another connection limit. Connections beyond
// a lowered limit stay in the pool until WithoutConnection removes them.
func (p Pool) WithLimit(limit int) Pool {
	p.limit = limit
	p.urgentReserve = limit * urgentReservePercent / 100
	return p
}

// Size returns the number of connections, including those that are opening.
func (p Pool) Size() int {
	return len(p.connections)
}

// Connections returns the connections, oldest first. The caller must not modify the
// slice.
func (p Pool) Connections() []Connection {
	return p.connections
}

// Count returns the number of connections in a state.
func (p Pool) Count(s State) int {
	count := 0
	for _, c := range p.connections {
		if c.State == s {
			count++
		}
	}
	return count
}

// Connection returns a connection by its ID.
func (p Pool) Connection(id uint64) (Connection, bool) {
	for _, c := range p.connections {
		if c.ID == id {
			return c, true
		}
	}
	return Connection{}, false
}

// IdleConnection returns the most recently opened idle connection, so that under
// low load the older ones stay unused.
func (p Pool) IdleConnection() (Connection, bool) {
	for i := len(p.connections) - 1; i >= 0; i-- {
		if p.connections[i].State == StateIdle {
			return p.connections[i], true
		}
	}
	return Connection{}, false
}

// MayBeginTransaction reports whether a transaction of the given rank may take one more
// connection. Ranks other than urgent cannot use the reserve.
func (p Pool) MayBeginTransaction(rank rosemarylb.Rank) bool {
	if rank == rosemarylb.RankUrgent {
		return true
	}
	inUse := 0
	for _, c := range p.connections {
		if c.State == StatePinned || c.State == StateBusy {
			inUse++
		}
	}
	return inUse < p.limit-p.urgentReserve
}

// MayOpen reports whether one more connection may be opened: the pool is below
// its limit and the backoff has passed.
func (p Pool) MayOpen(now time.Time) bool {
	return len(p.connections) < p.limit && !now.Before(p.openAfter)
}

// WithOpening returns the pool with one more connection, which must finish its
// start-up handshake before the deadline. It panics when the pool is at its limit.
func (p Pool) WithOpening(id uint64, deadline time.Time) Pool {
	rosemarylb.Invariantf(len(p.connections) < p.limit, "connection limit of %d exceeded", p.limit)
	return p.withConnections(append(p.copyConnections(), Connection{
		ID:       id,
		State:    StateOpening,
		Deadline: deadline,
	}))
}

// WithBackoff returns the pool that opens no connection before openAfter.
func (p Pool) WithBackoff(openAfter time.Time) Pool {
	p.openAfter = openAfter
	return p
}

// WithIdle returns the pool with a connection free for any request.
func (p Pool) WithIdle(id uint64) Pool {
	return p.withUpdatedConnection(id, func(c Connection) Connection {
		return Connection{
			ID:    c.ID,
			State: StateIdle,
		}
	})
}

// WithBusy returns the pool with a request in flight on a connection. It panics
// unless the connection is idle or pinned to the request's session.
func (p Pool) WithBusy(id uint64, r rosemarylb.Request) Pool {
	return p.withUpdatedConnection(id, func(c Connection) Connection {
		available := c.State == StateIdle || c.State == StatePinned && sameSession(c.RequestID, r.ID)
		rosemarylb.Invariantf(available, "request %s sent on connection %d in state %s, held by request %s",
			r.ID, id, c.State, c.RequestID)
		return Connection{
			ID:        c.ID,
			State:     StateBusy,
			RequestID: r.ID,
			Rank:      r.Rank,
		}
	})
}

// WithPinned returns the pool with a connection pinned to the open transaction
// of its last request until a deadline.
func (p Pool) WithPinned(id uint64, deadline time.Time) Pool {
	return p.withUpdatedConnection(id, func(c Connection) Connection {
		c.State = StatePinned
		c.Deadline = deadline
		return c
	})
}

// WithoutConnection returns the pool without a closed connection.
func (p Pool) WithoutConnection(id uint64) Pool {
	remaining := make([]Connection, 0, len(p.connections))
	for _, c := range p.connections {
		if c.ID != id {
			remaining = append(remaining, c)
		}
	}
	return p.withConnections(remaining)
}

// IsPinnedBy reports whether a connection is pinned to the request's session.
func (p Pool) IsPinnedBy(id uint64, r rosemarylb.RequestID) bool {
	c, found := p.Connection(id)
	return found && c.State == StatePinned && sameSession(c.RequestID, r)
}

// Expired returns the connections whose deadline has passed.
func (p Pool) Expired(now time.Time) []Connection {
	var expired []Connection
	for _, c := range p.connections {
		if !c.Deadline.IsZero() && now.After(c.Deadline) {
			expired = append(expired, c)
		}
	}
	return expired
}

func sameSession(a, b rosemarylb.RequestID) bool {
	return a.Instance == b.Instance && a.Session == b.Session
}

func (p Pool) copyConnections() []Connection {
	connections := make([]Connection, len(p.connections), len(p.connections)+1)
	copy(connections, p.connections)
	return connections
}

func (p Pool) withConnections(connections []Connection) Pool {
	p.connections = connections
	return p
}

func (p Pool) withUpdatedConnection(id uint64, update func(Connection) Connection) Pool {
	connections := p.copyConnections()
	for i := range connections {
		if connections[i].ID == id {
			connections[i] = update(connections[i])
		}
	}
	return p.withConnections(connections)
}
