package keeper

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

func TestHolderNotifiesAllOthersAndFewWatchStore(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newReportedKeeper(now, make([]Observation, 8))
	k.token = 1
	k.leaseUntil = now.Add(time.Second)
	notified, watching := 0, 0
	for i := range 8 {
		id := rosemarylb.InstanceID("i" + strconv.Itoa(i))
		if k.Notifies(id, now) {
			notified++
		}
		if k.WatchesStore(id) {
			watching++
		}
	}
	if notified != 7 || watching != storeWatcherCount || k.WatchesStore("i0") {
		t.Errorf("got %d of 8 instances notified and %d watching the store, want 7 and %d, without the holder", notified, watching, storeWatcherCount)
	}
	tests := []struct {
		name   string
		change func(Keeper) Keeper
	}{
		{"the store does not answer its writes", func(k Keeper) Keeper {
			k.storeFailingSince = now
			return k
		}},
		{"its lease has expired", func(k Keeper) Keeper {
			k.leaseUntil = now
			return k
		}},
	}
	for _, test := range tests {
		k := test.change(k)
		for i := range 8 {
			if id := rosemarylb.InstanceID("i" + strconv.Itoa(i)); k.Notifies(id, now) {
				t.Errorf("%s: got a notification to %s, want none", test.name, id)
			}
		}
	}
}

func TestCatalogIsLatestVersionOfAnyInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newReportedKeeper(now, nil)
	for i, version := range []uint64{7, 19, 12} {
		k = k.WithReport(Report{
			From:           rosemarylb.InstanceID("i" + strconv.Itoa(i)),
			CatalogVersion: version,
		}, now)
	}
	if got, want := k.LatestCatalogVersion(), uint64(19); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
