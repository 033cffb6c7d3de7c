package keeper

import (
	"maps"
	"slices"
	"time"

	"rosemarylb"
)

const (
	// witnessLimit is how many witnesses the record names: enough for a
	// majority to outlive single losses, few enough for a small record.
	witnessLimit = 9
	// witnessSpan is how recent a witness's question has to be to count.
	witnessSpan = 800 * time.Millisecond
	// confirmInterval is the time between two writes of a holder without enough
	// witnesses: two fit into the span for which each confirms it.
	confirmInterval = 350 * time.Millisecond
	// rejectedAfter is how long a holder without witnesses, whom the store
	// answers, waits before it takes a new token: they may have promised to
	// listen to the old one no more.
	rejectedAfter = 1500 * time.Millisecond
	// gapLimit is how long the holder may take between two decisions; after a
	// longer gap it stood still.
	gapLimit = 300 * time.Millisecond
	// gapDeaf is how long after a gap questions are not counted: they may have
	// been asked before it.
	gapDeaf = 300 * time.Millisecond
)

// Quorum returns how many of a number of witnesses beside the holder have to
// ask it, and how many have to promise to listen to it no more. Any two such
// sets share a witness.
func Quorum(others int) (ask, depose int) {
	ask = others / 2
	return ask, others - ask + 1
}

// witnesses returns the witnesses to name next: those that still ask, and
// others in the order of their names.
func (k Keeper) witnesses() map[rosemarylb.InstanceID]string {
	chosen := map[rosemarylb.InstanceID]string{}
	for id := range k.record.Witnesses {
		if m, asks := k.members[id]; asks {
			chosen[id] = m.address
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.members)) {
		if len(chosen) >= witnessLimit {
			break
		}
		chosen[id] = k.members[id].address
	}
	return chosen
}

// withAwake returns the keeper that notes when it last decided. One that stood
// still forgets its witnesses: what they asked before says nothing of now.
func (k Keeper) withAwake(now time.Time) Keeper {
	stood := k.leading && now.Sub(k.awakeAt) > gapLimit
	k.awakeAt = now
	if stood {
		k.members = nil
		k.leadsFrom = now
		k.deafTo = now.Add(gapDeaf)
	}
	return k
}

// witnessed reports whether enough witnesses ask this instance. While a write
// may change the witnesses, both lists count.
func (k Keeper) witnessed(now time.Time) bool {
	if !k.enough(k.record.Witnesses, now) {
		return false
	}
	if !k.writing && !k.uncertain {
		return true
	}
	return k.enough(k.written.Record.Witnesses, now)
}

func (k Keeper) enough(witnesses map[rosemarylb.InstanceID]string, now time.Time) bool {
	others, asking := 0, 0
	for id := range witnesses {
		if id == k.self {
			continue
		}
		others++
		if m, asks := k.members[id]; asks && now.Sub(m.at) < witnessSpan {
			asking++
		}
	}
	need, _ := Quorum(others)
	return asking >= need
}

// withWitnessed returns the keeper that notes since when it lacks witnesses.
func (k Keeper) withWitnessed(now time.Time) Keeper {
	switch {
	case !k.leading || k.witnessed(now):
		k.alone = time.Time{}
	case k.alone.IsZero():
		k.alone = now
	}
	return k
}

// confirmed reports whether a write of the record that took effect was sent a
// moment ago: a successor takes the lease after that, and waits longer before its
// first order than this holder goes on.
func (k Keeper) confirmed(now time.Time) bool {
	return now.Sub(k.confirmedAt) < witnessSpan
}

// holds reports whether this instance may act as the keeper: nobody else can
// have begun to, as witnesses or the store show.
func (k Keeper) holds(now time.Time) bool {
	return k.leading && now.Before(k.leaseUntil) && (k.witnessed(now) || k.confirmed(now))
}

// rejected reports whether the holder has to take a new token.
func (k Keeper) rejected(now time.Time) bool {
	return !k.alone.IsZero() && now.Sub(k.alone) > rejectedAfter && k.failingAt.IsZero()
}

// WithDeposed returns the keeper told that enough witnesses have promised to
// listen no more to the holder of a token.
func (k Keeper) WithDeposed(token uint64) Keeper {
	k.deposed = max(k.deposed, token)
	return k
}
