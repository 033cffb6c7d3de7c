package keeper

import (
	"testing"
	"time"
)

// TestTenureOutlastsThePredecessor guards against tokens of a new holder while a
// predecessor that did not release the lease may still grant some.
func TestTenureOutlastsThePredecessor(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		record Record
		clean  bool
		first  bool
		wait   bool
	}{
		{"first holder", Record{Token: 1}, false, true, false},
		{"released", Record{Token: 7}, true, false, false},
		{"deposed or expired", Record{Token: 7}, false, false, true},
	} {
		k := NewKeeper("i", 1, "a")
		k.record = c.record
		k.cleanTakeover = c.clean
		got := k.newTenure(now)
		if got.First != c.first {
			t.Errorf("%s: got first %t, want %t", c.name, got.First, c.first)
		}
		if waits := got.GrantsFrom.After(now.Add(witnessTimeout)); waits != c.wait {
			t.Errorf("%s: got grants from %s after the takeover, want a wait: %t", c.name, got.GrantsFrom.Sub(now), c.wait)
		}
	}
}
