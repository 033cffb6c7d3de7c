package keeper

import (
	"maps"
	"strconv"
	"time"

	"rosemarylb"
)

// tokenEraShift is the number of bits below the era in a token. They hold the revisions
// of a store with 45,000 writes per second for 12 years, and tokens of the first 512
// eras are exact in a receiver that parses numbers as 64-bit floating point.
const tokenEraShift = 44

// Log messages that the duty counts.
const (
	// EventLeaseVoid is logged when the store no longer has the lease of this holder.
	EventLeaseVoid = "lease void"
	// EventLeaseReclaimed is logged when the holder of a void lease has written its
	// record again.
	EventLeaseReclaimed = "lease written again"
)

// Era returns the era of the store in which the record's token was issued.
func (r Record) Era() uint64 {
	return r.Token >> tokenEraShift
}

// Follows reports whether the record names the holder of the other one or a later
// holder. A record that does not is from an older copy of the store.
func (r Record) Follows(other Record) bool {
	return r.Token >= other.Token
}

// nextToken returns the token of a holder whose record replaces one with the given
// token, stored at the given version. Only one record replaces a revision in an era, so
// that no other holder gets the same token, also where the replaced record was written
// in an earlier era and has a low token.
func nextToken(token uint64, replaced rosemarylb.Version) uint64 {
	if replaced.Era == 0 {
		return token + 1
	}
	return max(token, replaced.Era<<tokenEraShift+replaced.Revision) + 1
}

// isStale reports whether a record at a version is no evidence of who held the lease
// last: its token was issued in an earlier era. A missing record is none either, once
// the store has been seen in an earlier era.
func (k Keeper) isStale(r Record, version rosemarylb.Version) bool {
	if !version.Exists() {
		return k.eraChanged
	}
	return r.Era() < version.Era
}

// withEra applies the era of an answer of the store, before the record in that answer. A
// new era voids the version of the record.
func (k Keeper) withEra(era uint64) Keeper {
	if era <= k.version.Era {
		return k
	}
	first := !k.recordKnown && !k.eraChanged && k.version == (rosemarylb.Version{})
	k.version = rosemarylb.Version{
		Era: era,
	}
	if first {
		return k
	}
	k = k.withLogEvent(LogEvent{
		Event:  "store restored",
		Reason: "era " + strconv.FormatUint(era, 10),
	})
	k = k.withGroupsRemembered()
	k.eraChanged = true
	k.recordKnown = false
	k.readNotBefore = time.Time{}
	k.availableSince = time.Time{}
	return k
}

// withStaleRecord applies to a holder that the store has a record of an earlier era in
// place of its own: the store was restored, or a late write of that era took effect.
func (k Keeper) withStaleRecord(version rosemarylb.Version, now time.Time) Keeper {
	k = k.withLeaseVoid(now)
	k.recordUncertain = false
	k.recordKnown = true
	if k.version.Less(version) {
		k.version = version
		k.recordSeenAt = now
	}
	return k
}

// withLeaseVoid records that the store no longer has this instance's lease. A holder
// that may act takes the lease again as soon as it is known that it is the last one;
// until then it grants permits for the primaries that it knows, and replaces none. The
// witnesses have to be known for that: those of a write without an answer may have
// deposed it.
func (k Keeper) withLeaseVoid(now time.Time) Keeper {
	if !k.holdsLease || !k.reclaimSince.IsZero() {
		return k
	}
	if !k.mayAct(now) || !k.record.hasWitnessesOf(k.lastWrite.Record) {
		return k.withoutLease("store restored")
	}
	k.reclaimSince = now
	for name, g := range k.groups {
		g.failover.recordedAt = time.Time{}
		k = k.withGroup(name, g)
	}
	return k.withLogEvent(LogEvent{
		Event:  EventLeaseVoid,
		Reason: "store restored",
	})
}

// mayReclaim reports whether this holder may write its record again: enough witnesses
// have accepted answers that it sent after its lease became void. Had another
// instance taken the lease before, they would ignore this one by then.
func (k Keeper) mayReclaim(now time.Time) bool {
	return k.mayAct(now) && k.hasWitnessQuorum(k.record, k.reclaimSince.Add(reportIgnoreDuration))
}

