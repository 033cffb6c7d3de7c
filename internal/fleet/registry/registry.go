// Package registry follows the endpoints that register themselves and the
// operators' configuration.
package registry

import (
	"context"
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds a call that does not wait.
	callTimeout = 1500 * time.Millisecond
	// waitSpan is how long a call waits for a change.
	waitSpan = 4 * time.Second
	// toldPause is the time between two looks whether another instance still
	// tells what changes.
	toldPause = 100 * time.Millisecond
	// settlePause is the least time between two looks at the endpoints, whose
	// entries change all the time.
	settlePause = 700 * time.Millisecond
	// failurePause is the wait after a call that failed; it doubles up to the
	// limit while calls go on failing, as refused calls are paid for too.
	failurePause      = 250 * time.Millisecond
	failurePauseLimit = time.Second
	// missingSpan is how long an endpoint that is no longer listed is kept:
	// entries that ran out while the store was away come back within it.
	missingSpan = 2500 * time.Millisecond
)

// Endpoints follows the registered endpoints.
type Endpoints struct {
	clock     rosemarylb.Clock
	directory rosemarylb.Directory
	log       *slog.Logger
	tell      func([]rosemarylb.EndpointSpec)
	listing   rosemarylb.Listing
	kept      map[rosemarylb.EndpointID]missing
	at        time.Time
	reachable bool
	heard     *duty.Latest[time.Time]
	told      *duty.Latest[keeper.Notification]
	failures  int
}

// pauseAfter returns the wait after a number of failures in a row.
func pauseAfter(failures int) time.Duration {
	return min(failurePause<<min(failures-1, 4), failurePauseLimit)
}

// missing is an endpoint that is no longer listed.
type missing struct {
	spec  rosemarylb.EndpointSpec
	until time.Time
}

// StartEndpoints runs a duty that tells of the registered endpoints, and notes
// when the directory last answered. It rests while another instance tells of
// them. The function tell must not wait. The returned function stops it.
func StartEndpoints(
	c rosemarylb.Clock, d rosemarylb.Directory, l *slog.Logger, heard *duty.Latest[time.Time],
	told *duty.Latest[keeper.Notification], tell func([]rosemarylb.EndpointSpec),
) (*duty.Duty, func()) {
	return duty.StartOn[struct{}](c, "registry-endpoints", &Endpoints{
		clock:     c,
		directory: d,
		log:       l,
		tell:      tell,
		kept:      map[rosemarylb.EndpointID]missing{},
		at:        c.Now(),
		reachable: true,
		heard:     heard,
		told:      told,
	}, duty.NewRing[struct{}]("registry-endpoints", 1))
}

// Handle implements duty.Handler; the duty takes no events.
func (*Endpoints) Handle(time.Time, struct{}) {}

// Tick implements duty.Handler; its thread waits for the directory.
func (e *Endpoints) Tick(now time.Time) {
	if e.told.Load().Fresh(now) {
		e.at = now.Add(toldPause)
		return
	}
	next, err := e.look()
	if err != nil {
		e.noteReachable(false, err)
		e.failures++
		e.at = now.Add(pauseAfter(e.failures))
		if errors.Is(err, rosemarylb.ErrHistory) {
			e.listing = e.listing.WithChanges(0, nil, nil)
			e.at = now
		}
		return
	}
	e.noteReachable(true, nil)
	e.failures = 0
	e.heard.Store(e.clock.Now())
	e.at = now.Add(settlePause)
	e.keep(next, now)
	e.listing = next
	var all []rosemarylb.EndpointSpec
	for _, s := range next.Endpoints {
		all = append(all, s)
	}
	for _, m := range e.kept {
		all = append(all, m.spec)
	}
	e.tell(all)
}

func (e *Endpoints) look() (rosemarylb.Listing, error) {
	if e.listing.Revision == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return e.directory.Endpoints(ctx)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitSpan)
	defer cancel()
	return e.directory.Changes(ctx, e.listing)
}

// keep holds on to endpoints that are no longer listed, for a while.
func (e *Endpoints) keep(next rosemarylb.Listing, now time.Time) {
	for id, s := range e.listing.Endpoints {
		if _, listed := next.Endpoints[id]; !listed {
			e.kept[id] = missing{
				spec:  s,
				until: now.Add(missingSpan),
			}
		}
	}
	for id, m := range e.kept {
		if _, listed := next.Endpoints[id]; listed || now.After(m.until) {
			delete(e.kept, id)
		}
	}
}

func (e *Endpoints) noteReachable(reachable bool, err error) {
	if reachable == e.reachable {
		return
	}
	e.reachable = reachable
	if reachable {
		e.log.Info("dependency regained", "dependency", "directory of endpoints")
		return
	}
	e.log.Warn("dependency lost", "dependency", "directory of endpoints", "error", err)
}

// Next implements duty.Handler.
func (e *Endpoints) Next() time.Time {
	return e.at
}

// Dump implements duty.Handler.
func (e *Endpoints) Dump() any {
	return e.listing
}

// Configuration follows the operators' configuration.
type Configuration struct {
	directory rosemarylb.Directory
	log       *slog.Logger
	tell      func(rosemarylb.Catalog)
	revision  uint64
	version   uint64
	told      *duty.Latest[keeper.Notification]
	at        time.Time
	reachable bool
	failures  int
}

// StartConfiguration runs a duty that tells of each configuration. While another
// instance tells which version is the newest, it asks for that alone. The
// function tell must not wait. The returned function stops it.
func StartConfiguration(
	c rosemarylb.Clock, d rosemarylb.Directory, l *slog.Logger, told *duty.Latest[keeper.Notification],
	tell func(rosemarylb.Catalog),
) (*duty.Duty, func()) {
	return duty.StartOn[struct{}](c, "registry-configuration", &Configuration{
		directory: d,
		log:       l,
		tell:      tell,
		told:      told,
		at:        c.Now(),
		reachable: true,
	}, duty.NewRing[struct{}]("registry-configuration", 1))
}

// Handle implements duty.Handler; the duty takes no events.
func (*Configuration) Handle(time.Time, struct{}) {}

// Tick implements duty.Handler; its thread waits for the directory.
func (c *Configuration) Tick(now time.Time) {
	if t := c.told.Load(); t.ReplacesWatch(now) {
		c.at = now.Add(toldPause)
		c.revision = 0
		if t.CatalogVersion <= c.version {
			return
		}
	}
	next, revision, err := c.look()
	if err != nil {
		c.failures++
		c.at = now.Add(pauseAfter(c.failures))
		if c.reachable {
			c.log.Warn("dependency lost", "dependency", "configuration", "error", err)
		}
		c.reachable = false
		c.revision = 0
		return
	}
	if !c.reachable {
		c.log.Info("dependency regained", "dependency", "configuration")
	}
	c.reachable = true
	c.failures = 0
	c.at = now
	if revision == 0 {
		c.at = now.Add(failurePause)
	}
	c.revision = revision
	if next.Version > c.version {
		c.version = next.Version
		c.tell(next)
	}
}

func (c *Configuration) look() (rosemarylb.Catalog, uint64, error) {
	if c.revision == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return c.directory.Catalog(ctx)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitSpan)
	defer cancel()
	return c.directory.CatalogAfter(ctx, c.revision)
}

// Next implements duty.Handler.
func (c *Configuration) Next() time.Time {
	return c.at
}

// Dump implements duty.Handler.
func (c *Configuration) Dump() any {
	return c.version
}
