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
	// sentAt is when the last order was sent.
	sentAt time.Time
	// settledAt is when the orders in a row for target have taken effect or never will,
	// zero while none was accepted. An order without an answer counts as accepted.
	settledAt time.Time
	// earlier is the largest number of terms that the orders before these have started or
	// may yet start.
	earlier rosemarylb.Term
	// earlierSettledAt is when those orders have taken effect or never will.
	earlierSettledAt time.Time
}

// withOrderSent records that the promotion of an endpoint is sent.
func (f failover) withOrderSent(target rosemarylb.EndpointID, now time.Time) failover {
	if target != f.orders.target {
		f.orders = orders{
			target:           target,
			earlier:          f.orderedTerms(),
			earlierSettledAt: laterTime(f.orders.earlierSettledAt, f.orders.settledAt),
		}
	}
	f.orders.sentAt = now
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

// isLatest reports whether an endpoint that leads a term, by its status s, is the primary
// that the orders lead to. It is if no order can start a later term: because of their
// number, or because the term was started by the last order.
func (f failover) isLatest(id rosemarylb.EndpointID, s endpointState) bool {
	previous := f.previous.Term
	if id != f.orders.target {
		return s.term >= previous+f.orderedTerms()
	}
	return s.term >= previous+f.orders.earlier || f.remainsPrimary(s)
}

// remainsPrimary reports whether the target of the last order, by its status s, was the
// primary already when the order was accepted, so that nothing changed: it would lead a
// later term by now.
func (f failover) remainsPrimary(s endpointState) bool {
	if f.promotionAcceptedAt.IsZero() || f.orders.sentAt.Before(f.orders.earlierSettledAt) {
		return false
	}
	return s.probedAt.After(f.promotionAcceptedAt.Add(promotionCompletionTimeout))
}

// completionTimeout returns how long after an accepted order the next one is sent. Where
// the target leads a term, its status has to show first whether it remains the primary.
func (g groupState) completionTimeout() time.Duration {
	s := g.states[g.failover.orders.target]
	if s.isPrimary && s.term > g.failover.previous.Term {
		return promotionCompletionTimeout + candidateStatusMaxAge
	}
	return promotionCompletionTimeout
}

func laterTime(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
