package budget

import (
	"log/slog"
	"sync"
	"time"
)

// reportInterval is the time between two log lines of a reporter. Hostile clients can
// cause thousands of events a second.
const reportInterval = time.Second

// reporter logs an event at most once in a reportInterval, with the number of events
// since the last line.
type reporter struct {
	log     *slog.Logger
	message string

	mu     sync.Mutex // guards the fields below
	nextAt time.Time
	count  int
}

func newReporter(log *slog.Logger, message string) *reporter {
	return &reporter{
		log:     log,
		message: message,
	}
}

// report counts an event, and logs it with args if a line is due.
func (r *reporter) report(args ...any) {
	now := time.Now()
	r.mu.Lock()
	r.count++
	if now.Before(r.nextAt) {
		r.mu.Unlock()
		return
	}
	count := r.count
	r.count = 0
	r.nextAt = now.Add(reportInterval)
	r.mu.Unlock()
	r.log.Warn(r.message, append(args, "count", count)...)
}
