package budget

import (
	"log/slog"
	"slices"
	"testing"

	"rosemarylb"
)

func newTestBudget(limit int64) *Budget {
	return NewBudget(limit, slog.New(slog.DiscardHandler))
}

// TestLargestIsClosedFirst guards against closing an ordinary connection in place of
// the one that fills the memory.
func TestLargestIsClosedFirst(t *testing.T) {
	tests := []struct {
		name   string
		held   []int64
		closed []int
	}{
		{"within the budget", []int64{40, 40, 20}, nil},
		{"largest", []int64{10, 45, 30, 16}, []int{1}},
		{"alone over its share", []int64{10, 51}, []int{1}},
		{"as many as needed", []int64{50, 40, 9, 50, 48}, []int{0, 3}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBudget(100)
			var closed []int
			for i, bytes := range c.held {
				a := b.Open(func() {
					closed = append(closed, i)
				})
				a.Set(KindInput, bytes)
			}
			slices.Sort(closed)
			if !slices.Equal(closed, c.closed) {
				t.Errorf("got %v closed, want %v", closed, c.closed)
			}
			if got := b.Held(); got > 100 {
				t.Errorf("got %d held, want at most 100", got)
			}
		})
	}
}

// TestAccountReleases guards against bytes that stay counted after their connection
// is closed, by which a process would close ever more connections.
func TestAccountReleases(t *testing.T) {
	b := newTestBudget(100)
	closed := b.Open(func() {})
	closed.Set(KindInput, 30)
	closed.Add(KindOutput, 10)
	chosen := b.Open(func() {})
	if chosen.Set(KindState, 70) {
		t.Error("got a connection kept that exceeds its share, want it closed")
	}
	if chosen.Add(KindInput, 1) {
		t.Error("got a change accepted of a connection that is being closed, want it refused")
	}
	if got, want := b.Held(), int64(40); got != want {
		t.Errorf("got %d held, want %d", got, want)
	}
	for range 2 {
		closed.Close()
		chosen.Close()
	}
	if got := b.Held(); got != 0 {
		t.Errorf("got %d held after all connections were closed, want 0", got)
	}
}

// TestLedger guards against queries that stay counted after their answers, and state
// that is not counted.
func TestLedger(t *testing.T) {
	set := rosemarylb.Query{Kind: rosemarylb.QuerySet, Name: "a"}
	prepare := rosemarylb.Query{Kind: rosemarylb.QueryPrepare, Name: "a"}
	drop := rosemarylb.Query{Kind: rosemarylb.QueryDeallocate, Name: "a"}
	read := rosemarylb.Query{Kind: rosemarylb.QueryRead}
	reset := rosemarylb.Query{Kind: rosemarylb.QueryReset}
	const one = (100 + queryOverhead) * stateCopies
	tests := []struct {
		name    string
		queries []rosemarylb.Query
		code    rosemarylb.ReplyCode
		want    int64
	}{
		{"read", []rosemarylb.Query{read}, rosemarylb.ReplyDone, 0},
		{"refused setting", []rosemarylb.Query{set}, rosemarylb.ReplyMalformed, 0},
		{"setting", []rosemarylb.Query{set}, rosemarylb.ReplyDone, one},
		{"setting replaced", []rosemarylb.Query{set, set}, rosemarylb.ReplyDone, one},
		{"setting and statement", []rosemarylb.Query{set, prepare}, rosemarylb.ReplyDone, 2 * one},
		{"statement removed", []rosemarylb.Query{set, prepare, drop}, rosemarylb.ReplyDone, one},
		{"reset", []rosemarylb.Query{set, prepare, reset}, rosemarylb.ReplyDone, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBudget(1 << 20)
			l := NewLedger(b.Open(func() {}))
			for _, q := range c.queries {
				l.Received(q, 100)
			}
			if got, want := b.Held(), int64(len(c.queries))*(100+queryOverhead)*queryCopies; got != want {
				t.Errorf("got %d held before the answers, want %d", got, want)
			}
			for range c.queries {
				l.Answered(c.code)
			}
			if got := b.Held(); got != c.want {
				t.Errorf("got %d held after the answers, want %d", got, c.want)
			}
		})
	}
}

// TestPoolReserves guards against one server that takes the descriptors of the others.
func TestPoolReserves(t *testing.T) {
	p := NewPool(256, slog.New(slog.DiscardHandler))
	acquire := func(s Server) int {
		n := 0
		for p.Acquire(s) {
			n++
		}
		return n
	}
	callers := acquire(ServerCallers)
	if want := 256 * (16 + 14) / 64; callers != want {
		t.Errorf("got %d connections of callers, want %d", callers, want)
	}
	for s, want := range map[Server]int{ServerRelays: 32, ServerInstances: 32, ServerReady: 4, ServerOperators: 4} {
		if got := acquire(s); got != want {
			t.Errorf("got %d connections of %s beside many callers, want %d", got, serverNames[s], want)
		}
	}
	for range callers {
		p.Release(ServerCallers)
	}
	if got, want := acquire(ServerInstances), 256*14/64; got != want {
		t.Errorf("got %d more connections of instances without callers, want %d", got, want)
	}
}
