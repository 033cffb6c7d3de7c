package keeper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rosemarylb"
)

const (
	// maxWitnesses is the number of witnesses in the record. A majority of them
	// survives single failures, and the record stays small.
	maxWitnesses = 9
	// witnessTimeout is how long an answer that a witness has accepted, or a confirmed
	// write of the record, allows the holder to act.
	witnessTimeout = 800 * time.Millisecond
	// confirmInterval is the interval between writes of the record by a holder
	// without enough witnesses. Two of them fit into witnessTimeout, for which each
	// allows it to act.
	confirmInterval = 350 * time.Millisecond
	// newTokenDelay is how long a holder that the store answers lacks witnesses
	// before it takes a new token, as they may have promised to ignore the current
	// one.
	newTokenDelay = 1500 * time.Millisecond
	// maxDecisionGap is the time between two inputs or decisions of the holder above
	// which its process is taken to have been paused.
	maxDecisionGap = 300 * time.Millisecond
	// reportIgnoreDuration is how long reports are ignored after a pause, because
	// they may have been sent before it.
	reportIgnoreDuration = 300 * time.Millisecond
)

// WitnessQuorum returns, for a number of witnesses beside the holder, how many have to
// support the holder for it to act, and how many have to promise to ignore it to
// depose it. Two such sets always share a witness.
func WitnessQuorum(others int) (support, depose int) {
	support = others / 2
	return support, others - support + 1
}

// nextWitnesses returns the witnesses for the next record: those of the current
// record that still report, and further instances, those with the most capacity
// first, as a witness succeeds the holder.
func (k Keeper) nextWitnesses() map[rosemarylb.InstanceID]string {
	chosen := map[rosemarylb.InstanceID]string{}
	for id := range k.record.Witnesses {
		if m, known := k.members.get(id); known {
			chosen[id] = m.address
		}
	}
	for _, id := range k.fleet.byCapacity {
		if len(chosen) >= maxWitnesses {
			break
		}
		if m, known := k.members.get(id); known {
			chosen[id] = m.address
		}
	}
	return chosen
}

// withNextWitnesses returns the next record with its witnesses, which are chosen once
// reports have been collected for memberTimeout. A new process of a witness replaces the
// former one in the record, at most every confirmInterval.
func (k Keeper) withNextWitnesses(next Record, now time.Time) Record {
	addresses := next.Witnesses
	if now.After(k.membersSince.Add(memberTimeout)) {
		next = next.WithMembers(k.members.count())
		addresses = k.nextWitnesses()
	}
	processes := make(map[rosemarylb.InstanceID]uint32, len(addresses))
	for id := range addresses {
		stored, found := next.WitnessProcesses[id]
		m, known := k.members.get(id)
		switch {
		case found && (!known || now.Before(k.lastWriteAt.Add(confirmInterval))):
			processes[id] = stored
		case known:
			processes[id] = m.process
		}
	}
	return next.WithWitnesses(addresses, processes)
}

// withPauseCheck records that the keeper is running at the given time. A holder
// whose process was paused drops all reports, because those from before the pause
// do not show that the witnesses still support it.
func (k Keeper) withPauseCheck(now time.Time) Keeper {
	paused := k.holdsLease && now.Sub(k.lastActiveAt) > maxDecisionGap
	k.lastActiveAt = now
	if paused {
		k.members = members{}
		k.membersSince = now
		k.ignoreReportsUntil = now.Add(reportIgnoreDuration)
	}
	return k
}

// hasWitnesses reports whether enough witnesses support this instance. While a write
// that may change the witnesses may take effect, both the old and the new list need a
// quorum.
func (k Keeper) hasWitnesses(now time.Time) bool {
	since := now.Add(-witnessTimeout)
	if !k.hasWitnessQuorum(k.record, since) {
		return false
	}
	return !k.writeMayTakeEffect() || k.hasWitnessQuorum(k.lastWrite.Record, since)
}

