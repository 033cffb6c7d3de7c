package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// orderRun is a keeper and three endpoints, of which e1 leads term 1 and is silent. Every
// promotion is accepted, and every write of the record confirmed, unless a run says otherwise.
type orderRun struct {
	now    time.Time
	keeper Keeper
	// leads are the terms that endpoints lead, led those of endpoints that have stepped down,
	// silent the endpoints that do not answer.
	leads  map[rosemarylb.EndpointID]rosemarylb.Term
	led    map[rosemarylb.EndpointID]rosemarylb.Term
	silent map[rosemarylb.EndpointID]bool
	// storeAway is true while no write of the record is answered.
	storeAway bool
	// stepDownLost is true while no step-down has an effect.
	stepDownLost bool
	// outcomes are those of the next promotions. While holdsAnswers, they are kept in held.
	outcomes     []rosemarylb.PromotionOutcome
	holdsAnswers bool
	held         []rosemarylb.Promotion
	// ordered are the endpoints whose promotions were sent, the last one at orderedAt.
	ordered   []rosemarylb.EndpointID
	orderedAt time.Time
}

const orderRunStep = 20 * time.Millisecond

func newOrderRun() *orderRun {
	r := &orderRun{
		now: time.Unix(1000, 0),
		leads: map[rosemarylb.EndpointID]rosemarylb.Term{
			"e1": 1,
		},
		led: map[rosemarylb.EndpointID]rosemarylb.Term{},
		silent: map[rosemarylb.EndpointID]bool{
			"e1": true,
		},
	}
	r.keeper = r.withEndpoints(newHolder(r.now))
	return r
}

func (*orderRun) withEndpoints(k Keeper) Keeper {
	var endpoints []rosemarylb.EndpointSpec
	for _, id := range []rosemarylb.EndpointID{"e1", "e2", "e3"} {
		endpoints = append(endpoints, rosemarylb.EndpointSpec{
			ID:       id,
			Database: "g",
		})
	}
	return k.WithEndpoints(endpoints).WithCatalog(rosemarylb.Catalog{
		Version: 1,
	})
}

// step lets the keeper decide once.
func (r *orderRun) step() {
	r.now = r.now.Add(orderRunStep)
	r.keeper = withSupport(r.keeper, supportOf(r.keeper, r.now), r.now)
	var d Decision
	r.keeper, d = r.keeper.Decide(r.now)
	if d.Write != nil && !r.storeAway {
		r.keeper = r.keeper.WithWriteConfirmed(version(r.keeper.version.Revision+1), r.now)
	}
	for _, p := range d.Promotions {
		r.ordered = append(r.ordered, p.Endpoint)
		r.orderedAt = r.now
		if r.holdsAnswers {
			r.held = append(r.held, p)
			continue
		}
		outcome := rosemarylb.PromotionDone
		if len(r.outcomes) > 0 {
			outcome, r.outcomes = r.outcomes[0], r.outcomes[1:]
		}
		r.keeper = r.keeper.WithPromotionOutcome(p, outcome, r.now)
	}
	for _, q := range d.Queries {
		id := q.Endpoint.ID
		if q.Query.Kind == rosemarylb.QueryStepDown && r.leads[id] < q.Query.Term && !r.silent[id] && !r.stepDownLost {
			r.led[id] = r.leads[id]
			delete(r.leads, id)
		}
		r.keeper = r.keeper.WithStatus(Status{
			Group:    "g",
			Endpoint: id,
			ProbedAt: r.now,
			Answered: !r.silent[id],
			Primary:  r.leads[id] > 0,
			Term:     max(r.leads[id], r.led[id], 1),
		})
	}
}

// succeed starts the keeper's process anew, which takes the lease after the former process
// was killed.
func (r *orderRun) succeed() {
	former := r.keeper
	r.keeper = r.withEndpoints(NewKeeper("i0", 2, "")).WithRecord(former.record, former.version, r.now)
	r.ordered = nil
}

// granted returns the term in which an endpoint may be used, 0 if it may not.
func (r *orderRun) granted(id rosemarylb.EndpointID) rosemarylb.Term {
	grants, _ := r.keeper.Grants(r.now)
	for _, g := range grants {
		if g.Primary == id {
			return g.Term
		}
	}
	return 0
}

// advance lets the keeper decide for a time, and reports a permit for an endpoint in term 2.
func (r *orderRun) advance(t *testing.T, duration time.Duration, id rosemarylb.EndpointID) {
	t.Helper()
	start := r.now
	for end := start.Add(duration); r.now.Before(end); {
		r.step()
		if r.granted(id) == 2 {
			t.Fatalf("got a permit for %s in term 2 %s later, want none after the promotion of another was accepted",
				id, r.now.Sub(start))
		}
	}
}

