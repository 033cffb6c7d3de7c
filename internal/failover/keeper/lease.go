package keeper

import (
	"time"

	"rosemarylb"
)

// WithRecord applies the record that the store returned. Revision 0 stands for
// no record. A record that was read in an earlier era is ignored.
func (k Keeper) WithRecord(r Record, version rosemarylb.Version, now time.Time) Keeper {
	k = k.withEra(version.Era)
	if version.Era < k.version.Era {
		return k
	}
	if k.holdsLease && k.isStale(r, version) {
		return k.withStaleRecord(version, now)
	}
	k.recordUncertain = false
	k.readFailures = 0
	if k.recordKnown && !k.version.Less(version) {
		return k
	}
	k.recordKnown = true
	k.record = r
	k.version = version
	k.recordSeenAt = now
	isHolder := r.Holder == k.self && r.Process == k.process
	if isHolder {
		k.storeFailingSince = time.Time{}
	}
	switch {
	case k.isStale(r, version):
		return k
	case isHolder && r.Sequence == k.lastWrite.Record.Sequence:
		return k.withLeaseConfirmed(now)
	case !isHolder:
		return k.withoutLease("taken by " + string(r.Holder))
	default:
		return k
	}
}

// WithWriteConfirmed applies the answer that the pending write took effect. A write of
// an earlier era confirms nothing, also if it took effect in the present one.
func (k Keeper) WithWriteConfirmed(version rosemarylb.Version, now time.Time) Keeper {
	k.writePending = false
	k.storeFailingSince = time.Time{}
	if k.version.Era < version.Era || k.isStale(k.lastWrite.Record, version) {
		return k.WithRecord(k.lastWrite.Record, version, now)
	}
	if !k.version.Less(version) {
		return k
	}
	k.recordKnown = true
	k.record = k.lastWrite.Record
	k.version = version
	k.recordSeenAt = now
	if k.record.Holder == "" {
		return k.withLogEvent(LogEvent{
			Event:  "lease release stored",
			Reason: "given back",
		})
	}
	return k.withLeaseConfirmed(now)
}

// WithWriteConflict applies the answer that the pending write failed because the store
// holds another version, which is passed with its record.
func (k Keeper) WithWriteConflict(r Record, version rosemarylb.Version, now time.Time) Keeper {
	k.writePending = false
	k.storeFailingSince = time.Time{}
	return k.WithRecord(r, version, now)
}

// WithWriteUnanswered records that the pending write was not answered, so that it may
// have taken effect or may yet do so. The record is read before the next write.
func (k Keeper) WithWriteUnanswered(now time.Time) Keeper {
	if k.storeFailingSince.IsZero() {
		k.storeFailingSince = k.lastWriteAt
	}
	k.writePending = false
	k.recordUncertain = true
	k.readNotBefore = now.Add(storeRetryDelay)
	return k
}

// WithReadUnanswered records that a read of the record was not answered.
func (k Keeper) WithReadUnanswered(now time.Time) Keeper {
	k.recordUncertain = true
	k.readFailures++
	k.readNotBefore = now.Add(k.readDelay())
	return k
}

// readDelay returns the delay after a read that was not answered. An instance that holds
// or releases the lease does not back off, since it has to learn whether its write took
// effect.
func (k Keeper) readDelay() time.Duration {
	if k.holdsLease || k.shuttingDown {
		return storeRetryDelay
	}
	return min(storeRetryDelay<<min(k.readFailures-1, 4), maxReadDelay)
}