// reclaimedRecord returns the record with a token of the present era and the primaries
// as this holder knows them.
func (k Keeper) reclaimedRecord() Record {
	next := k.record.WithHolder(k.self, k.process, k.address, k.version)
	for name, g := range k.groups {
		if g.desired != (Leadership{}) {
			next = next.WithLeadership(name, g.desired)
		}
	}
	return next
}

// withLeaseReclaimed ends the wait for the record in a new era. Promotions that were
// sent with the former token arrive before the next one is sent.
func (k Keeper) withLeaseReclaimed(now time.Time) Keeper {
	if k.reclaimSince.IsZero() {
		return k
	}
	age := now.Sub(k.reclaimSince).Milliseconds()
	k.reclaimSince = time.Time{}
	k.promoteNotBefore = now.Add(takeoverDelay)
	return k.withLogEvent(LogEvent{
		Event:     EventLeaseReclaimed,
		Reason:    "store restored",
		AgeMillis: age,
	})
}

// takenRecord returns the record with which this instance takes the lease. The primaries
// in a record of an earlier era may have been replaced after the copy was made: no
// permit is given for them until their group has been probed.
func (k Keeper) takenRecord() Record {
	next := k.record.WithHolder(k.self, k.process, k.address, k.version).WithUnsettled(!k.cleanTakeover)
	if !k.staleTakeover {
		return next
	}
	groups := withLaterLeaderships(k.record.Groups, k.remembered)
	for name, l := range groups {
		l.FailingOver = true
		l.Orders = 0
		groups[name] = l
	}
	return next.WithGroups(groups)
}

// withGroupsRemembered keeps the primaries that this process knows of.
func (k Keeper) withGroupsRemembered() Keeper {
	k.remembered = withLaterLeaderships(k.remembered, k.record.Groups)
	for name, g := range k.groups {
		if g.desired != (Leadership{}) {
			k.remembered = withLaterLeaderships(k.remembered, map[rosemarylb.DatabaseName]Leadership{
				name: g.desired,
			})
		}
	}
	return k
}

// withLaterLeaderships returns a copy of the primaries in which those of a later term
// in others replace them.
func withLaterLeaderships(
	groups, others map[rosemarylb.DatabaseName]Leadership,
) map[rosemarylb.DatabaseName]Leadership {
	merged := make(map[rosemarylb.DatabaseName]Leadership, len(groups)+len(others))
	maps.Copy(merged, groups)
	for name, l := range others {
		if known, found := merged[name]; !found || known.Term < l.Term {
			merged[name] = l
		}
	}
	return merged
}

// resolveRestored decides who leads a group whose recorded primary may have been
// replaced. It probes for as long as an earlier promotion may take to complete. If all
// endpoints have answered by then, the primary of the highest term leads; otherwise the
// group fails over from the highest term that is known.
func (k Keeper) resolveRestored(name rosemarylb.DatabaseName, now time.Time) Keeper {
	g := k.groups[name]
	if g.failover.recordedAt.IsZero() || now.Before(k.promoteNotBefore) ||
		now.Sub(g.failover.startedAt) < promotionCompletionTimeout {
		return k
	}
	allAnswered := len(k.endpoints[name]) > 0
	highest := g.failover.previous
	for _, e := range k.endpoints[name] {
		s := g.states[e.ID]
		if s.probedAt.Before(g.failover.startedAt) || now.Sub(s.probedAt) >= candidateStatusMaxAge {
			allAnswered = false
		}
		switch {
		case s.isPrimary && s.term >= highest.Term:
			highest = Leadership{
				Primary: e.ID,
				Term:    s.term,
			}
		case s.term > highest.Term:
			highest = Leadership{
				Term: s.term,
			}
		}
	}
	if s := g.states[highest.Primary]; allAnswered && s.isPrimaryIn(highest.Term) {
		return k.endFailover(name, highest.Primary, highest.Term, now)
	}
	g.failover.reason = reasonInherited
	g.failover.previous.Primary = highest.Primary
	g.failover.previous.Term = highest.Term
	g.failover.previous.Start = 0
	g.desired.Primary = highest.Primary
	g.desired.Term = highest.Term
	g.desired.Start = 0
	return k.withGroup(name, g)
}