// awaitOrder lets the keeper decide until it has sent a number of promotions.
func (r *orderRun) awaitOrder(t *testing.T, number int, timeout time.Duration) rosemarylb.EndpointID {
	t.Helper()
	for end := r.now.Add(timeout); r.now.Before(end) && len(r.ordered) < number; {
		r.step()
	}
	if len(r.ordered) < number {
		t.Fatalf("got %d promotions within %s, want %d", len(r.ordered), timeout, number)
	}
	return r.ordered[number-1]
}

// awaitPermit lets the keeper decide until an endpoint may be used in a term.
func (r *orderRun) awaitPermit(t *testing.T, id rosemarylb.EndpointID, term rosemarylb.Term, timeout time.Duration) {
	t.Helper()
	for end := r.now.Add(timeout); r.now.Before(end) && r.granted(id) != term; {
		r.step()
	}
	if got := r.granted(id); got != term {
		t.Errorf("got a permit for %s in term %d within %s, want term %d", id, got, timeout, term)
	}
}

// loseTwoPrimaries has the keeper order an endpoint, which leads term 2 unseen, and then
// another one, whose promotion is accepted. Both are silent; it returns the first.
func (r *orderRun) loseTwoPrimaries(t *testing.T) rosemarylb.EndpointID {
	t.Helper()
	first := r.awaitOrder(t, 1, 3*time.Second)
	r.silent[first] = true
	r.leads[first] = 2
	second := r.awaitOrder(t, 2, promotionCompletionTimeout+time.Second)
	if first == second {
		t.Fatalf("got %s ordered twice, want another endpoint", first)
	}
	r.silent[second] = true
	return first
}

// Guards against ONE: a failover ended with an endpoint that leads an earlier term than
// another one, whose promotion was accepted and which is silent.
func TestFailoverEndsInTheTermOfItsLastOrder(t *testing.T) {
	r := newOrderRun()
	first := r.loseTwoPrimaries(t)
	r.silent[first] = false
	secondOrderedAt := r.now
	r.advance(t, promotionCompletionTimeout+2*time.Second, first)
	if got := r.awaitOrder(t, 3, 0); got != first {
		t.Fatalf("got %s ordered, want %s, which answers", got, first)
	}
	if got, want := r.orderedAt.Sub(secondOrderedAt), promotionCompletionTimeout+4*orderRunStep; got > want {
		t.Errorf("got the order %s after the one before, want at most %s", got, want)
	}
	r.leads[first] = 4
	r.awaitPermit(t, first, 4, 2*fastProbeInterval)
}

// Nothing changes for a primary that is ordered to lead, so that the next order left its
// group without a usable primary for as long as an order may take to complete.
func TestPrimaryOfAnEarlierTermStepsDownBeforeItsOrder(t *testing.T) {
	r := newOrderRun()
	first := r.loseTwoPrimaries(t)
	r.silent[first] = false
	r.awaitOrder(t, 3, promotionCompletionTimeout+time.Second)
	if got := r.leads[first]; got != 0 {
		t.Errorf("got %s ordered while it leads term %d, want it to step down first", first, got)
	}
	r.leads[first] = 3
	r.awaitPermit(t, first, 3, 2*fastProbeInterval)
}

// Guards against ONE: the process that succeeded a killed keeper ended its failover with the
// primary that it saw, and the last order of the killed one took effect after that.
func TestInheritedFailoverAwaitsTheLastOrder(t *testing.T) {
	r := newOrderRun()
	first := r.loseTwoPrimaries(t)
	second := r.ordered[1]
	clear(r.silent)
	r.silent["e1"] = true
	r.succeed()
	r.advance(t, 900*time.Millisecond, first)
	r.leads[second] = 3
	r.awaitPermit(t, second, 3, 2*fastProbeInterval)
}

// A failover with one order need not wait for endpoints that are silent.
func TestInheritedFailoverOfOneOrderEndsAtOnce(t *testing.T) {
	r := newOrderRun()
	first := r.awaitOrder(t, 1, 3*time.Second)
	r.leads[first] = 2
	for _, id := range []rosemarylb.EndpointID{"e2", "e3"} {
		r.silent[id] = id != first
	}
	r.succeed()
	r.awaitPermit(t, first, 2, PermitDuration+2*fastProbeInterval)
}

// Guards against ONE: a keeper that succeeds one which was killed knows of an order for a
// second endpoint only if the record has it before it is sent.
func TestSecondOrderIsSentOnceItIsRecorded(t *testing.T) {
	r := newOrderRun()
	r.silent[r.awaitOrder(t, 1, 3*time.Second)] = true
	r.storeAway = true
	for range int(2 * promotionCompletionTimeout / orderRunStep) {
		r.step()
	}
	if got := len(r.ordered); got != 1 {
		t.Fatalf("got %d promotions while the record could not be written, want 1", got)
	}
	r.keeper = r.keeper.WithWriteConfirmed(version(r.keeper.version.Revision+1), r.now)
	r.storeAway = false
	r.awaitOrder(t, 2, 2*orderRunStep)
}

