package journal

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLoggers(t *testing.T) {
	out := blockedWriter{
		release: make(chan struct{}),
	}
	log, stop := StartLogger(out)
	before := droppedTotal.Get()
	start := time.Now()
	for i := range 3 * ringCapacity {
		log.Info("event", "number", i)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("got %s to log to a blocked output, want the lines dropped at once", took)
	}
	if droppedTotal.Get() == before {
		t.Error("got no dropped lines counted, want some")
	}
	close(out.release)
	stop()
}

// A process whose output blocked did not end after SIGTERM: its logger waited for the
// write in progress.
func TestBlockedOutputDoesNotBlockShutdown(t *testing.T) {
	for _, lines := range []int{1, 3 * ringCapacity} {
		out := blockedWriter{
			release: make(chan struct{}),
		}
		defer close(out.release)
		log, stop := StartLogger(out)
		for i := range lines {
			log.Info("event", "number", i)
		}
		stopped := make(chan struct{})
		go func() {
			stop()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(10 * writeTimeout):
			t.Errorf("%d lines: got no end of the logger after %s, want one", lines, 10*writeTimeout)
		}
	}
}

// syncBuffer is an output that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestRateLimitAppliesPerEvent(t *testing.T) {
	out := &syncBuffer{}
	log, stop := StartLogger(out)
	for range 10 * maxLinesPerEvent {
		log.Info("frequent")
	}
	log.Info("rare", "error", errors.New("cause"))
	stop()
	text := out.text.String()
	if got, most := strings.Count(text, "msg=frequent"), 2*maxLinesPerEvent; got > most || got == 0 {
		t.Errorf("got %d lines of the frequent event, want at most %d", got, most)
	}
	if !strings.Contains(text, "msg=rare error=cause\n") {
		t.Errorf("got %q, want the rare event with the error's message alone", text)
	}
}

// Identifiers of queries come from callers and may be up to 1 MiB long. A ring full of
// such lines filled the memory.
func TestLongValuesAreCut(t *testing.T) {
	var out bytes.Buffer
	log, stop := StartLogger(&out)
	log.Info("event", "id", strings.Repeat("x", 1<<20), "error", errors.New(strings.Repeat("y", 1<<20)))
	stop()
	if got, limit := out.Len(), 3*maxValueBytes; got > limit {
		t.Errorf("got a line of %d bytes, want at most %d", got, limit)
	}
}
