package keeper

import (
	"maps"
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
	if mine {
		k.failingAt = time.Time{}
	}
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
	k.failingAt = time.Time{}
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
	k.failingAt = time.Time{}
	return k.WithObserved(r, revision, now)
}

// WithUnanswered returns the keeper that does not know whether its write took
// effect, or will.
func (k Keeper) WithUnanswered(now time.Time) Keeper {
	if k.failingAt.IsZero() {
		k.failingAt = k.writtenAt
	}
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
	if k.freed != 0 && k.freed == k.record.Token {
		// It was given up meanwhile; another instance may hold it already.
		return k
	}
	if k.record.Token != k.token {
		k.token = k.record.Token
		k.alone = time.Time{}
	}
	k.confirmedAt = k.writtenAt
	until := k.writtenAt.Add(leaseSpan - leaseMargin)
	if until.After(k.leaseUntil) || !k.leading {
		k.leaseUntil = until
	}
	k.renewAt = k.writtenAt.Add(renewInterval)
	if !k.leading {
		k.leading = true
		k.leadsFrom = now
		k.promoteFrom = now
		if !k.clean {
			k.promoteFrom = now.Add(promotionTravel)
		}
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
	k, next, due := k.nextRecord(now)
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
func (k Keeper) nextRecord(now time.Time) (Keeper, Record, bool) {
	if !k.leading {
		k.clean = k.released()
		return k, k.record.WithHolder(k.self, k.process, k.address), k.mayTake(now)
	}
	if k.retiring {
		return k, k.record.WithoutHolder(), !k.promoting()
	}
	next := k.record
	if now.After(k.leadsFrom.Add(memberSpan)) {
		next = next.WithMembers(len(k.members)).WithWitnesses(k.witnesses())
	}
	changed := next.Members != k.record.Members || !maps.Equal(next.Witnesses, k.record.Witnesses)
	if k.rejected(now) {
		next = next.WithHolder(k.self, k.process, k.address)
		changed = true
	}
	for name, w := range k.watches {
		if w.wanted != (Leadership{}) && w.wanted != next.Groups[name] {
			next = next.WithLeadership(name, w.wanted)
			changed = true
		}
	}
	if !k.alone.IsZero() && !now.Before(k.writtenAt.Add(confirmInterval)) {
		changed = true
	}
	return k, next, changed || !now.Before(k.renewAt)
}

// mayTake reports whether the lease is free: there is none, it was given back,
// its holder was an earlier process of this instance, or it ran out.
func (k Keeper) mayTake(now time.Time) bool {
	if k.retiring {
		return false
	}
	switch {
	case k.released(), k.record.Holder == k.self, k.deposed != 0 && k.deposed == k.record.Token:
		return true
	default:
		return !now.Before(k.seenAt.Add(leaseSpan))
	}
}

// released reports whether the last holder has said that it promotes nobody
// any more and gives no permits.
func (k Keeper) released() bool {
	return k.record.Holder == "" || k.freed != 0 && k.freed == k.record.Token
}

// WithReleased returns the keeper told by the holder of a token that it has
// given the lease up.
func (k Keeper) WithReleased(token uint64) Keeper {
	k.freed = max(k.freed, token)
	return k
}

// Released returns the token of the lease that this instance has given up
// without the store's knowledge, 0 for none.
func (k Keeper) Released() uint64 {
	if k.leading || k.record.Holder != k.self || k.record.Process != k.process || k.freed != k.record.Token {
		return 0
	}
	return k.freed
}

// yields reports whether the holder gives the lease up: the store has not
// answered its writes for a while, and answers another instance.
func (k Keeper) yields(now time.Time) bool {
	if !k.leading || k.failingAt.IsZero() || now.Sub(k.failingAt) < yieldAfter || k.promoting() {
		return false
	}
	for id, m := range k.members {
		if id != k.self && now.Sub(m.at) < reportSpan && now.Sub(m.storeAt) < storeSpan && m.storeAt.After(k.failingAt) {
			return true
		}
	}
	return false
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
