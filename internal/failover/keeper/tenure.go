package keeper

import "time"

// Tenure describes how an instance came to hold its present lease.
type Tenure struct {
	// TakenAt is when it took the lease, zero if it never did.
	TakenAt time.Time
	// GrantsFrom is when the predecessor can no longer grant anything.
	GrantsFrom time.Time
	// Members is the number of instances that the predecessor counted, 0 if unknown.
	Members int
	// First is true if no instance held the lease before.
	First bool
}

// newTenure returns the tenure of a lease that is taken now.
func (k Keeper) newTenure(now time.Time) Tenure {
	t := Tenure{
		TakenAt:    now,
		GrantsFrom: now,
		Members:    k.record.Members,
		First:      k.record.Token == 1,
	}
	if !k.cleanTakeover && !k.ownTakeover && !t.First {
		// As for promotions, but for the time that a promotion may be in transit.
		t.GrantsFrom = now.Add(takeoverDelay - PromotionTimeout)
	}
	return t
}

// Tenure returns how the instance came to hold its last lease.
func (k Keeper) Tenure() Tenure {
	return k.tenure
}

// MayGrant reports whether this instance may act as the keeper, after a check whether
// its process was paused.
func (k Keeper) MayGrant(now time.Time) (Keeper, bool) {
	k = k.withPauseCheck(now)
	return k, k.mayAct(now)
}