// Guards against ONE: a keeper that inherited a failover ordered an endpoint that leads an
// earlier term, and took that term for the effect of its order.
func TestTermBeforeAnOrderIsNotItsEffect(t *testing.T) {
	r := newOrderRun()
	first := r.loseTwoPrimaries(t)
	r.silent[first] = false
	r.succeed()
	r.stepDownLost = true
	r.advance(t, takeoverDelay+2*time.Second, first)
	if len(r.ordered) > 0 {
		t.Errorf("got %v ordered, want no endpoint before it has stepped down", r.ordered)
	}
	r.stepDownLost = false
	if got := r.awaitOrder(t, 1, stepDownTimeout+4*orderRunStep); got != first {
		t.Fatalf("got %s ordered, want %s, which answers", got, first)
	}
	r.leads[first] = 2
	r.advance(t, time.Second, first)
	r.leads[first] = 4
	r.awaitPermit(t, first, 4, 2*fastProbeInterval)
}

// repeatOrder has the keeper order an endpoint, which leads term 2 without an answer to the
// first order; that to the second is held back. It returns the endpoint.
func (r *orderRun) repeatOrder(t *testing.T) rosemarylb.EndpointID {
	t.Helper()
	r.outcomes = []rosemarylb.PromotionOutcome{rosemarylb.PromotionUnknown}
	first := r.awaitOrder(t, 1, 3*time.Second)
	r.holdsAnswers = true
	r.awaitOrder(t, 2, 2*promotionRetryDelay)
	r.holdsAnswers = false
	r.leads[first] = 2
	r.awaitPermit(t, first, 2, 2*fastProbeInterval)
	return first
}

// Guards against ONE: an order that was sent twice took effect again in the next failover,
// whose own order was still to take effect.
func TestOrderOfAnEarlierFailoverStartsATerm(t *testing.T) {
	r := newOrderRun()
	first := r.repeatOrder(t)
	r.silent[first] = true
	second := r.awaitOrder(t, 3, 3*time.Second)
	r.silent[first] = false
	r.leads[first] = 3
	for end := r.now.Add(time.Second); r.now.Before(end); {
		r.step()
		if got := r.granted(first); got != 0 {
			t.Fatalf("got a permit for %s in term %d, want none while the order for %s is to take effect", first, got, second)
		}
	}
	r.leads[second] = 4
	r.awaitPermit(t, second, 4, 2*fastProbeInterval)
}

// The answer to an order of an earlier failover was taken for that to the present one.
func TestAnswerToAnEarlierOrderSaysNothing(t *testing.T) {
	r := newOrderRun()
	r.silent[r.repeatOrder(t)] = true
	r.holdsAnswers = true
	r.awaitOrder(t, 3, 3*time.Second)
	r.keeper = r.keeper.WithPromotionOutcome(r.held[0], rosemarylb.PromotionRefused, r.now)
	if g := r.keeper.groups["g"]; !g.failover.promotionPending || g.failover.refusedBy != "" {
		t.Errorf("got the order pending %t and refused by %q, want true and none", g.failover.promotionPending, g.failover.refusedBy)
	}
}

// An order that is not answered arrived after those of the next holder, as the lease was
// released once the failover had ended.
func TestLeaseIsKeptWhileAnEarlierOrderIsPending(t *testing.T) {
	r := newOrderRun()
	r.repeatOrder(t)
	k, d := r.keeper.WithShutdown().Decide(r.now)
	if !k.HoldsLease() || d.Write != nil && d.Write.Record.Holder == "" {
		t.Fatal("got the lease released while an order is not answered")
	}
	k, _ = k.WithPromotionOutcome(r.held[0], rosemarylb.PromotionDone, r.now).Decide(r.now)
	if k.HoldsLease() {
		t.Error("got the lease kept after the answer, want it released")
	}
}

// Guards against LOST: a keeper that found a primary had it used before the record named it.
// The next keeper promoted a replica, as the primary was silent and no longer listed.
func TestPrimaryIsUsedOnceTheRecordNamesIt(t *testing.T) {
	r := newOrderRun()
	r.keeper.record = r.keeper.record.WithGroups(nil)
	r.keeper.groups = nil
	clear(r.silent)
	r.storeAway = true
	for range 10 {
		r.step()
		if got := r.granted("e1"); got != 0 {
			t.Fatalf("got a permit for e1 in term %d before the record names it, want none", got)
		}
	}
	r.keeper = r.keeper.WithWriteConfirmed(version(r.keeper.version.Revision+1), r.now)
	r.storeAway = false
	r.awaitPermit(t, "e1", 1, 2*orderRunStep)
}
