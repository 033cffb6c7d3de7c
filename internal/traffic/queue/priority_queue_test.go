package queue

import (
	"testing"
	"time"

	"rosemarylb"
)

var start = time.Unix(100, 0)

func newRequest(sequence uint64, rank rosemarylb.Rank, wait time.Duration) rosemarylb.Request {
	return rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: sequence,
		},
		Caller:        "a",
		Rank:          rank,
		QueueDeadline: start.Add(wait),
	}
}

func TestWithServiceConfigAppliesToQueueInUse(t *testing.T) {
	q := NewPriorityQueue(WithMaxDepth(1))
	q, _ = q.WithRequest(newRequest(1, rosemarylb.RankUrgent, time.Second), start)
	q, rejection := q.WithRequest(newRequest(2, rosemarylb.RankUrgent, time.Second), start)
	if got, want := rejection.Reason, rosemarylb.ReasonOverload; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	q = q.WithServiceConfig(rosemarylb.ServiceConfig{
		QueueLimit: 2,
	}, 2)
	if _, rejection = q.WithRequest(newRequest(3, rosemarylb.RankUrgent, time.Second), start); rejection.Reason != rosemarylb.ReasonNone {
		t.Errorf("got rejection %s under the raised limit, want none", rejection.Reason)
	}
}

func TestRequestsThatMissTheirDeadlineAreRejected(t *testing.T) {
	q := NewPriorityQueue(WithMaxDepth(10))
	if _, rejection := q.WithRequest(newRequest(1, rosemarylb.RankUrgent, time.Microsecond), start); rejection.Reason != rosemarylb.ReasonDeadline {
		t.Errorf("got %s, want %s", rejection.Reason, rosemarylb.ReasonDeadline)
	}
	q, _ = q.WithRequest(newRequest(2, rosemarylb.RankUrgent, time.Second), start)
	q, _ = q.WithRequest(newRequest(3, rosemarylb.RankUrgent, time.Minute), start)
	d, q := q.Next(start.Add(2*time.Second), nil)
	if len(d.Expired) != 1 || d.Request.ID.Sequence != 3 {
		t.Errorf("got %+v, want request 2 expired and request 3 served", d)
	}
	if got := q.Depth(rosemarylb.RankUrgent); got != 0 {
		t.Errorf("got depth %d, want 0", got)
	}
}

func TestWithoutRequestRemovesCallerWithoutRequests(t *testing.T) {
	q := NewPriorityQueue(WithMaxDepth(10))
	q, _ = q.WithRequest(newRequest(1, rosemarylb.RankStandard, time.Second), start)
	q, found := q.WithoutRequest(newRequest(1, 0, 0).ID)
	if !found {
		t.Fatal("got request not found, want it found")
	}
	if d, _ := q.Next(start, nil); d.Found {
		t.Errorf("got request %+v, want none", d.Request)
	}
}

func TestNextPassesOverCallersAndRanksWithoutEligibleRequest(t *testing.T) {
	// A request that waits for one endpoint must not block those for others.
	q := NewPriorityQueue(WithMaxDepth(10))
	for n, r := range []struct {
		caller string
		rank   rosemarylb.Rank
	}{{"a", rosemarylb.RankUrgent}, {"a", rosemarylb.RankStandard}, {"a", rosemarylb.RankStandard}, {"b", rosemarylb.RankStandard}} {
		request := newRequest(uint64(n+1), r.rank, time.Second)
		request.Caller = r.caller
		q, _ = q.WithRequest(request, start)
	}
	blocked := map[uint64]bool{1: true, 2: true}
	eligible := func(r rosemarylb.Request) bool {
		return !blocked[r.ID.Sequence]
	}
	d, q := q.Next(start, eligible)
	if got, want := d.Request.ID.Sequence, uint64(4); got != want {
		t.Errorf("got request %d, want %d", got, want)
	}
	d, q = q.Next(start, eligible)
	if d.Found {
		t.Errorf("got request %d, want none", d.Request.ID.Sequence)
	}
	if got, want := q.Depth(rosemarylb.RankUrgent)+q.Depth(rosemarylb.RankStandard), 3; got != want {
		t.Errorf("got %d requests left, want %d", got, want)
	}
}