// writeMayTakeEffect reports whether the last write may be stored without this instance
// knowing it. One that was not answered may be late, also after a read that does not show
// it, until the version that it replaces has been replaced. An answer, whichever it is, has
// another version.
func (k Keeper) writeMayTakeEffect() bool {
	return k.writePending || k.recordUncertain || k.version == k.lastWrite.Replaces
}

// hasWitnessQuorum reports whether enough of the witnesses in a record support this holder
// by answers sent after a time.
func (k Keeper) hasWitnessQuorum(r Record, since time.Time) bool {
	others, supporting := 0, 0
	for id := range r.Witnesses {
		if id == k.self {
			continue
		}
		others++
		if k.isSupportedBy(id, r.WitnessProcesses[id], since) {
			supporting++
		}
	}
	required, _ := WitnessQuorum(others)
	return supporting >= required
}

// isSupportedBy reports whether a process of a witness has accepted an answer of this holder
// that was sent after a time. The time of receipt of its report does not count, as the
// report may have been sent before a promise to ignore this holder.
func (k Keeper) isSupportedBy(id rosemarylb.InstanceID, process uint32, since time.Time) bool {
	m, known := k.members.get(id)
	return known && m.process == process && m.support.Token == k.token && m.support.AnsweredAt.After(since)
}

// withWitnessCheck records since when the holder lacks witnesses.
func (k Keeper) withWitnessCheck(now time.Time) Keeper {
	switch lost := !k.witnessesLostAt.IsZero(); {
	case !k.holdsLease:
		k.witnessesLostAt = time.Time{}
	case lost && k.hasWitnesses(now):
		k = k.withWitnessEvent("witnesses regained", now)
		k.witnessesLostAt = time.Time{}
	case !lost && !k.hasWitnesses(now):
		k.witnessesLostAt = now
		k = k.withWitnessEvent("witnesses lost", now)
	}
	return k
}

// withWitnessEvent logs a change of the holder's support, with the witnesses that still
// support it and with the time without enough of them.
func (k Keeper) withWitnessEvent(event string, now time.Time) Keeper {
	var supporting []string
	for id := range k.record.Witnesses {
		if id != k.self && k.isSupportedBy(id, k.record.WitnessProcesses[id], now.Add(-witnessTimeout)) {
			supporting = append(supporting, string(id))
		}
	}
	slices.Sort(supporting)
	return k.withLogEvent(LogEvent{
		Event:     event,
		Reason:    "supported by " + cmp.Or(strings.Join(supporting, " "), "none"),
		AgeMillis: now.Sub(k.witnessesLostAt).Milliseconds(),
	})
}

// confirmedByStore reports whether a write of the record that took effect was sent
// within witnessTimeout. A successor takes the lease after that write, and its
// takeoverDelay exceeds the time for which the write lets this holder act.
func (k Keeper) confirmedByStore(now time.Time) bool {
	return now.Sub(k.confirmedAt) < witnessTimeout
}

// mayAct reports whether this instance may act as the keeper: it holds the lease,
// and its witnesses or the store show that no other instance can act yet.
func (k Keeper) mayAct(now time.Time) bool {
	return k.holdsLease && now.Before(k.leaseUntil) && (k.hasWitnesses(now) || k.confirmedByStore(now))
}

// needsNewToken reports whether the holder has lacked witnesses for so long, while
// the store answers it, that it has to take a new token.
func (k Keeper) needsNewToken(now time.Time) bool {
	return !k.witnessesLostAt.IsZero() && now.Sub(k.witnessesLostAt) > newTokenDelay && k.storeFailingSince.IsZero()
}

// WithHolderDeposed records that enough witnesses in a record have promised to ignore its
// holder.
func (k Keeper) WithHolderDeposed(r Record) Keeper {
	if r.Token >= k.deposed.Token {
		k.deposed = r
	}
	return k
}

// holderDeposed reports whether the holder has been deposed by witnesses whose support it
// needs. Those of an earlier list need not share one with the present list.
func (k Keeper) holderDeposed() bool {
	return k.deposed.Token != 0 && k.deposed.Token == k.record.Token && k.deposed.hasWitnessesOf(k.record)
}
