package keeper

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// watched returns a keeper of the group g, whose primary e1 has answered it a
// moment ago, told by instances what they see of it.
func watched(now time.Time, reports []Evidence) Keeper {
	k := NewKeeper("i0", 1, "")
	k.leading = true
	k.awakeAt = now
	k = k.WithEndpoints([]rosemarylb.EndpointSpec{
		{
			ID:       "e1",
			Database: "g",
		},
		{
			ID:       "e2",
			Database: "g",
		},
	})
	k = k.withWatch("g", watch{
		since: now.Add(-time.Minute),
		wanted: Leadership{
			Primary: "e1",
			Term:    1,
		},
	})
	k = k.WithStatus(Status{
		Group:    "g",
		Endpoint: "e1",
		AskedAt:  now.Add(-50 * time.Millisecond),
		Answered: true,
		Primary:  true,
		Term:     1,
	})
	for i, e := range reports {
		r := Report{
			From: rosemarylb.InstanceID("i" + strconv.Itoa(i)),
		}
		if e.Primary != "" {
			e.Group = "g"
			r.Seen = []Evidence{e}
		}
		k = k.WithReport(r, now)
	}
	return k
}

func TestOnlyMostInstancesMoveAPrimaryThatAnswersTheKeeper(t *testing.T) {
	now := time.Unix(1000, 0)
	quiet := Evidence{}
	failing := Evidence{
		Primary:   "e1",
		FailingAt: now.Add(-2 * time.Second),
	}
	served := Evidence{
		Primary:    "e1",
		AnsweredAt: now.Add(-100 * time.Millisecond),
	}
	tests := []struct {
		name    string
		reports []Evidence
		want    string
	}{
		{"one fails, the others are quiet", []Evidence{failing, quiet, quiet, quiet, quiet}, ""},
		{"two fail, the others are quiet", []Evidence{failing, failing, quiet, quiet, quiet}, ""},
		{"half fail, half are served", []Evidence{failing, failing, served, served}, ""},
		{"most fail", []Evidence{failing, failing, failing, served, quiet}, "unreachable for most"},
		{"all fail", []Evidence{failing, failing, failing}, "unreachable for most"},
	}
	for _, test := range tests {
		k := watched(now, test.reports)
		if got := k.verdict("g", k.leadership("g"), now); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestAHolderWithoutWitnessesActsWhileTheStoreConfirmsIt(t *testing.T) {
	now := time.Unix(1000, 0)
	k := watched(now, nil)
	k.leaseUntil = now.Add(time.Minute)
	k.record = k.record.WithWitnesses(map[rosemarylb.InstanceID]string{
		"i0": "",
		"i1": "",
		"i2": "",
		"i3": "",
	})
	tests := []struct {
		name      string
		confirmed time.Duration
		want      bool
	}{
		{"never confirmed", time.Hour, false},
		{"confirmed a moment ago", 500 * time.Millisecond, true},
		{"confirmed too long ago", witnessSpan, false},
	}
	for _, test := range tests {
		k.confirmedAt = now.Add(-test.confirmed)
		if got := k.holds(now); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
	if latest := witnessSpan + PromotionTimeout; promotionTravel <= latest {
		t.Errorf("got a successor that waits %s, want longer than %s", promotionTravel, latest)
	}
}
