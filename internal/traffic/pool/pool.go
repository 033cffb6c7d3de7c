// Package pool decides on the connections that are held to one endpoint.
package pool

import (
	"time"

	"rosemarylb"
)

// State is what a connection is doing.
type State uint8

// The states of a connection.
const (
	// StateOpening has not finished its start-up.
	StateOpening State = iota
	// StateIdle is clean and may serve any request.
	StateIdle
	// StateBusy works on a request.
	StateBusy
	// StateLeased belongs to an open transaction between two requests.
	StateLeased
)

var stateNames = [...]string{"opening", "idle", "busy", "leased"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Entry is one connection of the pool.
type Entry struct {
	// ID numbers the connection; it serves as the lease of a transaction.
	ID uint64
	// State is what it is doing.
	State State
	// Holder is the request that it works on, or whose session leases it.
	Holder rosemarylb.RequestID
	// Rank is the rank of the holder.
	Rank rosemarylb.Rank
	// Until is the deadline of an opening or a lease.
	Until time.Time
}

// Pool is an immutable set of connections, never more than the limit.
type Pool struct {
	limit   int
	reserve int
	entries []Entry
	retryAt time.Time
}

// reservePercent is the part of the connections that only urgent
// transactions may take.
const reservePercent = 25

// NewPool returns an empty pool with a limit of connections.
func NewPool(limit int) Pool {
	return Pool{
		limit:   limit,
		reserve: limit * reservePercent / 100,
	}
}

// WithLimit returns the pool under another limit. Connections over it are
// closed as they become idle.
func (p Pool) WithLimit(limit int) Pool {
	p.limit = limit
	p.reserve = limit * reservePercent / 100
	return p
}

// Size returns how many connections are held, those opening included.
func (p Pool) Size() int {
	return len(p.entries)
}

// Entries returns the connections.
func (p Pool) Entries() []Entry {
	return p.entries
}

// Count returns how many connections are in a state.
func (p Pool) Count(s State) int {
	n := 0
	for _, e := range p.entries {
		if e.State == s {
			n++
		}
	}
	return n
}

// Entry returns a connection by number.
func (p Pool) Entry(id uint64) (Entry, bool) {
	for _, e := range p.entries {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// Idle returns the idle connection used last, so that others can age.
func (p Pool) Idle() (Entry, bool) {
	for i := len(p.entries) - 1; i >= 0; i-- {
		if p.entries[i].State == StateIdle {
			return p.entries[i], true
		}
	}
	return Entry{}, false
}

// MayBegin reports whether a transaction of the rank may take one more
// connection; the reserve is kept for urgent ones.
func (p Pool) MayBegin(rank rosemarylb.Rank) bool {
	if rank == rosemarylb.RankUrgent {
		return true
	}
	held := 0
	for _, e := range p.entries {
		if e.State == StateLeased || e.State == StateBusy {
			held++
		}
	}
	return held < p.limit-p.reserve
}

// MayOpen reports whether one more connection may be opened now.
func (p Pool) MayOpen(now time.Time) bool {
	return len(p.entries) < p.limit && !now.Before(p.retryAt)
}

// WithOpening returns the pool with one more connection that is opening.
func (p Pool) WithOpening(id uint64, until time.Time) Pool {
	rosemarylb.Invariantf(len(p.entries) < p.limit, "a connection over the limit of %d", p.limit)
	return p.withEntries(append(p.copyEntries(), Entry{
		ID:    id,
		State: StateOpening,
		Until: until,
	}))
}

// WithBackoff returns the pool that opens nothing before a time.
func (p Pool) WithBackoff(retryAt time.Time) Pool {
	p.retryAt = retryAt
	return p
}

// WithIdle returns the pool with a connection that is clean again.
func (p Pool) WithIdle(id uint64) Pool {
	return p.withChanged(id, func(e Entry) Entry {
		return Entry{
			ID:    e.ID,
			State: StateIdle,
		}
	})
}

// WithBusy returns the pool with a connection at work on a request.
func (p Pool) WithBusy(id uint64, r rosemarylb.Request) Pool {
	return p.withChanged(id, func(e Entry) Entry {
		free := e.State == StateIdle || e.State == StateLeased && sameSession(e.Holder, r.ID)
		rosemarylb.Invariantf(free, "%s on connection %d, %s by %s", r.ID, id, e.State, e.Holder)
		return Entry{
			ID:     e.ID,
			State:  StateBusy,
			Holder: r.ID,
			Rank:   r.Rank,
		}
	})
}

// WithLease returns the pool with a connection kept for its holder's open
// transaction.
func (p Pool) WithLease(id uint64, until time.Time) Pool {
	return p.withChanged(id, func(e Entry) Entry {
		e.State = StateLeased
		e.Until = until
		return e
	})
}

// WithoutEntry returns the pool without a connection that is closed.
func (p Pool) WithoutEntry(id uint64) Pool {
	rest := make([]Entry, 0, len(p.entries))
	for _, e := range p.entries {
		if e.ID != id {
			rest = append(rest, e)
		}
	}
	return p.withEntries(rest)
}

// LeasedBy reports whether a connection is leased by the request's session.
func (p Pool) LeasedBy(id uint64, r rosemarylb.RequestID) bool {
	e, found := p.Entry(id)
	return found && e.State == StateLeased && sameSession(e.Holder, r)
}

// Overdue returns the connections whose opening or lease has expired.
func (p Pool) Overdue(now time.Time) []Entry {
	var overdue []Entry
	for _, e := range p.entries {
		if !e.Until.IsZero() && now.After(e.Until) {
			overdue = append(overdue, e)
		}
	}
	return overdue
}

func sameSession(a, b rosemarylb.RequestID) bool {
	return a.Instance == b.Instance && a.Session == b.Session
}

func (p Pool) copyEntries() []Entry {
	entries := make([]Entry, len(p.entries), len(p.entries)+1)
	copy(entries, p.entries)
	return entries
}

func (p Pool) withEntries(entries []Entry) Pool {
	p.entries = entries
	return p
}

func (p Pool) withChanged(id uint64, change func(Entry) Entry) Pool {
	entries := p.copyEntries()
	for i := range entries {
		if entries[i].ID == id {
			entries[i] = change(entries[i])
		}
	}
	return p.withEntries(entries)
}
