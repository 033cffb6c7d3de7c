package keeper

import (
	"time"

	"rosemarylb"
)

// orders are the promotions that were ordered during a failover. Each one that takes effect
// starts the next term, in the order in which they were accepted. Orders for one endpoint
// in a row start one term, as nothing changes for an endpoint that is the primary.
type orders struct {
	// unknown is true if former keepers may have ordered any number of promotions.
	unknown bool
	// target is the endpoint of the last order, empty for none.
	target rosemarylb.EndpointID
	// targetTerm is the term of target when the first order in a row for it was sent.
	targetTerm rosemarylb.Term
	// deadline is that of the last order.
	deadline time.Time
	// accepted is true once one of the orders in a row for target was accepted. An order
	// without an answer counts as accepted.
	accepted bool
	// earlier is the largest number of terms that the orders before these, also those of
	// former keepers, have started or may yet start.
	earlier rosemarylb.Term
	// settledAt is when all orders that were answered, also the earlier ones, have taken
	// effect or never will.
	settledAt time.Time
}

// newOrders returns the orders of a failover that begins or is inherited from a former
// keeper. An order of the failover before, or of a former keeper, that has yet to take effect
// may start a term in one that begins.
func (k Keeper) newOrders(name rosemarylb.DatabaseName, l Leadership, now time.Time) orders {
	o := orders{
		unknown:   l.Primary == "",
		settledAt: laterTime(k.groups[name].ordersSettledAt, k.formerOrdersSettledAt()),
	}
	switch {
	case l.FailingOver:
		o.unknown = l.Orders == 0
		o.earlier = l.Orders
	case now.Before(o.settledAt):
		o.earlier = 1
	}
	return o
}

// formerOrdersSettledAt returns when all orders of former keepers have taken effect or never
// will.
func (k Keeper) formerOrdersSettledAt() time.Time {
	if k.tenure.First {
		return time.Time{}
	}
	return k.tenure.GrantsFrom.Add(PromotionTimeout + promotionCompletionTimeout)
}

// termsWithOrder returns the largest number of terms that the orders may start once an order
// for an endpoint is sent. Without an endpoint, it is one for which the last order was not.
func (f failover) termsWithOrder(target rosemarylb.EndpointID) rosemarylb.Term {
	if target != "" && target == f.orders.target {
		return f.orders.earlier + 1
	}
	return f.orderedTerms() + 1
}

// withOrderRecorded has the record allow for an order for an endpoint, and reports whether
// the stored record does. The next keeper knows by it how many terms may have been started.
func (k Keeper) withOrderRecorded(name rosemarylb.DatabaseName, target rosemarylb.EndpointID) (Keeper, bool) {
	g := k.groups[name]
	terms := g.failover.termsWithOrder(target)
	if g.failover.orders.unknown || k.record.Groups[name].Orders >= terms {
		return k, true
	}
	g.desired.Orders = max(g.desired.Orders, terms)
	return k.withGroup(name, g), false
}

// withOrderSent records that the promotion of an endpoint is sent.
func (g groupState) withOrderSent(target rosemarylb.EndpointID, deadline time.Time) groupState {
	f := g.failover
	if target != f.orders.target {
		f.orders = orders{
			unknown:    f.orders.unknown,
			target:     target,
			targetTerm: g.states[target].term,
			earlier:    f.orderedTerms(),
			settledAt:  f.orders.settledAt,
		}
	}
	f.orders.deadline = deadline
	f.promotionPending = true
	g.failover = f
	g.unansweredOrders++
	return g
}

// awaitsAnswer reports whether a promotion is the last order of the failover and is not
// answered.
func (f failover) awaitsAnswer(p rosemarylb.Promotion) bool {
	return f.promotionPending && p.Endpoint == f.orders.target && p.Deadline.Equal(f.orders.deadline)
}

// withOrderOutcome records the answer to the last order.
func (f failover) withOrderOutcome(o rosemarylb.PromotionOutcome, now time.Time) failover {
	f.promotionPending = false
	if o == rosemarylb.PromotionDone || o == rosemarylb.PromotionUnknown {
		f.orders.accepted = true
		f.orders.settledAt = laterTime(f.orders.settledAt, now.Add(promotionCompletionTimeout))
	}
	return f
}

// allSettledAt returns when all orders of the failover have taken effect or never will.
func (f failover) allSettledAt() time.Time {
	if f.promotionPending {
		return laterTime(f.orders.settledAt, f.orders.deadline.Add(promotionCompletionTimeout))
	}
	return f.orders.settledAt
}

// orderedTerms returns the largest number of terms that all orders have started or may yet
// start.
func (f failover) orderedTerms() rosemarylb.Term {
	if f.promotionPending || f.orders.accepted {
		return f.orders.earlier + 1
	}
	return f.orders.earlier
}

// isLatest reports whether an endpoint that leads a term is the primary that the orders lead
// to: no order can start a later term, or the last order has started this one.
func (f failover) isLatest(id rosemarylb.EndpointID, t rosemarylb.Term) bool {
	if id == f.orders.target {
		return t > f.orders.targetTerm
	}
	return t >= f.previous.Term+f.orderedTerms()
}

// stepDownBeforeOrder has a successor of the previous primary step down, and reports whether
// the endpoint leads no term that the orders have started. Nothing changes for one that is
// ordered while it is the primary, so that its term would not show whether another endpoint
// leads a later one.
func (k Keeper) stepDownBeforeOrder(
	name rosemarylb.DatabaseName, id rosemarylb.EndpointID, d Decision, now time.Time,
) (Keeper, Decision, bool) {
	g := k.groups[name]
	if !g.leadsOrderedTerm(id) {
		return k, d, true
	}
	if now.Before(g.failover.stepDownAgainAt) {
		return k, d, false
	}
	spec, _ := k.endpointSpec(name, id)
	g.failover.stepDownAgainAt = now.Add(stepDownTimeout)
	d.Queries = append(d.Queries, stepDownQuery(spec, g.states[id].term))
	return k.withGroup(name, g), d, false
}

func laterTime(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
