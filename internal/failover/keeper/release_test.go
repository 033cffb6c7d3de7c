package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// newHolder returns the keeper of i0, which holds the lease without witnesses, has the
// reports and the support of i0 to i3 and may grant permits for the primary e1 of the
// group g.
func newHolder(now time.Time) Keeper {
	k := newReportedKeeper(now, make([]Observation, 4))
	k.record = Record{}.WithHolder("i0", 1, "", rosemarylb.Version{}).WithLeadership("g", Leadership{
		Primary: "e1",
		Term:    1,
	})
	k.recordKnown = true
	k.version = version(1)
	k.token = k.record.Token
	k.leaseUntil = now.Add(time.Hour)
	k.renewAt = now.Add(time.Hour)
	return withSupport(k, supportOf(k, now), now)
}

// A release of the lease takes effect in the store before its holder learns of it, or
// without the holder ever learning of it. A holder that granted permits until then
// granted them for the old primary while its successor replaced that primary: reads
// missed acknowledged commits.
func TestNoPermitIsGrantedOnceReleaseMayHaveTakenEffect(t *testing.T) {
	now := time.Unix(1000, 0)
	sent, d := newHolder(now).WithShutdown().Decide(now)
	if d.Write == nil || d.Write.Record.Holder != "" {
		t.Fatalf("got write %+v at the start of the shutdown, want one that releases the lease", d.Write)
	}
	unanswered := sent.WithWriteUnanswered(now)
	current := unanswered.record
	tests := []struct {
		name         string
		keeper       Keeper
		wantReleased uint64
	}{
		{"sent", sent, 1},
		{"not answered", unanswered, 1},
		{"has not taken effect", unanswered.WithRecord(current, version(1), now), 1},
		{"confirmed", sent.WithWriteConfirmed(version(2), now), 0},
		{"taken by another", sent.WithWriteConflict(current.WithHolder("i1", 2, "", rosemarylb.Version{}), version(2), now), 0},
	}
	for _, test := range tests {
		if grants, holds := test.keeper.Grants(now); holds || len(grants) > 0 {
			t.Errorf("%s: got grants %v, want none", test.name, grants)
		}
		if got := test.keeper.ReleasedToken(); got != test.wantReleased {
			t.Errorf("%s: got released token %d, want %d", test.name, got, test.wantReleased)
		}
	}
}

// A release that was lost on its way left the lease with a process that had ended.
func TestReleaseIsWrittenAgainUntilItIsStored(t *testing.T) {
	now := time.Unix(1000, 0)
	k, _ := newHolder(now).WithShutdown().Decide(now)
	k = k.WithWriteUnanswered(now)
	now = now.Add(storeRetryDelay)
	k, d := k.Decide(now)
	if !d.Read {
		t.Fatal("got no read of the record after a write that was not answered")
	}
	k = k.WithRecord(k.record, k.version, now)
	if _, d = k.Decide(now); d.Write == nil || d.Write.Record.Holder != "" {
		t.Errorf("got write %+v after the record still named the holder, want its release", d.Write)
	}
}

// A promotion that arrives after the lease was released has a lower token than those
// of the next holder.
func TestLeaseIsKeptWhilePromotionIsPending(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newHolder(now)
	deadline := now.Add(PromotionTimeout)
	k, d := k.withGroup("g", k.groups["g"].withOrderSent("e2", deadline)).WithShutdown().Decide(now)
	if _, holds := k.Grants(now); d.Write != nil || !holds {
		t.Errorf("got write %+v and holds %t while a promotion is pending, want none and true", d.Write, holds)
	}
	k, d = k.WithPromotionOutcome(rosemarylb.Promotion{
		Group:    "g",
		Endpoint: "e2",
		Deadline: deadline,
	}, rosemarylb.PromotionDone, now).Decide(now)
	if _, holds := k.Grants(now); d.Write == nil || holds {
		t.Errorf("got write %+v and holds %t after the promotion, want a release and false", d.Write, holds)
	}
}

// TestReleaseLeavesTheRestOfTheWaitToTheNextHolder guards against a holder that acts at once
// since its predecessor has released the lease, while the holder that this predecessor had
// deposed still acts.
func TestReleaseLeavesTheRestOfTheWaitToTheNextHolder(t *testing.T) {
	start := time.Unix(1000, 0)
	deposed := Record{}.WithHolder("i8", 1, "", rosemarylb.Version{})
	for _, test := range []struct {
		name      string
		after     time.Duration
		yielded   bool
		restarted bool
		want      bool
	}{
		{"released at once", 0, false, false, true},
		{"yielded at once", 0, true, false, true},
		{"killed at once and started again", 0, false, true, true},
		{"released after the wait", takeoverDelay, false, false, false},
	} {
		k, d := NewKeeper("i4", 1, "").WithRecord(deposed, version(1), start).WithHolderDeposed(deposed).Decide(start)
		if d.Write == nil {
			t.Fatalf("%s: got no takeover from the deposed holder", test.name)
		}
		stored := d.Write.Record
		k = k.WithWriteConfirmed(version(2), start)
		now := start.Add(test.after)
		next := NewKeeper("i7", 1, "")
		switch {
		case test.restarted:
			next = NewKeeper("i4", 2, "")
		case test.yielded:
			next = next.WithLeaseReleased(stored.Token)
		default:
			_, d = k.WithShutdown().Decide(now)
			stored = d.Write.Record
		}
		next, d = next.WithRecord(stored, version(3), now).Decide(now)
		if d.Write == nil {
			t.Fatalf("%s: got no takeover by the next holder", test.name)
		}
		next = next.WithWriteConfirmed(version(4), now)
		if got := next.promoteNotBefore.After(now); got != test.want {
			t.Errorf("%s: got a wait for promotions %t, want %t", test.name, got, test.want)
		}
		if got := next.Tenure().GrantsFrom.After(now); got != test.want {
			t.Errorf("%s: got a wait for grants %t, want %t", test.name, got, test.want)
		}
	}
}