// withLeaseConfirmed extends or starts the lease after the store has confirmed the
// last write. The lease counts from when that write was sent.
func (k Keeper) withLeaseConfirmed(now time.Time) Keeper {
	if k.releasedToken != 0 && k.releasedToken == k.record.Token {
		// The lease was yielded before the confirmation; another instance may
		// already hold it.
		return k
	}
	if k.record.Token != k.token {
		k.token = k.record.Token
		k.witnessesLostAt = time.Time{}
	}
	k = k.withLeaseReclaimed(now)
	k.confirmedAt = k.lastWriteAt
	until := k.lastWriteAt.Add(leaseDuration - leaseMargin)
	if until.After(k.leaseUntil) || !k.holdsLease {
		k.leaseUntil = until
	}
	k.renewAt = k.lastWriteAt.Add(renewInterval)
	if !k.holdsLease {
		k.holdsLease = true
		k.membersSince = now
		k.promoteNotBefore = now
		if !k.cleanTakeover {
			k.promoteNotBefore = now.Add(takeoverDelay)
		}
		k.tenure = k.newTenure(now)
		k.groups = nil
		k = k.withLogEvent(LogEvent{
			Event:  "lease taken",
			Reason: string(k.record.Holder),
		})
	}
	for name, g := range k.groups {
		if g.failingOver() && g.failover.recordedAt.IsZero() && k.record.Groups[name].FailingOver {
			g.failover.recordedAt = now
			k = k.withGroup(name, g)
		}
	}
	return k
}

// decideRecord decides on the next read or write of the record. Only one write is
// pending at a time.
func (k Keeper) decideRecord(d Decision, now time.Time) (Keeper, Decision) {
	if k.writePending {
		return k, d
	}
	if k.recordUncertain || !k.recordKnown {
		if !now.Before(k.readNotBefore) {
			d.Read = true
			k.readNotBefore = now.Add(time.Second)
		}
		return k, d
	}
	k, next, due := k.nextRecord(now)
	if !due {
		return k, d
	}
	k.writePending = true
	k.lastWrite = Write{
		Record:   next.WithNextSequence(),
		Replaces: k.version,
	}
	k.lastWriteAt = now
	write := k.lastWrite
	d.Write = &write
	return k, d
}

// nextRecord returns the record to write, or false when no write is due.
func (k Keeper) nextRecord(now time.Time) (Keeper, Record, bool) {
	if !k.reclaimSince.IsZero() {
		return k, k.reclaimedRecord(), k.mayReclaim(now)
	}
	if k.shuttingDown {
		return k.nextRelease(now)
	}
	if !k.holdsLease {
		k.staleTakeover = k.isStale(k.record, k.version)
		k.cleanTakeover = k.leaseReleased() && !k.staleTakeover && !k.record.Unsettled
		k.ownTakeover = k.record.Holder == k.self && !k.record.Unsettled
		k = k.withAvailability(now)
		return k, k.takenRecord(), k.mayTakeLease(now)
	}
	next := k.withNextWitnesses(k.settledRecord(now), now)
	changed := next.Members != k.record.Members || !next.hasWitnessesOf(k.record)
	if k.needsNewToken(now) {
		next = next.WithHolder(k.self, k.process, k.address, k.version)
		changed = true
	}
	for name, g := range k.groups {
		if g.desired != (Leadership{}) && g.desired != next.Groups[name] {
			next = next.WithLeadership(name, g.desired)
			changed = true
		}
	}
	if !k.witnessesLostAt.IsZero() && !now.Before(k.lastWriteAt.Add(confirmInterval)) {
		changed = true
	}
	return k, next, changed || !now.Before(k.renewAt)
}

// nextRelease returns the record without its holder, or false when this process has no
// lease to release. The lease ends before that record is written, not when the store
// has confirmed it: the write may take effect without an answer, and its successor
// acts at once then.
func (k Keeper) nextRelease(now time.Time) (Keeper, Record, bool) {
	if k.holdsLease && !k.promotionPending() {
		k = k.withOwnLeaseReleased("given back")
	}
	return k, k.settledRecord(now).WithoutHolder(), k.ReleasedToken() != 0
}

// settledRecord returns the record of this holder, settled once it has waited for its
// predecessor to end. A release that comes earlier leaves the rest of the wait to the next
// holder.
func (k Keeper) settledRecord(now time.Time) Record {
	return k.record.WithUnsettled(k.record.Unsettled && now.Before(k.promoteNotBefore))
}

// withOwnLeaseReleased ends this instance's lease before it expires. Other instances
// learn from ReleasedToken that they may take it.
func (k Keeper) withOwnLeaseReleased(reason string) Keeper {
	k.releasedToken = k.record.Token
	return k.withoutLease(reason)
}

