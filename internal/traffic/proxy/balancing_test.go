package proxy

import (
	"slices"
	"testing"
	"time"

	"rosemarylb"
)

// balanceRun simulates endpoints that serve reads in their slots, and callers that read at
// a steady rate.
type balanceRun struct {
	*harness

	// counts are the reads that were sent to each endpoint since the last reset.
	counts map[rosemarylb.EndpointID]int
	// failing answers that it aborted half of its reads.
	failing rosemarylb.EndpointID
	// busy are the statements that each endpoint runs.
	busy map[rosemarylb.EndpointID][]answer
	next int
}

// answer is an answer that an endpoint sends once it has run a read.
type answer struct {
	sent   sent
	doneAt time.Time
}

const (
	balanceSessions = 60
	balanceService  = 20 * time.Millisecond
	balanceStep     = 5 * time.Millisecond
	// balanceNetwork is the latency of the network to another domain, both ways.
	balanceNetwork = 5 * time.Millisecond
)

func newBalanceRun(t testing.TB, specs ...rosemarylb.EndpointSpec) *balanceRun {
	r := &balanceRun{
		harness: newHarness(t),
		counts:  map[rosemarylb.EndpointID]int{},
		busy:    map[rosemarylb.EndpointID][]answer{},
	}
	c := catalog(2)
	c.Groups["g"] = rosemarylb.Group{
		Name:           "g",
		MaxConnections: 9,
	}
	r.handle(CatalogChanged{
		Catalog: c,
	})
	r.register(specs...)
	for i := range balanceSessions {
		r.join(rosemarylb.SessionID(100+i), "bounded")
	}
	return r
}

// domainSpec returns a replica of the given domain and region.
func domainSpec(id rosemarylb.EndpointID, domain rosemarylb.DomainName, region rosemarylb.RegionName) rosemarylb.EndpointSpec {
	s := spec(id, region)
	s.Domain = domain
	return s
}

// run lets callers send a number of reads each second for a time.
func (r *balanceRun) run(perSecond int, span time.Duration) {
	r.counts = map[rosemarylb.EndpointID]int{}
	due := 0.0
	for end := r.now.Add(span); r.now.Before(end); {
		r.permit("e1", 1, time.Second)
		for due += balanceStep.Seconds() * float64(perSecond); due >= 1; due-- {
			r.read()
		}
		r.advance(balanceStep)
		r.serve()
	}
}

// read sends a read of the next session without one in progress.
func (r *balanceRun) read() {
	for range balanceSessions {
		r.next++
		id := rosemarylb.SessionID(100 + r.next%balanceSessions)
		if r.proxy.sessions[id].current == nil {
			r.ask(id, rosemarylb.QueryRead)
			return
		}
	}
}

// serve starts the reads that arrived, and answers those that are done.
func (r *balanceRun) serve() {
	for len(r.sent) > 0 {
		s := r.nextSent()
		r.counts[s.to]++
		a := answer{
			sent:   s,
			doneAt: r.now.Add(balanceService),
		}
		if r.proxy.pools[s.to].spec.Domain != "r" {
			a.doneAt = a.doneAt.Add(balanceNetwork)
		}
		if slots := 2; len(r.busy[s.to]) >= slots {
			a.doneAt = r.busy[s.to][len(r.busy[s.to])-slots].doneAt.Add(balanceService)
		}
		r.busy[s.to] = append(r.busy[s.to], a)
	}
	for _, id := range []rosemarylb.EndpointID{"e1", "e2", "e3", "e4"} {
		done := slices.IndexFunc(r.busy[id], func(a answer) bool {
			return a.doneAt.After(r.now)
		})
		if done < 0 {
			done = len(r.busy[id])
		}
		finished := r.busy[id][:done]
		r.busy[id] = r.busy[id][done:]
		for i, a := range finished {
			code := rosemarylb.ReplyDone
			if id == r.failing && (r.counts[id]+i)%2 == 0 {
				code = rosemarylb.ReplyAborted
			}
			r.reply(a.sent, code, none, position(1, 10))
		}
	}
}

// share returns the part of the reads that an endpoint got.
func (r *balanceRun) share(id rosemarylb.EndpointID) float64 {
	total := 0
	for _, n := range r.counts {
		total += n
	}
	return float64(r.counts[id]) / float64(max(total, 1))
}

