package registry

import (
	"log/slog"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"
)

// restoredListing returns a listing of one or two endpoints at a version.
func restoredListing(era uint64, entries ...rosemarylb.EndpointSpec) rosemarylb.EndpointListing {
	return rosemarylb.EndpointListing{
		Endpoints: map[rosemarylb.EndpointID]rosemarylb.EndpointSpec{},
	}.WithChanges(rosemarylb.Version{
		Era:      era,
		Revision: 1,
	}, entries, nil)
}

// A restored store lacks endpoints or shows them as they were before. Traffic would
// leave running endpoints, or go to one that drains or to its former address.
func TestRestoredStoreDoesNotReplaceKnownEntries(t *testing.T) {
	ready := rosemarylb.EndpointSpec{
		ID:   "a",
		Born: 5,
	}
	earlier, later := ready, ready
	earlier.Born, later.Born = 4, 6
	tests := []struct {
		name    string
		known   rosemarylb.EndpointSpec
		listing []rosemarylb.EndpointListing
		after   time.Duration
		want    []rosemarylb.EndpointSpec
	}{
		{"missing", ready, []rosemarylb.EndpointListing{restoredListing(1)}, 0, []rosemarylb.EndpointSpec{ready}},
		{"missing for longer than in the same era", ready, []rosemarylb.EndpointListing{restoredListing(1)}, 5 * time.Second, []rosemarylb.EndpointSpec{ready}},
		{"missing in the same era", ready, []rosemarylb.EndpointListing{restoredListing(0)}, 5 * time.Second, nil},
		{"gone", ready, []rosemarylb.EndpointListing{restoredListing(1)}, 11 * time.Second, nil},
		{"earlier start", ready, []rosemarylb.EndpointListing{restoredListing(1, earlier)}, 0, []rosemarylb.EndpointSpec{ready}},
		{"earlier start in the same era", ready, []rosemarylb.EndpointListing{restoredListing(0, earlier)}, 0, []rosemarylb.EndpointSpec{earlier}},
		{"later start", ready, []rosemarylb.EndpointListing{restoredListing(1, later)}, 0, []rosemarylb.EndpointSpec{later}},
		{"drains", ready.WithLeaving(), []rosemarylb.EndpointListing{restoredListing(1, ready)}, 0, []rosemarylb.EndpointSpec{ready.WithLeaving()}},
		{"drains still", ready.WithLeaving(), []rosemarylb.EndpointListing{restoredListing(1, ready), restoredListing(1, ready)}, 0, []rosemarylb.EndpointSpec{ready.WithLeaving()}},
		{"missing, then earlier start", ready, []rosemarylb.EndpointListing{restoredListing(1), restoredListing(2, earlier)}, 0, []rosemarylb.EndpointSpec{ready}},
		{"ready again after its entry was written", ready.WithLeaving(), []rosemarylb.EndpointListing{restoredListing(1, ready), restoredListing(1, ready.WithLeaving()), restoredListing(1, ready)}, 0, []rosemarylb.EndpointSpec{ready}},
	}
	for _, tt := range tests {
		now := time.Unix(100, 0)
		d := &directory{
			listing: restoredListing(0, tt.known),
		}
		var got []rosemarylb.EndpointSpec
		e := &EndpointWatcher{
			clock: &clock{
				now: now,
			},
			directory:      d,
			log:            slog.New(slog.DiscardHandler),
			publish:        func(all []rosemarylb.EndpointSpec) { got = all },
			missing:        map[rosemarylb.EndpointID]missingEndpoint{},
			outdated:       map[rosemarylb.EndpointID]struct{}{},
			lastResponseAt: duty.NewLatest(time.Time{}),
			notification:   duty.NewLatest(keeper.Notification{}),
		}
		e.Tick(now)
		for _, l := range tt.listing {
			d.listing = l
			e.Tick(now)
		}
		e.Tick(now.Add(tt.after))
		if len(got) != len(tt.want) || len(got) > 0 && got[0] != tt.want[0] {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// An instance that was notified of a later configuration than the restored store shows
// called the store without a pause.
func TestReportedConfigurationIsNotSoughtInRestoredStoreWithoutPause(t *testing.T) {
	start := time.Unix(100, 0)
	d := &directory{}
	d.catalog.Version = 3
	notification := duty.NewLatest(keeper.Notification{})
	c := &ConfigurationWatcher{
		directory:    d,
		log:          slog.New(slog.DiscardHandler),
		publish:      func(rosemarylb.Catalog) {},
		latest:       duty.NewLatest(rosemarylb.Catalog{}),
		notification: notification,
	}
	const seconds = 5
	for now := start; now.Before(start.Add(seconds * time.Second)); now = c.Next() {
		notification.Store(keeper.Notification{
			RequestedAt:    now,
			CatalogVersion: 9,
		})
		c.Tick(now)
	}
	if d.calls > seconds {
		t.Errorf("got %d calls in %d s, want at most one a second", d.calls, seconds)
	}
}
