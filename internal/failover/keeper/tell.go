package keeper

import (
	"hash/fnv"
	"slices"
	"time"

	"rosemarylb"
)

// followerCount is how many instances beside the holder follow the configuration
// and the record themselves: they tell it of what it misses when its own sight of
// the store is lost.
const followerCount = 2

// Told is what a holder told an instance of the store. It tells every instance of
// the endpoints.
type Told struct {
	// At is when the instance asked.
	At time.Time
	// Follows is true for an instance that follows the configuration and the
	// record itself.
	Follows bool
	// Catalog is the newest version of the configuration that the holder knows
	// of.
	Catalog uint64
}

// toldSpan is how long an instance relies on what it was told: three questions.
const toldSpan = 400 * time.Millisecond

// Fresh reports whether the instance still is told of the endpoints.
func (t Told) Fresh(now time.Time) bool {
	return now.Sub(t.At) < toldSpan
}

// Rests reports whether the instance need not follow the store at all.
func (t Told) Rests(now time.Time) bool {
	return t.Fresh(now) && !t.Follows
}

// Tells reports whether this instance tells another what changes in the store.
// It does while the store answers it.
func (k Keeper) Tells(to rosemarylb.InstanceID, now time.Time) bool {
	return k.holds(now) && k.failingAt.IsZero() && to != k.self
}

// Follows reports whether an instance that is told follows the configuration and
// the record itself.
func (k Keeper) Follows(id rosemarylb.InstanceID) bool {
	return slices.Contains(k.followers(), id)
}

// followers are the instances that follow the store beside the holder. They are
// drawn from all, so that they seldom share a failure domain.
func (k Keeper) followers() []rosemarylb.InstanceID {
	var all []rosemarylb.InstanceID
	for id := range k.members {
		if id != k.self {
			all = append(all, id)
		}
	}
	slices.SortFunc(all, func(x, y rosemarylb.InstanceID) int {
		if hx, hy := hashOf(x), hashOf(y); hx != hy {
			if hx < hy {
				return -1
			}
			return 1
		}
		return 0
	})
	return all[:min(len(all), followerCount)]
}

func hashOf(id rosemarylb.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Catalog returns the newest version of the configuration that an instance has.
func (k Keeper) Catalog() uint64 {
	newest := uint64(0)
	for _, m := range k.members {
		newest = max(newest, m.catalog)
	}
	return newest
}

// WithTold returns the keeper whose instance is told by the holder that the
// lease stands: what is known of the record is no older.
func (k Keeper) WithTold(now time.Time) Keeper {
	if !k.leading {
		k.seenAt = now
	}
	return k
}
