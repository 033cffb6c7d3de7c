package keeper

import (
	"slices"
	"time"

	"rosemarylb"
)

// storeWatcherCount is the number of instances beside the holder that watch the
// configuration and the record in the store. They report changes to the holder that
// it misses while its own connection to the store is lost.
const storeWatcherCount = 2

// Notification is the holder's last notification to an instance about the store. The
// endpoints come with it, so that no instance needs to watch them.
type Notification struct {
	// RequestedAt is when the instance sent the request that the notification answers.
	RequestedAt time.Time
	// WatchesStore is true for an instance that has to watch the configuration and the
	// record in the store itself.
	WatchesStore bool
	// CatalogVersion is the latest version of the configuration that the holder
	// knows of.
	CatalogVersion uint64
}

// notificationMaxAge is how long an instance relies on a notification: three
// intervals between requests for permits.
const notificationMaxAge = 400 * time.Millisecond

// Fresh reports whether the instance may rely on the notification.
func (n Notification) Fresh(now time.Time) bool {
	return now.Sub(n.RequestedAt) < notificationMaxAge
}

// ReplacesWatch reports whether the instance need not watch the store at all.
func (n Notification) ReplacesWatch(now time.Time) bool {
	return n.Fresh(now) && !n.WatchesStore
}

// Notifies reports whether this instance notifies another of changes in the store. It
// does while it may act as the keeper and the store answers it.
func (k Keeper) Notifies(to rosemarylb.InstanceID, now time.Time) bool {
	return k.mayAct(now) && k.storeFailingSince.IsZero() && to != k.self
}

// WatchesStore reports whether an instance that receives notifications has to watch the
// configuration and the record in the store as well.
func (k Keeper) WatchesStore(id rosemarylb.InstanceID) bool {
	return slices.Contains(k.fleet.storeWatchers, id)
}

// LatestCatalogVersion returns the latest version of the configuration that any
// instance has.
func (k Keeper) LatestCatalogVersion() uint64 {
	latest := uint64(0)
	for _, m := range k.members.all() {
		latest = max(latest, m.catalogVersion)
	}
	return latest
}

// WithLeaseNotification applies the holder's notification that its lease is still
// valid, as if the record had been seen to change now.
func (k Keeper) WithLeaseNotification(now time.Time) Keeper {
	if !k.holdsLease {
		k.recordSeenAt = now
	}
	return k
}
