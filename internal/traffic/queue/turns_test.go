package queue

import (
	"fmt"
	"testing"
	"time"

	"rosemarylb"
)

// load is a caller that always has waiting requests.
type load struct {
	caller  string
	weight  int
	service time.Duration
}

func (l load) newRequest(sequence uint64) rosemarylb.Request {
	r := newRequest(sequence, rosemarylb.RankStandard, time.Hour)
	r.Caller = l.caller
	r.Weight = l.weight
	return r
}

// serve serves requests of all loads in turn with a number of slots and returns the
// service time of each caller.
func serve(loads []load, slots, turns int) map[string]time.Duration {
	q := NewPriorityQueue(WithMaxDepth(1000), WithSlots(slots))
	byCaller := map[string]load{}
	sequence := uint64(0)
	add := func(l load) {
		sequence++
		q, _ = q.WithRequest(l.newRequest(sequence), start)
	}
	for _, l := range loads {
		byCaller[l.caller] = l
		for range 4 * slots {
			add(l)
		}
	}
	served := map[string]time.Duration{}
	var running []rosemarylb.Request
	for range turns {
		var d rosemarylb.Dispatch
		d, q = q.Next(start, nil)
		running = append(running, d.Request)
		add(byCaller[d.Request.Caller])
		if len(running) < slots {
			continue
		}
		l := byCaller[running[0].Caller]
		served[l.caller] += l.service
		q = q.WithServed(running[0], l.service)
		running = running[1:]
	}
	return served
}

func TestCallersShareServiceTimeByWeight(t *testing.T) {
	// By count, the caller with long requests had 5 of 8 parts of the time.
	loads := []load{
		{
			caller:  "long",
			service: 30 * time.Millisecond,
		},
		{
			caller:  "short",
			service: 6 * time.Millisecond,
		},
		{
			caller:  "heavy",
			weight:  2,
			service: 12 * time.Millisecond,
		},
	}
	for _, slots := range []int{1, 4} {
		served := serve(loads, slots, 4000)
		total := served["long"] + served["short"] + served["heavy"]
		for caller, want := range map[string]float64{"long": 0.25, "short": 0.25, "heavy": 0.5} {
			if got := served[caller].Seconds() / total.Seconds(); got < want-0.02 || got > want+0.02 {
				t.Errorf("%d slots: got %.3f of the time for %s, want %.2f", slots, got, caller, want)
			}
		}
	}
}

func TestCallerWithoutBacklogGoesBeforeBacklogOfOthers(t *testing.T) {
	flood := load{
		caller: "flood",
	}
	q := NewPriorityQueue(WithMaxDepth(1000))
	for n := range uint64(500) {
		q, _ = q.WithRequest(flood.newRequest(n+1), start)
	}
	_, q = q.Next(start, nil)
	single := newRequest(1000, rosemarylb.RankStandard, 10*time.Millisecond)
	q, rejection := q.WithRequest(single, start)
	if rejection.Reason != rosemarylb.ReasonNone {
		t.Fatalf("got rejection %s of the caller without backlog, want none", rejection.Reason)
	}
	if d, _ := q.Next(start, nil); d.Request.ID != single.ID {
		t.Errorf("got request %d, want %d", d.Request.ID.Sequence, single.ID.Sequence)
	}
}

func TestFullQueueEvictsFromCallerWithMostRequests(t *testing.T) {
	flood := load{
		caller: "flood",
	}
	q := NewPriorityQueue(WithMaxDepth(10))
	for n := range uint64(10) {
		q, _ = q.WithRequest(flood.newRequest(n+1), start)
	}
	q, rejection := q.WithRequest(newRequest(20, rosemarylb.RankStandard, time.Hour), start)
	if got, want := rejection.Request.ID.Sequence, uint64(10); got != want {
		t.Errorf("got request %d rejected, want %d, the newest of the flood", got, want)
	}
	_, rejection = q.WithRequest(flood.newRequest(21), start)
	if got, want := rejection.Request.ID.Sequence, uint64(21); got != want {
		t.Errorf("got request %d rejected, want %d", got, want)
	}
}

func TestRequestOfKnownIDIsReplaced(t *testing.T) {
	// A second entry under the same ID could never be removed.
	q := NewPriorityQueue(WithMaxDepth(10))
	for range 2 {
		q, _ = q.WithRequest(newRequest(1, rosemarylb.RankStandard, time.Second), start)
	}
	q, expired := q.WithoutExpired(start.Add(time.Minute))
	if got, want := len(expired), 1; got != want {
		t.Errorf("got %d expired requests, want %d", got, want)
	}
	if got := q.Depth(rosemarylb.RankStandard); got != 0 {
		t.Errorf("got depth %d, want 0", got)
	}
}

func TestPassedOverCallerClaimsLimitedTime(t *testing.T) {
	// A caller whose endpoint was gone must not block all others when it is back.
	loads := []load{
		{
			caller: "blocked",
		},
		{
			caller: "other",
		},
	}
	q := NewPriorityQueue(WithMaxDepth(10000))
	for n := range uint64(2000) {
		q, _ = q.WithRequest(loads[n%2].newRequest(n+1), start)
	}
	service := 10 * time.Millisecond
	for range 500 {
		var d rosemarylb.Dispatch
		d, q = q.Next(start, func(r rosemarylb.Request) bool {
			return r.Caller == "other"
		})
		q = q.WithServed(d.Request, service)
	}
	turns := 0
	for {
		var d rosemarylb.Dispatch
		d, q = q.Next(start, nil)
		q = q.WithServed(d.Request, service)
		if d.Request.Caller == "other" {
			break
		}
		turns++
	}
	if want := int(maxLag/service) + 2; turns > want {
		t.Errorf("got %d turns in a row, want at most %d", turns, want)
	}
}

func BenchmarkTurns(b *testing.B) {
	for _, callers := range []int{82, 10_000} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			q := NewPriorityQueue(WithMaxDepth(2*callers), WithSlots(4))
			sequence := uint64(0)
			add := func() {
				l := load{
					caller: fmt.Sprintf("team-%d", sequence%uint64(callers)),
				}
				sequence++
				q, _ = q.WithRequest(l.newRequest(sequence), start)
			}
			for range 2 * callers {
				add()
			}
			for b.Loop() {
				var d rosemarylb.Dispatch
				d, q = q.Next(start, nil)
				q = q.WithServed(d.Request, time.Millisecond)
				q, _ = q.WithoutExpired(start)
				add()
				// The queue is full, which evicts a request.
				add()
			}
		})
	}
}
