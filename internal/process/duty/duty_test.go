package duty

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// counter counts what it is asked, with a deadline that each tick moves on.
type counter struct {
	next   time.Time
	every  time.Duration
	ticks  atomic.Int64
	events atomic.Int64
	asked  atomic.Int64
}

func (c *counter) Handle(time.Time, int) {
	c.events.Add(1)
}

func (c *counter) Tick(now time.Time) {
	c.ticks.Add(1)
	c.next = now.Add(c.every)
}

func (c *counter) Next() time.Time {
	c.asked.Add(1)
	return c.next
}

func (c *counter) Dump() any {
	return c.ticks.Load()
}

func TestDutyTicksAtItsDeadlinesAndDoesNotSpin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &counter{
			next:  time.Unix(0, 1),
			every: 100 * time.Millisecond,
		}
		_, stop := Start[int]("counter", c, NewRing[int]("counter", 4))
		time.Sleep(time.Second + time.Millisecond)
		stop()
		if got, want := c.ticks.Load(), int64(11); got != want {
			t.Errorf("got %d ticks in a second, want %d", got, want)
		}
		if got, limit := c.asked.Load(), int64(60); got > limit {
			t.Errorf("got %d looks at the deadline, want at most %d", got, limit)
		}
	})
}

func TestFullRingRefuses(t *testing.T) {
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

func TestDumpAnswersOnTheDutysThread(t *testing.T) {
	c := &counter{}
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
		t.Error("got no error after the stop, want ErrStopped")
	}
}
