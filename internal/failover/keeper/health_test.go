package keeper

import (
	"strconv"
	"testing"
	"time"

	"rosemarylb"
)

// newReportedKeeper returns a keeper that holds the lease, knows a configuration and has
// received the given reports on the group g. The group's primary e1 answered a probe 50 ms before
// now.
func newReportedKeeper(now time.Time, reports []Observation) Keeper {
	k := NewKeeper("i0", 1, "")
	k.holdsLease = true
	k.lastActiveAt = now
	k = k.WithEndpoints([]rosemarylb.EndpointSpec{
		{
			ID:       "e1",
			Database: "g",
		},
		{
			ID:       "e2",
			Database: "g",
		},
	}).WithCatalog(rosemarylb.Catalog{
		Version: 1,
	})
	k = k.withGroup("g", groupState{
		observedSince: now.Add(-time.Minute),
		desired: Leadership{
			Primary: "e1",
			Term:    1,
		},
	})
	k = k.WithStatus(Status{
		Group:    "g",
		Endpoint: "e1",
		ProbedAt: now.Add(-50 * time.Millisecond),
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
			r.Observations = []Observation{e}
		}
		k = k.WithReport(r, now)
	}
	return k.withFleetSummary(now)
}

func TestOnlyMajorityReplacesPrimaryThatAnswersKeeper(t *testing.T) {
	now := time.Unix(1000, 0)
	unused := Observation{}
	failing := Observation{
		Primary:        "e1",
		FirstFailureAt: now.Add(-2 * time.Second),
	}
	answered := Observation{
		Primary:    "e1",
		AnsweredAt: now.Add(-100 * time.Millisecond),
	}
	tests := []struct {
		name    string
		reports []Observation
		want    string
	}{
		{"one fails, the others sent no query", []Observation{failing, unused, unused, unused, unused}, ""},
		{"two fail, the others sent no query", []Observation{failing, failing, unused, unused, unused}, ""},
		{"half fail, half are answered", []Observation{failing, failing, answered, answered}, ""},
		{"most fail", []Observation{failing, failing, failing, answered, unused}, "unreachable for most"},
		{"all fail", []Observation{failing, failing, failing}, "unreachable for most"},
	}
	for _, test := range tests {
		k := newReportedKeeper(now, test.reports)
		if got := k.failoverReason("g", k.leadership("g"), now); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestHolderWithoutWitnessesActsWhileStoreConfirmsIt(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newReportedKeeper(now, nil)
	k.leaseUntil = now.Add(time.Minute)
	k.record = k.record.WithWitnesses(map[rosemarylb.InstanceID]string{
		"i0": "",
		"i1": "",
		"i2": "",
		"i3": "",
	}, nil)
	tests := []struct {
		name      string
		confirmed time.Duration
		want      bool
	}{
		{"never confirmed", time.Hour, false},
		{"confirmed within witnessTimeout", 500 * time.Millisecond, true},
		{"confirmed witnessTimeout ago", witnessTimeout, false},
	}
	for _, test := range tests {
		k.confirmedAt = now.Add(-test.confirmed)
		if got := k.mayAct(now); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
	if latest := witnessTimeout + PromotionTimeout; takeoverDelay <= latest {
		t.Errorf("got takeoverDelay %s, want more than %s", takeoverDelay, latest)
	}
}
