package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// A store that rejects an instance for long is not asked for the record ten times a
// second; an instance that holds the lease has to learn at once whether its write took
// effect.
func TestUnansweredReadsBackOff(t *testing.T) {
	now := time.Unix(100, 0)
	waiting := NewKeeper("i1", 1, "a1")
	holder := waiting
	holder.holdsLease = true
	for _, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		waiting, holder = waiting.WithReadUnanswered(now), holder.WithReadUnanswered(now)
		if got := waiting.readNotBefore.Sub(now); got != want*time.Millisecond {
			t.Errorf("got a delay of %s, want %s", got, want*time.Millisecond)
		}
		if got := holder.readNotBefore.Sub(now); got != storeRetryDelay {
			t.Errorf("got a delay of %s for the holder, want %s", got, storeRetryDelay)
		}
	}
	waiting = waiting.WithRecord(Record{}, rosemarylb.Version{}, now).WithReadUnanswered(now)
	if got := waiting.readNotBefore.Sub(now); got != storeRetryDelay {
		t.Errorf("got a delay of %s after an answer, want %s", got, storeRetryDelay)
	}
}
