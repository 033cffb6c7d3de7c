package journal

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestAnOutputThatNobodyReadsHoldsNobodyUp(t *testing.T) {
	out := stuck{
		release: make(chan struct{}),
	}
	log, stop := Start(out)
	before := droppedTotal.Get()
	begun := time.Now()
	for i := range 3 * ringCapacity {
		log.Info("event", "number", i)
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("got %s for lines that cannot be written, want them dropped at once", took)
	}
	if droppedTotal.Get() == before {
		t.Error("got no dropped line counted, want them counted")
	}
	close(out.release)
	stop()
}

// buffer is an output that several threads may look at.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestEachEventHasABudgetOfItsOwn(t *testing.T) {
	out := &buffer{}
	log, stop := Start(out)
	for range 10 * budgetLines {
		log.Info("frequent")
	}
	log.Info("rare", "error", errors.New("cause"))
	stop()
	text := out.text.String()
	if got, most := strings.Count(text, "msg=frequent"), 2*budgetLines; got > most || got == 0 {
		t.Errorf("got %d lines of the frequent event, want at most %d", got, most)
	}
	if !strings.Contains(text, "msg=rare error=cause\n") {
		t.Errorf("got %q, want the rare event with the error's message alone", text)
	}
}
