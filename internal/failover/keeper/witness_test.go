package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// supportOf returns the support of an instance that a keeper has just answered.
func supportOf(k Keeper, now time.Time) Support {
	return Support{
		Token:      k.token,
		AnsweredAt: now,
	}
}

// withSupport returns the keeper with a report of i0 to i3 that is received at a time.
func withSupport(k Keeper, s Support, receivedAt time.Time) Keeper {
	for _, id := range []rosemarylb.InstanceID{"i0", "i1", "i2", "i3"} {
		k = k.WithReport(Report{
			From:    id,
			Support: s,
		}, receivedAt)
	}
	return k
}

// TestSupportCountsFromTheAnswerThatItNames guards against a deposed holder that acts again
// by reports which were on their way since before the promises to ignore it, or which
// support another holder.
func TestSupportCountsFromTheAnswerThatItNames(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name       string
		token      uint64
		answeredAt time.Duration
		after      time.Duration
		want       bool
	}{
		{"answered now", 1, 0, 0, true},
		{"until the time-out", 1, 0, witnessTimeout - 1, true},
		{"received late", 1, 0, witnessTimeout, false},
		{"of an earlier holder", 0, 0, 0, false},
		{"of a later holder", 2, 0, 0, false},
		{"of an answer to come", 1, 1, 0, false},
	} {
		now := start.Add(test.after)
		k := newWitnessedHolder(start)
		k.members = members{}
		k.lastActiveAt = now
		k = withSupport(k, Support{
			Token:      test.token,
			AnsweredAt: start.Add(test.answeredAt),
		}, now)
		if got := k.mayAct(now); got != test.want {
			t.Errorf("%s: got mayAct %t, want %t", test.name, got, test.want)
		}
	}
}

// TestHolderWithoutWitnessesGivesAnswersToName guards against a holder that never regains
// its witnesses, as they have no answer of it to name.
func TestHolderWithoutWitnessesGivesAnswersToName(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newWitnessedHolder(now)
	k.confirmedAt = now.Add(-witnessTimeout)
	k.members = members{}
	if _, holds := k.Grants(now); holds {
		t.Error("got grants of a holder without witnesses")
	}
	k = withSupport(k, Support{
		Token:      1,
		AnsweredAt: k.AnswersAt(now),
	}, now)
	if _, holds := k.Grants(now); !holds {
		t.Error("got no grants of a holder whose answers its witnesses name")
	}
	if got := NewKeeper("i1", 1, "").AnswersAt(now); !got.IsZero() {
		t.Errorf("got answers at %s of an instance without the lease, want none", got)
	}
}

// TestLateWriteOfWitnessesNeedsTheirSupport guards against a holder that acts with the
// witnesses of the record that it has read, while a write of it that names others takes
// effect: those others may have deposed it.
func TestLateWriteOfWitnessesNeedsTheirSupport(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newWitnessedHolder(now)
	k.writePending = true
	k.lastWrite = Write{
		Record: k.record.WithWitnesses(map[rosemarylb.InstanceID]string{
			"i0": "",
			"i4": "",
			"i5": "",
		}, nil).WithNextSequence(),
		Replaces: k.version,
	}
	unanswered := k.WithWriteUnanswered(now)
	read := unanswered.WithRecord(k.record, k.version, now)
	for _, test := range []struct {
		name   string
		keeper Keeper
		want   bool
	}{
		{"under way", k, false},
		{"not answered", unanswered, false},
		{"read without it", read, false},
		{"refused", k.WithWriteConflict(k.record, version(2), now), true},
		{"another write is stored", read.WithRecord(k.record, version(2), now), true},
	} {
		if got := test.keeper.hasWitnesses(now); got != test.want {
			t.Errorf("%s: got witnesses %t, want %t", test.name, got, test.want)
		}
	}
}

// newRestartedWitness returns a holder with the witnesses i1 and i2, of which i1 has just
// been replaced by process 12: a former one, 11, may have promised to ignore the holder.
func newRestartedWitness(now time.Time) Keeper {
	k := newHolder(now)
	k.members = members{}
	k.record = k.record.WithWitnesses(map[rosemarylb.InstanceID]string{
		"i0": "",
		"i1": "",
		"i2": "",
	}, map[rosemarylb.InstanceID]uint32{
		"i1": 11,
		"i2": 21,
	})
	k.lastWrite.Record = k.record
	k.membersSince = now
	return withProcessReport(k, 12, now)
}

// withProcessReport returns the keeper with a report of a process of i1 that supports it.
func withProcessReport(k Keeper, process uint32, now time.Time) Keeper {
	return k.WithReport(Report{
		From:    "i1",
		Process: process,
		Support: supportOf(k, now),
	}, now)
}

// TestRestartedWitnessSupportsOnceItIsStored guards against a deposed holder that acts by a
// witness which has forgotten its promise. The store refuses the record of such a holder.
func TestRestartedWitnessSupportsOnceItIsStored(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newRestartedWitness(now)
	if k.mayAct(now) {
		t.Error("got a holder that acts by a process that the record does not name")
	}
	if !withProcessReport(k, 11, now).mayAct(now) {
		t.Error("got a holder that does not act by the process that the record names")
	}
	k, d := k.Decide(now)
	if d.Write == nil || d.Write.Record.WitnessProcesses["i1"] != 12 || d.Write.Record.WitnessProcesses["i2"] != 21 {
		t.Fatalf("got write %+v, want one with process 12 of i1 and 21 of i2", d.Write)
	}
	if k.mayAct(now) {
		t.Error("got a holder that acts by a process before it is stored")
	}
	refused := k.WithWriteConflict(k.record.WithHolder("i2", 21, "", k.version), version(2), now)
	if refused.HoldsLease() {
		t.Error("got a holder that acts after its successor has taken the lease")
	}
	k = k.WithWriteConfirmed(version(2), now)
	k.confirmedAt = time.Time{}
	if !k.mayAct(now) {
		t.Error("got a holder that does not act by the stored process")
	}
}

// TestProcessesOfWitnessesAreStoredAtMostEachConfirmInterval guards against a write for each
// report where two processes of one instance report by turns.
func TestProcessesOfWitnessesAreStoredAtMostEachConfirmInterval(t *testing.T) {
	start := time.Unix(1000, 0)
	k := newRestartedWitness(start)
	k = withProcessReport(k, 11, start)
	writes := 0
	for now := start; now.Before(start.Add(memberTimeout)); now = now.Add(50 * time.Millisecond) {
		k = withProcessReport(k, 11+uint32(now.Sub(start)/(100*time.Millisecond))%2, now)
		var d Decision
		if k, d = k.Decide(now); d.Write != nil {
			writes++
			k = k.WithWriteConfirmed(version(k.version.Revision+1), now)
		}
	}
	if want := int(memberTimeout/confirmInterval) + 1; writes == 0 || writes > want {
		t.Errorf("got %d writes in %s, want from 1 to %d", writes, memberTimeout, want)
	}
}
