package keeper

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// A small instance that takes the lease of a large fleet does not answer in time.
func TestWitnessesAreTheInstancesWithMostCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	k := NewKeeper("i000", 1, "")
	k.lastActiveAt = now
	for i := range 300 {
		capacity := 192
		if i%20 == 7 {
			capacity = 800
		}
		k = k.WithReport(Report{
			From:     rosemarylb.InstanceID("i" + strconv.Itoa(1000+i)),
			Capacity: capacity,
		}, now)
	}
	k = k.withFleetSummary(now)
	chosen := k.nextWitnesses()
	if got, want := len(chosen), maxWitnesses; got != want {
		t.Errorf("got %d witnesses, want %d", got, want)
	}
	for id := range chosen {
		if m, _ := k.members.get(id); m.capacity != 800 {
			t.Errorf("got %s with %d thousandths of a core as a witness, want 800", id, m.capacity)
		}
	}
}

func TestWitnessesTakeAnAvailableLeaseFirst(t *testing.T) {
	deposed := Record{}.WithHolder("old", 1, "", rosemarylb.Version{}).WithWitnesses(map[rosemarylb.InstanceID]string{
		"old":     "",
		"witness": "",
	}, nil)
	tests := []struct {
		name    string
		self    rosemarylb.InstanceID
		record  Record
		earlier time.Duration
		latest  time.Duration
	}{
		{"a witness", "witness", deposed, 0, 0},
		{"the last holder", "old", deposed, 0, 0},
		{"another instance", "other", deposed, successionDelay, successionDelay + 100*time.Millisecond},
		{"the first holder", "other", Record{}, 0, 0},
	}
	for _, test := range tests {
		start := time.Unix(1000, 0)
		k := NewKeeper(test.self, 2, "")
		k = k.WithRecord(test.record, version(1), start).WithHolderDeposed(test.record)
		took := time.Duration(-1)
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(50 * time.Millisecond) {
			var d Decision
			if k, d = k.Decide(now); d.Write != nil {
				took = now.Sub(start)
				break
			}
		}
		if took < test.earlier || took > test.latest {
			t.Errorf("%s: got the lease taken after %s, want from %s to %s", test.name, took, test.earlier, test.latest)
		}
	}
}

// TestHolderIsDeposedByItsPresentWitnesses guards against a successor beside a holder that has
// replaced the witnesses which promised to ignore it: the new ones support it.
func TestHolderIsDeposedByItsPresentWitnesses(t *testing.T) {
	now := time.Unix(1000, 0)
	deposed := Record{}.WithHolder("old", 1, "", rosemarylb.Version{}).WithWitnesses(map[rosemarylb.InstanceID]string{
		"w1": "",
		"w2": "",
	}, nil)
	replaced := map[rosemarylb.InstanceID]string{
		"w1": "",
		"w3": "",
		"w4": "",
	}
	for _, test := range []struct {
		name   string
		record Record
		want   bool
	}{
		{"the same witnesses", deposed.WithMembers(7).WithNextSequence(), true},
		{"other witnesses", deposed.WithWitnesses(replaced, nil), false},
		{"another holder with the same witnesses", deposed.WithHolder("new", 1, "", rosemarylb.Version{}), false},
	} {
		k := NewKeeper("w1", 1, "").WithHolderDeposed(deposed).WithRecord(test.record, version(2), now)
		if _, d := k.Decide(now); (d.Write != nil) != test.want {
			t.Errorf("%s: got the lease taken %t, want %t", test.name, d.Write != nil, test.want)
		}
	}
}
