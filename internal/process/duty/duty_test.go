package duty

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// countingHandler counts the calls of its methods. Each tick moves its deadline
// on by interval.
type countingHandler struct {
	next      time.Time
	interval  time.Duration
	ticks     atomic.Int64
	events    atomic.Int64
	nextCalls atomic.Int64
}

func (c *countingHandler) Handle(time.Time, int) {
	c.events.Add(1)
}

func (c *countingHandler) Tick(now time.Time) {
	c.ticks.Add(1)
	c.next = now.Add(c.interval)
}

func (c *countingHandler) Next() time.Time {
	c.nextCalls.Add(1)
	return c.next
}

func (c *countingHandler) Dump() any {
	return c.ticks.Load()
}

func TestDutyTicksAtDeadlinesWithoutSpinning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countingHandler{
			next:     time.Unix(0, 1),
			interval: 100 * time.Millisecond,
		}
		_, stop := Start[int]("counter", c, NewRing[int]("counter", 4))
		time.Sleep(time.Second + time.Millisecond)
		stop()
		if got, want := c.ticks.Load(), int64(11); got != want {
			t.Errorf("got %d ticks in a second, want %d", got, want)
		}
		if got, limit := c.nextCalls.Load(), int64(60); got > limit {
			t.Errorf("got %d calls of Next, want at most %d", got, limit)
		}
	})
}

func TestOfferReturnsFalseWhenRingIsFull(t *testing.T) {
	r := NewRing[int]("ring", 2)
	results := []bool{r.Offer(1), r.Offer(2), r.Offer(3)}
	want := []bool{true, true, false}
	for i := range want {
		if results[i] != want[i] {
			t.Errorf("offer %d: got %v, want %v", i, results[i], want[i])
		}
	}
	if got := r.Status().Refused; got != 1 {
		t.Errorf("got %d refused, want 1", got)
	}
}

func TestDumpReportsStateAndFailsAfterStop(t *testing.T) {
	c := &countingHandler{}
	d, stop := Start[int]("counter", c, NewRing[int]("counter", 4))
	report, err := d.Dump(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := report.Duty, "counter"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	stop()
	if _, err := d.Dump(t.Context()); err == nil {
		t.Error("Dump of a stopped duty: got no error, want ErrStopped")
	}
}
