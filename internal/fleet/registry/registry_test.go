package registry

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"
)

// directory returns the values that a test has set, and counts the calls.
type directory struct {
	listing rosemarylb.EndpointListing
	err     error
	catalog rosemarylb.Catalog
	calls   int
}

// ListEndpoints implements rosemarylb.Directory.
func (d *directory) ListEndpoints(context.Context) (rosemarylb.EndpointListing, error) {
	d.calls++
	return d.listing, d.err
}

// WatchEndpoints implements rosemarylb.Directory.
func (d *directory) WatchEndpoints(context.Context, rosemarylb.EndpointListing) (rosemarylb.EndpointListing, error) {
	d.calls++
	return d.listing, d.err
}

// Catalog implements rosemarylb.Directory.
func (d *directory) Catalog(context.Context) (rosemarylb.Catalog, rosemarylb.Version, error) {
	d.calls++
	return d.catalog, rosemarylb.Version{Revision: 1}, d.err
}

// WatchCatalog implements rosemarylb.Directory.
func (d *directory) WatchCatalog(context.Context, rosemarylb.Version) (rosemarylb.Catalog, rosemarylb.Version, error) {
	return d.catalog, rosemarylb.Version{Revision: 1}, d.err
}

type clock struct{ now time.Time }

// Now implements rosemarylb.Clock.
func (c *clock) Now() time.Time { return c.now }

func listing(revision uint64, ids ...rosemarylb.EndpointID) rosemarylb.EndpointListing {
	l := rosemarylb.EndpointListing{
		Version:   rosemarylb.Version{Revision: revision},
		Endpoints: map[rosemarylb.EndpointID]rosemarylb.EndpointSpec{},
	}
	for _, id := range ids {
		l.Endpoints[id] = rosemarylb.EndpointSpec{
			ID: id,
		}
	}
	return l
}

// An endpoint that disappears from the listing stays published for
// missingRetention, also if the history is compacted in the meantime.
func TestMissingEndpointIsRetained(t *testing.T) {
	c := &clock{
		now: time.Unix(100, 0),
	}
	d := &directory{
		listing: listing(1, "a", "b"),
	}
	var published []rosemarylb.EndpointSpec
	e := &EndpointWatcher{
		clock:          c,
		directory:      d,
		log:            slog.New(slog.DiscardHandler),
		publish:        func(all []rosemarylb.EndpointSpec) { published = all },
		missing:        map[rosemarylb.EndpointID]missingEndpoint{},
		outdated:       map[rosemarylb.EndpointID]struct{}{},
		lastResponseAt: duty.NewLatest(time.Time{}),
		notification:   duty.NewLatest(keeper.Notification{}),
	}
	steps := []struct {
		name  string
		after time.Duration
		set   func()
		want  int
	}{
		{"listed", 0, func() {}, 2},
		{"missing", time.Second, func() { d.listing = listing(2, "a") }, 2},
		{"history is compacted", time.Second, func() { d.err = rosemarylb.ErrCompacted }, 2},
		{"still missing", time.Second, func() { d.err = nil }, 2},
		{"missing longer than missingRetention", time.Second, func() {}, 1},
		{"listed again", time.Second, func() { d.listing = listing(3, "a", "b") }, 2},
	}
	for _, s := range steps {
		c.now = c.now.Add(s.after)
		s.set()
		e.Tick(c.now)
		if got := len(published); got != s.want {
			t.Errorf("%s: got %d endpoints, want %d", s.name, got, s.want)
		}
	}
}

func TestBackoffDoublesUpToLimit(t *testing.T) {
	tests := []struct {
		failures int
		want     time.Duration
	}{
		{1, 250 * time.Millisecond},
		{2, 500 * time.Millisecond},
		{3, time.Second},
		{100, time.Second},
	}
	for _, tt := range tests {
		if got := backoff(tt.failures); got != tt.want {
			t.Errorf("%d failures: got %s, want %s", tt.failures, got, tt.want)
		}
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	d := &directory{}
	var published []uint64
	c := &ConfigurationWatcher{
		directory:    d,
		log:          slog.New(slog.DiscardHandler),
		publish:      func(c rosemarylb.Catalog) { published = append(published, c.Version) },
		notification: duty.NewLatest(keeper.Notification{}),
		latest:       duty.NewLatest(rosemarylb.Catalog{}),
	}
	for _, version := range []uint64{3, 3, 9, 7, 0, 12} {
		d.catalog.Version = version
		c.Tick(time.Unix(100, 0))
	}
	if len(published) != 3 || published[0] != 3 || published[1] != 9 || published[2] != 12 {
		t.Errorf("got %v, want 3, 9, 12", published)
	}
}

// While another instance reports the changes, the directory is queried only for a
// configuration whose content does not arrive within contentTimeout.
func TestDirectoryIsNotQueriedWhileChangesAreReported(t *testing.T) {
	now := time.Unix(100, 0)
	d := &directory{
		listing: listing(1, "a"),
	}
	notification := duty.NewLatest(keeper.Notification{})
	latest := duty.NewLatest(rosemarylb.Catalog{})
	var versions []uint64
	c := &ConfigurationWatcher{
		directory:    d,
		log:          slog.New(slog.DiscardHandler),
		publish:      func(c rosemarylb.Catalog) { versions = append(versions, c.Version) },
		notification: notification,
		latest:       latest,
	}
	e := &EndpointWatcher{
		clock: &clock{
			now: now,
		},
		directory:      d,
		log:            slog.New(slog.DiscardHandler),
		publish:        func([]rosemarylb.EndpointSpec) {},
		missing:        map[rosemarylb.EndpointID]missingEndpoint{},
		outdated:       map[rosemarylb.EndpointID]struct{}{},
		lastResponseAt: duty.NewLatest(time.Time{}),
		notification:   notification,
	}
	steps := []struct {
		name        string
		after       time.Duration
		notifiedAgo time.Duration
		received    uint64
		newest      uint64
		stored      uint64
		calls       int
		want        uint64
	}{
		{"no notification", 0, time.Hour, 0, 0, 3, 2, 3},
		{"reported version is known", 0, 0, 0, 3, 3, 0, 3},
		{"reported version is new", 0, 0, 0, 9, 9, 0, 3},
		{"its content may still arrive", 900 * time.Millisecond, 0, 0, 9, 9, 0, 3},
		{"its content has not arrived", 100 * time.Millisecond, 0, 0, 9, 9, 1, 9},
		{"reported version is known after the query", time.Second, 100 * time.Millisecond, 0, 9, 9, 0, 9},
		{"another version is new", 0, 0, 0, 10, 9, 0, 9},
		{"its content has arrived", time.Second, 0, 10, 10, 9, 0, 9},
		{"a version is new that the directory does not show", 0, 0, 10, 11, 9, 0, 9},
		{"it is fetched once", time.Second, 0, 10, 11, 9, 1, 9},
		{"and not again at once", 100 * time.Millisecond, 0, 10, 11, 9, 0, 9},
		{"reported information has expired", 0, time.Second, 10, 11, 12, 2, 12},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		latest.Store(rosemarylb.Catalog{
			Version: s.received,
		})
		d.calls = 0
		d.catalog.Version = s.stored
		notification.Store(keeper.Notification{
			RequestedAt:    now.Add(-s.notifiedAgo),
			CatalogVersion: s.newest,
		})
		c.Tick(now)
		e.Tick(now)
		if d.calls != s.calls || versions[len(versions)-1] != s.want {
			t.Errorf("%s: got %d calls and versions %v, want %d and %d last", s.name, d.calls, versions, s.calls, s.want)
		}
	}
}
