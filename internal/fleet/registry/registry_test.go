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

// directory answers with what a test has set.
type directory struct {
	listing rosemarylb.Listing
	err     error
	catalog rosemarylb.Catalog
	calls   int
}

// Endpoints implements rosemarylb.Directory.
func (d *directory) Endpoints(context.Context) (rosemarylb.Listing, error) {
	d.calls++
	return d.listing, d.err
}

// Changes implements rosemarylb.Directory.
func (d *directory) Changes(context.Context, rosemarylb.Listing) (rosemarylb.Listing, error) {
	d.calls++
	return d.listing, d.err
}

// Catalog implements rosemarylb.Directory.
func (d *directory) Catalog(context.Context) (rosemarylb.Catalog, uint64, error) {
	d.calls++
	return d.catalog, 1, d.err
}

// CatalogAfter implements rosemarylb.Directory.
func (d *directory) CatalogAfter(context.Context, uint64) (rosemarylb.Catalog, uint64, error) {
	return d.catalog, 1, d.err
}

type clock struct{ now time.Time }

// Now implements rosemarylb.Clock.
func (c *clock) Now() time.Time { return c.now }

func listing(revision uint64, ids ...rosemarylb.EndpointID) rosemarylb.Listing {
	l := rosemarylb.Listing{
		Revision:  revision,
		Endpoints: map[rosemarylb.EndpointID]rosemarylb.EndpointSpec{},
	}
	for _, id := range ids {
		l.Endpoints[id] = rosemarylb.EndpointSpec{
			ID: id,
		}
	}
	return l
}

func TestAnEndpointThatIsMissingIsKeptForAWhile(t *testing.T) {
	c := &clock{
		now: time.Unix(100, 0),
	}
	d := &directory{
		listing: listing(1, "a", "b"),
	}
	var told []rosemarylb.EndpointSpec
	e := &Endpoints{
		clock:     c,
		directory: d,
		log:       slog.New(slog.DiscardHandler),
		tell:      func(all []rosemarylb.EndpointSpec) { told = all },
		kept:      map[rosemarylb.EndpointID]missing{},
		heard:     duty.NewLatest(time.Time{}),
		told:      duty.NewLatest(keeper.Notification{}),
	}
	steps := []struct {
		name  string
		after time.Duration
		set   func()
		want  int
	}{
		{"listed", 0, func() {}, 2},
		{"missing", time.Second, func() { d.listing = listing(2, "a") }, 2},
		{"the history is lost meanwhile", time.Second, func() { d.err = rosemarylb.ErrHistory }, 2},
		{"still missing", time.Second, func() { d.err = nil }, 2},
		{"missing for long", time.Second, func() {}, 1},
		{"back", time.Second, func() { d.listing = listing(3, "a", "b") }, 2},
	}
	for _, s := range steps {
		c.now = c.now.Add(s.after)
		s.set()
		e.Tick(c.now)
		if got := len(told); got != s.want {
			t.Errorf("%s: got %d endpoints, want %d", s.name, got, s.want)
		}
	}
}

func TestFailuresAreMetWithLongerPauses(t *testing.T) {
	tests := []struct {
		failures int
		want     time.Duration
	}{
		{1, 250 * time.Millisecond},
		{2, 500 * time.Millisecond},
		{3, time.Second},
		{100, time.Second},
	}
	for _, c := range tests {
		if got := pauseAfter(c.failures); got != c.want {
			t.Errorf("%d failures: got %s, want %s", c.failures, got, c.want)
		}
	}
}

func TestConfigurationsOnlyRise(t *testing.T) {
	d := &directory{}
	var told []uint64
	c := &Configuration{
		directory: d,
		log:       slog.New(slog.DiscardHandler),
		tell:      func(n rosemarylb.Catalog) { told = append(told, n.Version) },
		told:      duty.NewLatest(keeper.Notification{}),
	}
	for _, version := range []uint64{3, 3, 9, 7, 0, 12} {
		d.catalog.Version = version
		c.Tick(time.Unix(100, 0))
	}
	if len(told) != 3 || told[0] != 3 || told[1] != 9 || told[2] != 12 {
		t.Errorf("got %v, want 3, 9, 12", told)
	}
}

func TestTheDirectoryRestsWhileAnotherInstanceTells(t *testing.T) {
	now := time.Unix(100, 0)
	d := &directory{
		listing: listing(1, "a"),
	}
	told := duty.NewLatest(keeper.Notification{})
	var versions []uint64
	c := &Configuration{
		directory: d,
		log:       slog.New(slog.DiscardHandler),
		tell:      func(n rosemarylb.Catalog) { versions = append(versions, n.Version) },
		told:      told,
	}
	e := &Endpoints{
		clock: &clock{
			now: now,
		},
		directory: d,
		log:       slog.New(slog.DiscardHandler),
		tell:      func([]rosemarylb.EndpointSpec) {},
		kept:      map[rosemarylb.EndpointID]missing{},
		heard:     duty.NewLatest(time.Time{}),
		told:      told,
	}
	steps := []struct {
		name     string
		toldFor  time.Duration
		newest   uint64
		standing uint64
		calls    int
	}{
		{"nobody tells", time.Hour, 0, 3, 2},
		{"told, nothing new", 0, 3, 3, 0},
		{"told of a new configuration", 0, 9, 9, 1},
		{"told, and it is known", 100 * time.Millisecond, 9, 9, 0},
		{"told long ago", time.Second, 9, 12, 2},
	}
	for _, s := range steps {
		d.calls = 0
		d.catalog.Version = s.standing
		told.Store(keeper.Notification{
			RequestedAt:    now.Add(-s.toldFor),
			CatalogVersion: s.newest,
		})
		c.Tick(now)
		e.Tick(now)
		if d.calls != s.calls || versions[len(versions)-1] != s.standing {
			t.Errorf("%s: got %d calls and versions %v, want %d and %d last", s.name, d.calls, versions, s.calls, s.standing)
		}
	}
}
