package pool

import (
	"testing"
	"time"

	"rosemarylb"

	"pgregory.net/rapid"
)

// TestPoolInvariants applies random events to a pool and checks that the limit
// is never exceeded and that no connection serves two sessions at once. The pool
// also panics when one of its own invariants is violated.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(rt, "limit")
		p := NewPool(limit)
		now := time.Unix(0, 0)
		lastID := uint64(0)
		holders := map[uint64]rosemarylb.SessionID{}
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if p.MayOpen(now) {
					lastID++
					p = p.WithOpening(lastID, now.Add(time.Second))
				}
			},
			"opened": func(*rapid.T) {
				for _, e := range p.Connections() {
					if e.State == StateOpening {
						p = p.WithIdle(e.ID)
						return
					}
				}
			},
			"run": func(rt *rapid.T) {
				e, found := p.IdleConnection()
				if !found {
					return
				}
				session := rosemarylb.SessionID(rapid.Uint64Range(1, 5).Draw(rt, "session"))
				p = p.WithBusy(e.ID, newRequest(session))
				holders[e.ID] = session
			},
			"lease": func(rt *rapid.T) {
				for _, e := range p.Connections() {
					if e.State == StateBusy && rapid.Bool().Draw(rt, "open transaction") {
						p = p.WithPinned(e.ID, now.Add(time.Second))
					}
				}
			},
			"run again": func(*rapid.T) {
				for _, e := range p.Connections() {
					if e.State == StatePinned && p.IsPinnedBy(e.ID, newRequest(holders[e.ID]).ID) {
						p = p.WithBusy(e.ID, newRequest(holders[e.ID]))
					}
				}
			},
			"close": func(rt *rapid.T) {
				for _, e := range p.Connections() {
					if rapid.Bool().Draw(rt, "close") {
						p = p.WithoutConnection(e.ID)
					}
				}
			},
			"": func(rt *rapid.T) {
				if got := p.Size(); got > limit {
					rt.Fatalf("got %d connections, want at most %d", got, limit)
				}
				for _, e := range p.Connections() {
					if e.State == StatePinned && e.RequestID.Session != holders[e.ID] {
						rt.Fatalf("connection %d: got session %d, want %d", e.ID, e.RequestID.Session, holders[e.ID])
					}
				}
			},
		})
	})
}

func newRequest(session rosemarylb.SessionID) rosemarylb.Request {
	return rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Instance: "a",
			Session:  session,
		},
	}
}

func TestPinnedConnectionBelongsToOneSession(t *testing.T) {
	p := NewPool(1).WithOpening(1, time.Time{}).WithIdle(1).WithBusy(1, newRequest(1)).WithPinned(1, time.Unix(9, 0))
	if !p.IsPinnedBy(1, newRequest(1).ID) {
		t.Error("got the connection not pinned to its session, want it pinned")
	}
	if p.IsPinnedBy(1, newRequest(2).ID) {
		t.Error("got the connection pinned to another session, want it not pinned")
	}
	if got := p.Expired(time.Unix(10, 0)); len(got) != 1 {
		t.Errorf("got %d expired connections, want the pinned one", len(got))
	}
}

func TestOnlyUrgentTransactionsUseReserve(t *testing.T) {
	p := NewPool(4)
	for id := range uint64(3) {
		p = p.WithOpening(id+1, time.Time{}).WithIdle(id+1).WithBusy(id+1, newRequest(1))
	}
	if p.MayBeginTransaction(rosemarylb.RankBackground) {
		t.Error("got a background transaction allowed on the reserve, want it rejected")
	}
	if !p.MayBeginTransaction(rosemarylb.RankUrgent) {
		t.Error("got an urgent transaction rejected on the reserve, want it allowed")
	}
}
