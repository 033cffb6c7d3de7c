package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// version returns a version of a store that sends no era.
func version(revision uint64) rosemarylb.Version {
	return rosemarylb.Version{
		Revision: revision,
	}
}

// restored returns a version in the first era after a restore.
func restored(revision uint64) rosemarylb.Version {
	return rosemarylb.Version{
		Era:      1,
		Revision: revision,
	}
}

// With the token of an old record plus one, a holder repeats the token of the one whose
// record was lost or overwritten.
func TestTokenIsAboveEraAndReplacedRevision(t *testing.T) {
	const first = 1 << tokenEraShift
	tests := []struct {
		name     string
		token    uint64
		replaced rosemarylb.Version
		want     uint64
	}{
		{"store without eras", 7, version(900), 8},
		{"first token of an era", 7, restored(900), first + 901},
		{"next token of the era", first + 901, restored(903), first + 904},
		{"record of the era was overwritten by an earlier one", 7, restored(904), first + 905},
		{"no record", 0, restored(0), first + 1},
	}
	for _, test := range tests {
		if got := nextToken(test.token, test.replaced); got != test.want {
			t.Errorf("%s: got token %d, want %d", test.name, got, test.want)
		}
	}
}

// newWitnessedHolder returns a holder that i1 to i3 witness.
func newWitnessedHolder(now time.Time) Keeper {
	k := newHolder(now)
	k.record = k.record.WithWitnesses(map[rosemarylb.InstanceID]string{"i0": "", "i1": "", "i2": "", "i3": ""}, nil)
	k.lastWrite.Record = k.record
	return k
}

// A holder that wrote its record into a restored store without its witnesses could have
// been replaced before the restore; the record of its successor is lost.
func TestHolderWritesRecordAgainWithItsWitnesses(t *testing.T) {
	start := time.Unix(1000, 0)
	old := Record{}.WithHolder("i9", 4, "", rosemarylb.Version{})
	for name, reporting := range map[string]bool{"with reports": true, "without reports": false} {
		k := newWitnessedHolder(start).WithRecord(old, restored(40), start)
		var writtenAt time.Time
		var write Write
		for now := start; now.Before(start.Add(time.Second)) && writtenAt.IsZero(); now = now.Add(50 * time.Millisecond) {
			if reporting {
				k = withSupport(k, supportOf(k, now), now)
			}
			if _, holds := k.Grants(now); reporting && !holds {
				t.Errorf("%s: got no grants %s after the restore", name, now.Sub(start))
			}
			var d Decision
			if k, d = k.Decide(now); d.Write != nil {
				writtenAt, write = now, *d.Write
			}
		}
		if !reporting {
			if !writtenAt.IsZero() {
				t.Errorf("%s: got write %+v", name, write)
			}
			continue
		}
		if writtenAt.Sub(start) <= reportIgnoreDuration {
			t.Errorf("%s: got a write after %s, want more than %s", name, writtenAt.Sub(start), reportIgnoreDuration)
		}
		if write.Replaces != restored(40) || write.Record.Token != 1<<tokenEraShift+41 || write.Record.Groups["g"].Primary != "e1" {
			t.Errorf("%s: got write %+v", name, write)
		}
		k = k.WithWriteConfirmed(restored(41), writtenAt)
		if !k.reclaimSince.IsZero() || k.promoteNotBefore != writtenAt.Add(takeoverDelay) {
			t.Errorf("%s: got promotions from %s, want %s after the write", name, k.promoteNotBefore, takeoverDelay)
		}
	}
}

// The record of an earlier era may be older than the lease of the holder that acts.
func TestRecordOfEarlierEraShowsNoFreeLease(t *testing.T) {
	start := time.Unix(1000, 0)
	held := Record{}.WithHolder("i9", 4, "", rosemarylb.Version{})
	for name, record := range map[string]Record{
		"released":               held.WithoutHolder(),
		"held by itself":         Record{}.WithHolder("i1", 1, "", rosemarylb.Version{}),
		"of a deposed holder":    held,
		"released without write": held,
	} {
		k := NewKeeper("i1", 2, "").WithHolderDeposed(held).WithLeaseReleased(1).WithRecord(record, restored(40), start)
		if _, d := k.Decide(start.Add(leaseDuration - time.Second)); d.Write != nil {
			t.Errorf("%s: got write %+v before the lease has expired", name, d.Write)
		}
		if _, d := k.Decide(start.Add(leaseDuration)); d.Write == nil || d.Write.Record.Era() != 1 {
			t.Errorf("%s: got write %+v, want a token of era 1", name, d.Write)
		}
	}
}