// TestReplicasShareReads guards against reads that all go to one of several replicas that
// may serve the same.
func TestReplicasShareReads(t *testing.T) {
	const maxOverMean = 1.3
	r := newBalanceRun(t, spec("e1", "r"), spec("e2", "r"), spec("e3", "r"), spec("e4", "r"))
	r.run(100, 6*time.Second) // the slow start of the endpoints that joined
	r.run(100, 10*time.Second)
	for _, id := range []rosemarylb.EndpointID{"e2", "e3", "e4"} {
		got := 3 * r.share(id)
		t.Logf("%.2f times the mean at %s", got, id)
		if got > maxOverMean {
			t.Errorf("got %.2f times the mean at %s, want at most %.1f; counts %v", got, id, maxOverMean, r.counts)
		}
	}
}

// TestGreyEndpointIsEjectedAndReturns guards against reads that go on to an endpoint which
// aborts half of them, and against one that gets none after it has recovered.
func TestGreyEndpointIsEjectedAndReturns(t *testing.T) {
	r := newBalanceRun(t, spec("e1", "r"), spec("e2", "r"), spec("e3", "r"), spec("e4", "r"))
	r.run(100, 3*time.Second)
	r.failing = "e3"
	r.run(100, 2*time.Second)
	r.run(100, 10*time.Second)
	if got := r.share("e3"); got > 0.05 {
		t.Errorf("got %.2f of the reads at an endpoint that aborts half of them, want few", got)
	}
	r.failing = ""
	r.run(100, 50*time.Second)
	r.run(100, 5*time.Second)
	if got := r.share("e3"); got < 0.2 {
		t.Errorf("got %.2f of the reads at the endpoint long after its recovery, want a third", got)
	}
}

// TestReadsStayInTheirDomain guards against traffic between domains while each of them has
// an endpoint with room.
func TestReadsStayInTheirDomain(t *testing.T) {
	r := newBalanceRun(t, domainSpec("e1", "other", "r"), spec("e2", "r"),
		domainSpec("e3", "other", "r"), domainSpec("e4", "far", "far"))
	r.run(50, 2*time.Second)
	r.run(50, 20*time.Second)
	if got := r.share("e2"); got < 0.95 {
		t.Errorf("got %.2f of the reads in the domain, want nearly all; counts %v", got, r.counts)
	}
}

// TestShortDomainSendsReadsOut guards against reads that wait for the few endpoints of
// their domain while others are idle, and that still leave it when the load has gone.
func TestShortDomainSendsReadsOut(t *testing.T) {
	r := newBalanceRun(t, domainSpec("e1", "other", "r"), spec("e2", "r"),
		domainSpec("e3", "other", "r"), domainSpec("e4", "other", "r"))
	r.run(50, 2*time.Second)
	r.run(150, 10*time.Second)
	r.run(150, 10*time.Second)
	if got := r.share("e2"); got < 0.4 || got > 0.75 {
		t.Errorf("got %.2f of the reads in a domain with two thirds of the slots that they need, want about that; counts %v",
			got, r.counts)
	}
	if got := r.proxy.group("g").waitingCount(); got > 10 {
		t.Errorf("got %d reads waiting, want few", got)
	}
	t.Logf("%.2f of the reads in the domain under load", r.share("e2"))
	r.run(40, 20*time.Second)
	r.run(40, 5*time.Second)
	if got := r.share("e2"); got < 0.9 {
		t.Errorf("got %.2f of the reads in the domain after the load has gone, want nearly all; counts %v", got, r.counts)
	}
}

// TestReportedLoadSendsReadsOut guards against reads that stay at an endpoint whose slots
// are used up by other instances, and against loads that count for ever.
func TestReportedLoadSendsReadsOut(t *testing.T) {
	h := newHarness(t)
	near := h.proxy.pools["e2"]
	before := h.proxy.expectedFinish(near, h.now)
	h.handle(LoadsReceived{
		Loads: []rosemarylb.EndpointLoad{
			{
				Endpoint:   "e2",
				Busy:       2,
				ObservedAt: h.now,
			},
		},
	})
	if got := h.proxy.expectedFinish(near, h.now); !got.After(before) {
		t.Errorf("got a finish at %s with all slots busy, want one after %s", got, before)
	}
	later := h.now.Add(maxLoadAge)
	if got, want := h.proxy.expectedFinish(near, later).Sub(later), before.Sub(h.now); got != want {
		t.Errorf("got a finish after %s by an old load, want %s", got, want)
	}
}

