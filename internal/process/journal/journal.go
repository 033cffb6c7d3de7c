// Package journal writes log lines without ever holding up who writes them:
// lines wait in a bounded ring, each kind of event has a budget, and what is
// dropped is counted and told.
package journal

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"rosemarylb/internal/process/duty"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// ringCapacity is how many lines may wait to be written.
	ringCapacity = 4096
	// budgetLines is how many lines of one event may be written in one span.
	budgetLines = 40
	// budgetSpan is that span.
	budgetSpan = time.Second
)

var droppedTotal = metrics.NewCounter(`rosemarylb_log_lines_dropped_total`)

// Journal is a log that never blocks.
type Journal struct {
	ring *duty.Ring[[]byte]
}

// Start returns a logger whose lines a duty writes to out. The returned
// function writes what waits and stops the duty.
func Start(out io.Writer) (*slog.Logger, func()) {
	j := &Journal{
		ring: duty.NewRing[[]byte]("journal", ringCapacity),
	}
	w := &writer{
		out: out,
	}
	_, stop := duty.Start[[]byte]("journal", w, j.ring)
	h := &budget{
		next: slog.NewTextHandler(j, &slog.HandlerOptions{
			ReplaceAttr: plainError,
		}),
		book: &book{
			spent: map[string]int{},
		},
	}
	return slog.New(h), func() {
		for j.ring.Depth() > 0 && !w.stuck(time.Now()) {
			time.Sleep(time.Millisecond)
		}
		stop()
	}
}

// plainError writes an error as its message alone.
func plainError(_ []string, a slog.Attr) slog.Attr {
	if err, is := a.Value.Any().(error); is {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Write implements io.Writer: it takes one line.
func (j *Journal) Write(line []byte) (int, error) {
	if !j.ring.Offer(append([]byte(nil), line...)) {
		droppedTotal.Inc()
	}
	return len(line), nil
}

// writer writes lines on a thread of its own.
type writer struct {
	duty.Passive

	out     io.Writer
	mu      sync.Mutex
	sinceAt time.Time
}

// stuckAfter is how long a line may take to be written before the end of the
// process stops waiting for it.
const stuckAfter = 200 * time.Millisecond

func (w *writer) stuck(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.sinceAt.IsZero() && now.Sub(w.sinceAt) > stuckAfter
}

func (w *writer) mark(at time.Time) {
	w.mu.Lock()
	w.sinceAt = at
	w.mu.Unlock()
}

// Handle implements duty.Handler; its thread waits for the output.
func (w *writer) Handle(now time.Time, line []byte) {
	w.mark(now)
	_, _ = w.out.Write(line)
	w.mark(time.Time{})
}

// book counts the lines of each event in the current span.
type book struct {
	mu      sync.Mutex
	endsAt  time.Time
	spent   map[string]int
	dropped int
}

// budget bounds the lines of each event.
type budget struct {
	next slog.Handler
	book *book
}

// Enabled implements slog.Handler.
func (b *budget) Enabled(ctx context.Context, l slog.Level) bool {
	return b.next.Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (b *budget) Handle(ctx context.Context, r slog.Record) error {
	k := b.book
	k.mu.Lock()
	dropped := 0
	if r.Time.After(k.endsAt) {
		k.endsAt = r.Time.Add(budgetSpan)
		dropped = k.dropped
		k.dropped = 0
		clear(k.spent)
	}
	k.spent[r.Message]++
	over := k.spent[r.Message] > budgetLines
	if over {
		k.dropped++
	}
	k.mu.Unlock()
	if dropped > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int("lines", dropped))
		_ = b.next.Handle(ctx, note)
	}
	if over {
		droppedTotal.Inc()
		return nil
	}
	return b.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (b *budget) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &budget{
		next: b.next.WithAttrs(attrs),
		book: b.book,
	}
}

// WithGroup implements slog.Handler.
func (b *budget) WithGroup(name string) slog.Handler {
	return &budget{
		next: b.next.WithGroup(name),
		book: b.book,
	}
}