// leaseAvailable reports whether this instance may take the lease: it was never
// held or was released, its holder was an earlier process of this instance or was
// deposed, or it has expired. A record of an earlier era does not show who held the
// lease last, so that only the expiry counts: any lease was confirmed before the era.
func (k Keeper) leaseAvailable(now time.Time) bool {
	if k.shuttingDown {
		return false
	}
	switch {
	case k.isStale(k.record, k.version):
		return !now.Before(k.recordSeenAt.Add(leaseDuration))
	case k.leaseReleased(), k.record.Holder == k.self, k.holderDeposed():
		return true
	default:
		return !now.Before(k.recordSeenAt.Add(leaseDuration))
	}
}

// withAvailability records since when the lease may be taken.
func (k Keeper) withAvailability(now time.Time) Keeper {
	switch {
	case !k.leaseAvailable(now):
		k.availableSince = time.Time{}
	case k.availableSince.IsZero():
		k.availableSince = now
	}
	return k
}

// mayTakeLease reports whether this instance may take an available lease now. The
// witnesses and the last holder come first.
func (k Keeper) mayTakeLease(now time.Time) bool {
	if k.availableSince.IsZero() {
		return false
	}
	_, isWitness := k.record.Witnesses[k.self]
	if isWitness || len(k.record.Witnesses) == 0 || k.record.Holder == k.self {
		return true
	}
	return now.Sub(k.availableSince) >= successionDelay
}

// leaseReleased reports whether the last holder has released the lease, and so
// sends no promotions and grants no permits.
func (k Keeper) leaseReleased() bool {
	return k.record.Holder == "" || k.releasedToken != 0 && k.releasedToken == k.record.Token
}

// WithLeaseReleased records that the holder of a token has notified this instance
// that it released its lease.
func (k Keeper) WithLeaseReleased(token uint64) Keeper {
	k.releasedToken = max(k.releasedToken, token)
	return k
}

// ReleasedToken returns the token of the lease that this process has released while the
// record still names it as the holder, 0 for none.
func (k Keeper) ReleasedToken() uint64 {
	if k.holdsLease || k.record.Holder != k.self || k.record.Process != k.process || k.releasedToken != k.record.Token {
		return 0
	}
	return k.releasedToken
}

// shouldYield reports whether the holder has to give up the lease because the
// store leaves its writes unanswered but answers another instance. It keeps the
// lease while a promotion is pending.
func (k Keeper) shouldYield(now time.Time) bool {
	if !k.holdsLease || !k.reclaimSince.IsZero() || k.storeFailingSince.IsZero() || now.Sub(k.storeFailingSince) < storeFailureTimeout ||
		k.promotionPending() {
		return false
	}
	for id, m := range k.members.all() {
		if id != k.self && now.Sub(m.reportedAt) < reportMaxAge &&
			now.Sub(m.storeAnsweredAt) < storeAnswerMaxAge && m.storeAnsweredAt.After(k.storeFailingSince) {
			return true
		}
	}
	return false
}

// promotionPending reports whether a promotion has been sent and not answered.
func (k Keeper) promotionPending() bool {
	for _, g := range k.groups {
		if g.unansweredOrders > 0 {
			return true
		}
	}
	return false
}

// WithPromotionOutcome applies the outcome of a promotion. That of one for an earlier failover
// says nothing of the present one.
func (k Keeper) WithPromotionOutcome(p rosemarylb.Promotion, o rosemarylb.PromotionOutcome, now time.Time) Keeper {
	g, found := k.groups[p.Group]
	if !found || g.unansweredOrders == 0 {
		return k
	}
	g.unansweredOrders--
	if !g.failover.awaitsAnswer(p) {
		return k.withGroup(p.Group, g)
	}
	g.failover = g.failover.withOrderOutcome(o, now)
	switch o {
	case rosemarylb.PromotionDone:
		g.failover.promotionAcceptedAt = now
	case rosemarylb.PromotionRefused:
		g.failover.candidate = ""
		g.failover.refusedBy = p.Endpoint
		g.failover.refusedAt = now
	default:
		g.failover.retryAt = now.Add(promotionRetryDelay)
	}
	k = k.withLogEvent(LogEvent{
		Event:    "promotion answered",
		Group:    p.Group,
		Endpoint: p.Endpoint,
		Reason:   o.String(),
	})
	return k.withGroup(p.Group, g)
}
