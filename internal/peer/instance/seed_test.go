package instance

import (
	"log/slog"
	"testing"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/clock"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/process/meter"
	"rosemarylb/internal/traffic/proxy"
)

// TestQuestionToSeedIsNoReport guards against a witness that supports a holder which it has
// promised to ignore by asking it, as a seed, for the holder.
func TestQuestionToSeedIsNoReport(t *testing.T) {
	// The duty of the seed's keeper does not run, so that its ring keeps what it is sent.
	seed, address := newServedKeeper(t, clock.BootTime{}, "seed")
	seed.LatestRecord().Store(keeper.Record{
		Holder:  "h",
		Address: "later",
		Token:   7,
	})
	pr := &PermitRequester{
		clock: clock.BootTime{},
		log:   slog.New(slog.DiscardHandler),
		meter: meter.NewMeter(meter.Location{}),
		seeds: []string{address},

		storeAnsweredAt: duty.NewLatest(clock.BootTime{}.Now()),
		proxyStatus:     duty.NewLatest(proxy.Status{}),
		catalogs: catalogExchange{
			current: duty.NewLatest(rosemarylb.Catalog{}),
		},
	}
	pr.askSeed()
	if got := seed.Ring().Depth(); got != 0 {
		t.Errorf("got %d requests at the seed's keeper, want 0", got)
	}
	want := leaseHolder{
		address: "later",
		token:   7,
	}
	if pr.holderHint != want {
		t.Errorf("got the holder %+v, want %+v", pr.holderHint, want)
	}
}

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
