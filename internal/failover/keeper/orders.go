package keeper

import (
	"time"

	"rosemarylb"
)

// orders are the promotions that were ordered during a failover. Each one that takes effect
// starts the next term, in the order in which they were accepted. Orders for one endpoint
// in a row start one term, as nothing changes for an endpoint that is the primary.
type orders struct {
	// target is the endpoint of the last order, empty for none.
	target rosemarylb.EndpointID
	// targetTerm is the term of target when the first order in a row for it was sent.
	targetTerm rosemarylb.Term
	// settledAt is when the orders in a row for target have taken effect or never will,
	// zero while none was accepted. An order without an answer counts as accepted.
	settledAt time.Time
	// earlier is the largest number of terms that the orders before these have started or
	// may yet start, until earlierSettledAt.
	earlier          rosemarylb.Term
	earlierSettledAt time.Time
}

// withOrderSent records that the promotion of an endpoint is sent, which is in a term.
func (f failover) withOrderSent(target rosemarylb.EndpointID, t rosemarylb.Term) failover {
	if target != f.orders.target {
		f.orders = orders{
			target:           target,
			targetTerm:       t,
			earlier:          f.orderedTerms(),
			earlierSettledAt: laterTime(f.orders.earlierSettledAt, f.orders.settledAt),
		}
	}
	f.promotionPending = true
	return f
}

// withOrderOutcome records the answer to the last order.
func (f failover) withOrderOutcome(o rosemarylb.PromotionOutcome, now time.Time) failover {
	f.promotionPending = false
	if o == rosemarylb.PromotionDone || o == rosemarylb.PromotionUnknown {
		f.orders.settledAt = now.Add(promotionCompletionTimeout)
	}
	return f
}

// orderedTerms returns the largest number of terms that all orders have started or may yet
// start.
func (f failover) orderedTerms() rosemarylb.Term {
	if f.promotionPending || !f.orders.settledAt.IsZero() {
		return f.orders.earlier + 1
	}
	return f.orders.earlier
}

// ordersSettled reports whether no order of this keeper can still take effect.
func (f failover) ordersSettled(now time.Time) bool {
	return !f.promotionPending && !now.Before(f.orders.settledAt) && !now.Before(f.orders.earlierSettledAt)
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
	s := g.states[id]
	if !s.isPrimary || s.term <= g.failover.previous.Term {
		return k, d, true
	}
	if now.Before(g.failover.stepDownAgainAt) {
		return k, d, false
	}
	spec, _ := k.endpointSpec(name, id)
	g.failover.stepDownAgainAt = now.Add(stepDownTimeout)
	d.Queries = append(d.Queries, stepDownQuery(spec, s.term))
	return k.withGroup(name, g), d, false
}

func laterTime(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