// TestBudgetKeepsReadsInTheRegion guards against reads that fill the link between regions
// while endpoints in the region are busy, and against a limit on reads that no endpoint in
// the region may serve.
func TestBudgetKeepsReadsInTheRegion(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		h := newHarness(t)
		near := spec("e2", "r")
		near.Leaving = leaving
		h.register(spec("e1", "far"), near, spec("e3", "far"))
		g := h.proxy.group("g")
		g.balancing.balancer = newBalancer(1).WithTransfer(1000, h.now)
		h.join(20, "bounded")
		h.join(21, "bounded")
		h.ask(20, rosemarylb.QueryRead)
		h.nextSent()
		for range 8 {
			h.join(rosemarylb.SessionID(30+len(h.accepted)), "bounded")
		}
		for id := range h.accepted {
			if id >= 30 {
				h.ask(id, rosemarylb.QueryRead)
			}
		}
		h.advance(300 * time.Millisecond)
		away := 0
		for _, s := range h.sent {
			if s.to != "e2" {
				away++
			}
		}
		if leaving != (away > 0) {
			t.Errorf("got %d reads in the other region, want any: %t", away, leaving)
		}
	}
}

// TestLaggingReplicaGetsNoReadThatItLacks guards against a choice of endpoints that
// weakens what a read has to see.
func TestLaggingReplicaGetsNoReadThatItLacks(t *testing.T) {
	r := newBalanceRun(t, spec("e1", "r"), spec("e2", "r"), spec("e3", "r"))
	r.run(100, time.Second)
	r.run(0, 100*time.Millisecond) // all reads in progress
	r.proxy.pools["e3"].laggingUntil = r.now.Add(time.Hour)
	r.proxy.pools["e3"].applied = position(1, 9)
	r.run(100, time.Second)
	if got := r.counts["e3"]; got != 0 {
		t.Errorf("got %d reads at a replica that lags behind their position, want 0", got)
	}
}

// TestTeamsReadAtOwners guards against instances without connections of their own that
// relay all reads of a team to one replica.
func TestTeamsReadAtOwners(t *testing.T) {
	const reads = 200
	h := ownersHarness(t)
	h.joinWithKey(11, "bounded", "k1")
	h.register(spec("e1", "r"), spec("e2", "r"), spec("e3", "r"))
	h.advance(6 * time.Second) // the slow start of e3
	counts := map[rosemarylb.EndpointID]int{}
	for range reads {
		h.permit("e1", 1, time.Second)
		h.ask(11, rosemarylb.QueryRead)
		h.advance(balanceStep)
		s := h.nextSent()
		counts[s.to]++
		h.reply(s, rosemarylb.ReplyDone, none, position(1, 10))
	}
	if counts["e1"] > 0 || min(counts["e2"], counts["e3"]) < reads/3 {
		t.Errorf("got reads at %v, want them shared by the replicas", counts)
	}
}

// TestStalledConnectionIsNoWay guards against reads that wait until their deadlines for a
// near endpoint that does not answer the attempt to connect, because the budget of the
// link between regions is used up.
func TestStalledConnectionIsNoWay(t *testing.T) {
	h := newHarness(t)
	h.register(spec("e1", "far"), spec("e2", "r"), spec("e3", "far"))
	g := h.proxy.group("g")
	g.balancing.balancer = newBalancer(1).WithTransfer(1000, h.now)
	h.receive(2, rosemarylb.QueryRead)
	h.permit("e1", 1, time.Second)
	for end := h.now.Add(300 * time.Millisecond); h.now.Before(end); {
		var stalled []rosemarylb.ConnectionID
		for _, id := range h.opening {
			if h.owners[id] == "e2" {
				stalled = append(stalled, id)
			}
		}
		h.opening = slices.DeleteFunc(h.opening, func(id rosemarylb.ConnectionID) bool {
			return slices.Contains(stalled, id)
		})
		h.advance(balanceStep)
	}
	if s := h.nextSent(); s.to != "e3" {
		t.Errorf("got the read at %s, want e3", s.to)
	}
}

// BenchmarkChooseRead measures the choice of an endpoint for a read in a group of three
// with some connections each.
func BenchmarkChooseRead(b *testing.B) {
	r := newBalanceRun(b, spec("e1", "r"), spec("e2", "r"), spec("e3", "r"))
	r.run(200, time.Second)
	g := r.proxy.group("g")
	pq := newPendingQuery(1, r.proxy.sessions[100], rosemarylb.Query{
		Kind: rosemarylb.QueryRead,
	}, r.now)
	r.proxy.draw(pq)
	for b.Loop() {
		r.proxy.chooseRead(g, pq, r.now)
	}
}
