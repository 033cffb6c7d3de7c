// Package journal provides a logger that never blocks. Lines are queued in a
// bounded ring and written by a duty. Each event, identified by its message, is
// rate-limited; dropped lines are counted and reported.
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
	// ringCapacity is the maximum number of queued lines.
	ringCapacity = 4096
	// maxLinesPerEvent is the maximum number of lines of an event in a rateWindow.
	maxLinesPerEvent = 40
	// maxValueBytes is the maximum length of a value. Callers choose some of them, such
	// as the identifier of a query, and could otherwise fill the memory with lines.
	maxValueBytes = 512
	// rateWindow is the length of a window of the rate limit.
	rateWindow = time.Second
)

var droppedTotal = metrics.NewCounter(`rosemarylb_log_lines_dropped_total`)

// ringWriter is an io.Writer that queues lines in a ring and never blocks.
type ringWriter struct {
	ring *duty.Ring[[]byte]
}

// StartLogger starts a duty that writes to out, and returns a logger that queues lines
// for it. The returned function waits until the queued lines are written, and stops
// the duty. If a write exceeds writeTimeout, the function returns at once, and the
// duty stops after that write.
func StartLogger(out io.Writer) (*slog.Logger, func()) {
	r := &ringWriter{
		ring: duty.NewRing[[]byte]("journal", ringCapacity),
	}
	w := &outputWriter{
		out: out,
	}
	_, stop := duty.Start[[]byte]("journal", w, r.ring)
	h := &rateLimiter{
		next: slog.NewTextHandler(r, &slog.HandlerOptions{
			ReplaceAttr: shorten,
		}),
		counts: &eventCounts{
			lines: map[string]int{},
		},
	}
	return slog.New(h), func() {
		for r.ring.Depth() > 0 && !w.isBlocked(time.Now()) {
			time.Sleep(stopPollInterval)
		}
		stopped := make(chan struct{})
		duty.Spawn(func() {
			stop()
			close(stopped)
		})
		for !w.isBlocked(time.Now()) {
			select {
			case <-stopped:
				return
			case <-time.After(stopPollInterval):
			}
		}
	}
}

// shorten replaces an error by its message, without the stack trace, and cuts a value
// to maxValueBytes.
func shorten(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	if a.Value.Kind() == slog.KindString {
		if text := a.Value.String(); len(text) > maxValueBytes {
			a.Value = slog.StringValue(text[:maxValueBytes] + "...")
		}
	}
	return a
}

// Write implements io.Writer. It queues a line, or drops it and counts it if the
// ring is full.
func (r *ringWriter) Write(line []byte) (int, error) {
	if !r.ring.Offer(append([]byte(nil), line...)) {
		droppedTotal.Inc()
	}
	return len(line), nil
}

// outputWriter is the handler of the duty that writes lines to the output.
type outputWriter struct {
	duty.HandlerDefaults

	out            io.Writer
	mu             sync.Mutex
	writeStartedAt time.Time
}

const (
	// writeTimeout is the maximum duration of a write before the shutdown stops
	// waiting for it and for the queued lines.
	writeTimeout = 200 * time.Millisecond
	// stopPollInterval is the time between two checks whether the lines are written.
	stopPollInterval = time.Millisecond
)

// isBlocked reports whether a write has been in progress for longer than
// writeTimeout.
func (w *outputWriter) isBlocked(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.writeStartedAt.IsZero() && now.Sub(w.writeStartedAt) > writeTimeout
}

// setWriteStart sets the start of the write in progress, the zero time if there
// is none.
func (w *outputWriter) setWriteStart(at time.Time) {
	w.mu.Lock()
	w.writeStartedAt = at
	w.mu.Unlock()
}

// Handle implements duty.Handler. It blocks until the output has taken the line.
func (w *outputWriter) Handle(now time.Time, line []byte) {
	w.setWriteStart(now)
	_, _ = w.out.Write(line)
	w.setWriteStart(time.Time{})
}

// eventCounts counts the lines of each event in the current window. It is shared
// by the handlers derived from a rateLimiter.
type eventCounts struct {
	mu        sync.Mutex
	windowEnd time.Time
	lines     map[string]int
	dropped   int
}

// rateLimiter is a slog.Handler that limits the lines of each event. The first
// line of a window is preceded by the number of lines dropped in the last one.
type rateLimiter struct {
	next   slog.Handler
	counts *eventCounts
}

// Enabled implements slog.Handler.
func (l *rateLimiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *rateLimiter) Handle(ctx context.Context, r slog.Record) error {
	c := l.counts
	c.mu.Lock()
	dropped := 0
	if r.Time.After(c.windowEnd) {
		c.windowEnd = r.Time.Add(rateWindow)
		dropped = c.dropped
		c.dropped = 0
		clear(c.lines)
	}
	c.lines[r.Message]++
	exceeded := c.lines[r.Message] > maxLinesPerEvent
	if exceeded {
		c.dropped++
	}
	c.mu.Unlock()
	if dropped > 0 {
		report := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		report.AddAttrs(slog.Int("lines", dropped))
		_ = l.next.Handle(ctx, report)
	}
	if exceeded {
		droppedTotal.Inc()
		return nil
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *rateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimiter{
		next:   l.next.WithAttrs(attrs),
		counts: l.counts,
	}
}

// WithGroup implements slog.Handler.
func (l *rateLimiter) WithGroup(name string) slog.Handler {
	return &rateLimiter{
		next:   l.next.WithGroup(name),
		counts: l.counts,
	}
}
