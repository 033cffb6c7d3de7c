package instance

import (
	"testing"

	"rosemarylb"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
)

// A seed whose record is old must not send an instance to a former holder.
func TestSeedNamesHolderThatAnswersIt(t *testing.T) {
	w := &keeperduty.Witness{}
	w.ObserveAnsweringHolder(5, "a5")
	w.ObserveAnsweringHolder(4, "a4")
	for _, c := range []struct {
		token    uint64
		isHolder bool
		want     string
	}{
		{3, false, "a5"},
		{6, false, "record"},
		{3, true, "record"},
	} {
		got := withAnsweringHolder(keeperduty.PermitReply{
			IsHolder:      c.isHolder,
			HolderAddress: "record",
			HolderToken:   c.token,
		}, w)
		if got.HolderAddress != c.want {
			t.Errorf("record of token %d, holder %t: got %s, want %s", c.token, c.isHolder, got.HolderAddress, c.want)
		}
	}
}

// An instance that sends a malformed configuration still gets its permits.
func TestMalformedConfigurationIsIgnored(t *testing.T) {
	received := 0
	s := &permitServer{
		onCatalog: func(rosemarylb.Catalog) { received++ },
	}
	for _, content := range [][]byte{nil, []byte("malformed"), encodeCatalog(testCatalog(3))} {
		s.receiveCatalog(&link.PermitRequest{
			Catalog: content,
		})
	}
	if received != 1 {
		t.Errorf("got %d configurations, want 1", received)
	}
}