// A copy may be from before a promotion. A permit for the primary that it names is one
// for a replaced primary.
func TestPrimaryOfEarlierEraIsNotPermittedBeforeProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	promoted := Record{}.WithHolder("i9", 4, "", rosemarylb.Version{}).WithLeadership("g", Leadership{
		Primary: "e1",
		Term:    5,
	})
	old := promoted.WithLeadership("g", Leadership{
		Primary: "e0",
		Term:    4,
	}).WithLeadership("h", Leadership{
		Primary: "e7",
		Term:    2,
	})
	k := NewKeeper("i1", 2, "").WithRecord(promoted, version(60), start).WithRecord(old, restored(40), start)
	_, d := k.Decide(start.Add(leaseDuration))
	if d.Write == nil {
		t.Fatal("got no write after the lease has expired")
	}
	want := map[rosemarylb.DatabaseName]Leadership{
		"g": {Primary: "e1", Term: 5, FailingOver: true},
		"h": {Primary: "e7", Term: 2, FailingOver: true},
	}
	for name, l := range want {
		if got := d.Write.Record.Groups[name]; got != l {
			t.Errorf("%s: got %+v, want %+v", name, got, l)
		}
	}
}

// An answer of the earlier era, or a write of it that takes effect in the new one, was
// taken for the confirmation of the lease.
func TestWriteOfEarlierEraConfirmsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	pending, d := NewKeeper("i1", 2, "").WithRecord(Record{}, version(0), now).Decide(now)
	if d.Write == nil {
		t.Fatal("got no write of a new record")
	}
	restarted := pending.WithRecord(Record{}.WithHolder("i9", 4, "", rosemarylb.Version{}), restored(1), now)
	tests := map[string]Keeper{
		"answered before the restore": restarted.WithWriteConfirmed(version(1), now),
		"effective in the new era":    pending.WithWriteConfirmed(restored(2), now),
		"read in the new era":         pending.WithWriteUnanswered(now).WithRecord(d.Write.Record, restored(2), now),
	}
	for name, k := range tests {
		if k.HoldsLease() {
			t.Errorf("%s: got the lease", name)
		}
	}
	if !pending.WithWriteConfirmed(version(1), now).HoldsLease() {
		t.Error("got no lease in the same era")
	}
}

// A primary of a lower term may answer while the one of the highest is cut off.
func TestPrimaryOfRestoredRecordNeedsAllAnswers(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, silent := range map[string]rosemarylb.EndpointID{"all answer": "", "one is silent": "e2"} {
		k := newHolder(start)
		k.staleTakeover = true
		k.record = k.record.WithLeadership("g", Leadership{
			Primary:     "e1",
			Term:        1,
			FailingOver: true,
		})
		k.groups = nil
		granted := false
		for now := start; now.Before(start.Add(promotionCompletionTimeout + time.Second)); now = now.Add(100 * time.Millisecond) {
			k = withSupport(k, supportOf(k, now), now)
			k, _ = k.Decide(now)
			for _, e := range k.endpoints["g"] {
				k = k.WithStatus(Status{
					Group:    "g",
					Endpoint: e.ID,
					ProbedAt: now.Add(time.Millisecond),
					Answered: e.ID != silent,
					Primary:  e.ID == "e1",
					Term:     1,
				})
			}
			if grants, _ := k.Grants(now); len(grants) > 0 {
				granted = true
				if now.Sub(start) < promotionCompletionTimeout {
					t.Errorf("%s: got a grant after %s", name, now.Sub(start))
				}
			}
		}
		if granted != (silent == "") {
			t.Errorf("%s: got grant %t", name, granted)
		}
	}
}
