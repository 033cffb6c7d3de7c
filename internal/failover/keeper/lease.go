package keeper

import (
	"time"

	"rosemarylb"
)

// WithObserved returns the keeper told of the record as it stood when the
// store answered; revision 0 tells that there is none.
func (k Keeper) WithObserved(r Record, revision uint64, now time.Time) Keeper {
	k.uncertain = false
	if k.known && revision <= k.revision {
		return k
	}
	k.known = true
	k.record = r
	k.revision = revision
	k.seenAt = now
	mine := r.Holder == k.self && r.Process == k.process
	switch {
	case mine && r.Beat == k.written.Record.Beat:
		return k.withLease(now)
	case !mine:
		return k.withoutLease("taken by " + string(r.Holder))
	default:
		return k
	}
}

// WithWritten returns the keeper told that its write took effect.
func (k Keeper) WithWritten(revision uint64, now time.Time) Keeper {
	k.writing = false
	if revision <= k.revision {
		return k
	}
	k.known = true
	k.record = k.written.Record
	k.revision = revision
	k.seenAt = now
	if k.record.Holder == "" {
		return k.withoutLease("given back")
	}
	return k.withLease(now)
}

// WithConflict returns the keeper whose write came too late.
func (k Keeper) WithConflict(r Record, revision uint64, now time.Time) Keeper {
	k.writing = false
	return k.WithObserved(r, revision, now)
}

// WithUnanswered returns the keeper that does not know whether its write took
// effect, or will.
func (k Keeper) WithUnanswered(now time.Time) Keeper {
	k.writing = false
	k.uncertain = true
	k.readAt = now.Add(rewritePause)
	return k
}

// WithUnread returns the keeper whose read of the record was not answered.
func (k Keeper) WithUnread(now time.Time) Keeper {
	k.uncertain = true
	k.readAt = now.Add(rewritePause)
	return k
}

// withLease returns the keeper whose last write stands in the store. The lease
// counts from when the write was sent.
func (k Keeper) withLease(now time.Time) Keeper {
	until := k.writtenAt.Add(leaseSpan - leaseMargin)
	if until.After(k.leaseUntil) || !k.leading {
		k.leaseUntil = until
	}
	k.renewAt = k.writtenAt.Add(renewInterval)
	if !k.leading {
		k.leading = true
		k.promoteFrom = now.Add(max(promotionTravel, PermitSpan))
		k.watches = nil
		k = k.withNote(Note{
			Event:  "lease taken",
			Reason: string(k.record.Holder),
		})
	}
	for name, w := range k.watches {
		if w.moving() && w.move.ackedAt.IsZero() && k.record.Groups[name].Moving {
			w.move.ackedAt = now
			k = k.withWatch(name, w)
		}
	}
	return k
}

// decideRecord decides on the next write of the record.
func (k Keeper) decideRecord(d Decision, now time.Time) (Keeper, Decision) {
	if k.writing {
		return k, d
	}
	if k.uncertain || !k.known {
		if !now.Before(k.readAt) {
			d.Read = true
			k.readAt = now.Add(time.Second)
		}
		return k, d
	}
	next, due := k.nextRecord(now)
	if !due {
		return k, d
	}
	k.writing = true
	k.written = Write{
		Record:   next.WithBeat(),
		Revision: k.revision,
	}
	k.writtenAt = now
	w := k.written
	d.Write = &w
	return k, d
}

// nextRecord returns the record to write, false when none is due.
func (k Keeper) nextRecord(now time.Time) (Record, bool) {
	if !k.leading {
		return k.record.WithHolder(k.self, k.process, k.address), k.mayTake(now)
	}
	if k.retiring {
		return k.record.WithoutHolder(), !k.promoting()
	}
	next := k.record
	changed := false
	for name, w := range k.watches {
		if w.wanted != (Leadership{}) && w.wanted != next.Groups[name] {
			next = next.WithLeadership(name, w.wanted)
			changed = true
		}
	}
	return next, changed || !now.Before(k.renewAt)
}

// mayTake reports whether the lease is free: there is none, it was given back,
// its holder was an earlier process of this instance, or it ran out.
func (k Keeper) mayTake(now time.Time) bool {
	if k.retiring {
		return false
	}
	switch {
	case k.record.Holder == "", k.record.Holder == k.self:
		return true
	default:
		return !now.Before(k.seenAt.Add(leaseSpan))
	}
}

// promoting reports whether an order to promote may be on its way.
func (k Keeper) promoting() bool {
	for _, w := range k.watches {
		if w.move.calling {
			return true
		}
	}
	return false
}

// WithPromoted returns the keeper told what became of a promotion.
func (k Keeper) WithPromoted(p rosemarylb.Promotion, o rosemarylb.PromotionOutcome, now time.Time) Keeper {
	w, found := k.watches[p.Group]
	if !found || !w.move.calling {
		return k
	}
	w.move.calling = false
	switch o {
	case rosemarylb.PromotionDone:
		w.move.acceptedAt = now
	case rosemarylb.PromotionRefused:
		w.move.candidate = ""
		w.move.refused = p.Endpoint
	default:
		w.move.retryAt = now.Add(promotionRetry)
	}
	k = k.withNote(Note{
		Event:    "promotion answered",
		Group:    p.Group,
		Endpoint: p.Endpoint,
		Reason:   o.String(),
	})
	return k.withWatch(p.Group, w)
}
