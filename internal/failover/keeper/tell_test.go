package keeper

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

func TestAHolderTellsAllButAFew(t *testing.T) {
	now := time.Unix(1000, 0)
	k := watched(now, make([]Evidence, 8))
	k.token = 1
	k.leaseUntil = now.Add(time.Second)
	told, following := 0, 0
	for i := range 8 {
		id := rosemarylb.InstanceID("i" + strconv.Itoa(i))
		if k.Tells(id, now) {
			told++
		}
		if k.Follows(id) {
			following++
		}
	}
	if told != 7 || following != followerCount || k.Follows("i0") {
		t.Errorf("got %d of 8 told and %d that follow, want 7 and %d, not the holder", told, following, followerCount)
	}
	tests := []struct {
		name   string
		change func(Keeper) Keeper
	}{
		{"its writes fail", func(k Keeper) Keeper {
			k.failingAt = now
			return k
		}},
		{"its lease has run out", func(k Keeper) Keeper {
			k.leaseUntil = now
			return k
		}},
	}
	for _, test := range tests {
		k := test.change(k)
		for i := range 8 {
			if id := rosemarylb.InstanceID("i" + strconv.Itoa(i)); k.Tells(id, now) {
				t.Errorf("%s: got %s told, want nobody told", test.name, id)
			}
		}
	}
}

func TestTheNewestConfigurationOfAnyInstanceIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	k := watched(now, nil)
	for i, version := range []uint64{7, 19, 12} {
		k = k.WithReport(Report{
			From:    rosemarylb.InstanceID("i" + strconv.Itoa(i)),
			Catalog: version,
		}, now)
	}
	if got, want := k.Catalog(), uint64(19); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
